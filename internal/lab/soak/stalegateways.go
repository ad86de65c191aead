package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
)

// Sizes of a run with stale gateways.
const (
	staleRunGateways = 5
	// maxStaleRunSeeds is the greatest number of seeds.
	maxStaleRunSeeds = 3
	// releaseServices is the number of services that get releases in turn, so that most releases are those of a service whose first
	// version served alone until then.
	releaseServices   = 6
	runnersPerRelease = 4
	// releaseEventInterval is the time between two events of their streams.
	releaseEventInterval = 60 * time.Millisecond
)

// Times of stale gateways.
const (
	minStaleTime, maxStaleTime = time.Second, 4 * time.Second
	// staleLead is how long callers use connections to a gateway before it becomes stale.
	staleLead = 700 * time.Millisecond
	// maxStalePause bounds the time from one episode to the next, of which some overlap.
	maxStalePause       = 1200 * time.Millisecond
	staleOverlapPercent = 30
	// maxJoinLead is how long before the gateway becomes stale runners of the new version may join.
	maxJoinLead = 100 * time.Millisecond
	// minLeaveDelay and maxLeaveDelay bound the time from the end of an episode until runners of older versions leave.
	minLeaveDelay, maxLeaveDelay = 2 * time.Second, 3 * time.Second
	maxKillDowntime              = 800 * time.Millisecond
)

// Percentages of episodes.
const (
	stalePairPercent   = 20
	killPercent        = 30
	staleSeedPercent   = 75
	silentLeavePercent = 50
	rollbackPercent    = 20
)

// staleKind is how a gateway becomes stale.
type staleKind struct {
	name string
	// cutsLinks is set if the gateway is cut off other ones. storeFault is that of its endpoint of the store.
	cutsLinks  bool
	storeFault storestand.Fault
	// pauses is set if the process is stopped and continued.
	pauses bool
	// seeds is set if the gateways are all seeds, and another one is cut off them, which the store serves.
	seeds bool
}

var staleKinds = []staleKind{
	{name: "cut off the others", cutsLinks: true},
	{name: "cut off the others", cutsLinks: true},
	{name: "paused", pauses: true},
	{name: "paused", pauses: true},
	{name: "refused by the store", storeFault: storestand.Busy},
	{name: "without answers of the store", storeFault: storestand.Hangs},
	{name: "cut off the others and refused by the store", cutsLinks: true, storeFault: storestand.Busy},
	{name: "cut off the others, without answers of the store", cutsLinks: true, storeFault: storestand.Hangs},
	{name: "all seeds, refused by the store", storeFault: storestand.Busy, seeds: true},
}

// silentModes are the modes of a cut link: what was sent is lost, or arrives at the end.
var silentModes = []faultproxy.Mode{faultproxy.Blackhole, faultproxy.Stall}

// staleGateway is a gateway of an episode.
type staleGateway struct {
	*process
	kind staleKind
}

// staleEpisode is a time during which gateways are stale while runners of a new version of a service join.
type staleEpisode struct {
	number  int
	service string
	// newVersion is the version that joins.
	newVersion string
	stale      []staleGateway
	// origins are the gateways at which callers begin streams. killed is one of these, nil if none is.
	origins []*process
	killed  *process
	mode    faultproxy.Mode
	// from and to are the times of the fault. Runners of the new version join at joinAt, and one of the origins is killed at killAt.
	from, to, joinAt, killAt time.Time
	downtime                 time.Duration
	// rollbackAt is when the runners of the new version leave instead of the older ones, zero if they stay.
	rollbackAt time.Time
	// leaveDelay is the time from the end until runners of older versions leave, unlisted at once if leavesSilently is set.
	leaveDelay     time.Duration
	leavesSilently bool
	seed           uint64
}

// staleGatewayInjector makes gateways stale during releases. It has its own random source, so that the other faults of a seed do not change.
type staleGatewayInjector struct {
	soak   *Soak
	random *rand.Rand

	mutex sync.Mutex
	// busy holds the gateways that are stale or killed. newest holds the number of the newest version of each service.
	busy   map[*process]bool
	newest map[string]int
	// cuts counts the causes for which the link between two gateways is cut.
	cuts    map[[2]string]int
	started int
	tallies staleTallies
	// elsewhere counts streams that began at stale gateways of each kind and were taken up at others.
	elsewhere staleTallies
}

