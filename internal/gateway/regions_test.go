package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
)

// testRegions are the regions of the zones in these tests. The seeds are in the far region.
func testRegions() map[string]string {
	return map[string]string{"n1": "near", "n2": "near", "f1": "far"}
}

// borderDelay is the one-way time between the regions.
const borderDelay = 20 * time.Millisecond

// regionFleet is a fleet with seeds in one region, and members of another region without seeds, which
// reach the seeds through proxies. The seeds send messages to the members directly, but only as long
// as these pull from them.
type regionFleet struct {
	*fleet
	seeds, members []*router
	// seedAddresses are the addresses of the seeds within their region, and borders the proxies in
	// front of them.
	seedAddresses []string
	borders       []*faultproxy.Proxy
	metrics       map[*router]string
	peers         map[*router]string
}

// newRegionFleet starts the fleet. members is the number of members, of which the first has the lowest
// capacity and the last one the highest. It waits until the members know their schedulers.
func newRegionFleet(t *testing.T, seeds, members int) *regionFleet {
	f := newSeedRegion(t, seeds)
	for i := range members {
		f.member(fmt.Sprintf("member-%d", i), func(settings *gateway.Settings) {
			settings.CPUShare, settings.LinkMegabits = 0.1*float64(i+1), 1000
		})
	}
	f.waitForList()
	return f
}

// waitForList waits until all members list the strongest ones, of which there are two at most.
func (f *regionFleet) waitForList() {
	var strongest []string
	for i := max(len(f.members)-2, 0); i < len(f.members); i++ {
		strongest = append(strongest, f.name(f.members[i]))
	}
	for _, member := range f.members {
		f.g.Eventually(func() []string { return f.standbys(member) }, 5*time.Second, 10*time.Millisecond).Should(ConsistOf(strongest))
	}
}

// newSeedRegion starts the seeds and their proxies.
func newSeedRegion(t *testing.T, seeds int) *regionFleet {
	f := &regionFleet{fleet: newFleet(t), metrics: map[*router]string{}, peers: map[*router]string{}}
	f.configure(1, defaultRoutes(), validKey)
	f.runner("p1", "plain")
	f.runner("p2", "plain")
	for range seeds {
		address := loopback.FreeAddress()
		proxy := f.proxyTo(address)
		proxy.SetDelay(borderDelay)
		f.seedAddresses, f.borders = append(f.seedAddresses, address), append(f.borders, proxy)
	}
	for i, address := range f.seedAddresses {
		f.seeds = append(f.seeds, f.start(fmt.Sprintf("seed-%d", i), "f1", address, f.seedAddresses, nil))
	}
	return f
}

// start starts a router in the zone.
func (f *regionFleet) start(name, zone, address string, seeds []string, adjust func(*gateway.Settings)) *router {
	metricsAddress := loopback.FreeAddress()
	r := f.servingRouter(name, func(settings *gateway.Settings) {
		settings.Zone, settings.ZoneRegions, settings.PeerAddress, settings.Seeds = zone, testRegions(), address, seeds
		settings.MetricsAddress, settings.PlacePatience = metricsAddress, longPlacePatience
		if adjust != nil {
			adjust(settings)
		}
	})
	f.metrics[r], f.peers[r] = metricsAddress, address
	return r
}

// member starts a member of the near region.
func (f *regionFleet) member(name string, adjust func(*gateway.Settings)) *router {
	var seeds []string
	for _, border := range f.borders {
		seeds = append(seeds, border.Address)
	}
	zone := []string{"n1", "n2"}[len(f.members)%2]
	r := f.start(name, zone, loopback.FreeAddress(), seeds, adjust)
	f.members = append(f.members, r)
	return r
}

// setBorders sets the mode of the links from the members to the seeds.
func (f *regionFleet) setBorders(mode faultproxy.Mode) {
	for _, border := range f.borders {
		border.SetMode(mode)
	}
}

// choices returns how many runners schedulers have chosen for the router.
func (f *regionFleet) choices(r *router) float64 {
	return scrapeMetrics(f.g, f.metrics[r])[schedulerChoicesSeries]
}

// standbys returns the names of the members that the router has listed as standby schedulers.
func (f *regionFleet) standbys(r *router) (names []string) {
	for _, scheduler := range r.Status().Schedulers {
		for _, member := range f.members {
			if !scheduler.Seed && f.peers[member] == scheduler.Address {
				names = append(names, f.name(member))
			}
		}
	}
	return names
}

