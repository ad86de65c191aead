package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Followers of a relay that hears nothing trusted its copies for 2.08 s, and leaving
// runners count 2 s.
func TestChangesAreKnownInTimeWhoeverIsAsked(t *testing.T) {
	const counted, own = 2 * time.Second, 50 * time.Millisecond // own is for a call to the store
	for name, oldest := range map[string]time.Duration{"seed": proofAge, "relay": relayedProofAge} {
		t.Run(name, func(t *testing.T) {
			// A copy grows too old, the next pull shows it, and nobody else answers.
			NewWithT(t).Expect(oldest + copySlack + nextQuestion + pullTime + own).To(BeNumerically("<", counted))
		})
	}
}
