package backend

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestRunnerThatAnswersNothingMakesOthersWait(t *testing.T) {
	g := NewWithT(t)
	set := NewSet("z")
	set.Put(runner("a", "z"))
	a := set.entries["a"]
	const tokens = PrefillRate / 10 // a tenth of a second
	first := set.Begin(start, "a", tokens)
	g.Expect(a.currentWait(start.Add(150*time.Millisecond))).To(BeZero(), "it is still reading")
	g.Expect(a.currentWait(start.Add(time.Second))).To(Equal(800 * time.Millisecond))
	second := set.Begin(start.Add(time.Second), "a", 0)
	g.Expect(a.currentWait(start.Add(time.Second))).To(Equal(800*time.Millisecond), "another request is no progress")

	set.FirstAnswer(start.Add(time.Second), first)
	g.Expect(a.currentWait(start.Add(time.Second))).To(Equal(450*time.Millisecond), "measured: half of 900 ms")
	set.End(start.Add(5*time.Second), second, Abandoned)
	g.Expect(a.currentWait(start.Add(5*time.Second))).To(Equal(4*time.Second), "it waited at least so long")
	g.Expect(a.currentWait(start.Add(20*time.Second))).To(BeNumerically("<", 10*time.Millisecond), "what was measured fades")
}
