package claim

import (
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"
)

var start = time.Unix(1_700_000_000, 0)

// serving returns a holder that has served assignment 2 for a minute, with
// no memory from before it.
func serving() *Holder {
	holder := NewHolder()
	holder.Serve(start.Add(-time.Minute), 2)
	return holder
}

func TestFirstAssignmentTakesEveryKeyAndAChangeAfterLossDoesNot(t *testing.T) {
	g := NewWithT(t)
	first := NewHolder()
	first.Serve(start, 1)
	g.Expect(first.Claim(start, 1, "key", start, "a")).To(Equal(Granted))
	next := NewHolder()
	next.Serve(start, 2)
	g.Expect(next.Claim(start, 2, "key", start, "a")).To(Equal(BeforeHorizon))
}

func TestHolderVerdicts(t *testing.T) {
	cases := []struct {
		name       string
		assignment uint64
		issued     time.Time
		want       Verdict
	}{
		{"a fresh key", 2, start, Granted},
		{"a key ahead within the bound", 2, start.Add(ClockBound), Granted},
		{"a key ahead of the bound", 2, start.Add(ClockBound + time.Millisecond), FromFuture},
		{"a key at the horizon plus the bound", 2, start.Add(-time.Minute + ClockBound), BeforeHorizon},
		{"a key just after it", 2, start.Add(-time.Minute + ClockBound + time.Millisecond), Granted},
		{"another assignment", 3, start, WrongAssignment},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(serving().Claim(start, c.assignment, "key", c.issued, "a")).To(Equal(c.want))
		})
	}
}

func TestRepeatedAskGetsTheSameAnswer(t *testing.T) {
	g := NewWithT(t)
	holder := serving()
	g.Expect(holder.Claim(start, 2, "key", start, "a")).To(Equal(Granted))
	g.Expect(holder.Claim(start, 2, "key", start, "b")).To(Equal(Taken))
	g.Expect(holder.Claim(start, 2, "key", start, "a")).To(Equal(Granted))
	g.Expect(holder.Claim(start, 2, "key", start, "b")).To(Equal(Taken))
}

func TestSealedHolderGrantsNoMore(t *testing.T) {
	g := NewWithT(t)
	holder := serving()
	holder.Claim(start, 2, "old", start, "a")
	_, records, sealed := holder.Seal(2)
	g.Expect(sealed).To(BeTrue())
	g.Expect(records).To(HaveLen(1))
	g.Expect(holder.Claim(start, 2, "new", start, "a")).To(Equal(Sealed))
	g.Expect(holder.Claim(start, 2, "old", start, "b")).To(Equal(Taken))
}

func TestExpiredKeysAreForgottenAndRefused(t *testing.T) {
	g := NewWithT(t)
	holder := serving()
	g.Expect(holder.Claim(start, 2, "key", start, "a")).To(Equal(Granted))
	later := start.Add(Retention + 2*ClockBound + time.Minute)
	g.Expect(holder.Claim(later, 2, "other", later, "a")).To(Equal(Granted))
	g.Expect(holder.Len()).To(Equal(1))
	g.Expect(holder.Claim(later, 2, "key", start, "b")).To(Equal(Expired))
}

func TestOneOldGrantDoesNotCountUnderTheNextAssignment(t *testing.T) {
	g := NewWithT(t)
	// Holders 1 and 2 granted key to attempt a, which has won; holder 3 granted it
	// to b. Holder 2 is gone; the change of holders hears 3 only.
	third := serving()
	third.Claim(start, 2, "key", start, "b")
	horizon, records, _ := third.Seal(2)
	handover, ready := NewHandover(start.Add(time.Second), []SealAnswer{{}, {Gone: true}, {Sealed: true, Horizon: horizon, Records: records}})
	g.Expect(ready).To(BeTrue())
	next := NewHolder()
	next.Install(3, handover.Horizon, handover.Records)
	next.Serve(start.Add(time.Second), 3)
	g.Expect(next.Claim(start.Add(time.Second), 3, "key", start, "b")).To(Equal(Taken))
}

func TestHandoverNeedsAMajorityThatNoLongerGrants(t *testing.T) {
	g := NewWithT(t)
	_, ready := NewHandover(start, []SealAnswer{{Sealed: true}, {}, {}})
	g.Expect(ready).To(BeFalse())
	handover, ready := NewHandover(start, []SealAnswer{{Gone: true}, {Gone: true}, {}})
	g.Expect(ready).To(BeTrue())
	g.Expect(handover.Horizon).To(Equal(start))
}

func TestChangeThatFailedBeforeTheWriteCanBeTriedAgain(t *testing.T) {
	g := NewWithT(t)
	holder := serving()
	holder.Claim(start, 2, "key", start, "a")
	horizon, records, _ := holder.Seal(2)
	g.Expect(holder.Install(3, horizon, records)).To(BeTrue())
	again, recordsAgain, sealed := holder.Seal(2)
	g.Expect(sealed).To(BeTrue())
	g.Expect(again).To(Equal(horizon))
	g.Expect(recordsAgain).To(HaveLen(1))
}

func TestRoundDecisions(t *testing.T) {
	cases := []struct {
		name     string
		verdicts []Verdict
		silent   int
		want     Decision
	}{
		{"two grants win", []Verdict{Granted, Granted}, 0, Won},
		{"one grant waits", []Verdict{Granted}, 0, Undecided},
		{"taken twice", []Verdict{Taken, Taken}, 0, Duplicate},
		{"one grant and two silent", []Verdict{Granted}, 2, Unavailable},
		{"before the horizon", []Verdict{BeforeHorizon, BeforeHorizon}, 0, Refused},
		{"the assignment moved on", []Verdict{Sealed, WrongAssignment}, 0, Retry},
		{"moved on, but one took it", []Verdict{Sealed, Taken}, 0, Duplicate},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			round := NewRound(3)
			for _, verdict := range c.verdicts {
				round.Answer(verdict)
			}
			for range c.silent {
				round.Silent()
			}
			NewWithT(t).Expect(round.Decide()).To(Equal(c.want))
		})
	}
}

func TestIssueTimeOfKeys(t *testing.T) {
	g := NewWithT(t)
	before := time.Now().Truncate(time.Millisecond)
	issued, err := IssueTime(uuid.Must(uuid.NewV7()).String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(issued).To(BeTemporally("~", before, time.Second))
	for _, key := range []string{"", "hold-17", uuid.NewString()} {
		_, err := IssueTime(key)
		g.Expect(err).To(MatchError(ErrKeyWithoutTime))
	}
}
