package gateway_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
	"github.com/clovertiller/clovertiller/platform"
)

const (
	// streamSeeds is the number of seeds of a streamFleet.
	streamSeeds = 3
	// loneVersionTime is how long a version serves alone in tests that need routers to notice.
	loneVersionTime = 1200 * time.Millisecond
)

// streamFleet is a fleet whose routers are lost and started again at the same addresses.
type streamFleet struct {
	*fleet
	addresses []string
	routers   []*router
}

// newStreamFleet starts routers for the first time, before count runners.
func newStreamFleet(f *fleet, routers, runners int) *streamFleet {
	s := &streamFleet{fleet: f, routers: make([]*router, routers)}
	for range routers {
		s.addresses = append(s.addresses, loopback.FreeAddress())
	}
	for i := range routers {
		s.start(i, runners, true)
	}
	return s
}

// links are proxies whose mode is changed together.
type links []*faultproxy.Proxy

func (l links) setMode(mode faultproxy.Mode) {
	for _, link := range l {
		link.SetMode(mode)
	}
}

// startLinked starts a router that reaches the seeds through links.
func (s *streamFleet) startLinked(name string, runners int) (r *router, toSeeds links) {
	var seeds []string
	for _, address := range s.addresses[:streamSeeds] {
		link := s.proxyTo(address)
		toSeeds, seeds = append(toSeeds, link), append(seeds, link.Address)
	}
	return s.startVersionedRouter(name, loopback.FreeAddress(), seeds, runners, true), toSeeds
}

// newLoneStreamFleet starts five routers for the first time, and count runners of one version.
func newLoneStreamFleet(t *testing.T, count int) (s *streamFleet, first []*runnerstand.Runner) {
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	first = f.versionedEngines("v1", count)
	return newStreamFleet(f, 5, count), first
}

// newMixedStreamFleet starts routers for the first time, and runners of two versions.
func newMixedStreamFleet(t *testing.T, routers int) (s *streamFleet, first, second []*runnerstand.Runner) {
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	first, second = f.versionedEngines("v1", 3), f.versionedEngines("v2", 3)
	return newStreamFleet(f, routers, len(first)+len(second)), first, second
}

// start starts the router of the number and waits until it knows all runners.
func (s *streamFleet) start(number, runners int, first bool) {
	s.routers[number] = s.startVersionedRouter(fmt.Sprint("router", number), s.addresses[number], s.addresses[:streamSeeds], runners, first)
}

// awaitRunners waits until each router knows the number of runners.
func (s *streamFleet) awaitRunners(count int) {
	for _, r := range s.routers {
		r.awaitRunners(count)
	}
}

// openStreams opens streams at a seed and at another router.
func (s *streamFleet) openStreams() []openedStream {
	return append(s.routers[3].openStreams(streamsPerCase), s.routers[0].openStreams(streamsPerCase)...)
}

// loseAll kills all routers, and starts them again after the function.
func (s *streamFleet) loseAll(runners int, whileAway func()) {
	for _, r := range s.routers {
		r.Kill()
	}
	whileAway()
	for i := range s.routers {
		s.start(i, runners, false)
	}
}

// leave removes the entries of the runners, which serve on.
func (s *streamFleet) leave(engines []*runnerstand.Runner) {
	for _, engine := range engines {
		s.store.Delete(platform.KindRunners, engine.ID)
	}
}

// Guards against streams that go on at another software version after the loss of all routers, because routers that
// have just started take the only version that is listed for the only one that there was.
func TestStreamsOfAVersionThatLeftDoNotMixAfterLossOfAllRouters(t *testing.T) {
	t.Parallel()
	s, first, second := newMixedStreamFleet(t, 5)
	streams := s.openStreams()
	s.leave(first)
	s.awaitRunners(len(second))
	s.loseAll(len(second), func() {})
	result := takeUpAll(streams, s.routers...)
	s.g.Expect(result.mixed).To(BeZero(), "%+v", result)
}

