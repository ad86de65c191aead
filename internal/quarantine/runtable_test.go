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

func content(body string) quarantine.Subject {
	return quarantine.NewContent("tenant", "h.example", "/p/", []byte(body))
}

// begin begins a run of the content on the runner.
func begin(table *quarantine.RunTable, runner quarantine.Runner, content quarantine.Subject) *quarantine.Run {
	run := &quarantine.Run{Content: content, Runner: runner, SentAt: start}
	table.Begin(run)
	return run
}

func TestContentCoversTenantHostPathAndBody(t *testing.T) {
	g := NewWithT(t)
	base := quarantine.NewContent("t", "h", "/p", []byte("b"))
	g.Expect(quarantine.NewContent("t", "h", "/p", []byte("b"))).To(Equal(base))
	for _, other := range []quarantine.Subject{
		quarantine.NewContent("u", "h", "/p", []byte("b")), quarantine.NewContent("t", "i", "/p", []byte("b")),
		quarantine.NewContent("t", "h", "/q", []byte("b")), quarantine.NewContent("t", "h", "/p", []byte("c")),
		quarantine.NewContent("t", "h/", "p", []byte("b")), quarantine.NewContent("t", "h", "/pb", nil),
	} {
		g.Expect(other).NotTo(Equal(base))
	}
}

func TestRunnerCrashedReturnsOpenAndRecentlyEndedRuns(t *testing.T) {
	g, table := NewWithT(t), quarantine.NewRunTable()
	beginOf := func(name string) *quarantine.Run { return begin(table, runnerA, content(name)) }
	open, lost, canceled, old := beginOf("open"), beginOf("lost"), beginOf("canceled"), beginOf("old")
	for _, outcome := range []quarantine.RunOutcome{quarantine.NotRun, quarantine.Survived, quarantine.Indeterminate} {
		table.End(start, beginOf("settled"), outcome)
	}
	begin(table, quarantine.Runner{ID: "a", Incarnation: 2}, content("next incarnation"))
	table.End(start, old, quarantine.ConnectionLost)
	now := start.Add(time.Second)
	table.End(now, lost, quarantine.ConnectionLost)
	table.End(now, canceled, quarantine.Canceled)
	g.Expect(table.RunnerCrashed(now, runnerA)).To(ConsistOf(open, lost, canceled))
	g.Expect(table.RunnerCrashed(now, runnerA)).To(BeEmpty(), "runs are returned only once")
	g.Expect(table.HasCrashed(runnerA)).To(BeTrue())
	g.Expect(table.HasCrashed(quarantine.Runner{ID: "a", Incarnation: 2})).To(BeFalse())
	table.Prune(now.Add(time.Minute))
	g.Expect(table.HasCrashed(runnerA)).To(BeFalse())
}

func TestRunnerAliveMarksEarlierLostConnectionsAsSurvived(t *testing.T) {
	g, table := NewWithT(t), quarantine.NewRunTable()
	before, after, canceled := begin(table, runnerA, content("1")), begin(table, runnerA, content("2")), begin(table, runnerA, content("3"))
	table.End(start, before, quarantine.ConnectionLost)
	table.End(start, canceled, quarantine.Canceled)
	table.End(start.Add(2*time.Millisecond), after, quarantine.ConnectionLost)
	table.RunnerAlive(start.Add(time.Millisecond), runnerA)
	g.Expect(table.RunnerCrashed(start.Add(3*time.Millisecond), runnerA)).To(ConsistOf(after, canceled))
}

func TestEndedRunsPerRunnerAreBounded(t *testing.T) {
	g, table := NewWithT(t), quarantine.NewRunTable()
	open := begin(table, runnerA, content("open"))
	for i := range 1000 {
		table.End(start, begin(table, runnerA, content(fmt.Sprint(i))), quarantine.Canceled)
	}
	runs := table.RunnerCrashed(start, runnerA)
	g.Expect(len(runs)).To(BeNumerically("<=", 129))
	g.Expect(runs).To(ContainElement(open))
	g.Expect(runs[len(runs)-1].Content).To(Equal(content("999")), "the latest runs are kept")
}
