package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/egress"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/httpconn"
	"github.com/clovertiller/clovertiller/internal/wire"
)

const (
	// probeInterval is the interval of probes of a service whose links are at fault, and
	// slowProbeInterval the same once they have been for longer than slowProbesAfter. It is then more
	// likely that the service is down.
	probeInterval     = 250 * time.Millisecond
	slowProbeInterval = time.Second
	slowProbesAfter   = 15 * time.Second
	// probeTimeout bounds a probe. A runner's machine accepts a connection within some milliseconds.
	probeTimeout = 200 * time.Millisecond
	// unservedTime is how long calls of a service are refused without a send after all egress routers
	// declined one.
	unservedTime = 500 * time.Millisecond
	// maxForwardTries limits how many egress routers one call is sent to.
	maxForwardTries = 3
	// forwardDialTimeout bounds opening a connection to an egress router.
	forwardDialTimeout = 300 * time.Millisecond
)

// egressRouters forwards calls to other routers while this one cannot reach the runners of a service,
// and serves calls that other routers forward. It observes the links to the runners.
type egressRouters struct {
	gateway *Gateway
	// pool holds the connections to egress routers.
	pool *httpconn.Pool
	// server serves forwarded calls, nil without peers. openCalls is the number of them.
	server    *http.Server
	openCalls atomic.Int64

	mutex     sync.Mutex
	paths     *egress.Paths
	directory *egress.Directory
	selector  *egress.Selector
	// unservedUntil holds the services for which no egress router was found recently.
	unservedUntil map[string]time.Time
	// probing is set while probeLoop runs. nextVerifyAt is when a service whose links may be at fault is
	// probed again at the earliest.
	probing      bool
	nextVerifyAt map[string]time.Time
}

func newEgressRouters(g *Gateway) *egressRouters {
	pool := httpconn.NewPool(forwardDialTimeout)
	pool.SilenceTimeout = runnerSilenceTimeout
	return &egressRouters{
		gateway: g, pool: pool, paths: egress.NewPaths(), directory: egress.NewDirectory(),
		selector: egress.NewSelector(g.settings.Zone, g.distances), unservedUntil: map[string]time.Time{}, nextVerifyAt: map[string]time.Time{},
	}
}

// listen serves forwarded calls if there are peers.
func (e *egressRouters) listen() {
	transport := e.gateway.peerRouters.transport
	if transport == nil {
		return
	}
	e.server = newCallerServer(http.HandlerFunc(e.gateway.serveForwarded))
	go e.server.Serve(transport.Unframed())
}

// shutdown waits until the forwarded calls have ended, or until the context ends.
func (e *egressRouters) shutdown(ctx context.Context) error {
	if e.server == nil {
		return nil
	}
	return e.server.Shutdown(ctx)
}

func (e *egressRouters) close() {
	if e.server != nil {
		e.server.Close()
	}
}

// runnerCount returns the number of runners of a service that are not leaving, as far as it matters.
func (e *egressRouters) runnerCount(service string) int {
	e.gateway.mutex.Lock()
	defer e.gateway.mutex.Unlock()
	return e.gateway.runners.CountActive(service, egress.MaxRunnersCounted)
}

// pathState returns the state of the links to a service. If the service is silent, it starts to verify
// that.
func (e *egressRouters) pathState(service string) egress.State {
	now, count := e.gateway.now(), e.runnerCount(service)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.paths.IsSilent(now, service, count) {
		e.verify(now, service, "")
	}
	return e.paths.State(service)
}

// verify probes a runner of the service, unless that was done a moment ago. failed is a runner that need not be
// probed, or empty. The mutex must be held.
func (e *egressRouters) verify(now time.Time, service, failed string) {
	if now.Before(e.nextVerifyAt[service]) {
		return
	}
	e.nextVerifyAt[service] = now.Add(probeInterval)
	e.gateway.spawn(func() { e.probe(service, failed) })
}

// bypasses reports whether a call to the service is forwarded without an attempt of this router.
func (e *egressRouters) bypasses(service string) bool {
	return e.pathState(service) == egress.Cut && e.hasRouters()
}

// hasRouters reports whether this router knows any egress routers.
func (e *egressRouters) hasRouters() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.selector.Digest() != 0
}

// probe asks a random runner of the service, other than the excluded one, for any response and records the
// result.
func (e *egressRouters) probe(service, excluded string) (answered bool) {
	g := e.gateway
	g.mutex.Lock()
	runners := g.runners.Listed(service)
	g.mutex.Unlock()
	if len(runners) > 1 {
		runners = slices.DeleteFunc(runners, func(r backend.Runner) bool { return r.ID == excluded })
	}
	if len(runners) == 0 {
		return false
	}
	runner := runners[rand.IntN(len(runners))]
	ctx, cancel := context.WithTimeout(g.ctx, probeTimeout)
	defer cancel()
	err := g.ports.Runners.Reaches(ctx, runner)
	if g.ctx.Err() != nil {
		return false
	}
	g.metrics.pathProbes.WithLabelValues(service, outcomeLabel(err == nil)).Inc()
	now, count, changed := g.now(), e.runnerCount(service), false
	e.mutex.Lock()
	if err == nil {
		changed = e.paths.Answered(now, service, runner.ID, count)
	} else {
		e.paths.OpenFailed(now, service, runner.ID)
		confirmed := e.paths.ConfirmSilence(now, service, count)
		changed = e.paths.Evaluate(now, service, count) || confirmed
	}
	e.mutex.Unlock()
	e.handleChange(service, changed)
	return err == nil
}