// Guards against the same where the version leaves while all routers are away.
func TestStreamsOfAVersionThatLeavesMeanwhileDoNotMixAfterLossOfAllRouters(t *testing.T) {
	t.Parallel()
	s, first := newLoneStreamFleet(t, 3)
	streams := s.openStreams()
	s.loseAll(len(first), func() {
		s.leave(first)
		s.versionedEngines("v2", len(first))
	})
	result := takeUpAll(streams, s.routers...)
	s.g.Expect(result.mixed).To(BeZero(), "%+v", result)
	s.g.Expect(result.goneOn).To(BeZero(), "no runner of their version is left")
}

// Guards against streams that are refused after the loss of all routers although one version has served alone.
func TestStreamsOfTheOnlyVersionGoOnAfterLossOfAllRouters(t *testing.T) {
	t.Parallel()
	s, engines := newLoneStreamFleet(t, 4)
	streams := s.openStreams()
	for _, r := range s.routers {
		s.g.Expect(r.Status().Streams.Records).To(BeZero())
	}
	s.loseAll(len(engines), func() {})
	s.expectTaken(takeUpAll(streams, s.routers...))
}

// Guards against records of streams that are lost on a connection to a seed which has fallen silent.
func TestRecordsOnSilentConnectionsAreSentAgain(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	f.versionedEngines("v1", 2)
	f.versionedEngines("v2", 2)
	var proxies []*faultproxy.Proxy
	var binds, addresses []string
	for range streamSeeds {
		bind := loopback.FreeAddress()
		proxy := f.proxyTo(bind)
		proxies, binds, addresses = append(proxies, proxy), append(binds, bind), append(addresses, proxy.Address)
	}
	var seeds []*router
	for i, bind := range binds {
		seeds = append(seeds, f.servingRouter(fmt.Sprint("seed", i), func(settings *gateway.Settings) {
			settings.PeerAddress, settings.PeerBindAddress, settings.Seeds, settings.FirstStart = addresses[i], bind, addresses, true
		}))
	}
	r := f.startVersionedRouter("router", loopback.FreeAddress(), addresses, 4, true)
	r.openStreams(1)
	time.Sleep(time.Second)
	records := func() (total int) {
		for _, seed := range seeds {
			total += seed.Status().Streams.Records
		}
		return total
	}
	f.g.Expect(records()).To(BeNumerically(">=", 2))
	for _, proxy := range proxies {
		proxy.SetMode(faultproxy.MuteExisting)
	}
	r.openStreams(streamsPerCase)
	f.g.Eventually(records, 3*time.Second, 50*time.Millisecond).Should(BeNumerically(">=", 2*(1+streamsPerCase)))
}

// Guards against streams of a router that is cut off the seeds, and lost, which the seeds take for streams of the version that had
// served alone, as they have no record.
func TestStreamsOfARouterCutOffTheSeedsDoNotMix(t *testing.T) {
	t.Parallel()
	s, first := newLoneStreamFleet(t, 3)
	lost, toSeeds := s.startLinked("lost", len(first))
	time.Sleep(loneVersionTime)
	count := len(first) + len(s.versionedEngines("v2", 3))
	s.awaitRunners(count)
	lost.awaitRunners(count)
	toSeeds.setMode(faultproxy.Reset)
	time.Sleep(500 * time.Millisecond)
	streams := lost.openStreams(streamsPerCase)
	s.awaitStored()
	lost.Kill()
	s.expectTaken(takeUpAll(streams, s.routers...))
}

// seedRecords returns how many records of streams the seeds have.
func (s *streamFleet) seedRecords() (count int) {
	for _, r := range s.routers[:streamSeeds] {
		count += r.Status().Streams.Records
	}
	return count
}

// awaitStored waits until routers have written to the store which streams began.
func (s *streamFleet) awaitStored() { time.Sleep(400 * time.Millisecond) }

