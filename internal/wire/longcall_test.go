package wire

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
)

const (
	// directoryPullTimeout is the timeout of a first pull of the whole directory.
	directoryPullTimeout = 2 * time.Second
	// slowSequence is the sequence number of the heartbeat that slowHandler answers late.
	slowSequence = 1
	// slowHandlerDelay is longer than silenceTimeout.
	slowHandlerDelay = 600 * time.Millisecond
)

// slowHandler answers one message after slowHandlerDelay, like a router from which many others
// pull the whole directory. Later messages on the connection wait for it.
func slowHandler(ctx context.Context, envelope *Envelope) *Envelope {
	if envelope.GetHeartbeat().GetSequence() != slowSequence {
		return nil
	}
	time.Sleep(slowHandlerDelay)
	return echo(ctx, envelope)
}

// sendPeriodically sends one-way messages until the returned function is called.
func (p *proxiedPair) sendPeriodically(interval time.Duration) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for ctx.Err() == nil {
			_ = p.client.Send("server", p.proxy.Address, heartbeat(slowSequence+1))
			time.Sleep(interval)
		}
	}()
	return cancel
}

// Guards against closing a connection during a long call: unanswered one-way messages made it
// look silent before the reply to the call was due.
func TestOneWayMessagesDoNotCloseConnectionWithLongCall(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	pair := newProxiedPair(t, slowHandler)
	defer pair.sendPeriodically(50 * time.Millisecond)()
	g.Expect(pair.call(slowSequence, directoryPullTimeout)).To(BeTrue())
	g.Expect(pair.listener.accepted.Load()).To(BeNumerically("==", 1))
	g.Expect(pair.client.Counters().SilentConnections.Load()).To(BeZero())
}

// A long call must not keep a silent connection open after its timeout or after its reply.
func TestSilentConnectionIsReplacedAfterLongCallEnds(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	pair := newProxiedPair(t, echo)
	g.Expect(pair.call(1, directoryPullTimeout)).To(BeTrue())
	pair.proxy.SetMode(faultproxy.MuteExisting)
	g.Expect(pair.call(2, pullTimeout)).To(BeFalse())
	g.Expect(pair.call(3, pullTimeout)).To(BeTrue(), "the connection was not replaced after an answered long call")
	pair.proxy.SetMode(faultproxy.MuteExisting)
	g.Expect(pair.call(4, time.Second)).To(BeFalse())
	g.Expect(pair.call(5, pullTimeout)).To(BeTrue(), "the connection was not replaced after a long call timed out")
}

// No reply can arrive on a closed connection, so calls on it must fail when it closes and not
// only at their deadlines.
func TestPendingCallsFailWhenSilentConnectionCloses(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	pair := newProxiedPair(t, echo)
	g.Expect(pair.call(1, time.Second)).To(BeTrue())
	pair.proxy.SetMode(faultproxy.MuteExisting)
	start := time.Now()
	answered := make(chan bool, 1)
	go func() { answered <- pair.call(2, 2*pullTimeout) }()
	time.Sleep(10 * time.Millisecond)
	g.Expect(pair.call(3, pullTimeout)).To(BeFalse())
	g.Expect(<-answered).To(BeFalse())
	t.Logf("call failed after %v", time.Since(start).Round(time.Millisecond))
	g.Expect(time.Since(start)).To(BeNumerically("<", 2*pullTimeout-50*time.Millisecond))
}

func TestSilenceTimeoutDuringLongCalls(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	detector := newSilenceDetector(silenceTimeout)
	detector.recordOpened(now)
	detector.recordRequest(now)
	detector.beginLongCall()
	detector.beginLongCall()
	g.Expect(detector.detectSilence(now.Add(longCallSilenceTimeout - 1))).To(BeFalse())
	g.Expect(detector.detectSilence(now.Add(longCallSilenceTimeout))).To(BeTrue(), "consecutive long calls must not keep the connection open indefinitely")
	detector.endLongCall()
	g.Expect(detector.detectSilence(now.Add(silenceTimeout))).To(BeFalse(), "one long call is still open")
	detector.endLongCall()
	g.Expect(detector.detectSilence(now.Add(silenceTimeout))).To(BeTrue())
}
