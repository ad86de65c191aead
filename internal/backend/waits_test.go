package backend

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestStalledRunnerCountsAsWait(t *testing.T) {
	g := NewWithT(t)
	set := NewSet("z")
	set.Put(runner("a", "z"))
	a := set.entries["a"]
	const tokens = PrefillRate / 10 // a tenth of a second
	first := set.Begin(start, "a", tokens)
	g.Expect(a.currentAssumedWait(start.Add(150*time.Millisecond))).To(BeZero(), "the prefill is still in progress")
	g.Expect(a.currentAssumedWait(start.Add(time.Second))).To(Equal(800 * time.Millisecond))
	second := set.Begin(start.Add(time.Second), "a", 0)
	g.Expect(a.currentAssumedWait(start.Add(time.Second))).To(Equal(800*time.Millisecond), "a new request is not progress")

	set.FirstResponse(start.Add(time.Second), first)
	g.Expect(a.currentAssumedWait(start.Add(time.Second))).To(Equal(450*time.Millisecond), "measured wait: half of 900 ms")
	set.End(start.Add(5*time.Second), second, Abandoned)
	g.Expect(a.currentAssumedWait(start.Add(5*time.Second))).To(Equal(4*time.Second), "the abandoned request waited at least this long")
	g.Expect(a.currentAssumedWait(start.Add(20*time.Second))).To(BeNumerically("<", 10*time.Millisecond), "the measured wait decays")
}
