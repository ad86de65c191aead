package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/platform"
)

// Contents that end each runner that runs them.
const (
	poisonPrefix = "ends runners: "
	// poisonAfter is the longest time that a runner works on one before it ends.
	poisonAfter = 400 * time.Millisecond
	// poisonPause is the longest pause between two requests of one content, and poisonTime
	// how long each is asked for: longer than three ends and the time of contact take.
	poisonPause = 900 * time.Millisecond
	poisonTime  = 12 * time.Second
	// reviveLeast and reviveMost bound how long an ended runner takes to start again.
	reviveLeast, reviveMost = time.Second, 3 * time.Second
	// sendsAfter is how many sends are borne later than contactTime after the third end.
	sendsAfter = 3
	// quarantinedText is what refused callers are told.
	quarantinedText = "runners ended under requests with this content\n"
	// innocentRefusals is one in how many other calls may be refused so at most.
	innocentRefusals = 200
)

// poisons are the contents of a run and the runners that they ended. It draws from a random
// source of its own, so that a seed's other faults stay the same.
type poisons struct {
	soak   *Soak
	random *rand.Rand
	group  sync.WaitGroup
	mutex  sync.Mutex
	// ends holds when runners ended under each content, by body.
	ends map[string][]time.Time
	// started numbers the runners that start again.
	started int
	// stopped is set when no runner starts again any more.
	stopped bool
}

func newPoisons(s *Soak) *poisons {
	return &poisons{soak: s, random: rand.New(rand.NewPCG(s.settings.Seed, s.settings.Seed+2)), ends: map[string][]time.Time{}}
}

// of is what ends a runner.
func (p *poisons) of() runnerstand.Poison {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return runnerstand.Poison{
		Prefix: poisonPrefix, CrashDelay: time.Duration(p.random.Int64N(int64(poisonAfter))), NoResponse: p.random.IntN(2) == 0, OnCrash: p.ended,
	}
}

// ended notes that the runner has ended under the run, and starts another one in its place.
func (p *poisons) ended(runner *runnerstand.Runner, run runnerstand.Run) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	s := p.soak
	if !s.runners.end(runner) {
		// Another run ended it already.
		return
	}
	p.ends[run.Body] = append(p.ends[run.Body], time.Now())
	s.say("runner %s ends under %q, %d in all", runner.ID, run.Body, len(p.ends[run.Body]))
	if p.stopped {
		return
	}
	p.started++
	id, pause := fmt.Sprintf("%s-%d", runner.Service, p.started), reviveLeast+time.Duration(p.random.Int64N(int64(reviveMost-reviveLeast)))
	p.group.Go(func() {
		time.Sleep(pause)
		s.store.Delete(platform.KindRunners, runner.ID)
		if err := s.runners.add(id, runner.Service, s.config.weights(), p.of()); err != nil {
			s.fail("start of a runner: %v", err)
		}
	})
}

// run asks for one content after the other until the time is over.
func (p *poisons) run(ctx context.Context, deadline time.Time) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	defer transport.CloseIdleConnections()
	for number := 0; time.Now().Before(deadline) && ctx.Err() == nil; number++ {
		path := []string{"/once/", "/stream/"}[p.draw(2)]
		p.ask(ctx, &http.Client{Transport: transport}, fmt.Sprintf("%spoison-%d", path, number), fmt.Sprint(poisonPrefix, number), time.Now().Add(poisonTime))
	}
}

func (p *poisons) draw(most int) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.random.IntN(most)
}

// ask sends requests of one content to any gateways until the time is over.
func (p *poisons) ask(ctx context.Context, client *http.Client, path, body string, until time.Time) {
	s := p.soak
	for number := 0; time.Now().Before(until) && ctx.Err() == nil; number++ {
		target := s.processes[p.draw(len(s.processes))]
		call := &callRecord{
			id: fmt.Sprintf("%s-%d", body[len(poisonPrefix):]+path[1:2], number) + fmt.Sprint("-", p.draw(1<<30)), path: path, body: body,
			tenant: tenantName, process: target.name, repeatable: true, poison: true,
		}
		s.calls.add(call)
		p.group.Go(func() { s.callOnce(ctx, client, target, call, s.config.validKey()) })
		time.Sleep(time.Duration(p.draw(int(poisonPause))))
	}
}

// stop waits for what is under way; no runner starts again later.
func (p *poisons) stop() {
	p.mutex.Lock()
	p.stopped = true
	p.mutex.Unlock()
	p.group.Wait()
}

// check checks that gateways that were left alone sent no content on and on, and that few
// other calls were refused as if they had ended runners.
func (p *poisons) check() {
	s := p.soak
	sent := map[string]int{}
	for _, runner := range s.runners.all() {
		for _, arrival := range runner.ArrivalLog() {
			if call, known := s.calls.find(arrival.RequestID); known && call.poison && p.counts(call, arrival.ReceivedAt) {
				sent[call.body]++
			}
		}
	}
	for body, count := range sent {
		if count > sendsAfter {
			s.fail("ended runners: %q was sent %d times later than %v after the third of %d runners had ended", body, count, contactTime, len(p.ends[body]))
		}
	}
	calls, refused := 0, 0
	for _, call := range s.calls.all() {
		if !call.poison {
			calls++
		}
		if !call.poison && call.quarantined {
			refused++
		}
	}
	if refused*innocentRefusals > calls {
		s.fail("innocent: %d of %d calls were refused as if runners had ended under them", refused, calls)
	}
	s.say("poison: %d contents, ends %v, %d of %d others refused for them", len(p.ends), p.counted(), refused, calls)
}

// counts tells whether the send at the moment counts: late enough, and by a gateway of this
// version that was in touch.
func (p *poisons) counts(call *callRecord, at time.Time) bool {
	ends := p.ends[call.body]
	if len(ends) < 3 || at.Sub(ends[2]) <= contactTime || p.soak.older[call.process] {
		return false
	}
	return p.soak.calm(at, storeForEach, call.process, storeOf(call.process)) > contactTime
}

// counted returns how many runners ended under each content.
func (p *poisons) counted() (counts []int) {
	for _, ends := range p.ends {
		counts = append(counts, len(ends))
	}
	slices.Sort(counts)
	return counts
}
