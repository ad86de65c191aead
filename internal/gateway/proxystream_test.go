package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A caller that stalled once and resumed reading is not the cause of a later break of the stream.
func TestStreamStallIsRecentOnlyBriefly(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000, 0)
	stream := &eventStream{}
	g.Expect(stream.stalledRecently(now)).To(BeFalse())
	stream.lastStallEnd = now
	g.Expect(stream.stalledRecently(now.Add(stallThreshold / 2))).To(BeTrue())
	g.Expect(stream.stalledRecently(now.Add(2 * stallThreshold))).To(BeFalse())
}
