package claim

import (
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"
)

var start = time.Unix(1_700_000_000, 0)

// newServingHolder returns a holder that has served assignment 2 for one minute and has no
// records from earlier assignments.
func newServingHolder() *Holder {
	holder := NewHolder()
	holder.Serve(start.Add(-time.Minute), 2)
	return holder
}

func TestOnlyFirstAssignmentStartsWithoutHorizon(t *testing.T) {
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
		issuedAt   time.Time
		want       Verdict
	}{
		{"current issue time", 2, start, Granted},
		{"issued in the future, within MaxClockSkew", 2, start.Add(MaxClockSkew), Granted},
		{"issued in the future, beyond MaxClockSkew", 2, start.Add(MaxClockSkew + time.Millisecond), IssuedInFuture},
		{"issued at the horizon plus MaxClockSkew", 2, start.Add(-time.Minute + MaxClockSkew), BeforeHorizon},
		{"issued just after the horizon plus MaxClockSkew", 2, start.Add(-time.Minute + MaxClockSkew + time.Millisecond), Granted},
		{"another assignment", 3, start, WrongAssignment},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(newServingHolder().Claim(start, c.assignment, "key", c.issuedAt, "a")).To(Equal(c.want))
		})
	}
}

func TestRepeatedClaimGetsSameVerdict(t *testing.T) {
	g := NewWithT(t)
	holder := newServingHolder()
	g.Expect(holder.Claim(start, 2, "key", start, "a")).To(Equal(Granted))
	g.Expect(holder.Claim(start, 2, "key", start, "b")).To(Equal(Taken))
	g.Expect(holder.Claim(start, 2, "key", start, "a")).To(Equal(Granted))
	g.Expect(holder.Claim(start, 2, "key", start, "b")).To(Equal(Taken))
}

func TestSealedHolderGrantsNoNewKeys(t *testing.T) {
	g := NewWithT(t)
	holder := newServingHolder()
	holder.Claim(start, 2, "old", start, "a")
	_, records, sealed := holder.Seal(2)
	g.Expect(sealed).To(BeTrue())
	g.Expect(records).To(HaveLen(1))
	g.Expect(holder.Claim(start, 2, "new", start, "a")).To(Equal(Sealed))
	g.Expect(holder.Claim(start, 2, "old", start, "b")).To(Equal(Taken))
}

func TestExpiredKeysArePrunedAndRefused(t *testing.T) {
	g := NewWithT(t)
	holder := newServingHolder()
	g.Expect(holder.Claim(start, 2, "key", start, "a")).To(Equal(Granted))
	later := start.Add(Retention + 2*MaxClockSkew + time.Minute)
	g.Expect(holder.Claim(later, 2, "other", later, "a")).To(Equal(Granted))
	g.Expect(holder.Len()).To(Equal(1))
	g.Expect(holder.Claim(later, 2, "key", start, "b")).To(Equal(Expired))
}

func TestGrantIsNotCarriedOverToNextAssignment(t *testing.T) {
	g := NewWithT(t)
	// Holders 1 and 2 granted the key to attempt a, which has won. Holder 3 granted it to
	// attempt b. Holder 2 has ended, and in the change of holders only holder 3 responds.
	third := newServingHolder()
	third.Claim(start, 2, "key", start, "b")
	horizon, records, _ := third.Seal(2)
	handover, ready := NewHandover(start.Add(time.Second), []SealResult{{}, {Ended: true}, {Sealed: true, Horizon: horizon, Records: records}})
	g.Expect(ready).To(BeTrue())
	next := NewHolder()
	next.Install(3, handover.Horizon, handover.Records)
	next.Serve(start.Add(time.Second), 3)
	g.Expect(next.Claim(start.Add(time.Second), 3, "key", start, "b")).To(Equal(Taken))
}

func TestHandoverRequiresMajoritySealedOrEnded(t *testing.T) {
	g := NewWithT(t)
	_, ready := NewHandover(start, []SealResult{{Sealed: true}, {}, {}})
	g.Expect(ready).To(BeFalse())
	handover, ready := NewHandover(start, []SealResult{{Ended: true}, {Ended: true}, {}})
	g.Expect(ready).To(BeTrue())
	g.Expect(handover.Horizon).To(Equal(start))
}

func TestHolderChangeCanBeRetriedAfterInstall(t *testing.T) {
	g := NewWithT(t)
	holder := newServingHolder()
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
		timeouts int
		want     Decision
	}{
		{"two grants win", []Verdict{Granted, Granted}, 0, Won},
		{"one grant is undecided", []Verdict{Granted}, 0, Undecided},
		{"taken twice", []Verdict{Taken, Taken}, 0, Duplicate},
		{"one grant and two timeouts", []Verdict{Granted}, 2, Unavailable},
		{"before the horizon", []Verdict{BeforeHorizon, BeforeHorizon}, 0, Refused},
		{"the assignment changed", []Verdict{Sealed, WrongAssignment}, 0, Retry},
		{"the assignment changed, but one holder has the key taken", []Verdict{Sealed, Taken}, 0, Duplicate},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			round := NewRound(3)
			for _, verdict := range c.verdicts {
				round.AddVerdict(verdict)
			}
			for range c.timeouts {
				round.AddTimeout()
			}
			NewWithT(t).Expect(round.Decide()).To(Equal(c.want))
		})
	}
}

func TestIssueTime(t *testing.T) {
	g := NewWithT(t)
	before := time.Now().Truncate(time.Millisecond)
	issued, err := IssueTime(uuid.Must(uuid.NewV7()).String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(issued).To(BeTemporally("~", before, time.Second))
	for _, key := range []string{"", "hold-17", uuid.NewString()} {
		_, err := IssueTime(key)
		g.Expect(err).To(MatchError(ErrNoIssueTime))
	}
}