func (f *regionFleet) name(r *router) string { return r.Status().Node }

// memberNamed returns the member with the name.
func (f *regionFleet) memberNamed(name string) *router {
	return f.members[slices.IndexFunc(f.members, func(r *router) bool { return f.name(r) == name })]
}

// pullsOverBorder reports whether the router has last received changes from a seed.
func (f *regionFleet) pullsOverBorder(r *router) bool {
	source := r.Status().Source
	return slices.ContainsFunc(f.borders, func(border *faultproxy.Proxy) bool { return border.Address == source })
}

// serveFor makes calls at the router for the duration and returns their number. All must succeed.
func (f *regionFleet) serveFor(r *router, duration time.Duration) (calls int) {
	for start := time.Now(); time.Since(start) < duration; calls++ {
		got := r.call("/safe/x", nil)
		f.g.Expect(got.status).To(Equal(http.StatusOK), "call %d after %v", calls, time.Since(start))
		time.Sleep(20 * time.Millisecond)
	}
	return calls
}

// Guards against routers that choose alone because the nearest seed is in another region.
func TestRegionWithoutSeedHasStandbySchedulers(t *testing.T) {
	t.Parallel()
	f := newRegionFleet(t, 2, 4)
	for _, member := range f.members {
		g := f.g
		g.Expect(member.Status().Region).To(Equal("near"))
		g.Expect(f.standbys(member)).To(HaveLen(2))
	}
	weakest := f.members[0]
	standbys := f.standbys(weakest)
	f.g.Expect(standbys).NotTo(ContainElement(f.name(weakest)))
	before := f.choices(weakest)
	calls := f.serveFor(weakest, 300*time.Millisecond)
	f.g.Expect(f.choices(weakest)-before).To(BeNumerically("==", calls), "all choices are made by a scheduler of the region")
	f.g.Expect(scrapeMetrics(f.g, f.metrics[f.memberNamed(standbys[0])])["clovertiller_standby_scheduler_active"]).To(BeNumerically("==", 1))
	f.g.Expect(scrapeMetrics(f.g, f.metrics[weakest])["clovertiller_region_schedulers"]).To(BeNumerically("==", 2))
	f.g.Expect(weakest.Status().Schedulers[0].Answers).To(BeTrue())
	f.g.Eventually(func() map[string]int { return f.seeds[0].Status().SchedulersByRegion }, 3*time.Second, 20*time.Millisecond).Should(HaveKeyWithValue("far", 2), "its seeds")
}

// Row "border between regions cut". The lease on the configuration is shorter than the cut, so the
// region also has to prove its copies without the seeds.
func TestRegionServesWhileBorderIsCut(t *testing.T) {
	t.Parallel()
	f := newRegionFleet(t, 2, 3)
	weakest := f.members[0]
	f.serveFor(weakest, 200*time.Millisecond)
	before := f.choices(weakest)
	f.setBorders(faultproxy.Blackhole)
	calls := f.serveFor(weakest, 6*time.Second)
	f.g.Expect(f.choices(weakest)-before).To(BeNumerically("==", calls), "schedulers of the region choose during the cut")
	for _, member := range f.members {
		f.g.Expect(member.Status().Proven).To(BeTrue())
	}
	f.g.Expect(weakest.Status().ReadsStore).To(BeFalse(), "it pulls from a standby scheduler")
	standby := f.memberNamed(f.standbys(weakest)[0])
	f.g.Expect(standby.Status().ReadsStore).To(BeTrue())
	f.setBorders(faultproxy.Pass)
	f.g.Eventually(func() bool { return f.pullsOverBorder(standby) }, 3*time.Second, 20*time.Millisecond).Should(BeTrue(), "it pulls from a seed again")
	for _, member := range f.members {
		f.g.Eventually(func() bool { return member.Status().ReadsStore }, 3*time.Second, 20*time.Millisecond).Should(BeFalse())
	}
}