// beginWait records that a send to the runner waits for its response.
func (e *egressRouters) beginWait(runner backend.Runner) *egress.Wait {
	now := e.gateway.now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.paths.BeginWait(now, runner.Service, runner.ID)
}

func (e *egressRouters) endWait(wait *egress.Wait) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.paths.EndWait(wait)
}

// mayOnlyReuse reports whether the call may be sent only on a kept connection, because no new one can be
// opened and the call can be forwarded.
func (e *egressRouters) mayOnlyReuse(c *call) bool {
	return !c.isForwarded() && e.pathState(c.service) == egress.ReuseOnly && e.hasRouters()
}

// heardSince reports whether anything was heard from the service after the given time.
func (e *egressRouters) heardSince(service string, since time.Time) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.paths.HeardSince(service, since)
}

// heardFromOthers reports whether a runner of another service than the given runner's has been heard from
// since the given time.
func (e *egressRouters) heardFromOthers(runner backend.Runner, since time.Time) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.paths.HeardFromOtherServices(runner.Service, since)
}

// heard records that a runner of the service sent something.
func (e *egressRouters) heard(service string, isNewConnection bool) {
	now := e.gateway.now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.paths.Heard(now, service, isNewConnection)
}

// connectionFailed records that a connection to the runner could not be opened or broke. isNew is set if it
// has not brought anything.
func (e *egressRouters) connectionFailed(runner backend.Runner, isNew bool) {
	now, count := e.gateway.now(), e.runnerCount(runner.Service)
	e.mutex.Lock()
	if isNew {
		e.paths.OpenFailed(now, runner.Service, runner.ID)
		e.verify(now, runner.Service, runner.ID)
	} else {
		e.paths.ConnectionLost(now, runner.Service, runner.ID)
	}
	changed := e.paths.Evaluate(now, runner.Service, count)
	e.mutex.Unlock()
	e.handleChange(runner.Service, changed)
}

// handleChange handles a change of the state of the links to a service.
func (e *egressRouters) handleChange(service string, changed bool) {
	if !changed {
		return
	}
	g := e.gateway
	e.mutex.Lock()
	state, routers := e.paths.State(service), len(e.selector.Routers())
	startProbing := state != egress.Direct && !e.probing
	e.probing = e.probing || startProbing
	delete(e.unservedUntil, service)
	e.mutex.Unlock()
	g.log.Log(events.PathStateChanged, events.Fields{"service": service, "state": state.String(), "egress_routers": routers})
	if state != egress.Direct {
		g.mutex.Lock()
		g.runners.ForgetUnreachable(service)
		g.mutex.Unlock()
	}
	if startProbing {
		g.spawn(e.probeLoop)
	}
}

// probeLoop probes the services whose links are at fault until there are none.
func (e *egressRouters) probeLoop() {
	for {
		interval, impaired := slowProbeInterval, e.impaired()
		if len(impaired) == 0 {
			return
		}
		for service, since := range impaired {
			// A second runner must accept, so it is probed at once.
			if e.probe(service, "") {
				e.probe(service, "")
			}
			if e.gateway.now().Sub(since) < slowProbesAfter {
				interval = probeInterval
			}
		}
		if !e.gateway.pause(e.gateway.jitter(interval)) {
			return
		}
	}
}

// impaired returns the services whose links are at fault, with the times since when. If there are none,
// it records that probeLoop ends.
func (e *egressRouters) impaired() map[string]time.Time {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	services := map[string]time.Time{}
	for _, service := range e.paths.Impaired() {
		services[service] = e.paths.Since(service)
	}
	e.probing = len(services) > 0
	return services
}

// atFault reports whether this router's own links may have decided the outcome of a send.
func (e *egressRouters) atFault(service string, sentAt time.Time) bool {
	now, count := e.gateway.now(), e.runnerCount(service)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.paths.AtFault(now, service, sentAt, count)
}

// reachesNone reports whether this router reaches no runner, as far as it knows.
func (e *egressRouters) reachesNone() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.paths.ReachesNone()
}

// cutServices returns the services to which the links are cut.
func (e *egressRouters) cutServices() (services []string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, service := range e.paths.Impaired() {
		if e.paths.State(service) == egress.Cut {
			services = append(services, service)
		}
	}
	return services
}

// areCut reports whether the links to all of the services are cut.
func (e *egressRouters) areCut(services []string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, service := range services {
		if e.paths.State(service) != egress.Cut {
			return false
		}
	}
	return len(services) > 0
}

