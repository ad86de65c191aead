package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/quota"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// quotas keeps tenants to their limits: it asks those routers that keep them, and
// keeps a part itself if it is one of them.
type quotas struct {
	gateway *Gateway
	mutex   sync.Mutex
	asker   *quota.Asker
	keeper  *quota.Keeper
}

func newQuotas(g *Gateway) *quotas {
	q := &quotas{
		gateway: g, keeper: quota.NewKeeper(g.started),
		asker: quota.NewAsker(g.settings.PeerAddress, g.settings.Zone, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
	q.asker.Heard(g.started)
	q.setKeepers(g.settings.Seeds)
	return q
}

// setKeepers takes over the routers that keep limits. A router without any others
// keeps them alone.
func (q *quotas) setKeepers(seeds []string) {
	if q.gateway.settings.PeerAddress == "" {
		seeds = []string{q.gateway.settings.PeerAddress}
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.asker.Keepers().Set(seeds)
}

// spending is what one call spends of its tenant's limit.
type spending struct {
	tenant string
	amount float64
	limit  quota.Limit
}

// Who decided about a spending, in logs and counters.
const (
	decidedByKeeper = "keeper"
	// decidedEarlier: all keepers have just refused the tenant.
	decidedEarlier = "earlier refusal"
	// decidedAlone: no keeper answered in time.
	decidedAlone = "alone"
	// decidedBySize: the request is larger than the limit ever allows.
	decidedBySize = "size"
)

// quotaDecision is the outcome for one call.
type quotaDecision struct {
	quota.Answer
	by string
	// keeper is whose part was spent from, empty when none was.
	keeper string
	// spent is what the keepers that refused had granted within the window, and belowLimit
	// is set when all parts refused though the limit as a whole had room.
	spent      float64
	belowLimit bool
}

// decide asks the keepers, the nearest first, until one grants the spending, all
// have refused it or the time to wait is over. That time begins when the caller's
// request is there: until then answers may queue behind it on this router's link.
func (q *quotas) decide(ctx context.Context, s spending, arrived <-chan struct{}) quotaDecision {
	now := time.Now()
	if s.amount > s.limit.Most() {
		return quotaDecision{by: decidedBySize}
	}
	q.mutex.Lock()
	order, retryAfter := q.asker.Order(now, s.tenant)
	parts := q.asker.Parts()
	hedge, reachable := q.asker.Keepers().Hedge(), q.asker.Keepers().Reachable(now)
	q.mutex.Unlock()
	earlier := quotaDecision{by: decidedEarlier, Answer: quota.Answer{RetryAfter: retryAfter}}
	if len(order) == 0 {
		return earlier
	}
	if reachable {
		if decision, answered := q.askInOrder(ctx, s, order, parts, hedge, arrived); answered {
			return decision
		}
	} else {
		q.probe(s, order[0])
	}
	if retryAfter > 0 {
		// Some have just refused, and the others do not answer.
		return earlier
	}
	return quotaDecision{by: decidedAlone, Answer: q.decideAlone(s)}
}

// probe asks a silent keeper without waiting for it, to find out when it is back.
func (q *quotas) probe(s spending, keeper string) {
	done := make(chan struct{})
	close(done)
	go q.ask(s, keeper, nil, done)
}

// keeperAnswer is what came of one question.
type keeperAnswer struct {
	quota.Answer
	keeper string
	// silent is true when no answer came.
	silent bool
}

// questions are those of one call to keepers.
type questions struct {
	quotas   *quotas
	spending spending
	// order holds the keepers to ask, and asked how many of them were.
	order []string
	asked int
	// open holds those that have not answered yet.
	open    map[string]bool
	answers chan keeperAnswer
	// done is closed when nobody waits for answers any more.
	done chan struct{}
}

// ask asks so many of the keepers that are left.
func (a *questions) ask(count int) {
	for ; count > 0 && a.asked < len(a.order); count-- {
		keeper := a.order[a.asked]
		a.asked++
		a.open[keeper] = true
		go a.quotas.ask(a.spending, keeper, a.answers, a.done)
	}
}

// askInOrder asks the nearest keeper, the next one at once after a refusal, and all
// that are left if there is no answer within the hedge. It returns false when nobody
// has answered within another hedge.
func (q *quotas) askInOrder(ctx context.Context, s spending, order []string, parts int, hedge time.Duration, arrived <-chan struct{}) (quotaDecision, bool) {
	a := &questions{quotas: q, spending: s, order: order, open: map[string]bool{}, answers: make(chan keeperAnswer), done: make(chan struct{})}
	defer close(a.done)
	var patience <-chan time.Time
	best, refused, refusals := quotaDecision{by: decidedByKeeper}, false, 0
	for a.ask(1); len(a.open) > 0; {
		select {
		case answer := <-a.answers:
			delete(a.open, answer.keeper)
			if answer.Granted {
				return quotaDecision{Answer: answer.Answer, by: decidedByKeeper, keeper: answer.keeper}, true
			}
			if !answer.silent {
				refusals++
				best.spent += answer.Spent
				best.belowLimit = refusals == parts && s.limit.Allows(best.spent, s.amount)
			}
			if !answer.silent && (!refused || answer.RetryAfter < best.RetryAfter) {
				best.Answer, refused = answer.Answer, true
			}
			a.ask(1)
		case <-arrived:
			arrived, patience = nil, time.After(hedge)
		case <-patience:
			// Those that have not answered are asked last for a while.
			q.silent(a.open)
			if a.asked == len(order) {
				return best, refused
			}
			a.ask(len(order))
			patience = time.After(hedge)
		case <-ctx.Done():
			return best, refused
		}
	}
	return best, refused
}

// ask asks one keeper. A grant that nobody waits for any more is given back.
func (q *quotas) ask(s spending, keeper string, answers chan<- keeperAnswer, done <-chan struct{}) {
	answer, known := q.askKeeper(s, keeper)
	select {
	case answers <- keeperAnswer{Answer: answer, keeper: keeper, silent: !known}:
	case <-done:
		if answer.Granted {
			q.giveBack(s, keeper)
		}
	}
}

// askKeeper returns a keeper's answer, or false when it gave none.
func (q *quotas) askKeeper(s spending, keeper string) (quota.Answer, bool) {
	g := q.gateway
	if keeper == g.settings.PeerAddress {
		q.mutex.Lock()
		defer q.mutex.Unlock()
		return q.note(keeper, s, q.keeper.Ask(time.Now(), s.tenant, s.amount, s.limit, q.asker.Parts())), true
	}
	reply, taken := g.relays.call(keeper, &wire.Envelope{Body: &wire.Envelope_QuotaAsk{QuotaAsk: &wire.QuotaAsk{
		Tenant: s.tenant, Amount: s.amount, Rate: s.limit.Rate, Burst: s.limit.Burst, Revision: s.limit.Revision, WindowMillis: uint32(s.limit.Window.Milliseconds()),
	}}})
	body := reply.GetQuotaAnswer()
	g.metrics.quotaCalls.WithLabelValues(outcomeOf(body != nil)).Observe(taken.Seconds())
	if body == nil || body.GetNotKeeper() {
		q.silent(map[string]bool{keeper: true})
		return quota.Answer{}, false
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.asker.Heard(time.Now())
	q.asker.Keepers().NoteAnswer(keeper, body.GetZone(), taken)
	return q.note(keeper, s, quota.Answer{
		Granted: body.GetGranted(), Level: body.GetLevel(), Spent: body.GetSpent(),
		EmptyFor:   time.Duration(body.GetEmptyMicros()) * time.Microsecond,
		RetryAfter: time.Duration(body.GetRetryAfterMicros()) * time.Microsecond,
	}), true
}

// note keeps what an answer says for later calls. The mutex is held.
func (q *quotas) note(keeper string, s spending, answer quota.Answer) quota.Answer {
	if answer.Granted {
		q.asker.Granted(time.Now(), s.tenant, s.amount)
	} else {
		q.asker.Refused(time.Now(), keeper, s.tenant, answer)
	}
	return answer
}

// silent notes keepers that have not answered in time.
func (q *quotas) silent(keepers map[string]bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for keeper := range keepers {
		q.asker.Keepers().NoteSilence(time.Now(), keeper)
	}
}

func (q *quotas) decideAlone(s spending) quota.Answer {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.asker.Alone(time.Now(), s.tenant, s.amount, s.limit, q.gateway.routerCount())
}

// giveBack returns a grant that was not used.
func (q *quotas) giveBack(s spending, keeper string) {
	if keeper == q.gateway.settings.PeerAddress {
		q.mutex.Lock()
		defer q.mutex.Unlock()
		q.keeper.Return(time.Now(), s.tenant, s.amount)
		return
	}
	// One that is lost costs the tenant the amount once, which its rate makes up for.
	_ = q.gateway.relays.transport.Send("", keeper, &wire.Envelope{Body: &wire.Envelope_QuotaReturn{
		QuotaReturn: &wire.QuotaReturn{Tenant: s.tenant, Amount: s.amount},
	}})
}

// answer serves another router's question.
func (q *quotas) answer(ask *wire.QuotaAsk) *wire.QuotaAnswer {
	limit := quota.Limit{Rate: ask.GetRate(), Burst: ask.GetBurst(), Revision: ask.GetRevision(), Window: time.Duration(ask.GetWindowMillis()) * time.Millisecond}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if !q.asker.Keepers().HasSelf() {
		return &wire.QuotaAnswer{NotKeeper: true}
	}
	answer := q.keeper.Ask(time.Now(), ask.GetTenant(), ask.GetAmount(), limit, q.asker.Parts())
	return &wire.QuotaAnswer{
		Granted: answer.Granted, Level: answer.Level, Spent: answer.Spent, Zone: q.gateway.settings.Zone,
		EmptyMicros: uint64(answer.EmptyFor.Microseconds()), RetryAfterMicros: uint64(answer.RetryAfter.Microseconds()),
	}
}

// returned takes back what another router did not use.
func (q *quotas) returned(unused *wire.QuotaReturn) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.keeper.Return(time.Now(), unused.GetTenant(), unused.GetAmount())
}

// tenants counts the tenants whose limits this router keeps a part of.
func (q *quotas) tenants() float64 {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return float64(q.keeper.Tenants())
}
