package wire

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against reporting a lost connection when the peer was only paused for 300 ms. The
// peer is silent on the old connection. Its kernel accepts the new one meanwhile, on which it
// answers 80 ms after the opening. lostConnectionWindow must be shorter than that.
func TestBrieflyPausedPeerIsNotReportedAsLostConnection(t *testing.T) {
	g, pausedAt := NewWithT(t), time.Now()
	resumedAt := pausedAt.Add(300 * time.Millisecond)
	previous := newSilenceDetector(silenceTimeout)
	previous.recordOpened(pausedAt.Add(-time.Minute))
	previous.recordRequest(pausedAt)
	detectedAt := pausedAt.Add(silenceTimeout)
	g.Expect(previous.detectSilence(detectedAt)).To(BeTrue())
	next := previous.successor()
	next.recordOpened(detectedAt)
	next.recordRequest(detectedAt)
	g.Expect(next.recordReceived(resumedAt)).To(BeZero())
}
