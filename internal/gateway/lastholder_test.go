package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lease"
)

// A router whose own lease keeps the others from ordering seeks it again at once when there
// is work, though it does not read the store any more and had nothing to order meanwhile.
func TestLastHolderOfTheLeaseSeeksItAgainAtOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	l := &leader{gateway: &Gateway{directReads: newDirectSwitch()}, candidate: lease.NewCandidateWithGap("r1", leaseDuration, 3*time.Second)}
	l.candidate.RecordWrite(now, now, lease.Acquire, 92, l.candidate.Proposal(lease.Acquire))
	// All runners' entries had run out and come back: for a moment nothing was outdated.
	g.Expect(l.seeksLease(now.Add(100*time.Millisecond), 3)).To(BeTrue())
}
