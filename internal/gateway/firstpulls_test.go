package gateway_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// startPeer starts a simulated router and returns its address. answer returns the reply to a message,
// or nil.
func startPeer(f *fleet, answer func() *wire.Envelope) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	f.g.Expect(err).NotTo(HaveOccurred())
	address := listener.Addr().String()
	transport := wire.NewTransport(wire.Identity{Node: address, Incarnation: 1}, listener, func(context.Context, *wire.Envelope) *wire.Envelope { return answer() })
	f.t.Cleanup(transport.Close)
	return address
}

// startOverloadedSeed starts a seed that receives messages and answers none. It counts them.
func startOverloadedSeed(f *fleet, received *atomic.Int64) string {
	return startPeer(f, func() *wire.Envelope {
		received.Add(1)
		return nil
	})
}

// When hundreds of routers start at once, seeds are too busy to answer in the first moments. Guards
// against routers that ask again at a constant rate, each all seeds, so that the seeds never answer
// and all routers read the store.
func TestStartingRouterAsksOverloadedSeedsLessAndLess(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	var received atomic.Int64
	var seeds []string
	for range 3 {
		seeds = append(seeds, startOverloadedSeed(f, &received))
	}
	f.router("starting", func(settings *gateway.Settings) {
		f.followerSettings(seeds)(settings)
		settings.FirstStart = true
	})
	time.Sleep(950 * time.Millisecond)
	f.g.Expect(received.Load()).To(BeNumerically(">=", 3))
	f.g.Expect(received.Load()).To(BeNumerically("<=", 12), "pulls of one router in its first second")
}

// Guards against seeds that notice only after a while that hundreds of routers pull from them.
func TestSeedRefersRoutersToRelaysFromTheirFirstPulls(t *testing.T) {
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	f.runner("p1", "plain")
	seeds := []string{loopback.FreeAddress()}
	seed := f.servingRouter("seed", func(settings *gateway.Settings) {
		settings.PeerAddress, settings.Seeds, settings.DirectFollowers = seeds[0], seeds, 5
	})
	const starting = 60
	for i := range starting {
		f.router(fmt.Sprintf("starting-%d", i), f.followerSettings(seeds))
	}
	time.Sleep(400 * time.Millisecond)
	answers := sentByKind([]*router{seed})["copy_answer"].messages
	t.Logf("the seed answered %.0f pulls of %d routers in their first 0.4 s", answers, starting)
	f.g.Expect(answers).To(BeNumerically("<=", 3*starting))
}