// Row "all seeds of a region lost": the own region has a seed, which is killed.
func TestStandbyChoosesWithinOneSecondOfLossOfSeeds(t *testing.T) {
	t.Parallel()
	f := newRegionFleet(t, 1, 0)
	var followers []*router
	for i := range 3 {
		followers = append(followers, f.start(fmt.Sprintf("follower-%d", i), "f1", loopback.FreeAddress(), f.seedAddresses, func(settings *gateway.Settings) {
			settings.PlacePatience = 0 // the default
		}))
	}
	for _, follower := range followers {
		f.g.Eventually(func() int { return len(follower.Status().Schedulers) }, 5*time.Second, 10*time.Millisecond).Should(Equal(3), "the seed and two standby schedulers")
		f.g.Expect(follower.Status().Schedulers[0].Seed).To(BeTrue())
	}
	asking := slices.IndexFunc(followers, func(r *router) bool {
		return r.Status().Schedulers[1].Address != f.peers[r] && r.Status().Schedulers[2].Address != f.peers[r]
	})
	weakest := followers[asking]
	f.serveFor(weakest, 200*time.Millisecond)
	f.seeds[0].Kill()
	killedAt, before := time.Now(), f.choices(weakest)
	for f.choices(weakest) == before {
		f.g.Expect(time.Since(killedAt)).To(BeNumerically("<", time.Second))
		f.g.Expect(weakest.call("/safe/x", nil).status).To(Equal(http.StatusOK))
	}
	t.Logf("first choice after %v", time.Since(killedAt))
}

// Row "all schedulers of a region lost": the others choose by themselves, until a seed names new ones.
func TestSeedNamesNewStandbysAfterLossOfAll(t *testing.T) {
	t.Parallel()
	f := newRegionFleet(t, 1, 4)
	weakest := f.members[0]
	lost := f.standbys(weakest)
	f.g.Expect(lost).To(HaveLen(2))
	for _, standby := range lost {
		f.memberNamed(standby).Kill()
	}
	f.g.Expect(weakest.call("/safe/x", nil).status).To(Equal(http.StatusOK))
	f.g.Eventually(func() []string { return f.standbys(weakest) }, 3*time.Second, 10*time.Millisecond).ShouldNot(Or(ContainElement(lost[0]), ContainElement(lost[1])))
	f.g.Expect(f.standbys(weakest)).To(HaveLen(2))
	f.serveFor(weakest, 200*time.Millisecond)
}

// Row "link cut in one direction": answers of the seeds are lost, while requests reach them.
func TestRegionServesWhileAnswersAreCut(t *testing.T) {
	t.Parallel()
	f := newRegionFleet(t, 2, 3)
	weakest := f.members[0]
	f.serveFor(weakest, 200*time.Millisecond)
	before := f.choices(weakest)
	f.setBorders(faultproxy.DropResponses)
	calls := f.serveFor(weakest, 4*time.Second)
	f.g.Expect(f.choices(weakest) - before).To(BeNumerically("==", calls))
	f.g.Expect(weakest.Status().Proven).To(BeTrue())
}

// Row "lossy link": TCP sends lost segments again after 0.2 s or more, which looks like a link that is
// slow every now and then. The region must not change its schedulers or be late because of it.
func TestRegionServesOverLossyBorder(t *testing.T) {
	t.Parallel()
	f := newRegionFleet(t, 2, 3)
	weakest := f.members[0]
	var lossy sync.WaitGroup
	lossy.Go(func() {
		for i := range 24 {
			for _, border := range f.borders {
				border.SetDelay([]time.Duration{borderDelay, 300 * time.Millisecond}[i%2])
			}
			time.Sleep(150 * time.Millisecond)
		}
	})
	before := f.choices(weakest)
	calls := f.serveFor(weakest, 3*time.Second)
	lossy.Wait()
	f.g.Expect(f.choices(weakest) - before).To(BeNumerically("==", calls))
	f.g.Expect(weakest.Status().Proven).To(BeTrue())
}

