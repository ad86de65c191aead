package limits

import (
	"context"
	"time"

	"github.com/clovertiller/clovertiller/internal/quota"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// keeperAnswer is what came of one question.
type keeperAnswer struct {
	quota.Result
	keeper string
	// silent is true when no answer came.
	silent bool
}

// questions are those of one call to keepers.
type questions struct {
	client   *Client
	spending Spending
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
		go a.client.ask(a.spending, keeper, a.answers, a.done)
	}
}

// askInOrder asks the nearest keeper, the next one at once after a refusal, and all
// that are left if there is no answer within the hedge. It returns false when nobody
// has answered within another hedge.
func (c *Client) askInOrder(ctx context.Context, s Spending, order []string, parts int, hedge time.Duration, arrived <-chan struct{}) (Decision, bool) {
	a := &questions{client: c, spending: s, order: order, open: map[string]bool{}, answers: make(chan keeperAnswer), done: make(chan struct{})}
	defer close(a.done)
	var patience <-chan time.Time
	best, refused, refusals := Decision{By: ByKeeper}, false, 0
	for a.ask(1); len(a.open) > 0; {
		select {
		case answer := <-a.answers:
			delete(a.open, answer.keeper)
			if answer.Granted {
				return Decision{Result: answer.Result, By: ByKeeper, Keeper: answer.keeper}, true
			}
			if !answer.silent {
				refusals++
				best.SpentInWindow += answer.Spent
				best.BelowLimit = refusals == parts && s.Limit.Allows(best.SpentInWindow, s.Amount)
			}
			if !answer.silent && (!refused || answer.RetryAfter < best.RetryAfter) {
				best.Result, refused = answer.Result, true
			}
			a.ask(1)
		case <-arrived:
			arrived, patience = nil, time.After(hedge)
		case <-patience:
			// Those that have not answered are asked last for a while.
			c.silent(a.open)
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
func (c *Client) ask(s Spending, keeper string, answers chan<- keeperAnswer, done <-chan struct{}) {
	answer, known := c.askKeeper(s, keeper)
	select {
	case answers <- keeperAnswer{Result: answer, keeper: keeper, silent: !known}:
	case <-done:
		if answer.Granted {
			c.GiveBack(s, keeper)
		}
	}
}

// askKeeper returns a keeper's answer, or false when it gave none.
func (c *Client) askKeeper(s Spending, keeper string) (quota.Result, bool) {
	if keeper == c.config.PeerAddress {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		return c.note(keeper, s, c.keeper.Spend(time.Now(), s.Tenant, s.Amount, s.Limit, c.asker.ShareCount())), true
	}
	reply, taken := c.config.Peers.Call(keeper, &wire.Envelope{Body: &wire.Envelope_QuotaAsk{QuotaAsk: &wire.QuotaAsk{
		Tenant: s.Tenant, Amount: s.Amount, Rate: s.Limit.Rate, Burst: s.Limit.Burst, Revision: s.Limit.Revision, WindowMillis: uint32(s.Limit.Window.Milliseconds()),
	}}})
	body := reply.GetQuotaAnswer()
	c.config.Asked(body != nil, taken)
	if body == nil || body.GetNotKeeper() {
		c.silent(map[string]bool{keeper: true})
		return quota.Result{}, false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.asker.RecordContact(time.Now())
	c.asker.Servers().RecordReply(keeper, body.GetZone(), taken)
	return c.note(keeper, s, quota.Result{
		Granted: body.GetGranted(), Level: body.GetLevel(), Spent: body.GetSpent(),
		ExhaustedFor: time.Duration(body.GetEmptyMicros()) * time.Microsecond,
		RetryAfter:   time.Duration(body.GetRetryAfterMicros()) * time.Microsecond,
	}), true
}

// note keeps what an answer says for later calls. The mutex is held.
func (c *Client) note(keeper string, s Spending, answer quota.Result) quota.Result {
	if answer.Granted {
		c.asker.RecordGrant(time.Now(), s.Tenant, s.Amount)
	} else {
		c.asker.RecordRefusal(time.Now(), keeper, s.Tenant, answer)
	}
	return answer
}

// silent notes keepers that have not answered in time.
func (c *Client) silent(keepers map[string]bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for keeper := range keepers {
		c.asker.Servers().RecordTimeout(time.Now(), keeper)
	}
}
