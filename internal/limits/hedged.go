package limits

import (
	"context"
	"time"

	"github.com/clovertiller/clovertiller/internal/quota"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// serverReply is the outcome of one request to a server.
type serverReply struct {
	quota.Result
	server string
	// noReply is set if the server did not reply or does not serve limits.
	noReply bool
}

// hedgedRequest sends the spending of one call to several servers.
type hedgedRequest struct {
	client   *Client
	spending Spending
	// servers are the servers to send to, in order, and sent is how many were sent to so far.
	servers []string
	sent    int
	// pending holds the servers that have not replied yet.
	pending map[string]bool
	replies chan serverReply
	// done is closed when no more replies are received.
	done chan struct{}
}

// send sends the request to up to count of the remaining servers.
func (h *hedgedRequest) send(count int) {
	for ; count > 0 && h.sent < len(h.servers); count-- {
		server := h.servers[h.sent]
		h.sent++
		h.pending[server] = true
		go h.client.requestFrom(h.spending, server, h.replies, h.done)
	}
}

// requestHedged sends the request to the nearest server, to the next one immediately after a
// refusal or a failed call, and to all remaining servers if there is no reply within the hedge
// delay. It returns false if no server has decided within another hedge delay. The first delay
// starts when received is closed.
func (c *Client) requestHedged(ctx context.Context, s Spending, order []string, shareCount int, hedgeDelay time.Duration, received <-chan struct{}) (Decision, bool) {
	h := &hedgedRequest{client: c, spending: s, servers: order, pending: map[string]bool{}, replies: make(chan serverReply), done: make(chan struct{})}
	defer close(h.done)
	var timer <-chan time.Time
	best, refused, refusals := Decision{DecidedBy: ByServer}, false, 0
	for h.send(1); len(h.pending) > 0; {
		select {
		case reply := <-h.replies:
			delete(h.pending, reply.server)
			if reply.Granted {
				return Decision{Result: reply.Result, DecidedBy: ByServer, Server: reply.server}, true
			}
			if !reply.noReply {
				refusals++
				best.SpentInWindow += reply.Spent
				best.BelowLimit = refusals == shareCount && s.Limit.Allows(best.SpentInWindow, s.Amount)
			}
			if !reply.noReply && (!refused || reply.RetryAfter < best.RetryAfter) {
				best.Result, refused = reply.Result, true
			}
			h.send(1)
		case <-received:
			received, timer = nil, time.After(hedgeDelay)
		case <-timer:
			// Servers without a reply are ranked last for a while.
			c.recordTimeouts(h.pending)
			if h.sent == len(order) {
				return best, refused
			}
			h.send(len(order))
			timer = time.After(hedgeDelay)
		case <-ctx.Done():
			return best, refused
		}
	}
	return best, refused
}

// requestFrom sends the request to one server. It refunds a grant that is no longer waited for.
func (c *Client) requestFrom(s Spending, server string, replies chan<- serverReply, done <-chan struct{}) {
	result, replied := c.requestSpend(s, server)
	select {
	case replies <- serverReply{Result: result, server: server, noReply: !replied}:
	case <-done:
		if result.Granted {
			c.RefundGrant(s, server)
		}
	}
}

// requestSpend returns the result of one server, or false if it did not reply or does not serve
// limits.
func (c *Client) requestSpend(s Spending, server string) (quota.Result, bool) {
	if server == c.config.PeerAddress {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		return c.recordResult(server, s, c.server.Spend(time.Now(), s.Tenant, s.Amount, s.Limit, c.requester.ShareCount())), true
	}
	reply, elapsed := c.config.Peers.Call(server, &wire.Envelope{Body: &wire.Envelope_QuotaAsk{QuotaAsk: &wire.QuotaAsk{
		Tenant: s.Tenant, Amount: s.Amount, Rate: s.Limit.Rate, Burst: s.Limit.Burst, Revision: s.Limit.Revision, WindowMillis: uint32(s.Limit.Window.Milliseconds()),
	}}})
	answer := reply.GetQuotaAnswer()
	c.config.ObserveCall(answer != nil, elapsed)
	if answer == nil || answer.GetNotKeeper() {
		c.recordTimeouts(map[string]bool{server: true})
		return quota.Result{}, false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.requester.RecordContact(time.Now())
	c.requester.Servers().RecordReply(server, answer.GetZone(), elapsed)
	return c.recordResult(server, s, quota.Result{
		Granted: answer.GetGranted(), Level: answer.GetLevel(), Spent: answer.GetSpent(),
		ExhaustedFor: time.Duration(answer.GetEmptyMicros()) * time.Microsecond,
		RetryAfter:   time.Duration(answer.GetRetryAfterMicros()) * time.Microsecond,
	}), true
}

// recordResult records a result for later calls. The caller must hold the mutex.
func (c *Client) recordResult(server string, s Spending, result quota.Result) quota.Result {
	if result.Granted {
		c.requester.RecordGrant(time.Now(), s.Tenant, s.Amount)
	} else {
		c.requester.RecordRefusal(time.Now(), server, s.Tenant, result)
	}
	return result
}

// recordTimeouts records that the servers did not reply in time.
func (c *Client) recordTimeouts(servers map[string]bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for server := range servers {
		c.requester.Servers().RecordTimeout(time.Now(), server)
	}
}
