package gateway

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clovertiller/clovertiller/internal/admission"
	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/peers"
	"github.com/clovertiller/clovertiller/internal/placement"
	"github.com/clovertiller/clovertiller/internal/rolloutdriver"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// placedSendSlack is how long after the deadline of a placed request its router may still report
// the end of it.
const placedSendSlack = time.Second

// schedulers is the client and server side of central placement. A few routers choose the runners for
// the requests of all routers, so that each choice takes into account what has been placed on the
// runners. They are the seeds of the settings and, where regions are configured, the standby schedulers
// of each region. A router asks the nearest scheduler and reports to it when the runner responds and
// how the request ends; schedulers exchange the loads that they have placed. A router that gets no
// answer in time chooses a runner itself, knowing only its own requests.
type schedulers struct {
	gateway *Gateway
	mutex   sync.Mutex
	ranking *peers.Ranking
	// regionList is the list of the own region's schedulers. It is empty at seeds, which make the lists
	// of their followers.
	regionList *peers.SchedulerList
	// loadExchange decides with whom loads are exchanged. It is used where regions are configured.
	loadExchange *peers.LoadExchange
	// activated receives a value when this router, as a standby scheduler, is asked for the first time
	// in a while.
	activated chan struct{}
	// lastSendNumber is the number of this router's last placement request.
	lastSendNumber atomic.Uint64
	// placedSends holds the open requests that this router placed for others. The gateway's mutex
	// guards it.
	placedSends *backend.PlacedSends
}

func newSchedulers(g *Gateway) *schedulers {
	s := &schedulers{
		gateway: g, regionList: &peers.SchedulerList{}, loadExchange: peers.NewLoadExchange(g.settings.PeerAddress, g.settings.Region), activated: make(chan struct{}, 1),
		ranking: peers.NewRanking(g.settings.PeerAddress, g.settings.Zone, g.distances), placedSends: backend.NewPlacedSends(g.runners),
	}
	s.setSchedulers(g.settings.Seeds)
	return s
}

// setSchedulers sets the addresses of the routers that place requests for others.
func (s *schedulers) setSchedulers(addresses []string) {
	s.mutex.Lock()
	s.ranking.Set(addresses)
	count := 0
	if s.ranking.IncludesSelf() {
		count = s.ranking.Len()
		s.regionList = &peers.SchedulerList{}
		s.ranking.SetListed(nil)
	}
	s.mutex.Unlock()
	s.gateway.configurePermits(len(addresses) == 0 || s.gateway.settings.PeerAddress == "", count)
}

// order returns the addresses of the schedulers to ask, the best first. It is empty if this router
// has to choose runners itself. Where regions are configured, they are the schedulers of the own
// region: the answer of another one would come too late. Without regions it is the nearest scheduler.
func (s *schedulers) order(now time.Time) []string {
	if s.gateway.peerRouters.transport == nil {
		return nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.gateway.distances.HasRegions() {
		return s.regionOrder(now)
	}
	order := s.ranking.Order(now)
	if len(order) == 0 || order[0] == s.gateway.settings.PeerAddress || s.ranking.IsSilent(now, order[0]) {
		return nil
	}
	return order[:1]
}

// seedsInOrder returns the addresses of all seeds, the best first, without those that are silent.
func (s *schedulers) seedsInOrder(now time.Time) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.DeleteFunc(s.ranking.Order(now), func(address string) bool {
		return address == s.gateway.settings.PeerAddress || s.ranking.IsSilent(now, address)
	})
}

// regionOrder returns the schedulers of the own region to ask before this router chooses itself. The
// mutex must be held.
func (s *schedulers) regionOrder(now time.Time) []string {
	order := s.ranking.RegionOrder(now)
	last := len(order) - 1
	if last < 0 || order[last] != s.gateway.settings.PeerAddress {
		return order
	}
	if last == 0 {
		// It is its own scheduler, and the other schedulers need to know what it places.
		s.recordAsked(now)
	}
	return order[:last]
}

// place chooses a runner for another router. It declines if this router is shutting down, its directory is
// incomplete, or its configuration or directory is not proved to be current, because it may then not know
// which runners exist.
func (s *schedulers) place(envelope *wire.Envelope, message *wire.RunnerAsk) *wire.RunnerAnswer {
	g, now := s.gateway, s.gateway.now()
	if g.draining.Load() || g.copies.hasPartialDirectory() || !g.configIsProven(now) || g.copies.anyOlderThan(now, validAfterProof(g.settings.ConfigLease)) || !s.acceptsRequests(now) {
		return &wire.RunnerAnswer{Declined: true}
	}
	query := decodePlacementQuery(message)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	timeLeft := time.Duration(message.GetLeftMillis()) * time.Millisecond
	pick, limit, forShare := g.placeRequest(now, &query, timeLeft)
	answer := &wire.RunnerAnswer{
		Zone: g.settings.Zone, QueueMillis: uint32(max(pick.QueueWait.Milliseconds(), 0)),
		MaxQueueMillis: uint32(limit.MaxQueue.Milliseconds()), YieldPercent: uint32(percent * limit.PriorityFactor), Returned: limit.Returned,
		ExcessPercent: encodeExcess(limit.Excess), ForShare: forShare,
	}
	answer.ReachedByOthers = pick.Status != placement.Picked && slices.ContainsFunc(query.Unreachable, func(runner string) bool {
		return g.runners.MayAnswerOthers(now, runner, envelope.GetFrom())
	})
	if pick.Status == placement.Overloaded {
		answer.Overloaded, answer.RetryAfterMillis = true, uint32(pick.RetryAfter.Milliseconds())
		return answer
	}
	if pick.Status == placement.AllHeldBack {
		answer.HeldBack, answer.RetryAfterMillis = true, uint32(pick.RetryAfter.Milliseconds())
		return answer
	}
	if pick.Status != placement.Picked {
		return answer
	}
	answer.Version, answer.LeaveReason = query.TargetVersion, uint32(pick.LeaveReason)
	answer.Permitted = g.grantPermit(now, query.Service, pick.Candidate.Name).Valid(now)
	key := backend.SendKey{Router: envelope.GetFrom(), Incarnation: envelope.GetFromIncarnation(), Number: message.GetSend()}
	s.placedSends.Begin(now, key, pick.Candidate.Name, max(query.PromptTokens-pick.Candidate.CachedTokens, 0), query, timeLeft+placedSendSlack)
	answer.Runner, answer.CachedTokens = pick.Candidate.Name, uint32(pick.Candidate.CachedTokens)
	answer.WaitMillis, answer.PendingRequests = uint32(max(pick.Wait.Milliseconds(), 0)), uint32(pick.Candidate.PendingRequests)
	return answer
}

