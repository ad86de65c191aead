package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/egress"
	"github.com/clovertiller/clovertiller/internal/events"
)

// runnerPaths observes the links between this router and the runners, and probes those that are at fault.
type runnerPaths struct {
	gateway *Gateway
	mutex   sync.Mutex
	paths   *egress.Paths
	// probing is set while probeLoop runs. nextVerifyAt is when a service whose links may be at fault is
	// probed again at the earliest.
	probing      bool
	nextVerifyAt map[string]time.Time
	// waits holds the sends without a response.
	waits map[*pathWait]struct{}
	// lost are the single runners that this router does not reach.
	lost *egress.LostRunners
	// runnerProbeInterval is the current interval of probes of single silent runners, and nextRunnerProbeAt when the next
	// one is allowed.
	runnerProbeInterval time.Duration
	nextRunnerProbeAt   time.Time
	// confirmations are the confirmations in progress, by service.
	confirmations map[string]*confirmation
}

func newRunnerPaths(g *Gateway) *runnerPaths {
	return &runnerPaths{gateway: g, paths: egress.NewPaths(), nextVerifyAt: map[string]time.Time{}, waits: map[*pathWait]struct{}{}, lost: egress.NewLostRunners(), confirmations: map[string]*confirmation{}}
}

// retain forgets the services that the configuration no longer has.
func (p *runnerPaths) retain(services []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.paths.Retain(func(service string) bool { return slices.Contains(services, service) })
}

// summary returns the services whose links are not direct, sorted by name.
func (p *runnerPaths) summary(now time.Time) (paths []PathStatus) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, service := range slices.Sorted(slices.Values(p.paths.Impaired())) {
		paths = append(paths, PathStatus{Service: service, State: p.paths.State(service).String(), ForMillis: now.Sub(p.paths.Since(service)).Milliseconds()})
	}
	return paths
}

// runnerCount returns the number of runners of a service that are not leaving, as far as it matters.
func (p *runnerPaths) runnerCount(service string) int {
	p.gateway.mutex.Lock()
	defer p.gateway.mutex.Unlock()
	return p.gateway.runners.CountActive(service, egress.MaxRunnersCounted)
}

// isLarge reports whether the service has so many runners that failures of calls alone don't show a cut: calls prefer some
// runners, and a part of many may fail at once. Probes of random runners then decide.
func (p *runnerPaths) isLarge(service string) bool {
	p.gateway.mutex.Lock()
	defer p.gateway.mutex.Unlock()
	return p.gateway.runners.CountActive(service, egress.MaxRunnersCounted+1) > egress.MaxRunnersCounted
}

// state returns the state of the links to a service. If the service is silent, it starts to verify that.
func (p *runnerPaths) state(service string) egress.State {
	now := p.gateway.now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.paths.NeedsProbe(now, service) {
		p.verify(now, service)
	}
	return p.paths.State(service)
}

// isOnlySilent reports whether only a short silence of the service's runners makes its links count as cut.
func (p *runnerPaths) isOnlySilent(service string) bool {
	now := p.gateway.now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.paths.IsOnlySilent(now, service)
}

// heardSince reports whether anything was heard from the service after the given time.
func (p *runnerPaths) heardSince(service string, since time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.paths.HeardSince(service, since)
}

// heardFromOthers reports whether a runner of another service than the given runner's has been heard from
// since the given time.
func (p *runnerPaths) heardFromOthers(runner backend.Runner, since time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.paths.HeardFromOtherServices(runner.Service, since)
}

// heard records that a runner sent something.
func (p *runnerPaths) heard(runner backend.Runner, isNewConnection bool) {
	now := p.gateway.now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.paths.Heard(now, runner.Service, isNewConnection)
	p.recordFound(runner)
	for wait := range p.waits {
		if wait.runner.ID == runner.ID {
			wait.heardAt = now
		}
	}
}

// connectionFailed records that a connection to the runner could not be opened or broke. isNew is set if it
// has not brought anything.
func (p *runnerPaths) connectionFailed(runner backend.Runner, isNew bool) {
	now, isLarge := p.gateway.now(), p.isLarge(runner.Service)
	p.mutex.Lock()
	if isNew {
		p.paths.OpenFailed(now, runner.Service, runner.ID)
		p.recordLost(now, runner)
	} else {
		p.paths.ConnectionLost(now, runner.Service, runner.ID)
	}
	p.verify(now, runner.Service, runner.ID)
	p.mutex.Unlock()
	if !isLarge {
		p.evaluate(runner.Service)
	}
}

// handleChange handles a change of the state of the links to a service.
func (p *runnerPaths) handleChange(service string, changed bool) {
	if !changed {
		return
	}
	g := p.gateway
	p.mutex.Lock()
	state, onlySilent := p.paths.State(service), p.paths.IsOnlySilent(g.now(), service)
	startProbing := state != egress.Direct && !p.probing
	p.probing = p.probing || startProbing
	p.mutex.Unlock()
	g.log.Log(events.PathStateChanged, events.Fields{"service": service, "state": state.String(), "only_silent": onlySilent, "egress_routers": g.egress.pathChanged(service)})
	if state != egress.Direct {
		g.mutex.Lock()
		g.runners.ForgetUnreachable(service)
		g.mutex.Unlock()
	}
	if state == egress.Cut {
		p.leaveCutLinks(service)
		p.verifyOthers(service)
	}
	if startProbing {
		g.spawn(p.probeLoop)
	}
}

// impaired returns the services whose links are at fault, with the times since when.
func (p *runnerPaths) impaired() map[string]time.Time {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	services := map[string]time.Time{}
	for _, service := range p.paths.Impaired() {
		services[service] = p.paths.Since(service)
	}
	return services
}

// atFault reports whether this router's own links may have decided the outcome of a send.
func (p *runnerPaths) atFault(service string, sentAt time.Time) bool {
	now, count := p.gateway.now(), p.runnerCount(service)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.paths.AtFault(now, service, sentAt, count)
}

// reachesNone reports whether this router reaches no runner, as far as it knows.
func (p *runnerPaths) reachesNone() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.paths.ReachesNone()
}

// cutServices returns the services to which the links are cut.
func (p *runnerPaths) cutServices() (services []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, service := range p.paths.Impaired() {
		if p.paths.State(service) == egress.Cut {
			services = append(services, service)
		}
	}
	return services
}

// impairedServices returns the services whose links are not direct, sorted by name.
func (p *runnerPaths) impairedServices() []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return slices.Sorted(slices.Values(p.paths.Impaired()))
}

// areCut reports whether the links to all of the services are cut.
func (p *runnerPaths) areCut(services []string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, service := range services {
		if p.paths.State(service) != egress.Cut {
			return false
		}
	}
	return len(services) > 0
}
