package backend

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Deadlines need not rise with versions. Merging used to keep the deadlines of the first of
// two versions, so that weights were used for longer than the second allowed.
func TestMergedDeadlinesAreTheEarliest(t *testing.T) {
	for label, later := range map[string]time.Duration{"later deadlines": time.Second, "earlier deadlines": -time.Second} {
		t.Run(label, func(t *testing.T) {
			g := NewWithT(t)
			weights := NewWeightTargets()
			staleAt, expiry, withdrawAt := start.Add(10*time.Second), start.Add(20*time.Second), start.Add(30*time.Second)
			weights.SetTarget("m", 1, Deadlines{StaleAt: staleAt, Expiry: expiry, WithdrawAt: withdrawAt})
			weights.SetTarget("m", 2, Deadlines{StaleAt: staleAt.Add(later), Expiry: expiry.Add(later), WithdrawAt: withdrawAt.Add(later)})
			for version := uint64(3); version <= maxDeadlines+1; version++ {
				farFuture := start.Add(time.Hour)
				weights.SetTarget("m", version, Deadlines{StaleAt: farFuture, Expiry: farFuture, WithdrawAt: farFuture})
			}
			g.Expect(weights.targets["m"].deadlines).To(HaveLen(maxDeadlines))
			earlier := min(later, 0)
			staleAt, expiry, withdrawAt = staleAt.Add(earlier), expiry.Add(earlier), withdrawAt.Add(earlier)
			g.Expect(weights.State(staleAt.Add(-1), "m", 0)).To(Equal(InGrace))
			g.Expect(weights.State(staleAt, "m", 0)).To(Equal(Stale))
			g.Expect(weights.State(expiry.Add(-1), "m", 0)).To(Equal(Stale))
			g.Expect(weights.State(expiry, "m", 0)).To(Equal(Expired))
			g.Expect(weights.ExpiresAt("m", 0)).To(Equal(expiry))
			g.Expect(weights.MayBegin(withdrawAt.Add(-1), "m", 0)).To(BeTrue())
			g.Expect(weights.MayBegin(withdrawAt, "m", 0)).To(BeFalse())
		})
	}
}
