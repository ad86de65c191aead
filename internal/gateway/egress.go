package gateway

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clovertiller/clovertiller/internal/egress"
	"github.com/clovertiller/clovertiller/internal/httpconn"
	"github.com/clovertiller/clovertiller/internal/wire"
)

const (
	// unservedTime is how long calls of a service are refused without a send after all egress routers
	// declined one.
	unservedTime = 500 * time.Millisecond
	// maxForwardTries limits how many egress routers one call is sent to, and maxCostlyForwards how many of
	// them may cost time, as they cannot be reached or wait for a scheduler. Others that decline answer at once.
	maxForwardTries   = 12
	maxCostlyForwards = 3
	// forwardDialTimeout bounds opening a connection to an egress router.
	forwardDialTimeout = 300 * time.Millisecond
)

// egressRouters forwards calls to other routers while this one cannot reach the runners of a service,
// and serves calls that other routers forward.
type egressRouters struct {
	gateway *Gateway
	// pool opens a connection to an egress router for each forwarded call.
	pool *httpconn.Pool
	// server serves forwarded calls, nil without peers. openCalls is the number of them.
	server    *callServer
	openCalls atomic.Int64

	mutex     sync.Mutex
	directory *egress.Directory
	selector  *egress.Selector
	// unservedUntil holds the services for which no egress router was found recently.
	unservedUntil map[string]time.Time
}

func newEgressRouters(g *Gateway) *egressRouters {
	return &egressRouters{
		gateway: g, pool: httpconn.NewPool(forwardDialTimeout), directory: egress.NewDirectory(),
		selector: egress.NewSelector(g.settings.Zone, g.distances), unservedUntil: map[string]time.Time{},
	}
}

// listen serves forwarded calls if there are peers.
func (e *egressRouters) listen() {
	transport := e.gateway.peerRouters.transport
	if transport == nil {
		return
	}
	e.server = e.gateway.newCallServer("forwarded calls", http.HandlerFunc(e.gateway.serveForwarded))
	e.server.serve(transport.Unframed())
}

// drain waits until the forwarded calls have ended, or until the context ends.
func (e *egressRouters) drain(ctx context.Context) error {
	if e.server == nil {
		return nil
	}
	return e.server.drain(ctx, e.gateway.callsCtx)
}

func (e *egressRouters) close() {
	if e.server != nil {
		e.server.Close()
	}
}

// bypasses reports whether the call is forwarded without an attempt of this router.
func (e *egressRouters) bypasses(c *call) bool {
	return !c.isForwarded() && e.bypassesService(c.service) && !e.waitsForRunners(c)
}

// bypassesService reports whether calls to the service are forwarded without an attempt of this router, unless other routers
// do not reach its runners either.
func (e *egressRouters) bypassesService(service string) bool {
	return e.gateway.paths.state(service) == egress.Cut && e.hasRouters()
}

// waitsForRunners reports whether a call to a cut service is sent to a runner all the same: its runners are only
// silent, and no other router has been found that reaches them.
func (e *egressRouters) waitsForRunners(c *call) bool {
	return e.gateway.paths.isOnlySilent(c.service) && (c.foundNoEgress || e.isUnserved(c.service))
}

// isUnreachable reports whether neither this router nor any other one that it knows reaches the service of the call, as all routers
// are cut. The probes find out when that ends.
func (e *egressRouters) isUnreachable(c *call) bool {
	return e.server != nil && c.continueAt == nil && e.gateway.paths.state(c.service) == egress.Cut && !e.gateway.paths.isOnlySilent(c.service) && (c.isForwarded() || !e.hasRouters())
}

// isUnserved reports whether no egress router took a call of the service recently.
func (e *egressRouters) isUnserved(service string) bool {
	now := e.gateway.now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return now.Before(e.unservedUntil[service])
}

// hasRouters reports whether this router knows any egress routers.
func (e *egressRouters) hasRouters() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.selector.Digest() != 0
}

// mayServe reports whether another router may serve a forwarded call of the service.
func (e *egressRouters) mayServe(service string) bool {
	now := e.gateway.now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return !now.Before(e.unservedUntil[service]) && e.selector.HasNext(now, service)
}

// mayOnlyReuse reports whether the call may be sent only on a kept connection, because no new one can be
// opened and the call can be forwarded.
func (e *egressRouters) mayOnlyReuse(c *call) bool {
	return !c.isForwarded() && e.gateway.paths.state(c.service) == egress.ReuseOnly && e.hasRouters()
}

// next returns the egress router to which a call of the service is forwarded, or false if there is none or
// enough were tried. Without one, calls of the service are refused at once for a while.
func (e *egressRouters) next(service string, tried []string, costly int) (egress.Router, bool) {
	now := e.gateway.now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if len(tried) >= maxForwardTries || costly >= maxCostlyForwards || now.Before(e.unservedUntil[service]) {
		return egress.Router{}, false
	}
	router, found := e.selector.Next(now, service, tried)
	if !found && len(tried) > 0 && !e.selector.HasNext(now, service) {
		e.unservedUntil[service] = now.Add(unservedTime)
		e.gateway.peerRouters.requestPull()
	}
	return router, found
}