func newStaleGatewayInjector(s *Soak) *staleGatewayInjector {
	return &staleGatewayInjector{
		soak: s, random: rand.New(rand.NewPCG(s.settings.Seed, s.settings.Seed+23)),
		busy: map[*process]bool{}, newest: map[string]int{}, cuts: map[[2]string]int{}, tallies: staleTallies{}, elsewhere: staleTallies{},
	}
}

func releaseService(number int) string { return fmt.Sprintf("release%d", number) }

func releaseModel(service string) string { return service + "-model" }

// start adds the services and their runners of the first version.
func (f *staleGatewayInjector) start() error {
	var services []string
	for i := range releaseServices {
		services = append(services, releaseService(i))
	}
	f.soak.config.addReleaseServices(services)
	for _, service := range services {
		if err := f.startVersion(service, f.nextVersion(service)); err != nil {
			return err
		}
	}
	return nil
}

// nextVersion returns the next version of the service.
func (f *staleGatewayInjector) nextVersion(service string) string {
	f.newest[service]++
	return fmt.Sprintf("v%d", f.newest[service])
}

// startVersion starts runners of the version of the service.
func (f *staleGatewayInjector) startVersion(service, version string) error {
	for i := range runnersPerRelease {
		_, err := f.soak.runners.start(runnerstand.Config{
			ID: fmt.Sprintf("%s-%s-%d", service, version, i), Service: service, Model: releaseModel(service), Version: 1, EventCount: streamEvents,
			SoftwareVersion: version, VersionInEvents: true, EventInterval: releaseEventInterval,
		}, runnerstand.Normal)
		if err != nil {
			return err
		}
	}
	return nil
}

// run plays episodes until the deadline, waits for their end and returns their number.
func (f *staleGatewayInjector) run(ctx context.Context, deadline time.Time) (count int) {
	var group sync.WaitGroup
	defer group.Wait()
	for ; time.Now().Before(deadline) && ctx.Err() == nil; count++ {
		e := f.draw(count)
		if e != nil {
			group.Go(func() { f.play(ctx, e, deadline) })
		}
		pause := randomUpTo(f.random, maxStalePause)
		if e != nil && f.random.IntN(100) >= staleOverlapPercent {
			pause += time.Until(e.to)
		}
		time.Sleep(pause)
	}
	return count
}

// draw returns the next episode, nil if too few gateways are left.
func (f *staleGatewayInjector) draw(number int) *staleEpisode {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	e := &staleEpisode{number: number, service: releaseService(number % releaseServices), seed: f.random.Uint64(), mode: silentModes[f.random.IntN(len(silentModes))]}
	e.from = time.Now().Add(staleLead)
	e.to = e.from.Add(minStaleTime + randomUpTo(f.random, maxStaleTime-minStaleTime))
	e.joinAt = e.from.Add(randomUpTo(f.random, e.to.Sub(e.from)/2+maxJoinLead) - maxJoinLead)
	e.leaveDelay, e.leavesSilently = minLeaveDelay+randomUpTo(f.random, maxLeaveDelay-minLeaveDelay), f.random.IntN(100) < silentLeavePercent
	kind := staleKinds[f.random.IntN(len(staleKinds))]
	hasPair, kills := f.random.IntN(100) < stalePairPercent, f.random.IntN(100) < killPercent
	free := slices.DeleteFunc(slices.Clone(f.soak.processes), func(p *process) bool { return f.busy[p] })
	if kind.seeds && !f.drawSeeds(e, kind, free) {
		kind = staleKinds[0]
	}
	if !kind.seeds {
		if len(free) < 2 {
			return nil
		}
		e.stale, free = f.drawStale(kind, free)
		if hasPair && len(free) > 1 {
			var second []staleGateway
			second, free = f.drawStale(staleKinds[f.random.IntN(len(staleKinds)-1)], free)
			e.stale = append(e.stale, second...)
		}
		e.origins = free
		if kills && len(free) > 1 {
			e.killed = free[f.random.IntN(len(free))]
			e.killAt = e.joinAt.Add(randomUpTo(f.random, e.to.Sub(e.joinAt)))
			e.downtime = randomUpTo(f.random, maxKillDowntime)
			f.busy[e.killed] = true
		}
	}
	for _, stale := range e.stale {
		f.busy[stale.process] = true
	}
	e.newVersion = f.nextVersion(e.service)
	e.drawRollback()
	return e
}

