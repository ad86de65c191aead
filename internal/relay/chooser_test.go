package relay

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Unix(1_000, 0)

// firstOf returns the router to ask first, or false when there is none.
func firstOf(chooser *Chooser, now time.Time) (string, bool) {
	askable := chooser.Askable(now)
	if len(askable) == 0 {
		return "", false
	}
	return askable[0], true
}

func TestFailedSeedsArePassedOverForAWhile(t *testing.T) {
	g := NewWithT(t)
	chooser := NewChooser("x", "z", []string{"a", "b"})
	first, found := firstOf(chooser, start)
	g.Expect(found).To(BeTrue())
	chooser.Failed(start, first)
	second, found := firstOf(chooser, start)
	g.Expect(found).To(BeTrue())
	g.Expect(second).NotTo(Equal(first))
	chooser.Failed(start, second)
	_, found = firstOf(chooser, start)
	g.Expect(found).To(BeFalse(), "the store itself is left")
	again, _ := firstOf(chooser, start.Add(passedOver))
	g.Expect(again).To(Equal(first))
	chooser.Failed(start.Add(passedOver), first)
	chooser.Answered(first, "z")
	again, _ = firstOf(chooser, start.Add(passedOver))
	g.Expect(again).To(Equal(first))
}

func TestSeedsReadForOthersAndAskOnlyOthers(t *testing.T) {
	g := NewWithT(t)
	chooser := NewChooser("a", "z", []string{"a", "b"})
	g.Expect(chooser.IsSeed()).To(BeTrue())
	next, _ := firstOf(chooser, start)
	g.Expect(next).To(Equal("b"))
	chooser.SetSeeds([]string{"b"})
	g.Expect(chooser.IsSeed()).To(BeFalse())
	chooser.SetSeeds(nil)
	_, found := firstOf(chooser, start)
	g.Expect(found).To(BeFalse())
}

func TestRoutersShareTheSeeds(t *testing.T) {
	g := NewWithT(t)
	counts := map[string]int{}
	for _, self := range []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9", "r10", "r11", "r12"} {
		next, _ := firstOf(NewChooser(self, "z", []string{"a", "b", "c"}), start)
		counts[next]++
	}
	g.Expect(counts).To(HaveLen(3))
}

func TestSeedsOfTheOwnZoneArePreferred(t *testing.T) {
	g := NewWithT(t)
	chooser := NewChooser("x", "z1", []string{"a", "b", "c"})
	first, _ := firstOf(chooser, start)
	chooser.Answered(first, "z2")
	second, _ := firstOf(chooser, start)
	g.Expect(second).NotTo(Equal(first), "another one may be nearer")
	chooser.Answered(second, "z1")
	near, _ := firstOf(chooser, start)
	g.Expect(near).To(Equal(second))
	chooser.Failed(start, second)
	next, found := firstOf(chooser, start)
	g.Expect(found).To(BeTrue())
	g.Expect(next).NotTo(Equal(second))
}

func TestRelayIsAskedFirstUntilItFails(t *testing.T) {
	g := NewWithT(t)
	chooser := NewChooser("x", "z", []string{"a", "b"})
	chooser.Answered("a", "z")
	chooser.Refer("x")
	g.Expect(chooser.Referred()).To(BeEmpty(), "not to itself")
	chooser.Refer("r")
	g.Expect(chooser.Askable(start)).To(Equal([]string{"r", "a", "b"}))
	chooser.Failed(start, "r")
	g.Expect(chooser.Askable(start)).To(Equal([]string{"a", "b"}))
}
