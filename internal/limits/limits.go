// Package limits keeps tenants to their limits over all routers: it asks those routers that
// keep the limits, the nearest first, and keeps a part itself if it is one of them. It knows
// nothing of requests, configurations or runners; how a limit is split and judged is package
// quota's, which has no I/O.
package limits

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/quota"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// Peers carries messages to other routers.
type Peers interface {
	// Call returns the reply, nil without one, and how long it took.
	Call(address string, question *wire.Envelope) (*wire.Envelope, time.Duration)
	// Send sends a message that may be lost.
	Send(address string, message *wire.Envelope)
}

// Config is what a client needs.
type Config struct {
	// PeerAddress is where other routers reach this one; empty for a router alone.
	PeerAddress string
	Zone        string
	// Seeds are the routers that keep limits.
	Seeds   []string
	Started time.Time
	Peers   Peers
	// Routers returns how many routers there seem to be, this one included.
	Routers func() int
	// Asked is told how long each question to a keeper took, and whether it was answered.
	Asked func(answered bool, taken time.Duration)
}

// Client decides for the calls of one router whether their tenants are within their limits.
// It is safe for concurrent use.
type Client struct {
	config Config
	mutex  sync.Mutex
	asker  *quota.Requester
	keeper *quota.Server
}

// New returns a client that asks the seeds.
func New(config Config) *Client {
	c := &Client{
		config: config, keeper: quota.NewServer(config.Started),
		asker: quota.NewRequester(config.PeerAddress, config.Zone, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
	c.asker.RecordContact(config.Started)
	c.SetKeepers(config.Seeds)
	return c
}

// SetKeepers takes over the routers that keep limits. A router without any others
// keeps them alone.
func (c *Client) SetKeepers(seeds []string) {
	if c.config.PeerAddress == "" {
		seeds = []string{c.config.PeerAddress}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.asker.Servers().Set(seeds)
}

// Spending is what one call spends of its tenant's limit.
type Spending struct {
	Tenant string
	Amount float64
	Limit  quota.Limit
}

// Decider names who decided about a spending, in logs and counters.
type Decider string

// The deciders.
const (
	ByKeeper Decider = "keeper"
	// ByEarlierRefusal: all keepers have just refused the tenant.
	ByEarlierRefusal Decider = "earlier refusal"
	// ByItself: no keeper answered in time.
	ByItself Decider = "alone"
	// BySize: the request is larger than the limit ever allows.
	BySize Decider = "size"
)

// Decision is the outcome for one call.
type Decision struct {
	quota.Result
	By Decider
	// Keeper is whose part was spent from, empty when none was.
	Keeper string
	// SpentInWindow is what the keepers that refused had granted within the window, and BelowLimit
	// is set when all parts refused though the limit as a whole had room.
	SpentInWindow float64
	BelowLimit    bool
}

// Decide asks the keepers, the nearest first, until one grants the spending, all
// have refused it or the time to wait is over. That time begins when the caller's
// request is there: until then answers may queue behind it on this router's link.
func (c *Client) Decide(ctx context.Context, s Spending, arrived <-chan struct{}) Decision {
	now := time.Now()
	if s.Amount > s.Limit.MaxPerWindow() {
		return Decision{By: BySize}
	}
	c.mutex.Lock()
	order, retryAfter := c.asker.Order(now, s.Tenant)
	parts := c.asker.ShareCount()
	hedge, reachable := c.asker.Servers().HedgeDelay(), c.asker.Servers().Reachable(now)
	c.mutex.Unlock()
	earlier := Decision{By: ByEarlierRefusal, Result: quota.Result{RetryAfter: retryAfter}}
	if len(order) == 0 {
		return earlier
	}
	if reachable {
		if decision, answered := c.askInOrder(ctx, s, order, parts, hedge, arrived); answered {
			return decision
		}
	} else {
		c.probe(s, order[0])
	}
	if retryAfter > 0 {
		// Some have just refused, and the others do not answer.
		return earlier
	}
	return Decision{By: ByItself, Result: c.decideAlone(s)}
}

// probe asks a silent keeper without waiting for it, to find out when it is back.
func (c *Client) probe(s Spending, keeper string) {
	done := make(chan struct{})
	close(done)
	go c.ask(s, keeper, nil, done)
}

func (c *Client) decideAlone(s Spending) quota.Result {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.asker.DecideLocally(time.Now(), s.Tenant, s.Amount, s.Limit, c.config.Routers())
}

// GiveBack returns a grant that was not used.
func (c *Client) GiveBack(s Spending, keeper string) {
	if keeper == c.config.PeerAddress {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.keeper.Refund(time.Now(), s.Tenant, s.Amount)
		return
	}
	// One that is lost costs the tenant the amount once, which its rate makes up for.
	c.config.Peers.Send(keeper, &wire.Envelope{Body: &wire.Envelope_QuotaReturn{
		QuotaReturn: &wire.QuotaReturn{Tenant: s.Tenant, Amount: s.Amount},
	}})
}

// Answer serves another router's question.
func (c *Client) Answer(ask *wire.QuotaAsk) *wire.QuotaAnswer {
	limit := quota.Limit{Rate: ask.GetRate(), Burst: ask.GetBurst(), Revision: ask.GetRevision(), Window: time.Duration(ask.GetWindowMillis()) * time.Millisecond}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.asker.Servers().IncludesSelf() {
		return &wire.QuotaAnswer{NotKeeper: true}
	}
	answer := c.keeper.Spend(time.Now(), ask.GetTenant(), ask.GetAmount(), limit, c.asker.ShareCount())
	return &wire.QuotaAnswer{
		Granted: answer.Granted, Level: answer.Level, Spent: answer.Spent, Zone: c.config.Zone,
		EmptyMicros: uint64(answer.ExhaustedFor.Microseconds()), RetryAfterMicros: uint64(answer.RetryAfter.Microseconds()),
	}
}

// Returned takes back what another router did not use.
func (c *Client) Returned(unused *wire.QuotaReturn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.keeper.Refund(time.Now(), unused.GetTenant(), unused.GetAmount())
}

// Tenants counts the tenants whose limits this router keeps a part of.
func (c *Client) Tenants() float64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return float64(c.keeper.TenantCount())
}
