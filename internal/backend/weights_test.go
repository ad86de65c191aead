package backend

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Deadlines need not rise with versions. Two that were joined were those of the first,
// so that weights could be used for longer than the second allowed.
func TestJoinedDeadlinesAreTheEarlierOfEach(t *testing.T) {
	for label, later := range map[string]time.Duration{"rise": time.Second, "fall": -time.Second} {
		t.Run(label, func(t *testing.T) {
			g := NewWithT(t)
			weights := NewWeights()
			old, expired, unbegun := start.Add(10*time.Second), start.Add(20*time.Second), start.Add(30*time.Second)
			weights.Name("m", 1, Deadlines{Old: old, Expired: expired, Unbegun: unbegun})
			weights.Name("m", 2, Deadlines{Old: old.Add(later), Expired: expired.Add(later), Unbegun: unbegun.Add(later)})
			for version := uint64(3); version <= maxDeadlines+1; version++ {
				far := start.Add(time.Hour)
				weights.Name("m", version, Deadlines{Old: far, Expired: far, Unbegun: far})
			}
			g.Expect(weights.targets["m"].deadlines).To(HaveLen(maxDeadlines))
			earlier := min(later, 0)
			old, expired, unbegun = old.Add(earlier), expired.Add(earlier), unbegun.Add(earlier)
			g.Expect(weights.State(old.Add(-1), "m", 0)).To(Equal(Replaced))
			g.Expect(weights.State(old, "m", 0)).To(Equal(Old))
			g.Expect(weights.State(expired.Add(-1), "m", 0)).To(Equal(Old))
			g.Expect(weights.State(expired, "m", 0)).To(Equal(Expired))
			g.Expect(weights.ExpiresAt("m", 0)).To(Equal(expired))
			g.Expect(weights.MayBegin(unbegun.Add(-1), "m", 0)).To(BeTrue())
			g.Expect(weights.MayBegin(unbegun, "m", 0)).To(BeFalse())
		})
	}
}
