package limits

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/distance"
	"github.com/clovertiller/clovertiller/internal/quota"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// fakePeers grants every request, or does not reply if silent, and records refunds.
type fakePeers struct {
	silent  bool
	refunds chan *wire.QuotaReturn
}

func (p *fakePeers) Call(string, *wire.Envelope) (*wire.Envelope, time.Duration) {
	if p.silent {
		return nil, time.Millisecond
	}
	return &wire.Envelope{Body: &wire.Envelope_QuotaAnswer{QuotaAnswer: &wire.QuotaAnswer{Granted: true}}}, time.Millisecond
}

func (p *fakePeers) Send(_ string, message *wire.Envelope) { p.refunds <- message.GetQuotaReturn() }

// newClient returns a client with one server that is reached through the peers.
func newClient(peers *fakePeers) *Client {
	return New(Config{
		PeerAddress: "10.0.0.1:1", Zone: "a", Distances: distance.New(distance.Config{}), Seeds: []string{"10.0.0.2:1"}, StartTime: time.Now().Add(-time.Minute), Peers: peers,
		RouterCount: func() int { return 2 }, ObserveCall: func(bool, time.Duration) {},
	})
}

// closedChannel returns a channel that is closed.
func closedChannel() <-chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}

var spending = Spending{Tenant: "t", Amount: 10, Limit: quota.Limit{Rate: 100, Burst: 100, Window: time.Second}}

func TestDecideReturnsGrantOfServerAndRefundsIt(t *testing.T) {
	g := NewWithT(t)
	peers := &fakePeers{refunds: make(chan *wire.QuotaReturn, 1)}
	c := newClient(peers)
	decision := c.Decide(context.Background(), spending, closedChannel())
	g.Expect(decision.Granted).To(BeTrue())
	g.Expect(decision.DecidedBy).To(Equal(ByServer))
	c.RefundGrant(spending, decision.Server)
	g.Expect((<-peers.refunds).GetAmount()).To(Equal(10.0))
}

func TestDecideUsesLocalBucketWithoutReply(t *testing.T) {
	g := NewWithT(t)
	decision := newClient(&fakePeers{silent: true}).Decide(context.Background(), spending, closedChannel())
	g.Expect(decision.DecidedBy).To(Equal(ByLocalBucket))
}

func TestDecideRefusesRequestLargerThanLimit(t *testing.T) {
	large := spending
	large.Amount = 1000
	decision := newClient(&fakePeers{silent: true}).Decide(context.Background(), large, closedChannel())
	NewWithT(t).Expect(decision.DecidedBy).To(Equal(BySize))
}
