package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/platform"
)

// Calls that crash each runner that processes them.
const (
	poisonPrefix = "ends runners: "
	// maxCrashDelay is the maximum time that a runner processes such a call before it crashes.
	maxCrashDelay = 400 * time.Millisecond
	// maxPoisonInterval is the maximum interval between two calls with the same content, and
	// poisonDuration how long calls with the same content are sent: longer than three crashes and
	// settleTime take.
	maxPoisonInterval = 900 * time.Millisecond
	poisonDuration    = 12 * time.Second
	// minReplaceDelay and maxReplaceDelay bound the time until a crashed runner is replaced.
	minReplaceDelay, maxReplaceDelay = time.Second, 3 * time.Second
	// maxContentCrashes is the number of crashes of a content after which it counts as known.
	maxContentCrashes = 3
	// maxLateSends is how often a content or bad part may be sent to runners later than settleTime
	// after it counts as known.
	maxLateSends = 3
	// quarantinedBody is the response body of calls that are refused because of a quarantine.
	quarantinedBody = "runners ended under requests with this content\n"
	// callsPerWrongRefusal is the minimum number of calls without such content for each one of
	// them that is refused because of a quarantine.
	callsPerWrongRefusal = 200
)

// poisonInjector sends contents that crash runners, and replaces the crashed runners.
type poisonInjector struct {
	crashCaller
	// crashTimes holds when runners crashed while they processed each content, by body, or each bad part.
	crashTimes map[string][]time.Time
	// replacementCount numbers the replacements of crashed runners.
	replacementCount int
	// stopped is set when crashed runners are no longer replaced.
	stopped bool
}

func newPoisonInjector(s *Soak) *poisonInjector {
	return &poisonInjector{crashCaller: crashCaller{soak: s, random: rand.New(rand.NewPCG(s.settings.Seed, s.settings.Seed+2))}, crashTimes: map[string][]time.Time{}}
}

// newPoison returns the Poison of a new runner.
func (p *poisonInjector) newPoison() runnerstand.Poison {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return runnerstand.Poison{
		Prefix: poisonPrefix, Part: p.soak.badParts.isBad, CrashDelay: time.Duration(p.random.Int64N(int64(maxCrashDelay))), NoResponse: p.random.IntN(2) == 0, OnCrash: p.recordCrash,
	}
}

// recordCrash records that the runner crashed during the run, and starts a replacement.
func (p *poisonInjector) recordCrash(runner *runnerstand.Runner, run runnerstand.Run) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	s := p.soak
	if !s.runners.markCrashed(runner) {
		// The runner has already crashed because of another run.
		return
	}
	cause := cmp.Or(s.badParts.badPart(run), run.Body)
	p.crashTimes[cause] = append(p.crashTimes[cause], time.Now())
	s.logf("runner %s crashed while processing %q, %d crashes in total", runner.ID, cause, len(p.crashTimes[cause]))
	if p.stopped {
		return
	}
	p.replacementCount++
	id, delay := fmt.Sprintf("%s-%d", runner.Service, p.replacementCount), minReplaceDelay+time.Duration(p.random.Int64N(int64(maxReplaceDelay-minReplaceDelay)))
	p.group.Go(func() {
		time.Sleep(delay)
		s.store.Delete(platform.KindRunners, runner.ID)
		if err := s.runners.add(id, runner.Service, s.config.currentWeightVersion(), p.newPoison()); err != nil {
			s.failf("start of a runner: %v", err)
		}
	})
}

// run sends one content after the other until the deadline.
func (p *poisonInjector) run(ctx context.Context, deadline time.Time) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	defer transport.CloseIdleConnections()
	for number := 0; time.Now().Before(deadline) && ctx.Err() == nil; number++ {
		path := []string{"/once/", "/stream/"}[p.randomInt(2)]
		p.sendRepeatedly(ctx, &http.Client{Transport: transport}, fmt.Sprintf("%spoison-%d", path, number), fmt.Sprint(poisonPrefix, number), time.Now().Add(poisonDuration))
	}
}

// sendRepeatedly sends calls with the same content to random gateways until the deadline.
func (p *poisonInjector) sendRepeatedly(ctx context.Context, client *http.Client, path, body string, deadline time.Time) {
	p.sendUntil(ctx, client, deadline, maxPoisonInterval, func(number int) *callRecord {
		id := fmt.Sprintf("%s-%d", body[len(poisonPrefix):]+path[1:2], number) + fmt.Sprint("-", p.randomInt(1<<30))
		return &callRecord{id: id, path: path, body: body, repeatable: true}
	})
}

// stop ends the replacement of crashed runners and waits for pending calls and replacements.
func (p *poisonInjector) stop() {
	p.mutex.Lock()
	p.stopped = true
	p.mutex.Unlock()
	p.group.Wait()
}

// checkQuarantines checks that undisturbed gateways stopped sending what crashes runners, and that few other calls were refused because of a quarantine.
func (p *poisonInjector) checkQuarantines() {
	s := p.soak
	p.checkLateSends()
	calls, refused := 0, 0
	for _, call := range s.calls.all() {
		if !call.isPoison {
			calls++
		}
		if !call.isPoison && call.quarantined {
			refused++
		}
	}
	if refused*callsPerWrongRefusal > calls {
		s.failf("innocent: %d of %d calls were refused as if they had crashed runners", refused, calls)
	}
	s.logf("poison: %d contents and parts, crashes %v, %d of %d other calls refused", len(p.crashTimes), p.crashCounts(), refused, calls)
}

// crashCounts returns the number of crashes of each content and bad part in ascending order.
func (p *poisonInjector) crashCounts() (counts []int) {
	for _, crashTimes := range p.crashTimes {
		counts = append(counts, len(crashTimes))
	}
	slices.Sort(counts)
	return counts
}