// drawRollback draws whether the new version is rolled back while the gateways are stale.
func (e *staleEpisode) drawRollback() {
	random := rand.New(rand.NewPCG(e.seed, e.seed))
	if random.IntN(100) < rollbackPercent {
		e.rollbackAt = e.joinAt.Add(randomUpTo(random, e.to.Sub(e.joinAt)))
	}
}

// drawStale draws one of the free gateways, a seed most times, and returns the rest.
func (f *staleGatewayInjector) drawStale(kind staleKind, free []*process) (drawn []staleGateway, rest []*process) {
	candidates := free
	if seeds := f.seedsAmong(free); len(seeds) > 0 && f.random.IntN(100) < staleSeedPercent {
		candidates = seeds
	}
	p := candidates[f.random.IntN(len(candidates))]
	return []staleGateway{{p, kind}}, slices.DeleteFunc(slices.Clone(free), func(other *process) bool { return other == p })
}

func (f *staleGatewayInjector) seedsAmong(gateways []*process) (seeds []*process) {
	all := f.soak.processes[:f.soak.settings.seedCount()]
	return slices.DeleteFunc(slices.Clone(gateways), func(p *process) bool { return !slices.Contains(all, p) })
}

// drawSeeds makes all seeds stale and one other gateway the origin. It returns false if they are not free.
func (f *staleGatewayInjector) drawSeeds(e *staleEpisode, kind staleKind, free []*process) bool {
	seeds := f.seedsAmong(free)
	others := slices.DeleteFunc(slices.Clone(free), func(p *process) bool { return slices.Contains(seeds, p) })
	if len(seeds) < f.soak.settings.seedCount() || len(others) == 0 {
		return false
	}
	for _, p := range seeds {
		e.stale = append(e.stale, staleGateway{p, kind})
	}
	e.origins = []*process{others[f.random.IntN(len(others))]}
	return true
}

// release ends that the gateways are stale or killed.
func (f *staleGatewayInjector) release(processes ...*process) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, p := range processes {
		delete(f.busy, p)
	}
}

// describe returns the episode for a log line.
func (e *staleEpisode) describe() string {
	var names []string
	for _, stale := range e.stale {
		names = append(names, stale.name+" "+stale.kind.name)
	}
	text := fmt.Sprintf("%s for %v (%s)", strings.Join(names, " and "), e.to.Sub(e.from).Round(time.Millisecond), e.mode)
	if e.killed != nil {
		text += fmt.Sprintf(", %s is killed %v after the begin", e.killed.name, e.killAt.Sub(e.from).Round(time.Millisecond))
	}
	if !e.rollbackAt.IsZero() {
		text += fmt.Sprintf(", rollback %v after the begin", e.rollbackAt.Sub(e.from).Round(time.Millisecond))
	}
	return fmt.Sprintf("%s, %s gets a new version %v after the begin", text, e.service, e.joinAt.Sub(e.from).Round(time.Millisecond))
}

// play plays the episode and its release.
func (f *staleGatewayInjector) play(ctx context.Context, e *staleEpisode, deadline time.Time) {
	f.soak.logf("fault: %s", e.describe())
	var group sync.WaitGroup
	f.startCallers(ctx, e, &group)
	group.Go(func() {
		time.Sleep(time.Until(e.joinAt))
		if err := f.startVersion(e.service, e.newVersion); err != nil {
			f.soak.failf("start of a runner: %v", err)
		}
		if !e.rollbackAt.IsZero() {
			time.Sleep(time.Until(e.rollbackAt))
			f.startLeaving(e)
		}
	})
	if e.killed != nil {
		group.Go(func() { f.kill(e) })
	}
	time.Sleep(time.Until(e.from))
	for _, stale := range e.stale {
		group.Go(func() { f.makeStale(e, stale) })
	}
	group.Wait()
	for _, stale := range e.stale {
		f.release(stale.process)
	}
	leaving, leftAt := f.leavingRunners(e), e.rollbackAt
	if leftAt.IsZero() {
		if time.Now().Add(e.leaveDelay).After(deadline) || ctx.Err() != nil {
			return
		}
		time.Sleep(time.Until(e.to.Add(e.leaveDelay)))
		f.startLeaving(e)
		leftAt = time.Now()
	}
	time.Sleep(time.Until(leftAt.Add(leavingTime)))
	for _, runner := range leaving {
		if !f.soak.runners.hasCrashed(runner.ID) {
			f.soak.runners.stop(runner)
		}
	}
}

