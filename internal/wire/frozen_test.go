package wire

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A router that stood still for 300 ms is silent on the old connection and, as the kernel
// takes the new one, answers there within the time that is to tell a lost connection.
func TestRouterThatStoodStillForAMomentIsNotTakenForALostConnection(t *testing.T) {
	g, frozen := NewWithT(t), time.Now()
	thawed := frozen.Add(300 * time.Millisecond)
	old := newSilence(silentTime)
	old.opened(frozen.Add(-time.Minute))
	old.called(frozen)
	found := frozen.Add(silentTime)
	g.Expect(old.tooLong(found)).To(BeTrue())
	next := old.successor()
	next.opened(found)
	next.called(found)
	g.Expect(next.heard(thawed)).To(BeZero())
}
