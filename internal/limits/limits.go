// Package limits enforces the limits of tenants across all routers. It requests each spending from
// the routers that serve shares of the limits, the nearest first, and serves a share itself if this
// router is one of them. The division of limits and the decisions are in package quota, which has
// no I/O. This package does not depend on requests of callers, configurations or runners.
package limits

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/distance"
	"github.com/clovertiller/clovertiller/internal/quota"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// Peers sends messages to other routers.
type Peers interface {
	// Call returns the reply, or nil if there was none, and how long it took.
	Call(address string, request *wire.Envelope) (*wire.Envelope, time.Duration)
	// Send sends a message without a reply. It may be lost.
	Send(address string, message *wire.Envelope)
}

// Config configures a Client.
type Config struct {
	// PeerAddress is the address at which other routers reach this one. It is empty for a single
	// router.
	PeerAddress string
	Zone        string
	// Distances knows the regions by which the servers are ordered.
	Distances *distance.Table
	// Seeds are the routers that serve shares of the limits.
	Seeds     []string
	StartTime time.Time
	// Tolerance is the share by which limits may be exceeded.
	Tolerance float64
	Peers     Peers
	// RouterCount returns the estimated number of routers, including this one.
	RouterCount func() int
	// ObserveCall is called with the duration of each call to a server and whether it was answered.
	ObserveCall func(answered bool, elapsed time.Duration)
}

// Client decides for the calls of one router whether their tenants are within their limits, and
// serves a share of the limits to other routers. It is safe for concurrent use.
type Client struct {
	config    Config
	mutex     sync.Mutex
	requester *quota.Requester
	server    *quota.Server
}

// New returns a client that uses the seeds of the config as servers.
func New(config Config) *Client {
	c := &Client{
		config: config, server: quota.NewServerWithTolerance(config.StartTime, config.Tolerance),
		requester: quota.NewRequester(config.PeerAddress, config.Zone, config.Distances, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
	c.requester.RecordContact(config.StartTime)
	c.SetServers(config.Seeds)
	return c
}

// SetServers replaces the routers that serve shares of the limits. A router without a peer address
// is its own only server.
func (c *Client) SetServers(seeds []string) {
	if c.config.PeerAddress == "" {
		seeds = []string{c.config.PeerAddress}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.requester.Servers().Set(seeds)
}

// Spending is the amount that one call spends of its tenant's limit.
type Spending struct {
	Tenant string
	Amount float64
	Limit  quota.Limit
}

// Decider identifies who decided about a spending, in logs and metrics.
type Decider string

// Values of Decider.
const (
	// ByServer means that a quota server decided.
	ByServer Decider = "keeper"
	// ByCachedRefusal means that the last refusals of all servers for the tenant are still valid.
	ByCachedRefusal Decider = "earlier refusal"
	// ByLocalBucket means that no server replied in time and this router decided itself.
	ByLocalBucket Decider = "alone"
	// BySize means that the amount is larger than the limit ever allows.
	BySize Decider = "size"
)

// Decision is the outcome for one call.
type Decision struct {
	quota.Result
	DecidedBy Decider
	// Server is the address of the server that granted the amount, or empty if none did.
	Server string
	// SpentInWindow is what the servers that refused had granted within the window. BelowLimit is
	// set if all servers refused although the limit as a whole would have allowed the amount.
	SpentInWindow float64
	BelowLimit    bool
}

// Decide sends the request to the servers, the nearest first, until one grants the spending, all
// have refused it or two hedge delays have passed. The first delay starts when received is closed,
// which means that the caller's request has been received completely. Until then replies may queue
// behind it on this router's link.
func (c *Client) Decide(ctx context.Context, s Spending, received <-chan struct{}) Decision {
	now := time.Now()
	if s.Amount > s.Limit.MaxPerWindow() {
		return Decision{DecidedBy: BySize}
	}
	c.mutex.Lock()
	order, retryAfter := c.requester.Order(now, s.Tenant)
	shareCount := c.requester.ShareCount()
	hedgeDelay, reachable := c.requester.Servers().HedgeDelay(), c.requester.Servers().Reachable(now)
	c.mutex.Unlock()
	cachedRefusal := Decision{DecidedBy: ByCachedRefusal, Result: quota.Result{RetryAfter: retryAfter}}
	if len(order) == 0 {
		return cachedRefusal
	}
	if reachable {
		if decision, answered := c.requestHedged(ctx, s, order, shareCount, hedgeDelay, received); answered {
			return decision
		}
	} else {
		c.probe(s, order[0])
	}
	if retryAfter > 0 {
		// Some refusals are still valid, and the other servers do not reply.
		return cachedRefusal
	}
	return Decision{DecidedBy: ByLocalBucket, Result: c.decideLocally(s)}
}

// probe sends a request to a silent server without waiting for the reply, to detect when the server
// is available again.
func (c *Client) probe(s Spending, server string) {
	done := make(chan struct{})
	close(done)
	go c.requestFrom(s, server, nil, done)
}

// decideLocally decides without servers.
func (c *Client) decideLocally(s Spending) quota.Result {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.requester.DecideLocally(time.Now(), s.Tenant, s.Amount, s.Limit, c.config.RouterCount())
}

// RefundGrant returns a grant that was not used to the server.
func (c *Client) RefundGrant(s Spending, server string) {
	if server == c.config.PeerAddress {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.server.Refund(time.Now(), s.Tenant, s.Amount)
		return
	}
	// If the message is lost, the tenant loses the amount once, which its rate makes up for.
	c.config.Peers.Send(server, &wire.Envelope{Body: &wire.Envelope_QuotaReturn{
		QuotaReturn: &wire.QuotaReturn{Tenant: s.Tenant, Amount: s.Amount},
	}})
}

// HandleAsk handles a request of another router.
func (c *Client) HandleAsk(request *wire.QuotaAsk) *wire.QuotaAnswer {
	limit := quota.Limit{Rate: request.GetRate(), Burst: request.GetBurst(), Revision: request.GetRevision(), Window: time.Duration(request.GetWindowMillis()) * time.Millisecond}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.requester.Servers().IncludesSelf() {
		return &wire.QuotaAnswer{NotKeeper: true}
	}
	result := c.server.Spend(time.Now(), request.GetTenant(), request.GetAmount(), limit, c.requester.ShareCount())
	return &wire.QuotaAnswer{
		Granted: result.Granted, Level: result.Level, Spent: result.Spent, Zone: c.config.Zone,
		EmptyMicros: uint64(result.ExhaustedFor.Microseconds()), RetryAfterMicros: uint64(result.RetryAfter.Microseconds()),
	}
}

// HandleReturn handles a refund of another router.
func (c *Client) HandleReturn(refund *wire.QuotaReturn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.server.Refund(time.Now(), refund.GetTenant(), refund.GetAmount())
}

// TenantCount returns the number of tenants whose limits this router holds a share of.
func (c *Client) TenantCount() float64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return float64(c.server.TenantCount())
}
