package gateway_test

import (
	"fmt"
	"runtime/metrics"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/storerev"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// traffic is what one router sends to others in a second.
type traffic struct{ messages, bytes float64 }

// sentByKind returns the sum of what the routers have sent, by kind.
func sentByKind(routers []*router) map[string]traffic {
	sums := map[string]traffic{}
	for _, r := range routers {
		for _, count := range r.SentToPeers() {
			sum := sums[count.Kind]
			sums[count.Kind] = traffic{sum.messages + float64(count.Frames), sum.bytes + float64(count.Bytes)}
		}
	}
	return sums
}

// In a fleet where nothing happens, what a router sends must not grow with the number of routers or
// runners.
func TestIdleTrafficDoesNotGrowWithTheFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("starts a hundred routers")
	}
	const seconds = 3
	bytesPerRouter, seedMessages := map[int]float64{}, map[int]float64{}
	for _, size := range []int{30, 100} {
		f := newFleet(t)
		f.configure(1, defaultRoutes(), validKey)
		f.register(10*size, 200*time.Millisecond)
		addresses := []string{loopback.FreeAddress(), loopback.FreeAddress(), loopback.FreeAddress()}
		var seeds, followers []*router
		for i, address := range addresses {
			seeds = append(seeds, f.router(fmt.Sprintf("seed-%d", i), func(settings *gateway.Settings) { settings.PeerAddress, settings.Seeds = address, addresses }))
		}
		for i := range size {
			followers = append(followers, f.router(fmt.Sprintf("follower-%d", i), f.followerSettings(addresses)))
		}
		for _, r := range append(seeds, followers...) {
			f.g.Eventually(func() int { return len(r.Status().Runners) }, 20*time.Second, 50*time.Millisecond).Should(BeNumerically(">=", 10*size/registerPerStep*registerPerStep))
		}
		time.Sleep(2 * time.Second)
		before, seedsBefore := sentByKind(followers), sentByKind(seeds)
		time.Sleep(seconds * time.Second)
		for kind, sent := range sentByKind(followers) {
			each := traffic{(sent.messages - before[kind].messages) / seconds / float64(size), (sent.bytes - before[kind].bytes) / seconds / float64(size)}
			t.Logf("%d routers, a follower sends %s: %.2f messages, %.0f bytes a second", size, kind, each.messages, each.bytes)
			bytesPerRouter[size] += each.bytes
		}
		for kind, sent := range sentByKind(seeds) {
			each := traffic{(sent.messages - seedsBefore[kind].messages) / seconds / 3, (sent.bytes - seedsBefore[kind].bytes) / seconds / 3}
			t.Logf("%d routers, a seed sends %s: %.2f messages, %.0f bytes a second", size, kind, each.messages, each.bytes)
			seedMessages[size] += each.messages
			bytesPerRouter[size] += each.bytes * 3 / float64(size)
		}
		for _, r := range append(seeds, followers...) {
			r.Kill()
		}
	}
	t.Logf("bytes a second and router: %.0f with 30, %.0f with 100", bytesPerRouter[30], bytesPerRouter[100])
	NewWithT(t).Expect(bytesPerRouter[100]).To(BeNumerically("<=", 1.25*bytesPerRouter[30]))
	NewWithT(t).Expect(seedMessages[100]).To(BeNumerically("<=", seedMessages[30]), "relays answer most pulls")
}

// wakeups returns about how often goroutines of this process were scheduled so far. The runtime
// samples one in eight.
func wakeups() float64 {
	const sampling = 8
	sample := []metrics.Sample{{Name: "/sched/latencies:seconds"}}
	metrics.Read(sample)
	total := uint64(0)
	for _, count := range sample[0].Value.Float64Histogram().Counts {
		total += count
	}
	return float64(total) * sampling
}

// startIdleSeed starts a seed of a fleet of the given size, in which nothing ever changes.
func startIdleSeed(f *fleet, routers uint32) string {
	revision, err := storerev.New(storerev.FirstEra, 5)
	f.g.Expect(err).NotTo(HaveOccurred())
	answer := &wire.CopyAnswer{Unconfigured: true, Zone: "z", Routers: routers, PullAfterMillis: 150, TellsProofs: true}
	for _, kind := range []gateway.ObjectKind{gateway.ConfigObjects, gateway.RunnerObjects, gateway.WeightObjects} {
		answer.Deltas = append(answer.Deltas, &wire.CopyDelta{Kind: uint32(kind), Delta: &wire.ConfigDelta{Full: true, ThroughRevision: uint64(revision)}})
		answer.Proofs = append(answer.Proofs, &wire.CopyProof{Kind: uint32(kind), Revision: uint64(revision)})
	}
	return startPeer(f, func() *wire.Envelope { return &wire.Envelope{Body: &wire.Envelope_CopyAnswer{CopyAnswer: answer}} })
}

// An idle router of a large fleet costs its machine a few wake-ups a second, so that hundreds of them
// leave the processor to requests.
func TestIdleRouterWakesItsMachineRarely(t *testing.T) {
	const followers, fleetSize, seconds, most = 30, 985, 4, 40
	f := newFleet(t)
	seeds := []string{startIdleSeed(f, fleetSize)}
	for i := range followers {
		f.router(fmt.Sprintf("follower-%d", i), f.followerSettings(seeds))
	}
	time.Sleep(3 * time.Second)
	before := wakeups()
	time.Sleep(seconds * time.Second)
	each := (wakeups() - before) / seconds / followers
	t.Logf("%.0f wake-ups a second and router", each)
	f.g.Expect(each).To(BeNumerically("<", most))
}
