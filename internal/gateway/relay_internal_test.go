package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A caller that held up its stream once and reads on is not why the stream breaks later.
func TestStreamIsUnreadOnlySoonAfterItWasHeldUp(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000, 0)
	stream := &eventStream{}
	g.Expect(stream.unread(now)).To(BeFalse())
	stream.heldUpTo = now
	g.Expect(stream.unread(now.Add(unreadTime / 2))).To(BeTrue())
	g.Expect(stream.unread(now.Add(2 * unreadTime))).To(BeFalse())
}
