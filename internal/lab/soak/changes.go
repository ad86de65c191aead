package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/clovertiller/clovertiller/internal/clock"
	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
)

// Runners of a run with configuration changes.
const (
	// longRunners is the least number of engines of longService. The last is the only one of its software version.
	longRunners      = 4
	commonVersion    = "v1"
	lonelyVersion    = "v2"
	longStreamEvents = 16
	// minEventInterval is the time between two events of a stream at the first of these engines, and
	// eventIntervalStep how much longer it is at each of the next longRunners ones.
	minEventInterval  = 95 * time.Millisecond
	eventIntervalStep = 45 * time.Millisecond
	// pairRunners is the number of runners of secondService and of visitingService.
	pairRunners = 2
)

// Series of configuration changes.
const (
	minChanges, maxChanges = 3, 8
	maxChangeInterval      = 350 * time.Millisecond
	// maxAbsence bounds the time for which a change removes something.
	maxAbsence = 1500 * time.Millisecond
	// maxSeriesPause bounds the time from the beginning of a series to that of the next, so that series overlap.
	maxSeriesPause = 2500 * time.Millisecond
)

// Silences of sound runners.
const (
	minSilence, maxSilence = time.Second, 1900 * time.Millisecond
	maxSilencePause        = 1800 * time.Millisecond
	// silenceGap is the least time between two silences of one runner.
	silenceGap = 1500 * time.Millisecond
)

// Suspensions of gateways.
const (
	meanFreezeInterval = 1500 * time.Millisecond
	maxShortFreeze     = 700 * time.Millisecond
	// longFreezePercent is the percentage of the suspensions that last from longFreeze to twice that.
	longFreezePercent = 20
	longFreeze        = time.Second
	// suspensionEffect is how long after a suspension it explains what a gateway does.
	suspensionEffect = time.Second
)

// changeInjector changes the configuration in series, silences sound runners and suspends gateways for a moment. Each
// kind has its own random source, so that the faults of a seed do not depend on their interleaving.
type changeInjector struct {
	soak *Soak

	mutex sync.Mutex
	// silences holds the silences of each runner, and freezes the suspensions of each gateway.
	silences map[string][]interval
	freezes  map[string][]interval
}

func newChangeInjector(s *Soak) *changeInjector {
	return &changeInjector{soak: s, silences: map[string][]interval{}, freezes: map[string][]interval{}}
}

// changeFaults returns the faults that are injected beside configuration changes. None of them breaks off a request.
func (s *Soak) changeFaults() []startFault {
	return []startFault{
		s.restart(syscall.SIGTERM), s.restart(syscall.SIGTERM), s.reload, s.reload, s.drainRunner, s.drainRunner,
		s.storeFaultForAll, s.storeFaultForOne, s.storePathFault, s.compactStoreHistory, s.revokeKey, s.bumpWeights,
	}
}

// longRunnerCount returns the number of engines of longService.
func (s Settings) longRunnerCount() int { return max(longRunners, s.engineCount()/2) }

// startRunners starts the runners of the additional services.
func (f *changeInjector) startRunners() error {
	long := f.soak.settings.longRunnerCount()
	for i := range long {
		version := commonVersion
		if i == long-1 {
			version = lonelyVersion
		}
		_, err := f.soak.runners.start(runnerstand.Config{
			ID: fmt.Sprintf("long%d-%s", i, version), Service: longService, Model: longModel, Version: 1, EventCount: longStreamEvents,
			SoftwareVersion: version, EventInterval: minEventInterval + time.Duration(i%longRunners)*eventIntervalStep,
		}, runnerstand.Normal)
		if err != nil {
			return err
		}
	}
	for _, service := range []string{secondService, visitingService} {
		for i := range pairRunners {
			if err := f.soak.runners.add(fmt.Sprintf("%s%d", service, i), service, 0, runnerstand.Poison{}); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *changeInjector) newRandom(stream uint64) *rand.Rand {
	seed := f.soak.settings.Seed
	return rand.New(rand.NewPCG(seed, seed+stream))
}

// run injects faults until the deadline, waits for their end and returns their number.
func (f *changeInjector) run(ctx context.Context, deadline time.Time) int {
	var group sync.WaitGroup
	counts := make([]int, 3)
	group.Go(func() { counts[0] = f.runSeries(ctx, deadline) })
	group.Go(func() { counts[1] = f.runSilences(ctx, deadline) })
	group.Go(func() { counts[2] = f.runFreezes(ctx, deadline) })
	group.Wait()
	return counts[0] + counts[1] + counts[2]
}

// randomUpTo returns a random duration in [0, limit).
func randomUpTo(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit)))
}

// runSeries changes the configuration in series that overlap.
func (f *changeInjector) runSeries(ctx context.Context, deadline time.Time) (count int) {
	random := f.newRandom(17)
	var group sync.WaitGroup
	defer group.Wait()
	for time.Now().Before(deadline) && ctx.Err() == nil {
		delay := time.Duration(0)
		for range minChanges + random.IntN(maxChanges-minChanges) {
			delay += randomUpTo(random, maxChangeInterval)
			if random.IntN(2) == 0 {
				f.changeAfter(&group, delay, drawChange(random))
				count++
				continue
			}
			removal, addition := drawRemoval(random)
			f.changeAfter(&group, delay, removal)
			f.changeAfter(&group, delay+randomUpTo(random, maxAbsence), addition)
			count += 2
		}
		time.Sleep(randomUpTo(random, maxSeriesPause))
	}
	return count
}

