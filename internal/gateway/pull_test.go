package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against changes that arrive after the 2 s within which they must be known. Followers of a
// relay that received no changes relied on its copies for 2.08 s.
func TestChangesAreKnownInTimeThroughAnySource(t *testing.T) {
	const deadline, storeCallTime = 2 * time.Second, 50 * time.Millisecond
	for name, maxAge := range map[string]time.Duration{"seed": maxProofAge, "relay": maxRelayedProofAge} {
		t.Run(name, func(t *testing.T) {
			// In the worst case a copy becomes too old, the next pull shows it, no other router
			// answers, and the store is read.
			NewWithT(t).Expect(maxAge + copyProofMargin + nextPullDelay + pullTimeout + storeCallTime).To(BeNumerically("<", deadline))
		})
	}
}

// The pulls of an idle fleet are bounded, whatever its size, and those of a small one are as frequent as
// others.
func TestIdlePullIntervalGrowsWithTheFleet(t *testing.T) {
	g := NewWithT(t)
	for _, routers := range []int{1, 30, 100, 300} {
		g.Expect(idlePullIntervalFor(routers)).To(BeNumerically("<=", minPullInterval), "%d routers", routers)
	}
	for _, routers := range []int{985, 2000} {
		g.Expect(idlePullIntervalFor(routers)).To(Equal(maxPullInterval), "%d routers", routers)
	}
}