// end records the end of a call that was forwarded at the given time.
func (e *egressRouters) end(service string, router egress.Router, result egress.Result, sentAt time.Time) {
	now := e.gateway.now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if result == egress.Unreachable && e.selector.HasServedSince(router.Address, sentAt) {
		// The router has restarted or its links were cut since.
		result = egress.Refused
	}
	e.selector.End(now, service, router.Address, result)
}

// refer adds the routers to which a router has referred that declined a call.
func (e *egressRouters) refer(routers []egress.Router) {
	now := e.gateway.now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.selector.Refer(now, slices.DeleteFunc(routers, func(router egress.Router) bool { return router.Address == e.self().Address }))
}

// referrals returns the routers that may serve a call of the service that this router declines.
func (e *egressRouters) referrals(service string) []egress.Router {
	now := e.gateway.now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.selector.Referrals(now, service)
}

// pathChanged is called when the state of the links to a service has changed. The router that this one pulls from has to
// know at once, so that it lists it no longer, or again. It returns the number of known egress routers.
func (e *egressRouters) pathChanged(service string) int {
	e.gateway.peerRouters.requestPull()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.unservedUntil, service)
	return len(e.selector.Routers())
}

// self returns this router as an egress router.
func (e *egressRouters) self() egress.Router {
	return egress.Router{Address: e.gateway.settings.PeerAddress, Zone: e.gateway.settings.Zone}
}

// reportedSelf returns this router as an egress router, with the services that it does not serve.
func (e *egressRouters) reportedSelf() egress.Router {
	self := e.self()
	self.Unserved = e.gateway.paths.impairedServices()
	return self
}

// accepts reports whether this router accepts forwarded calls.
func (e *egressRouters) accepts() bool {
	return e.server != nil && e.gateway.isReady() && !e.gateway.paths.reachesNone()
}

// report returns the report that this router adds to its pulls.
func (e *egressRouters) report() *wire.EgressReport {
	now, accepts, unserved := e.gateway.now(), e.accepts(), e.gateway.paths.impairedServices()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return &wire.EgressReport{
		Accepts: accepts, Unserved: unserved, ListDigest: e.selector.Digest(),
		Known: encodeEgressRouters(e.directory.Sample(now, e.gateway.settings.PeerAddress, egress.FromRouter)),
	}
}

// sample returns the egress routers that a seed reports to the other seeds.
func (e *egressRouters) sample() []*wire.EgressRouter {
	now, self, accepts := e.gateway.now(), e.reportedSelf(), e.accepts()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	routers := e.directory.Sample(now, self.Address, egress.FromRelay)
	if accepts {
		routers = append(routers, self)
	}
	return encodeEgressRouters(routers)
}

// learn records the egress routers that another router reported, in place of those that it reported before.
func (e *egressRouters) learn(reporter string, routers []*wire.EgressRouter, hops egress.Hops) {
	now, self := e.gateway.now(), e.self().Address
	reported := slices.DeleteFunc(decodeEgressRouters(routers), func(router egress.Router) bool { return router.Address == "" || router.Address == self })
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.directory.Replace(now, reporter, reported, hops)
}

// answerPull records a follower's report and returns its list of egress routers, nil if the list has not
// changed or the follower's version forwards no calls.
func (e *egressRouters) answerPull(pull *wire.CopyPull) *wire.EgressList {
	report, follower := pull.GetEgress(), egress.Router{Address: pull.GetPeerAddress(), Zone: pull.GetZone(), Unserved: pull.GetEgress().GetUnserved()}
	if report == nil || follower.Address == "" {
		return nil
	}
	e.learn(follower.Address, report.GetKnown(), egress.FromRelay)
	now, self, accepts := e.gateway.now(), e.reportedSelf(), e.accepts()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if report.GetAccepts() {
		e.directory.Add(now, follower)
	} else {
		e.directory.Remove(follower.Address)
	}
	additional := e.selector.Routers()
	if accepts {
		additional = append(additional, self)
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
	if e.selector.SetList(decodeEgressRouters(list.GetRouters())) {
		clear(e.unservedUntil)
	}
}

// refreshOwnList makes a seed's own list, which no other router sends it.
func (e *egressRouters) refreshOwnList() {
	now := e.gateway.now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.selector.SetList(e.directory.List(now, e.self(), nil))
}

// summary returns the egress routers and the number of open forwarded calls.
func (e *egressRouters) summary() (routers []EgressRouter, open int64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, router := range e.selector.Routers() {
		routers = append(routers, EgressRouter{Address: router.Address, Zone: router.Zone, Unserved: router.Unserved})
	}
	return routers, e.openCalls.Load()
}

func encodeEgressRouters(routers []egress.Router) (messages []*wire.EgressRouter) {
	for _, router := range routers {
		messages = append(messages, &wire.EgressRouter{Address: router.Address, Zone: router.Zone, Unserved: router.Unserved})
	}
	return messages
}

func decodeEgressRouters(messages []*wire.EgressRouter) (routers []egress.Router) {
	for _, message := range messages {
		routers = append(routers, egress.Router{Address: message.GetAddress(), Zone: message.GetZone(), Unserved: message.GetUnserved()})
	}
	return routers
}