func (f *changeInjector) changeAfter(group *sync.WaitGroup, delay time.Duration, change configChange) {
	group.Go(func() {
		time.Sleep(delay)
		f.soak.logf("change: %s", change.name)
		f.soak.config.change(change)
	})
}

// runSilences silences sound runners.
func (f *changeInjector) runSilences(ctx context.Context, deadline time.Time) (count int) {
	random := f.newRandom(19)
	var group sync.WaitGroup
	defer group.Wait()
	for time.Now().Before(deadline) && ctx.Err() == nil {
		runners, duration := f.drawSilentRunners(random), minSilence+randomUpTo(random, maxSilence-minSilence)
		group.Go(func() { f.silence(runners, duration) })
		count++
		time.Sleep(randomUpTo(random, maxSilencePause))
	}
	return count
}

// drawSilentRunners draws one runner, several, all of a service or the only one of a software version.
func (f *changeInjector) drawSilentRunners(random *rand.Rand) (runners []*runnerstand.Runner) {
	all := f.soak.runners.running()
	services := []string{plainService, secondService, visitingService, "engines", longService}
	service, number := services[random.IntN(len(services))], 1+random.IntN(len(all)/2)
	switch random.IntN(4) {
	case 0:
		long := f.soak.runners.ofService(longService)
		return long[random.IntN(len(long)):][:1]
	case 1:
		for _, i := range random.Perm(len(all))[:number] {
			runners = append(runners, all[i])
		}
		return runners
	case 2:
		return f.soak.runners.ofService(service)
	}
	for _, runner := range all {
		if runner.SoftwareVersion == lonelyVersion {
			runners = append(runners, runner)
		}
	}
	return runners
}

// silence makes the runners silent, but for those that were silent a short time ago.
func (f *changeInjector) silence(runners []*runnerstand.Runner, duration time.Duration) {
	var silent []*runnerstand.Runner
	var names []string
	f.mutex.Lock()
	now := time.Now()
	for _, runner := range runners {
		intervals := f.silences[runner.ID]
		if len(intervals) > 0 && now.Before(intervals[len(intervals)-1].to.Add(silenceGap)) {
			continue
		}
		// The end is corrected when the silence has ended.
		f.silences[runner.ID] = append(intervals, interval{from: now, to: now.Add(duration)})
		silent, names = append(silent, runner), append(names, runner.ID)
	}
	f.mutex.Unlock()
	if len(silent) == 0 {
		return
	}
	f.soak.logf("fault: silent for %v: %s", duration.Round(time.Millisecond), strings.Join(names, " and "))
	var ends []func()
	for _, runner := range silent {
		ends = append(ends, f.soak.disturbances.begin(runnerPathSubject(runner.ID)))
		f.soak.runners.proxy(runner.ID).SetMode(faultproxy.Stall)
	}
	time.Sleep(duration)
	for i, runner := range silent {
		f.soak.runners.proxy(runner.ID).SetMode(faultproxy.Pass)
		ends[i]()
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, runner := range silent {
		intervals := f.silences[runner.ID]
		intervals[len(intervals)-1].to = time.Now()
	}
}

// runFreezes suspends gateways, most of them only for a moment.
func (f *changeInjector) runFreezes(ctx context.Context, deadline time.Time) (count int) {
	random := f.newRandom(23)
	var group sync.WaitGroup
	defer group.Wait()
	for time.Now().Before(deadline) && ctx.Err() == nil {
		p, duration := f.soak.processes[random.IntN(len(f.soak.processes))], randomUpTo(random, maxShortFreeze)
		if random.IntN(100) < longFreezePercent {
			duration = longFreeze + randomUpTo(random, longFreeze)
		}
		group.Go(func() { f.freeze(p, duration) })
		count++
		time.Sleep(meanFreezeInterval/2 + randomUpTo(random, meanFreezeInterval))
	}
	return count
}

func (f *changeInjector) freeze(p *process, duration time.Duration) {
	f.soak.logf("fault: freeze %s for %v", p.name, duration.Round(time.Millisecond))
	p.markUnavailable(duration + startupTime)
	defer f.soak.disturbances.begin(p.name)()
	f.mutex.Lock()
	index := len(f.freezes[p.name])
	f.freezes[p.name] = append(f.freezes[p.name], interval{from: time.Now()})
	f.mutex.Unlock()
	p.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	p.signal(syscall.SIGCONT)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.freezes[p.name][index].to = time.Now()
}

// silencesOf returns the silences of the runner.
func (f *changeInjector) silencesOf(runner string) []interval {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]interval(nil), f.silences[runner]...)
}

// wasSuspendedLong reports whether the gateway was suspended for longFreeze or longer between the moments, and
// continued less than suspensionEffect before the second one.
func (f *changeInjector) wasSuspendedLong(gateway string, from, to time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	from = clock.Later(from, to.Add(-suspensionEffect))
	for _, freeze := range f.freezes[gateway] {
		if freeze.from.Before(to) && freeze.to.After(from) && freeze.to.Sub(freeze.from) >= longFreeze {
			return true
		}
	}
	return false
}

// longestSuspension returns the longest time for which the gateway was suspended at a time between the moments.
func (f *changeInjector) longestSuspension(gateway string, from, to time.Time) (longest time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, freeze := range f.freezes[gateway] {
		begin, end := clock.Later(freeze.from, from), freeze.to
		if end.After(to) {
			end = to
		}
		longest = max(longest, end.Sub(begin))
	}
	return longest
}