// Guards against streams that are refused after the loss of all routers, as only these knew where they began.
func TestStreamsGoOnAfterLossOfAllRouters(t *testing.T) {
	t.Parallel()
	s, first, second := newMixedStreamFleet(t, 5)
	streams := s.openStreams()
	s.awaitStored()
	s.removeFirst(s.routers, first, second)
	s.loseAll(len(first)+len(second)-2, func() {})
	s.expectTaken(takeUpAll(streams, s.routers...))
}

// Guards against the same where the seeds alone are lost, with the streams that they served.
func TestStreamsGoOnAfterLossOfAllSeeds(t *testing.T) {
	t.Parallel()
	s, first, second := newMixedStreamFleet(t, 7)
	var streams []openedStream
	for _, served := range []int{0, 1, 2, 5} {
		streams = append(streams, s.routers[served].openStreams(streamsPerCase/2)...)
	}
	s.awaitStored()
	s.removeFirst(s.routers, first, second)
	for _, lost := range []int{0, 1, 2, 5} {
		s.routers[lost].Kill()
	}
	s.expectTaken(takeUpAll(streams, s.routers[3], s.routers[4], s.routers[6]))
}

// Guards against streams that began while no seed was there, and whose router is lost then.
func TestStreamsBegunWithoutSeedsGoOn(t *testing.T) {
	t.Parallel()
	s, _, _ := newMixedStreamFleet(t, 6)
	for _, lost := range []int{0, 1, 2} {
		s.routers[lost].Kill()
	}
	streams := s.routers[5].openStreams(streamsPerCase)
	s.awaitStored()
	s.routers[5].Kill()
	s.expectTaken(takeUpAll(streams, s.routers[3], s.routers[4]))
}

// Guards against streams that go on at another version, or for which callers wait in vain, while the store is away when all
// routers come back. Those of callers who come back later go on.
func TestStreamsGoOnOnceTheStoreIsBack(t *testing.T) {
	t.Parallel()
	s, first, second := newMixedStreamFleet(t, 5)
	streams := s.openStreams()
	s.awaitStored()
	s.loseAll(len(first)+len(second), func() {})
	for _, r := range s.routers {
		r.storeEndpoint.SetFault(storestand.Hangs)
	}
	away := takeUpAll(streams[:6], s.routers...)
	s.g.Expect(away.mixed).To(BeZero())
	for _, r := range s.routers {
		r.storeEndpoint.SetFault(storestand.Healthy)
	}
	time.Sleep(time.Second)
	s.expectTaken(takeUpAll(streams, s.routers...))
}

// Guards against store calls for streams of services with one version, and against one for each stream of others.
func TestStoreCallsForStreamVersions(t *testing.T) {
	t.Parallel()
	s, first := newLoneStreamFleet(t, 3)
	s.g.Eventually(func() int { return s.store.WriteCount(platform.KindStreamOrigins) }, 2*time.Second, 10*time.Millisecond).Should(Equal(1), "the roster")
	openAtOnce := func() {
		var callers sync.WaitGroup
		for _, r := range s.routers {
			callers.Go(func() { r.openStreams(2 * streamsPerCase) })
		}
		callers.Wait()
	}
	openAtOnce()
	s.awaitStored()
	s.g.Expect(s.store.WriteCount(platform.KindStreamOrigins)).To(Equal(1), "one version serves")
	second := s.versionedEngines("v2", 3)
	s.awaitRunners(len(first) + len(second))
	startedAt := time.Now()
	openAtOnce()
	s.awaitStored()
	writes, streams := s.store.WriteCount(platform.KindStreamOrigins), 2*streamsPerCase*len(s.routers)
	t.Logf("%d writes, %d streams in %v", writes, streams, time.Since(startedAt))
	s.g.Expect(writes).To(BeNumerically("<", streams/2))
}

