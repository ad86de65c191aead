package coldstart

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var started = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func newTestSchedule(firstStart bool) *Schedule {
	return NewSchedule(ScheduleConfig{Started: started, FirstStart: firstStart, Jitter: func(d time.Duration) time.Duration { return d }})
}

// Guards against requests at a constant rate that keep overloaded sources from answering.
func TestSilentSourcesAreAskedLessAndLess(t *testing.T) {
	g, s := NewWithT(t), newTestSchedule(false)
	for _, want := range []time.Duration{2, 4, 8, 8} {
		s.Record("a", Silent)
		s.EndRound()
		g.Expect(s.Interval()).To(Equal(want * minInterval))
		g.Expect(s.Timeout("a")).To(Equal(want * silentTimeout))
	}
	s.EndRound()
	g.Expect(s.Interval()).To(Equal(8*minInterval), "nobody was asked")
	s.Record("a", Empty)
	s.EndRound()
	g.Expect(s.Interval()).To(Equal(minInterval))
}

// Guards against routers that learn late that the process of a source has started.
func TestStartingSourcesAreAskedAgainSoon(t *testing.T) {
	g, s := NewWithT(t), newTestSchedule(false)
	s.Record("a", Unreachable)
	s.EndRound()
	g.Expect(s.Interval()).To(BeNumerically("<", minInterval))
	for range 20 {
		s.Record("a", Unreachable)
		s.Record("b", Silent)
		s.EndRound()
		g.Expect(s.Interval()).To(BeNumerically("<=", maxUnreachableInterval))
		g.Expect(s.Backoff("a")).To(BeZero())
		g.Expect(s.Backoff("b")).To(Equal(startBackoff))
	}
}

// Guards against routers that all read the store because their sources start a moment later, and against
// ones that wait for sources which are not there.
func TestWaitDependsOnTheRepliesOfSources(t *testing.T) {
	g := NewWithT(t)
	for reply, want := range map[Reply]time.Duration{Silent: silentWait, Unreachable: unreachableWait, Empty: emptyWait, Data: silentWait} {
		s := newTestSchedule(false)
		g.Expect(s.WaitUntil().Sub(started)).To(Equal(unreachableWait), "before the first reply")
		s.Record("a", reply)
		s.EndRound()
		g.Expect(s.WaitUntil().Sub(started)).To(Equal(want), "%d", reply)
	}
	g.Expect(newTestSchedule(true).WaitUntil().Sub(started)).To(Equal(firstStartWait))
}

// Guards against requests that time out at a source which answers hundreds of routers at that moment.
func TestSourceThatRunsHasMoreTimeToAnswer(t *testing.T) {
	g, s := NewWithT(t), newTestSchedule(false)
	g.Expect(s.Timeout("a")).To(Equal(silentTimeout))
	s.RecordNotification("a")
	g.Expect(s.Timeout("a")).To(Equal(emptyTimeout))
	s.Record("a", Empty)
	g.Expect(s.Backoff("a")).To(Equal(emptyBackoff))
}
