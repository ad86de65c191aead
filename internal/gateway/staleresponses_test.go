package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A stale replica responds to a watch of the configuration with revision 10. The watch of the
// runners had already delivered revision 12 long before the time as of which the response would
// prove the configuration, and delivered 13 after it. An implementation that remembers only the
// latest revision would overlook that 12 was already known and accept the response.
func TestStaleResponseProvesNothingAfterLaterRevisions(t *testing.T) {
	g := NewWithT(t)
	proofTime := time.Unix(1_000, 0)
	copies := &copies{}
	copies.recordReached(checkpoint{revision: 12, at: proofTime.Add(-500 * time.Millisecond)})
	response := storeResponse{revision: 10, knownRevision: 10}
	g.Expect(copies.isCurrent(response, proofTime)).To(BeFalse(), "revision 12 was known half a second before")
	copies.recordReached(checkpoint{revision: 13, at: proofTime.Add(20 * time.Millisecond)})
	g.Expect(copies.isCurrent(response, proofTime)).To(BeFalse(), "revision 12 was known before, regardless of later revisions")
}