// Guards against streams that are refused because they had brought their first event just before all routers were lost.
func TestStreamsThatHaveJustBegunGoOnAfterLossOfAllRouters(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	const perVersion = 3
	for _, version := range []string{"v1", "v2"} {
		f.pacedEngines(version, perVersion, 3, 200*time.Millisecond)
	}
	s := newStreamFleet(f, 5, 2*perVersion)
	var mutex sync.Mutex
	var callers sync.WaitGroup
	var streams []openedStream
	for i := range streamsPerCase {
		callers.Go(func() {
			stream := s.routers[i%len(s.routers)].openStream(fmt.Sprintf("aa%d:100,bb%d:50", i, i), 1)
			mutex.Lock()
			defer mutex.Unlock()
			streams = append(streams, stream)
		})
	}
	callers.Wait()
	s.loseAll(2*perVersion, func() {})
	f.expectTaken(takeUpAll(streams, s.routers...))
}

// Guards against a roster that lacks a version because the store was restored from a backup, and is taken for complete by the
// routers that start next.
func TestStreamsDoNotMixAfterRestoreAndLossOfAllRouters(t *testing.T) {
	t.Parallel()
	s, first := newLoneStreamFleet(t, 3)
	s.g.Eventually(func() int { return s.store.WriteCount(platform.KindStreamOrigins) }, 2*time.Second, 10*time.Millisecond).Should(Equal(1))
	backup := s.store.Backup()
	second := s.versionedEngines("v2", 6)
	s.awaitRunners(len(first) + len(second))
	streams := s.openStreams()
	s.store.Restore(backup)
	s.loseAll(len(first), func() {})
	result := takeUpAll(streams, s.routers...)
	s.g.Expect(result.mixed).To(BeZero(), "%+v", result)
	// The routers know the roster of the new era once the window has passed, and write it.
	s.g.Expect(s.store.Specs(platform.KindStreamOrigins)).To(ContainElement(ContainSubstring(`"era":1`)))
	for _, r := range s.routers {
		r.clock.suspend(70 * time.Second)
	}
	s.g.Eventually(func() []string { return s.store.Specs(platform.KindStreamOrigins) }, 5*time.Second, 20*time.Millisecond).Should(ContainElement(ContainSubstring(`"era":2`)))
}

// Guards against streams that mix versions where a service goes back to an earlier one around the loss of all routers.
func TestStreamsDoNotMixWhereVersionsGoBack(t *testing.T) {
	t.Parallel()
	s, first := newLoneStreamFleet(t, 3)
	streams := s.routers[3].openStreams(streamsPerCase)
	second := s.versionedEngines("v2", 3)
	s.awaitRunners(len(first) + len(second))
	s.leave(first)
	s.awaitRunners(len(second))
	later := s.routers[4].openStreams(streamsPerCase)
	s.awaitStored()
	s.loseAll(len(second), func() {
		s.leave(second)
		for _, engine := range first {
			s.putEntry(engine, "ready")
		}
	})
	result := takeUpAll(append(streams, later...), s.routers...)
	s.g.Expect(result.mixed).To(BeZero(), "%+v", result)
	for _, engine := range second {
		s.putEntry(engine, "ready")
	}
	s.awaitRunners(len(first) + len(second))
	s.expectTaken(takeUpAll(later, s.routers...))
}

// Guards against streams that began while one version served and are refused, as they had no event between the appearance of a second
// version and the loss of all routers.
func TestSilentStreamsGoOnAfterASecondVersionAndLossOfAllRouters(t *testing.T) {
	t.Parallel()
	s, first := newLoneStreamFleet(t, 3)
	time.Sleep(loneVersionTime)
	streams := s.openStreams()
	s.awaitRunners(len(first) + len(s.versionedEngines("v2", 3)))
	s.awaitStored()
	s.loseAll(2*len(first), func() {})
	s.expectTaken(takeUpAll(streams, s.routers...))
}

// Guards against streams of a new system that are refused, as their router never listed the version that left in the first second, and
// took its own for the only one.
func TestStreamsOfARouterThatMissedAVersionAreRecorded(t *testing.T) {
	t.Parallel()
	s, first, second := newMixedStreamFleet(t, streamSeeds)
	s.leave(first)
	s.awaitRunners(len(second))
	late := s.startVersionedRouter("late", loopback.FreeAddress(), s.addresses, len(second), true)
	streams := late.openStreams(streamsPerCase)
	s.g.Eventually(s.seedRecords, 3*time.Second, 10*time.Millisecond).Should(BeNumerically(">=", 2*len(streams)))
	late.Kill()
	s.expectTaken(takeUpAll(streams, s.routers...))
}