// next returns the egress router to which a call of the service is forwarded, or false if there is none or
// enough were tried.
func (e *egressRouters) next(service string, tried []string) (egress.Router, bool) {
	now := e.gateway.now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if len(tried) >= maxForwardTries || now.Before(e.unservedUntil[service]) {
		return egress.Router{}, false
	}
	return e.selector.Next(now, tried)
}

// end records the end of a forwarded call.
func (e *egressRouters) end(router egress.Router, failed bool) {
	now := e.gateway.now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.selector.End(now, router.Address, failed)
}

// recordUnserved records that no egress router took a call of the service.
func (e *egressRouters) recordUnserved(service string) {
	now := e.gateway.now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.unservedUntil[service] = now.Add(unservedTime)
}

// accepts reports whether this router accepts forwarded calls.
func (e *egressRouters) accepts() bool {
	return e.server != nil && e.gateway.isReady() && !e.reachesNone()
}

// report returns the report that this router adds to its pulls.
func (e *egressRouters) report() *wire.EgressReport {
	now, accepts := e.gateway.now(), e.accepts()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return &wire.EgressReport{
		Accepts: accepts, ListDigest: e.selector.Digest(),
		Known: encodeEgressRouters(e.directory.Sample(now, e.gateway.settings.PeerAddress, egress.FromRouter)),
	}
}

// sample returns the egress routers that a seed reports to the other seeds.
func (e *egressRouters) sample() []*wire.EgressRouter {
	now, settings := e.gateway.now(), e.gateway.settings
	accepts := e.accepts()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	routers := e.directory.Sample(now, settings.PeerAddress, egress.FromRelay)
	if accepts {
		routers = append(routers, egress.Router{Address: settings.PeerAddress, Zone: settings.Zone})
	}
	return encodeEgressRouters(routers)
}

// learn records egress routers that another router reported.
func (e *egressRouters) learn(routers []*wire.EgressRouter, hops egress.Hops) {
	now := e.gateway.now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, router := range routers {
		if router.GetAddress() != "" && router.GetAddress() != e.gateway.settings.PeerAddress {
			e.directory.Add(now, egress.Router{Address: router.GetAddress(), Zone: router.GetZone()}, hops)
		}
	}
}

// answerPull records a follower's report and returns its list of egress routers, nil if the list has not
// changed or the follower's version forwards no calls.
func (e *egressRouters) answerPull(pull *wire.CopyPull) *wire.EgressList {
	report, follower := pull.GetEgress(), egress.Router{Address: pull.GetPeerAddress(), Zone: pull.GetZone()}
	if report == nil || follower.Address == "" {
		return nil
	}
	e.learn(report.GetKnown(), egress.FromRelay)
	now, accepts, settings := e.gateway.now(), e.accepts(), e.gateway.settings
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if report.GetAccepts() {
		e.directory.Add(now, follower, egress.FromRouter)
	} else {
		e.directory.Remove(follower.Address)
	}
	additional := e.selector.Routers()
	if accepts {
		additional = append(additional, egress.Router{Address: settings.PeerAddress, Zone: settings.Zone})
	}
	list := e.directory.List(now, follower, additional)
	if digest := egress.Digest(list); digest != report.GetListDigest() && len(list) > 0 {
		return &wire.EgressList{Digest: digest, Routers: encodeEgressRouters(list)}
	}
	return nil
}

// receiveList applies the list in the answer to a pull.
func (e *egressRouters) receiveList(list *wire.EgressList) {
	if list == nil {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.selector.SetList(decodeEgressRouters(list.GetRouters()))
}

// refreshOwnList makes a seed's own list, which no other router sends it.
func (e *egressRouters) refreshOwnList() {
	now, settings := e.gateway.now(), e.gateway.settings
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.selector.SetList(e.directory.List(now, egress.Router{Address: settings.PeerAddress, Zone: settings.Zone}, nil))
}

// summary returns the impaired paths, the egress routers and the number of open forwarded calls.
func (e *egressRouters) summary(now time.Time) (paths []PathStatus, routers []EgressRouter, open int64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, service := range slices.Sorted(slices.Values(e.paths.Impaired())) {
		paths = append(paths, PathStatus{Service: service, State: e.paths.State(service).String(), ForMillis: now.Sub(e.paths.Since(service)).Milliseconds()})
	}
	for _, router := range e.selector.Routers() {
		routers = append(routers, EgressRouter(router))
	}
	return paths, routers, e.openCalls.Load()
}

func encodeEgressRouters(routers []egress.Router) (messages []*wire.EgressRouter) {
	for _, router := range routers {
		messages = append(messages, &wire.EgressRouter{Address: router.Address, Zone: router.Zone})
	}
	return messages
}

func decodeEgressRouters(messages []*wire.EgressRouter) (routers []egress.Router) {
	for _, message := range messages {
		routers = append(routers, egress.Router{Address: message.GetAddress(), Zone: message.GetZone()})
	}
	return routers
}
