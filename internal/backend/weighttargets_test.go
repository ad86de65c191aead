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
			old, expired, unbegun := start.Add(10*time.Second), start.Add(20*time.Second), start.Add(30*time.Second)
			weights.SetTarget("m", 1, Deadlines{StaleAt: old, Expiry: expired, WithdrawAt: unbegun})
			weights.SetTarget("m", 2, Deadlines{StaleAt: old.Add(later), Expiry: expired.Add(later), WithdrawAt: unbegun.Add(later)})
			for version := uint64(3); version <= maxDeadlines+1; version++ {
				far := start.Add(time.Hour)
				weights.SetTarget("m", version, Deadlines{StaleAt: far, Expiry: far, WithdrawAt: far})
			}
			g.Expect(weights.targets["m"].deadlines).To(HaveLen(maxDeadlines))
			earlier := min(later, 0)
			old, expired, unbegun = old.Add(earlier), expired.Add(earlier), unbegun.Add(earlier)
			g.Expect(weights.State(old.Add(-1), "m", 0)).To(Equal(InGrace))
			g.Expect(weights.State(old, "m", 0)).To(Equal(Stale))
			g.Expect(weights.State(expired.Add(-1), "m", 0)).To(Equal(Stale))
			g.Expect(weights.State(expired, "m", 0)).To(Equal(Expired))
			g.Expect(weights.ExpiresAt("m", 0)).To(Equal(expired))
			g.Expect(weights.MayBegin(unbegun.Add(-1), "m", 0)).To(BeTrue())
			g.Expect(weights.MayBegin(unbegun, "m", 0)).To(BeFalse())
		})
	}
}
