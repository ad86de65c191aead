package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/egress"
	"github.com/clovertiller/clovertiller/internal/httpconn"
)

const (
	// probeInterval is the interval of probes of a service whose links are at fault, and
	// slowProbeInterval the same once they have been for longer than slowProbesAfter. It is then more
	// likely that the service is down.
	probeInterval     = 250 * time.Millisecond
	slowProbeInterval = time.Second
	slowProbesAfter   = 15 * time.Second
	// probeTimeout bounds a probe. A runner's machine answers within some milliseconds.
	probeTimeout = 200 * time.Millisecond
	// verifyInterval is the minimum interval of attempts to find out whether silent links are at fault.
	verifyInterval = 250 * time.Millisecond
	// probeHeadStart is how long the first of several probes may take before the others start. Most runners
	// answer within it, so that one probe is enough.
	probeHeadStart = 40 * time.Millisecond
	// confirmedTime is how long after a response a router accepts forwarded calls of the service without a probe. The
	// links of many routers may be lost at the same time, and those that have no calls do not know it yet.
	confirmedTime = 250 * time.Millisecond
)

// confirmation is an attempt to find out whether a service can be reached. reached is set when done is closed.
type confirmation struct {
	done    chan struct{}
	reached bool
}

// verify probes runners of the service until one answers, unless that was done a moment ago. The failed runners need not be
// probed. The mutex must be held.
func (p *runnerPaths) verify(now time.Time, service string, failed ...string) {
	if now.Before(p.nextVerifyAt[service]) {
		return
	}
	p.nextVerifyAt[service] = now.Add(verifyInterval)
	p.gateway.spawn(func() { p.probeUntilAnswer(service, failed...) })
}

// probeUntilAnswer probes some runners of the service, other than the failed ones. It reports whether one answered.
func (p *runnerPaths) probeUntilAnswer(service string, failed ...string) bool {
	probed := slices.Clone(failed)
	var probes sync.WaitGroup
	answers := make(chan struct{}, egress.MaxRunnersCounted)
	for i := range egress.MaxRunnersCounted {
		runner, found := p.randomRunner(service, probed)
		if !found || p.gateway.ctx.Err() != nil {
			break
		}
		probed = append(probed, runner.ID)
		probes.Go(func() {
			if p.probe(runner) {
				answers <- struct{}{}
			}
		})
		if i == 0 && awaitAnswer(answers) {
			return true
		}
	}
	probes.Wait()
	if len(answers) > 0 || p.gateway.ctx.Err() != nil {
		return len(answers) > 0
	}
	p.evaluate(service)
	return false
}

// evaluate derives the state of the links to the service from the failures since something was last received from it.
func (p *runnerPaths) evaluate(service string) {
	now, count := p.gateway.now(), p.runnerCount(service)
	p.mutex.Lock()
	confirmed := p.paths.ConfirmSilence(now, service, count)
	changed := p.paths.Evaluate(now, service, count) || confirmed
	p.mutex.Unlock()
	p.handleChange(service, changed)
}

// confirmReach reports whether this router reaches the service: it has heard from a runner lately, or one answers a probe
// now. Calls that wait for the same probe share it.
func (p *runnerPaths) confirmReach(service string) bool {
	if p.heardSince(service, p.gateway.now().Add(-confirmedTime)) {
		return true
	}
	p.mutex.Lock()
	current := p.confirmations[service]
	if current == nil {
		current = &confirmation{done: make(chan struct{})}
		p.confirmations[service] = current
		p.gateway.spawn(func() {
			current.reached = p.probeUntilAnswer(service)
			p.mutex.Lock()
			delete(p.confirmations, service)
			p.mutex.Unlock()
			close(current.done)
		})
	}
	p.mutex.Unlock()
	select {
	case <-current.done:
		return current.reached
	case <-p.gateway.ctx.Done():
		return false
	}
}

// awaitAnswer reports whether there is an answer within the head start of a probe.
func awaitAnswer(answers <-chan struct{}) bool {
	timer := time.NewTimer(probeHeadStart)
	defer timer.Stop()
	select {
	case <-answers:
		return true
	case <-timer.C:
		return false
	}
}

// randomRunner returns a random runner of the service, other than the excluded ones if there are others.
func (p *runnerPaths) randomRunner(service string, excluded []string) (backend.Runner, bool) {
	g := p.gateway
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.runners.RandomActive(service, excluded, g.random)
}

// probeAny probes a random runner of the service, other than the excluded ones.
func (p *runnerPaths) probeAny(service string, excluded ...string) (probed string, answered bool) {
	runner, found := p.randomRunner(service, excluded)
	if !found {
		return "", false
	}
	return runner.ID, p.probe(runner)
}

// probe asks a runner for any response and records the result. It reports whether the runner answered.
func (p *runnerPaths) probe(runner backend.Runner) (answered bool) {
	g, service := p.gateway, runner.Service
	ctx, cancel := context.WithTimeout(g.ctx, probeTimeout)
	defer cancel()
	err := g.ports.Runners.Reaches(ctx, runner)
	if g.ctx.Err() != nil {
		return false
	}
	g.metrics.pathProbes.WithLabelValues(service, outcomeLabel(err == nil)).Inc()
	now, count, changed := g.now(), p.runnerCount(service), false
	if err == nil {
		g.mutex.Lock()
		g.runners.ForgetUnreachableRunner(runner.ID)
		g.mutex.Unlock()
	}
	p.mutex.Lock()
	if err == nil {
		changed = p.paths.Answered(now, service, runner.ID, count)
		p.recordFound(runner)
	} else {
		p.recordLost(now, runner)
		if ctx.Err() != nil && !errors.Is(err, httpconn.ErrNotSent) {
			p.paths.Unanswered(now, service, runner.ID)
		} else {
			p.paths.OpenFailed(now, service, runner.ID)
		}
		// A state that is impaired already may become worse.
		changed = p.paths.State(service) != egress.Direct && p.paths.Evaluate(now, service, count)
	}
	p.mutex.Unlock()
	p.handleChange(service, changed)
	return err == nil
}

// verifyOthers probes the other services from which nothing was heard since the given one was cut.
func (p *runnerPaths) verifyOthers(service string) {
	now := p.gateway.now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, other := range p.paths.Unconfirmed(service) {
		p.verify(now, other)
	}
}

// probeLoop probes the services and the single runners whose links are at fault until there are none.
func (p *runnerPaths) probeLoop() {
	for {
		interval, impaired := slowProbeInterval, p.impaired()
		var probes sync.WaitGroup
		if anyLost := p.probeLost(&probes); anyLost {
			interval = probeInterval
		} else if p.endsProbing(len(impaired)) {
			return
		}
		for service, since := range impaired {
			probes.Go(func() {
				// A second runner must answer, so it is probed at once.
				if probed, answered := p.probeAny(service); answered {
					p.probeAny(service, probed)
				}
			})
			if p.gateway.now().Sub(since) < slowProbesAfter {
				interval = probeInterval
			}
		}
		probes.Wait()
		if !p.gateway.pause(p.gateway.jitter(interval)) {
			return
		}
	}
}
