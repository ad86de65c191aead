package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lease"
)

// While a router's own lease keeps the others from sending orders, the router must compete for
// it again at once when there is work, even if it no longer reads the store and had no orders
// to send in between.
func TestLastLeaseHolderCompetesAgainAtOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	l := &leader{gateway: &Gateway{directReads: newDirectMode()}, candidate: lease.NewCandidateWithGap("r1", leaseDuration, 3*time.Second)}
	l.candidate.RecordWrite(now, now, lease.Acquire, 92, l.candidate.Proposal(lease.Acquire))
	// All runners' directory entries had expired and come back, so no runner counted as
	// outdated for a moment.
	g.Expect(l.seeksLease(now.Add(100*time.Millisecond), 3)).To(BeTrue())
}