// newMixedRouter starts a lone router for the first time, and runners of two versions, the same number of each.
func newMixedRouter(t *testing.T, perVersion int, adjust func(*fleet, *gateway.Settings)) (*fleet, *router) {
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runners := len(f.versionedEngines("v1", perVersion)) + len(f.versionedEngines("v2", perVersion))
	r := f.servingRouter("r1", func(settings *gateway.Settings) {
		settings.FirstStart = true
		if adjust != nil {
			adjust(f, settings)
		}
	})
	r.awaitRunners(runners)
	return f, r
}

// Guards against writes to the store that follow one another without a pause while streams begin at a high rate.
func TestRecordsAreWrittenAtIntervals(t *testing.T) {
	t.Parallel()
	f, r := newMixedRouter(t, 3, func(f *fleet, settings *gateway.Settings) {
		proxy := f.proxyTo(settings.StoreAddress)
		proxy.SetDelay(15 * time.Millisecond)
		settings.StoreAddress = proxy.Address
	})
	before, startedAt := f.store.WriteCount(platform.KindStreamOrigins), time.Now()
	for time.Since(startedAt) < 2*time.Second {
		r.openStreams(4)
	}
	writes, took := f.store.WriteCount(platform.KindStreamOrigins)-before, time.Since(startedAt)
	t.Logf("%d writes in %v", writes, took)
	f.g.Expect(writes).To(BeNumerically("<=", took.Seconds()*10+2))
}

// Guards against streams that are refused after a loss of all routers although theirs is the only record, which waited for others.
func TestFirstRecordAfterAPauseIsWrittenSoon(t *testing.T) {
	t.Parallel()
	f, r := newMixedRouter(t, 2, nil)
	var soonest time.Duration
	for range 5 {
		time.Sleep(300 * time.Millisecond)
		before, startedAt := f.store.WriteCount(platform.KindStreamOrigins), time.Now()
		r.openStreams(1)
		f.g.Eventually(func() int { return f.store.WriteCount(platform.KindStreamOrigins) }, time.Second, time.Millisecond).Should(BeNumerically(">", before))
		if took := time.Since(startedAt); soonest == 0 || took < soonest {
			soonest = took
		}
	}
	f.g.Expect(soonest).To(BeNumerically("<", 50*time.Millisecond))
}

// Guards against streams that are refused after a loss of all routers because their records were not written while the store's answers
// were lost, although it took writes.
func TestRecordsAreWrittenWhileTheAnswersOfTheStoreAreLost(t *testing.T) {
	t.Parallel()
	s, first, second := newMixedStreamFleet(t, 5)
	for _, r := range s.routers {
		r.storeEndpoint.SetFault(storestand.LosesResponses)
	}
	s.routers[3].openStreams(1)
	time.Sleep(1600 * time.Millisecond)
	streams := s.openStreams()
	s.awaitStored()
	time.Sleep(200 * time.Millisecond)
	s.loseAll(len(first)+len(second), func() {})
	s.expectTaken(takeUpAll(streams, s.routers...))
}

// Guards against the same where the segment is there, and is written again seldom, as each write seems to fail.
func TestFailedWritesOfRecordsAreRepeatedSoon(t *testing.T) {
	t.Parallel()
	f, r := newMixedRouter(t, 2, nil)
	r.openStreams(1)
	time.Sleep(300 * time.Millisecond)
	r.storeEndpoint.SetFault(storestand.LosesResponses)
	r.openStreams(1)
	time.Sleep(3 * time.Second)
	before := f.store.WriteCount(platform.KindStreamOrigins)
	time.Sleep(2 * time.Second)
	f.g.Expect(f.store.WriteCount(platform.KindStreamOrigins) - before).To(BeNumerically(">=", 4))
}
