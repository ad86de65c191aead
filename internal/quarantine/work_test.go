package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/quarantine"
)

var (
	start   = time.Unix(1_000, 0)
	runnerA = quarantine.Runner{ID: "a", Incarnation: 1}
)

func content(body string) quarantine.Content {
	return quarantine.ContentOf("tenant", "h.example", "/p/", []byte(body))
}

func TestContentIsTenantHostPathAndBody(t *testing.T) {
	g := NewWithT(t)
	base := quarantine.ContentOf("t", "h", "/p", []byte("b"))
	g.Expect(quarantine.ContentOf("t", "h", "/p", []byte("b"))).To(Equal(base))
	for _, other := range []quarantine.Content{
		quarantine.ContentOf("u", "h", "/p", []byte("b")), quarantine.ContentOf("t", "i", "/p", []byte("b")),
		quarantine.ContentOf("t", "h", "/q", []byte("b")), quarantine.ContentOf("t", "h", "/p", []byte("c")),
		quarantine.ContentOf("t", "h/", "p", []byte("b")), quarantine.ContentOf("t", "h", "/pb", nil),
	} {
		g.Expect(other).NotTo(Equal(base))
	}
}

func TestRunsThatMayHaveEndedTheirRunnerAreOpenOrEndedOfLate(t *testing.T) {
	g, work := NewWithT(t), quarantine.NewWork()
	begin := func(name string) *quarantine.Run { return work.Begin(start, runnerA, content(name)) }
	open, broken, left, old := begin("open"), begin("broken"), begin("left"), begin("old")
	for _, how := range []quarantine.RunEnd{quarantine.NotRun, quarantine.Outlived, quarantine.Unclear} {
		work.End(start, begin("outlived"), how)
	}
	work.Begin(start, quarantine.Runner{ID: "a", Incarnation: 2}, content("at the next start"))
	work.End(start, old, quarantine.Broken)
	now := start.Add(time.Second)
	work.End(now, broken, quarantine.Broken)
	work.End(now, left, quarantine.Left)
	g.Expect(work.RunnerEnded(now, runnerA)).To(ConsistOf(open, broken, left))
	g.Expect(work.RunnerEnded(now, runnerA)).To(BeEmpty(), "they are told once")
	g.Expect(work.HasEnded(runnerA)).To(BeTrue())
	g.Expect(work.HasEnded(quarantine.Runner{ID: "a", Incarnation: 2})).To(BeFalse())
	work.Sweep(now.Add(time.Minute))
	g.Expect(work.HasEnded(runnerA)).To(BeFalse())
}

func TestRunnerThatRunsHasOutlivedWhatBrokeOffBefore(t *testing.T) {
	g, work := NewWithT(t), quarantine.NewWork()
	before, after, left := work.Begin(start, runnerA, content("1")), work.Begin(start, runnerA, content("2")), work.Begin(start, runnerA, content("3"))
	work.End(start, before, quarantine.Broken)
	work.End(start, left, quarantine.Left)
	work.End(start.Add(2*time.Millisecond), after, quarantine.Broken)
	work.RunnerRuns(start.Add(time.Millisecond), runnerA)
	g.Expect(work.RunnerEnded(start.Add(3*time.Millisecond), runnerA)).To(ConsistOf(after, left))
}

func TestRunsThatEndedAtOneRunnerAreBounded(t *testing.T) {
	g, work := NewWithT(t), quarantine.NewWork()
	open := work.Begin(start, runnerA, content("open"))
	for i := range 1000 {
		work.End(start, work.Begin(start, runnerA, content(fmt.Sprint(i))), quarantine.Left)
	}
	runs := work.RunnerEnded(start, runnerA)
	g.Expect(len(runs)).To(BeNumerically("<=", 129))
	g.Expect(runs).To(ContainElement(open))
	g.Expect(runs[len(runs)-1].Content).To(Equal(content("999")), "the latest are kept")
}
