package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/clovertiller/clovertiller/internal/admission"
	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/peers"
	"github.com/clovertiller/clovertiller/internal/placement"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// ledgerSlack is how much longer than its deadline a placed request may take to be
// told to have ended.
const ledgerSlack = time.Second

// schedulers lets few routers choose the runners of all requests, so that each choice
// is made by somebody who knows what has been placed on the runners: the seeds of the
// settings. A router asks the nearest one and tells it when the runner answers and how
// the request ends; schedulers tell each other their sums. A router that gets no
// answer in time chooses by itself, by what it knows of its own requests.
type schedulers struct {
	gateway *Gateway
	mutex   sync.Mutex
	ranking *peers.Ranking
	// sends numbers the requests of this router.
	sends atomic.Uint64
	// ledger holds the requests placed for others. The gateway's mutex guards it.
	ledger *backend.PlacedSends
}

func newSchedulers(g *Gateway) *schedulers {
	s := &schedulers{gateway: g, ranking: peers.NewRanking(g.settings.PeerAddress, g.settings.Zone), ledger: backend.NewPlacedSends(g.runners)}
	s.setSchedulers(g.settings.Seeds)
	return s
}

// setSchedulers takes over the routers that place requests for others.
func (s *schedulers) setSchedulers(seeds []string) {
	s.mutex.Lock()
	s.ranking.Set(seeds)
	parts := 0
	if s.ranking.HasSelf() {
		parts = s.ranking.Count()
	}
	s.mutex.Unlock()
	s.gateway.setPermits(len(seeds) == 0 || s.gateway.settings.PeerAddress == "", parts)
}

// nearest returns the scheduler to ask, or "" when this router is to choose itself.
func (s *schedulers) nearest(now time.Time) string {
	if s.gateway.relays.transport == nil {
		return ""
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	order := s.ranking.Order(now)
	if len(order) == 0 || order[0] == s.gateway.settings.PeerAddress || s.ranking.Silent(now, order[0]) {
		return ""
	}
	return order[0]
}

// place chooses a runner for another router. One that is stopping or whose
// configuration or directory is not proved declines, as it may not know which runners
// there are.
func (s *schedulers) place(envelope *wire.Envelope, ask *wire.RunnerAsk) *wire.RunnerAnswer {
	g, now := s.gateway, s.gateway.now()
	if g.draining.Load() || !g.configIsProven(now) || g.copies.behind(now, validAfterProof(g.settings.ConfigLease)) || !s.places() {
		return &wire.RunnerAnswer{Declined: true}
	}
	query := queryOf(ask)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	left := time.Duration(ask.GetLeftMillis()) * time.Millisecond
	chosen, limit, forShare := g.decide(now, query, left)
	answer := &wire.RunnerAnswer{
		Zone: g.settings.Zone, QueueMillis: uint32(max(chosen.QueueWait.Milliseconds(), 0)),
		MaxQueueMillis: uint32(limit.MaxQueue.Milliseconds()), YieldPercent: uint32(percent * limit.PriorityFactor), Returned: limit.Returned,
		ExcessPercent: excessMessage(limit.Excess), ForShare: forShare,
	}
	if chosen.Status == placement.Overloaded {
		answer.Overloaded, answer.RetryAfterMillis = true, uint32(chosen.RetryAfter.Milliseconds())
		return answer
	}
	if chosen.Status == placement.AllHeldBack {
		answer.HeldBack, answer.RetryAfterMillis = true, uint32(chosen.RetryAfter.Milliseconds())
		return answer
	}
	if chosen.Status != placement.Picked {
		return answer
	}
	answer.Permitted = g.grant(now, query.Service, chosen.Candidate.Name).Valid(now)
	key := backend.SendKey{Router: envelope.GetFrom(), Incarnation: envelope.GetFromIncarnation(), Number: ask.GetSend()}
	s.ledger.Begin(now, key, chosen.Candidate.Name, max(query.PromptTokens-chosen.Candidate.CachedTokens, 0), query, left+ledgerSlack)
	answer.Runner, answer.CachedTokens = chosen.Candidate.Name, uint32(chosen.Candidate.CachedTokens)
	answer.WaitMillis, answer.PendingRequests = uint32(max(chosen.Wait.Milliseconds(), 0)), uint32(chosen.Candidate.PendingRequests)
	return answer
}

// places tells whether this router places requests for others.
func (s *schedulers) places() bool {
	if s.gateway.relays.transport == nil {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.ranking.HasSelf()
}

func queryOf(ask *wire.RunnerAsk) backend.Query {
	query := backend.Query{
		Service: ask.GetService(), Model: ask.GetModel(), Owner: ask.GetOwner(), PromptTokens: int(ask.GetPromptTokens()),
		Family: ask.GetFamily(), Excluded: ask.GetExcluded(), Zone: ask.GetZone(),
		MaxQueueTime:  time.Duration(ask.GetMaxQueueMillis()) * time.Millisecond,
		TargetLatency: time.Duration(ask.GetTargetMillis()) * time.Millisecond,
		MaxEventGap:   time.Duration(ask.GetGapMillis()) * time.Millisecond,
		Rank:          admission.Rank{Tier: int(ask.GetTier()), Route: int(ask.GetRouteRank())},
		Tenant:        ask.GetTenant(), MaxTokens: int(ask.GetMaxTokens()),
		Ticket: ask.GetTicket(), SuspectContent: ask.GetSuspect(),
	}
	for i, runner := range ask.GetResting() {
		if i < len(ask.GetRestingMillis()) {
			left := time.Duration(ask.GetRestingMillis()[i]) * time.Millisecond
			query.Resting = append(query.Resting, backend.RestingRunner{Runner: runner, Remaining: left})
		}
	}
	for i, part := range ask.GetParts() {
		if i < len(ask.GetDepths()) {
			query.SharedTokens = int(ask.GetDepths()[i])
			query.Shared = append(query.Shared, backend.SharedPart{ID: part, Depth: query.SharedTokens})
		}
	}
	return query
}

// noticed takes another router's word on a request that was placed for it.
func (s *schedulers) noticed(envelope *wire.Envelope, notice *wire.SendNotice) {
	key := backend.SendKey{Router: envelope.GetFrom(), Incarnation: envelope.GetFromIncarnation(), Number: notice.GetSend()}
	outcome := backend.Outcome(min(notice.GetOutcome(), uint32(backend.NotConfirmed)))
	s.gateway.mutex.Lock()
	defer s.gateway.mutex.Unlock()
	s.ledger.LearnVersion(key, notice.GetWeights())
	if notice.GetEnded() {
		if query, send, found := s.ledger.Get(key); found {
			s.gateway.shares.refund(s.gateway.now(), query, send, outcome)
		}
		s.ledger.AvoidRunner(s.gateway.now(), key, time.Duration(notice.GetRestMillis())*time.Millisecond)
		s.ledger.End(s.gateway.now(), key, outcome)
		return
	}
	s.ledger.FirstResponse(s.gateway.now(), key)
}

// open counts the requests placed for others that have not ended.
func (s *schedulers) open() float64 {
	s.gateway.mutex.Lock()
	defer s.gateway.mutex.Unlock()
	return float64(s.ledger.Len())
}
