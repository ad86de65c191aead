package wire

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
)

const (
	// directoryTime is the time of a first pull of the whole directory.
	directoryTime = 2 * time.Second
	// slowSequence is the sequence of the heartbeat that slowly answers late.
	slowSequence = 1
	// slowTime is over the time of a silent connection.
	slowTime = 600 * time.Millisecond
)

// slowly takes its time over one message, as a router that many ask for the whole
// directory. Later messages on the connection wait for it.
func slowly(ctx context.Context, envelope *Envelope) *Envelope {
	if envelope.GetHeartbeat().GetSequence() != slowSequence {
		return nil
	}
	time.Sleep(slowTime)
	return echo(ctx, envelope)
}

// sendOften sends one-way messages until the returned function is called.
func (p *path) sendOften(interval time.Duration) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for ctx.Err() == nil {
			_ = p.client.Send("server", p.proxy.Address, heartbeat(slowSequence+1))
			time.Sleep(interval)
		}
	}()
	return cancel
}

// A connection was closed by its one-way messages while an answer was due that had
// more time than a connection may bring nothing.
func TestLongCallOutlastsOneWayMessagesOnItsConnection(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newPath(t, slowly)
	defer p.sendOften(50 * time.Millisecond)()
	g.Expect(p.call(slowSequence, directoryTime)).To(BeTrue())
	g.Expect(p.listener.accepted.Load()).To(BeNumerically("==", 1))
	g.Expect(p.client.Counters().SilentConnections.Load()).To(BeZero())
}

// A long call does not keep a silent connection once its time has run out, nor after
// it was answered.
func TestSilentConnectionIsReplacedAfterALongCall(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newPath(t, echo)
	g.Expect(p.call(1, directoryTime)).To(BeTrue())
	p.proxy.Set(faultproxy.Mute)
	g.Expect(p.call(2, pullTime)).To(BeFalse())
	g.Expect(p.call(3, pullTime)).To(BeTrue(), "the answered call does not keep it")
	p.proxy.Set(faultproxy.Mute)
	g.Expect(p.call(4, time.Second)).To(BeFalse())
	g.Expect(p.call(5, pullTime)).To(BeTrue(), "the call whose time has run out does not keep it")
}

// Nothing comes on a connection that was closed, so calls on it need not wait any more.
func TestCallsOnASilentConnectionEndWithIt(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newPath(t, echo)
	g.Expect(p.call(1, time.Second)).To(BeTrue())
	p.proxy.Set(faultproxy.Mute)
	began := time.Now()
	ended := make(chan bool, 1)
	go func() { ended <- p.call(2, 2*pullTime) }()
	time.Sleep(10 * time.Millisecond)
	g.Expect(p.call(3, pullTime)).To(BeFalse())
	g.Expect(<-ended).To(BeFalse())
	t.Logf("ended after %v", time.Since(began).Round(time.Millisecond))
	g.Expect(time.Since(began)).To(BeNumerically("<", 2*pullTime-50*time.Millisecond))
}

func TestLimitOfSilenceOfAConnectionWithALongCall(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	s := newSilence(silentTime)
	s.opened(now)
	s.called(now)
	s.longCallBegan()
	s.longCallBegan()
	g.Expect(s.tooLong(now.Add(longCallSilentTime - 1))).To(BeFalse())
	g.Expect(s.tooLong(now.Add(longCallSilentTime))).To(BeTrue(), "calls one after another do not keep it for ever")
	s.longCallEnded()
	g.Expect(s.tooLong(now.Add(silentTime))).To(BeFalse(), "one is still open")
	s.longCallEnded()
	g.Expect(s.tooLong(now.Add(silentTime))).To(BeTrue())
}