// makeStale makes the gateway stale until the end of the episode.
func (f *staleGatewayInjector) makeStale(e *staleEpisode, stale staleGateway) {
	s, kind := f.soak, stale.kind
	if kind.storeFault != storestand.Healthy {
		defer s.disturbances.begin(gatewayStoreSubject(stale.name))()
		stale.storeEndpoint.SetFault(kind.storeFault)
	}
	if kind.pauses || kind.storeFault != storestand.Healthy {
		defer s.disturbances.begin(unrecordedSubject(stale.name))()
	}
	var cut []*process
	switch {
	case kind.seeds:
		cut = e.origins
	case kind.cutsLinks:
		cut = s.processes
	}
	for _, other := range cut {
		defer s.disturbances.begin(linkSubject(stale.name, other.name))()
	}
	f.cutLinks(stale.process, cut, e.mode)
	if kind.pauses {
		stale.markUnavailable(e.to.Sub(e.from) + startupTime)
		defer s.disturbances.begin(stale.name)()
		stale.signal(syscall.SIGSTOP)
	}
	time.Sleep(time.Until(e.to))
	if kind.pauses {
		stale.signal(syscall.SIGCONT)
	}
	f.cutLinks(stale.process, cut, faultproxy.Pass)
	if kind.storeFault != storestand.Healthy {
		stale.storeEndpoint.SetFault(storestand.Healthy)
	}
}

// cutLinks sets the mode of the links between the gateway and the others, in both directions. Pass ends the cut, unless another cause
// remains.
func (f *staleGatewayInjector) cutLinks(p *process, others []*process, mode faultproxy.Mode) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, other := range others {
		if other == p {
			continue
		}
		link := [2]string{min(p.name, other.name), max(p.name, other.name)}
		if mode == faultproxy.Pass {
			f.cuts[link]--
		} else {
			f.cuts[link]++
		}
		if mode == faultproxy.Pass && f.cuts[link] > 0 || mode != faultproxy.Pass && f.cuts[link] > 1 {
			continue
		}
		p.peerProxy.SetGroupMode(other.name, mode)
		other.peerProxy.SetGroupMode(p.name, mode)
	}
}

// kill kills one of the origins and starts it again.
func (f *staleGatewayInjector) kill(e *staleEpisode) {
	s, p := f.soak, e.killed
	time.Sleep(time.Until(e.killAt))
	s.logf("fault: %s is killed for %v", p.name, e.downtime.Round(time.Millisecond))
	p.markUnavailable(e.downtime + startupTime)
	defer s.disturbances.begin(p.name)()
	exited := p.terminate(syscall.SIGKILL)
	time.Sleep(e.downtime)
	s.restartExited(p, exited)
	f.release(p)
}

// leavingRunners returns the runners that leave after the episode: those of the versions before, or of the new one if that is rolled back.
func (f *staleGatewayInjector) leavingRunners(e *staleEpisode) []*runnerstand.Runner {
	return slices.DeleteFunc(f.soak.runners.ofService(e.service), func(runner *runnerstand.Runner) bool {
		return (runner.SoftwareVersion == e.newVersion) == e.rollbackAt.IsZero()
	})
}

// startLeaving lets runners leave.
func (f *staleGatewayInjector) startLeaving(e *staleEpisode) {
	leaving := f.leavingRunners(e)
	f.soak.logf("versions: %d runners of %s leave, rollback %v, silently %v", len(leaving), e.service, !e.rollbackAt.IsZero(), e.leavesSilently)
	for _, runner := range leaving {
		f.soak.runners.startFinalDrain(runner)
		if e.leavesSilently {
			f.soak.runners.unlist(runner)
		}
	}
}
