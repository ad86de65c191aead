package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/egress"
	"github.com/clovertiller/clovertiller/internal/events"
)

const (
	// maxUnreachableNamed bounds the lost runners that a placement request names.
	maxUnreachableNamed = 32
	// minRunnerProbeInterval and maxRunnerProbeInterval bound the interval of probes of single silent runners. It doubles with
	// each answer: the runners are then slow to respond.
	minRunnerProbeInterval = 50 * time.Millisecond
	maxRunnerProbeInterval = 4 * time.Second
)

// recordLost records that the runner could not be reached. The mutex must be held.
func (p *runnerPaths) recordLost(now time.Time, runner backend.Runner) {
	if !p.lost.Add(now, runner.Service, runner.ID, runner.Incarnation) {
		return
	}
	p.leaveLinks(func(wait *pathWait) bool { return wait.runner.ID == runner.ID })
	p.logRunnerPath(runner, "lost")
	if !p.probing {
		p.probing = true
		p.gateway.spawn(p.probeLoop)
	}
}

// recordFound records that the runner sent something. The mutex must be held.
func (p *runnerPaths) recordFound(runner backend.Runner) {
	if p.lost.Remove(runner.ID) {
		p.logRunnerPath(runner, "works")
	}
}

func (p *runnerPaths) logRunnerPath(runner backend.Runner, state string) {
	p.gateway.log.Log(events.RunnerPathChanged, events.Fields{"runner": runner.ID, "service": runner.Service, "state": state, "lost": p.lost.Len()})
}

// lostCount returns the number of single runners that this router does not reach.
func (p *runnerPaths) lostCount() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.lost.Len()
}

// unreachable returns the runners of the service to which this router has lost its path. If that is all of them, they may as well
// be tried.
func (p *runnerPaths) unreachable(service string) (runners []string) {
	p.mutex.Lock()
	lost := p.lost.Of(service)
	p.mutex.Unlock()
	if len(lost) == 0 {
		return nil
	}
	g := p.gateway
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for id, incarnation := range lost {
		if runner, found := g.runners.Get(id); found && runner.Incarnation == incarnation && g.runners.IsActive(id, service) {
			runners = append(runners, id)
		}
	}
	if g.runners.CountActive(service, len(runners)+1) <= len(runners) {
		return nil
	}
	slices.Sort(runners)
	return runners[:min(len(runners), maxUnreachableNamed)]
}

// checkSilence probes runners if a send waits without a response: some of the service if that is silent, or else the runner
// of the send.
func (p *runnerPaths) checkSilence(wait *pathWait) {
	if p.state(wait.Service()) != egress.Direct {
		return
	}
	now := p.gateway.now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if _, waits := p.waits[wait]; !waits || now.Sub(wait.heardAt) < egress.SilenceTimeout || now.Before(p.nextRunnerProbeAt) {
		return
	}
	p.runnerProbeInterval = max(p.runnerProbeInterval, minRunnerProbeInterval)
	p.nextRunnerProbeAt = now.Add(p.runnerProbeInterval)
	p.gateway.spawn(func() {
		answered := p.probe(wait.runner)
		p.mutex.Lock()
		defer p.mutex.Unlock()
		if !answered {
			p.runnerProbeInterval, p.nextRunnerProbeAt = minRunnerProbeInterval, time.Time{}
			return
		}
		p.runnerProbeInterval = min(2*p.runnerProbeInterval, maxRunnerProbeInterval)
	})
}

// probeLost starts the probes of single runners that are due. It reports whether any runner is lost.
func (p *runnerPaths) probeLost(probes *sync.WaitGroup) (anyLost bool) {
	now := p.gateway.now()
	p.mutex.Lock()
	due := p.lost.TakeDue(now)
	p.mutex.Unlock()
	for _, id := range due {
		p.gateway.mutex.Lock()
		runner, found := p.gateway.runners.Get(id)
		found = found && p.gateway.runners.IsActive(id, runner.Service)
		p.gateway.mutex.Unlock()
		if found {
			probes.Go(func() { p.probe(runner) })
			continue
		}
		p.mutex.Lock()
		p.lost.Remove(id)
		p.mutex.Unlock()
	}
	return p.lostCount() > 0
}

// endsProbing records that probeLoop ends if no service is impaired and no runner is lost. It reports whether it does.
func (p *runnerPaths) endsProbing(impaired int) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.probing = impaired > 0 || p.lost.Len() > 0
	return !p.probing
}
