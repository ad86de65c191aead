package wire

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
)

// newSilentDetector returns the detector of a connection of the given age that is found silent
// at the time now, and the time since which it is silent.
func newSilentDetector(g *WithT, now time.Time, connectionAge time.Duration) (detector *silenceDetector, since time.Time) {
	detector, since = newSilenceDetector(silenceTimeout), now.Add(-silenceTimeout)
	detector.recordOpened(now.Add(-connectionAge))
	detector.recordRequest(since)
	g.Expect(detector.detectSilence(now)).To(BeTrue())
	return detector, since
}

func TestQuickReplyOnNextConnectionReportsLostConnection(t *testing.T) {
	g, now := NewWithT(t), time.Now()
	lost, since := newSilentDetector(g, now, time.Minute)
	next := lost.successor()
	next.recordOpened(now)
	g.Expect(next.recordReceived(now.Add(5 * time.Millisecond))).To(Equal(since))
	g.Expect(next.recordReceived(now.Add(6*time.Millisecond))).To(BeZero(), "reported more than once")
}

// Guards against reporting a lost connection when the peer itself is paused or overloaded, in
// which case it is silent on all connections to it.
func TestSilentPeerIsNotReportedAsLostConnection(t *testing.T) {
	g, now := NewWithT(t), time.Now()
	t.Run("next connection is answered late", func(t *testing.T) {
		g := NewWithT(t)
		first, _ := newSilentDetector(g, now, time.Minute)
		next := first.successor()
		next.recordOpened(now)
		g.Expect(next.recordReceived(now.Add(silenceTimeout))).To(BeZero())
		g.Expect(next.recordReceived(now.Add(silenceTimeout + time.Millisecond))).To(BeZero())
	})
	t.Run("next connection is silent too", func(t *testing.T) {
		g := NewWithT(t)
		first, _ := newSilentDetector(g, now, time.Minute)
		second := first.successor()
		second.recordOpened(now)
		second.recordRequest(now)
		g.Expect(second.detectSilence(now.Add(silenceTimeout))).To(BeTrue())
		third := second.successor()
		third.recordOpened(now.Add(silenceTimeout))
		g.Expect(third.recordReceived(now.Add(silenceTimeout + time.Millisecond))).To(BeZero())
	})
	healthy := newSilenceDetector(silenceTimeout)
	healthy.recordOpened(now)
	next := healthy.successor()
	next.recordOpened(now)
	g.Expect(next.recordReceived(now)).To(BeZero(), "the previous connection was not silent")
}

// A lost TCP connection must be reported through the callback of the transport.
func TestLostConnectionCallback(t *testing.T) {
	g := NewWithT(t)
	pair := newProxiedPair(t, echo)
	reported := make(chan time.Time, 1)
	pair.client.OnLostConnection(func(since time.Time) { reported <- since })
	callOnce := func() bool { return pair.call(1, pullTimeout) }
	g.Expect(callOnce()).To(BeTrue())
	pair.client.lookupPeer(pair.proxy.Address).detector.recordOpened(time.Now().Add(-youngConnectionAge))
	pair.proxy.SetMode(faultproxy.MuteExisting)
	mutedAt := time.Now()
	g.Expect(callOnce()).To(BeFalse())
	g.Eventually(callOnce, 5*time.Second).Should(BeTrue())
	var since time.Time
	g.Eventually(reported, 5*time.Second).Should(Receive(&since))
	g.Expect(since).To(BeTemporally(">=", mutedAt))
}