// recordZone records the zone that a scheduler named in its answer to a pull. Without regions the
// order of schedulers depends on answers to placement requests only.
func (s *schedulers) recordZone(scheduler, zone string) {
	if !s.gateway.distances.HasRegions() {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ranking.RecordZone(scheduler, zone)
}

// isScheduler reports whether this router is a seed, and thereby places requests for others, grants
// permits and tests new versions.
func (s *schedulers) isScheduler() bool {
	if s.gateway.peerRouters.transport == nil {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.ranking.IncludesSelf()
}

// decodePlacementQuery returns the query that encodePlacementQuery encoded.
func decodePlacementQuery(message *wire.RunnerAsk) backend.Query {
	query := backend.Query{
		Service: message.GetService(), Model: message.GetModel(), Owner: message.GetOwner(), PromptTokens: int(message.GetPromptTokens()),
		Family: message.GetFamily(), Excluded: message.GetExcluded(), Zone: message.GetZone(),
		MaxQueueTime:  time.Duration(message.GetMaxQueueMillis()) * time.Millisecond,
		LatencyTarget: time.Duration(message.GetTargetMillis()) * time.Millisecond,
		MaxEventGap:   time.Duration(message.GetGapMillis()) * time.Millisecond,
		Rank:          admission.Rank{Tier: int(message.GetTier()), Route: int(message.GetRouteRank())},
		Tenant:        message.GetTenant(), MaxTokens: int(message.GetMaxTokens()),
		Ticket: message.GetTicket(), SuspectContent: message.GetSuspect(), Route: message.GetRoute(), BoundVersion: message.GetBoundVersion(),
		Unreachable: message.GetUnreachable(),
	}
	for i, runner := range message.GetResting() {
		if i < len(message.GetRestingMillis()) {
			remaining := time.Duration(message.GetRestingMillis()[i]) * time.Millisecond
			query.Backoffs = append(query.Backoffs, backend.RunnerBackoff{Runner: runner, Remaining: remaining})
		}
	}
	for i, part := range message.GetParts() {
		if i < len(message.GetDepths()) {
			query.SharedTokens = int(message.GetDepths()[i])
			query.Shared = append(query.Shared, backend.SharedPart{ID: part, Depth: query.SharedTokens})
		}
	}
	return query
}

// handleSendNotice applies another router's report on a request that was placed for it.
func (s *schedulers) handleSendNotice(envelope *wire.Envelope, notice *wire.SendNotice) {
	key := backend.SendKey{Router: envelope.GetFrom(), Incarnation: envelope.GetFromIncarnation(), Number: notice.GetSend()}
	outcome := backend.Outcome(min(notice.GetOutcome(), uint32(backend.NotConfirmed)))
	s.gateway.mutex.Lock()
	defer s.gateway.mutex.Unlock()
	s.placedSends.LearnVersion(key, notice.GetWeights())
	if notice.GetEnded() {
		if query, send, found := s.placedSends.Get(key); found {
			s.gateway.metrics.observePlacedSendEnd(outcome, notice.GetNotSent(), send.Responded(), s.gateway.now().Sub(send.SentAt()))
			s.gateway.fairShares.refund(s.gateway.now(), query, send, outcome)
			s.gateway.rolloutDriver.RecordOutcome(s.gateway.now(), query, send, rolloutdriver.SendEnd{
				Outcome: outcome, NotSent: notice.GetNotSent(), ConnectionLost: notice.GetConnectionLost(), RoundTrip: s.gateway.runners.RoundTrip(query.Zone, send),
			})
		}
		s.placedSends.AvoidRunner(s.gateway.now(), key, time.Duration(notice.GetRestMillis())*time.Millisecond)
		s.placedSends.End(s.gateway.now(), key, outcome)
		return
	}
	s.placedSends.FirstResponse(s.gateway.now(), key)
	s.gateway.streams.receiveNotice(notice.GetStream())
}

// placedCount returns the number of open requests that this router placed for others.
func (s *schedulers) placedCount() float64 {
	s.gateway.mutex.Lock()
	defer s.gateway.mutex.Unlock()
	return float64(s.placedSends.Len())
}
