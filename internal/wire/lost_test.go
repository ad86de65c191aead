package wire

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
)

// fellSilent returns what watches a connection of the age that was found silent at the
// moment, and since when it was.
func fellSilent(g *WithT, now time.Time, age time.Duration) (s *silence, since time.Time) {
	s, since = newSilence(silentTime), now.Add(-silentTime)
	s.opened(now.Add(-age))
	s.called(since)
	g.Expect(s.tooLong(now)).To(BeTrue())
	return s, since
}

func TestConnectionWasLostIfTheNextOneIsAnsweredAtOnce(t *testing.T) {
	g, now := NewWithT(t), time.Now()
	lost, since := fellSilent(g, now, time.Minute)
	next := lost.successor()
	next.opened(now)
	g.Expect(next.heard(now.Add(5 * time.Millisecond))).To(Equal(since))
	g.Expect(next.heard(now.Add(6*time.Millisecond))).To(BeZero(), "it is told once")
}

// A frozen or overloaded router is silent on all connections to it.
func TestConnectionToARouterThatStoodStillWasNotLost(t *testing.T) {
	g, now := NewWithT(t), time.Now()
	t.Run("the next one is answered late", func(t *testing.T) {
		g := NewWithT(t)
		before, _ := fellSilent(g, now, time.Minute)
		next := before.successor()
		next.opened(now)
		g.Expect(next.heard(now.Add(silentTime))).To(BeZero())
		g.Expect(next.heard(now.Add(silentTime + time.Millisecond))).To(BeZero())
	})
	t.Run("so is the one after it", func(t *testing.T) {
		g := NewWithT(t)
		before, _ := fellSilent(g, now, time.Minute)
		young := before.successor()
		young.opened(now)
		young.called(now)
		g.Expect(young.tooLong(now.Add(silentTime))).To(BeTrue())
		third := young.successor()
		third.opened(now.Add(silentTime))
		g.Expect(third.heard(now.Add(silentTime + time.Millisecond))).To(BeZero())
	})
	sound := newSilence(silentTime)
	sound.opened(now)
	next := sound.successor()
	next.opened(now)
	g.Expect(next.heard(now)).To(BeZero(), "the one before it ended otherwise")
}

// A connection that went silent is told of through real connections, too.
func TestLostConnectionIsTold(t *testing.T) {
	g := NewWithT(t)
	p := newPath(t, echo)
	told := make(chan time.Time, 1)
	p.client.OnLostConnection(func(since time.Time) { told <- since })
	ask := func() bool { return p.call(1, pullTime) }
	g.Expect(ask()).To(BeTrue())
	p.client.existing(p.proxy.Address).silence.opened(time.Now().Add(-youngTime))
	p.proxy.Set(faultproxy.Mute)
	muted := time.Now()
	g.Expect(ask()).To(BeFalse())
	g.Eventually(ask, 5*time.Second).Should(BeTrue())
	var since time.Time
	g.Eventually(told, 5*time.Second).Should(Receive(&since))
	g.Expect(since).To(BeTemporally(">=", muted))
}