// Row "link cut in one direction, lossy link" for a scheduler of the own region: it does not answer in
// time, and the next one is asked.
func TestSilentStandbyIsReplacedByNextOne(t *testing.T) {
	t.Parallel()
	f := newSeedRegion(t, 1)
	// The first standby scheduler is reached through a proxy.
	bind := loopback.FreeAddress()
	proxy := f.proxyTo(bind)
	strong := func(share float64) func(*gateway.Settings) {
		return func(settings *gateway.Settings) { settings.CPUShare, settings.LinkMegabits = share, 1000 }
	}
	first := f.start("first", "n1", proxy.Address, []string{f.borders[0].Address}, func(settings *gateway.Settings) {
		settings.PeerBindAddress = bind
		strong(1)(settings)
	})
	f.members = append(f.members, first)
	f.member("second", strong(0.9))
	asking := f.member("asking", func(settings *gateway.Settings) {
		strong(0.1)(settings)
		settings.PlacePatience = 50 * time.Millisecond
	})
	f.g.Eventually(func() []string { return f.standbys(asking) }, 5*time.Second, 10*time.Millisecond).Should(Equal([]string{"first", "second"}))
	f.serveFor(asking, 200*time.Millisecond)
	proxy.SetMode(faultproxy.DropResponses)
	before := f.choices(asking)
	calls := f.serveFor(asking, 2*time.Second)
	alone := float64(calls) - (f.choices(asking) - before)
	t.Logf("%d calls, %v chosen alone", calls, alone)
	f.g.Expect(alone).To(BeNumerically(">=", 1), "the first call waits for the silent scheduler")
	f.g.Expect(alone).To(BeNumerically("<=", 8), "it is asked again every 0.3 s")
	f.g.Expect(asking.Status().Schedulers[1].Answers).To(BeTrue())
}

// Row "region of one router": it is its own scheduler, and the seeds learn what it places.
func TestRegionOfOneRouterIsItsOwnScheduler(t *testing.T) {
	t.Parallel()
	f := newRegionFleet(t, 1, 1)
	only := f.members[0]
	f.g.Expect(f.standbys(only)).To(Equal([]string{f.name(only)}))
	f.serveFor(only, 200*time.Millisecond)
	f.g.Expect(scrapeMetrics(f.g, f.metrics[only])["clovertiller_standby_scheduler_active"]).To(BeNumerically("==", 1))
	f.setBorders(faultproxy.Blackhole)
	f.serveFor(only, 3*time.Second)
}

// Row "region that has lost the store": with its border cut too, it serves until its proof is too old.
func TestRegionWithoutStoreServesUntilLeaseEnds(t *testing.T) {
	t.Parallel()
	f := newRegionFleet(t, 1, 2)
	member := f.members[0]
	f.serveFor(member, 200*time.Millisecond)
	for _, r := range f.members {
		r.storeEndpoint.SetFault(storestand.Hangs)
	}
	f.g.Expect(f.serveFor(member, 5*time.Second)).To(BeNumerically(">", 0), "the seeds prove its copies")
	f.setBorders(faultproxy.Blackhole)
	cutAt := time.Now()
	f.serveFor(member, 1500*time.Millisecond)
	f.g.Eventually(func() int { return member.call("/safe/x", nil).status }, 4*time.Second, 20*time.Millisecond).Should(Equal(http.StatusServiceUnavailable))
	f.g.Expect(time.Since(cutAt)).To(BeNumerically("<=", 5*time.Second), "the lease of the configuration")
	f.g.Expect(member.call("/public/x", nil).status).To(Equal(http.StatusOK))
}

// Row "region back after minutes", with a cut that is longer than all lifetimes of loads and lists.
func TestListIsReplacedAfterLongCut(t *testing.T) {
	t.Parallel()
	f := newRegionFleet(t, 1, 3)
	weakest := f.members[0]
	f.setBorders(faultproxy.Blackhole)
	lost := f.standbys(weakest)[0]
	time.Sleep(3 * time.Second)
	f.memberNamed(lost).Kill()
	f.serveFor(weakest, 500*time.Millisecond)
	f.g.Expect(f.standbys(weakest)).To(ContainElement(lost), "no seed has replaced the list")
	f.setBorders(faultproxy.Pass)
	f.g.Eventually(func() []string { return f.standbys(weakest) }, 4*time.Second, 20*time.Millisecond).Should(And(HaveLen(2), Not(ContainElement(lost))))
}

// Row "routers of the previous build". A router whose settings name no regions sends none of the new
// fields, like one of the previous build: it gets no list, is never a standby scheduler, and asks a
// seed.
func TestRouterWithoutRegionAsksSeedAsBefore(t *testing.T) {
	t.Parallel()
	f := newRegionFleet(t, 1, 1)
	old := f.member("old", func(settings *gateway.Settings) {
		settings.ZoneRegions, settings.CPUShare, settings.LinkMegabits = nil, 1, 1000
	})
	before := f.choices(old)
	calls := f.serveFor(old, 300*time.Millisecond)
	f.g.Expect(f.choices(old)-before).To(BeNumerically("==", calls), "by the seed, 40 ms away, with the patience of this test")
	f.g.Expect(old.Status().Schedulers).To(BeEmpty())
	f.g.Expect(f.standbys(f.members[0])).To(Equal([]string{"member-0"}))
	f.g.Expect(f.seeds[0].Status().SchedulersByRegion).To(Equal(map[string]int{"far": 1, "near": 1}))
}

// The same with seeds of the previous build: they name no schedulers, so the members of a region
// without a seed choose by themselves, and those of the seed's region ask it.
func TestSeedWithoutRegionsServesRoutersWithRegions(t *testing.T) {
	t.Parallel()
	f := newSeedRegion(t, 0)
	address := loopback.FreeAddress()
	f.seedAddresses, f.borders = []string{address}, []*faultproxy.Proxy{f.proxyTo(address)}
	f.seeds = []*router{f.start("seed", "f1", address, f.seedAddresses, func(settings *gateway.Settings) { settings.ZoneRegions = nil })}
	member, neighbour := f.member("member", nil), f.start("neighbour", "f1", loopback.FreeAddress(), f.seedAddresses, nil)
	calls := f.serveFor(neighbour, 300*time.Millisecond)
	f.g.Expect(f.choices(neighbour)).To(BeNumerically("==", calls))
	f.serveFor(member, 300*time.Millisecond)
	f.g.Expect(f.choices(member)).To(BeZero())
	f.g.Expect(member.Status().Schedulers).To(BeEmpty())
}

// Guards against a region in which each router fetches the same changes over the border.
func TestRoutersOfOtherRegionPullFromRelaysOfTheirZone(t *testing.T) {
	t.Parallel()
	f := newSeedRegion(t, 1)
	for i := range 6 {
		f.member(fmt.Sprintf("member-%d", i), nil)
	}
	f.g.Eventually(func() (crossing int) {
		for _, member := range f.members {
			if f.pullsOverBorder(member) {
				crossing++
			}
		}
		return crossing
	}, 5*time.Second, 20*time.Millisecond).Should(BeNumerically("<=", 4), "two standby schedulers, and at most one more relay in each zone")
	for _, member := range f.members {
		f.g.Eventually(func() []string { return f.standbys(member) }, 3*time.Second, 20*time.Millisecond).Should(HaveLen(2))
		f.g.Expect(member.Status().ReadsStore).To(BeFalse())
	}
	f.serveFor(f.members[0], 200*time.Millisecond)
}

// Guards against a router that stays with a relay behind a seed of another region, from which it pulled
// before it knew the seed of its own.
func TestRoutersPullFromSeedOfTheirRegion(t *testing.T) {
	t.Parallel()
	f := newSeedRegion(t, 0)
	addresses := []string{loopback.FreeAddress(), loopback.FreeAddress()}
	near, far := addresses[0], addresses[1]
	f.start("far", "f1", far, addresses, nil)
	f.start("near", "n1", near, addresses, nil)
	var routers []*router
	for i := range 5 {
		routers = append(routers, f.start(fmt.Sprintf("r%d", i), "n2", loopback.FreeAddress(), addresses, nil))
	}
	for _, r := range routers {
		f.g.Eventually(func() string { return r.Status().Source }, 3*time.Second, 20*time.Millisecond).Should(Equal(near))
		f.g.Eventually(func() string { return r.Status().Schedulers[0].Address }, 3*time.Second, 20*time.Millisecond).Should(Equal(near))
	}
	f.g.Consistently(func() string { return routers[4].Status().Source }, time.Second, 20*time.Millisecond).Should(Equal(near))
}

// Row "border between regions cut": the standby schedulers don't reach the store either, and get their
// proofs from the router of the region that does.
func TestStandbysGetProofFromRoutersOfTheirRegion(t *testing.T) {
	t.Parallel()
	f := newRegionFleet(t, 1, 3)
	weakest := f.members[0]
	f.serveFor(weakest, 200*time.Millisecond)
	f.setBorders(faultproxy.Blackhole)
	for _, standby := range f.standbys(weakest) {
		f.memberNamed(standby).storeEndpoint.SetFault(storestand.Hangs)
	}
	before := f.choices(weakest)
	calls := f.serveFor(weakest, 6*time.Second)
	for _, member := range f.members {
		f.g.Expect(member.Status().Proven).To(BeTrue(), f.name(member))
	}
	chosen := f.choices(weakest) - before
	t.Logf("schedulers made %v of %d choices", chosen, calls)
	f.g.Expect(chosen).To(BeNumerically(">=", 0.9*float64(calls)))
}
