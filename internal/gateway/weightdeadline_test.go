package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Older weights were used beyond the deadline where news of newer ones was late, and would
// be refused for nothing where the store had been away for everybody.
func TestOlderWeightsExpireByWhatIsKnownOfTheNaming(t *testing.T) {
	settings := Settings{WeightDeadline: 8 * time.Second, SettleTime: 3 * time.Second}
	const allowed, begun = 7250 * time.Millisecond, 7750 * time.Millisecond
	now := time.Unix(1_000, 0)
	ago := func(seconds float64) time.Time { return now.Add(-time.Duration(seconds * float64(time.Second))) }
	failing := func(first, last float64) span { return span{ago(first), ago(last)} }
	for name, test := range map[string]struct {
		news weightNews
		want time.Time
	}{
		"news at once":                        {weightNews{started: ago(100), before: ago(0.3)}, ago(0.3).Add(allowed)},
		"a lost watch":                        {weightNews{started: ago(100), before: ago(2.4)}, ago(2.4).Add(allowed)},
		"a lost watch and a failed call":      {weightNews{started: ago(100), before: ago(2.4), disturbed: failing(2, 1)}, ago(2.4).Add(allowed)},
		"lost for long without a failure":     {weightNews{started: ago(100), before: ago(5)}, ago(5).Add(allowed)},
		"the store was away":                  {weightNews{started: ago(100), before: ago(5), disturbed: failing(4.5, 0.2)}, ago(0.2).Add(allowed)},
		"the store was away for one alone":    {weightNews{started: ago(100), before: ago(5), disturbed: failing(4.5, 0.2), alone: true}, ago(0.2).Add(settings.SettleTime)},
		"the process stood still":             {weightNews{started: ago(100), before: ago(5), disturbed: failing(0.1, 0.1)}, ago(0.1).Add(settings.SettleTime)},
		"the store was away for one, as told": {weightNews{started: ago(100), before: ago(3), told: true, disturbed: failing(4.5, 0.2)}, ago(3).Add(allowed)},
		"just started":                        {weightNews{started: ago(1)}, ago(1).Add(settings.SettleTime)},
		"started and long without a store":    {weightNews{started: ago(9), disturbed: failing(8, 0.5)}, ago(0.5).Add(settings.SettleTime)},
		"started and learned late":            {weightNews{started: ago(9)}, now},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			test.news.learned = now
			deadlines := olderDeadlines(settings, test.news)
			g.Expect(deadlines.Expired).To(BeTemporally("==", test.want))
			g.Expect(deadlines.Unbegun).To(BeTemporally(">=", deadlines.Expired))
			g.Expect(deadlines.Unbegun).To(BeTemporally("<=", deadlines.Expired.Add(begun-allowed)))
		})
	}
}

func TestCheckpointsBoundWhenARevisionWasWritten(t *testing.T) {
	g := NewWithT(t)
	var known checkpoints
	at := time.Unix(1_000, 0)
	g.Expect(known.before(5)).To(BeZero())
	for revision := range uint64(keptCheckpoints + 4) {
		known.note(checkpoint{revision: revision, at: at.Add(time.Duration(revision) * time.Second)})
	}
	g.Expect(known.before(10)).To(Equal(at.Add(9 * time.Second)))
	g.Expect(known.before(4)).To(BeZero(), "no longer known")
	newest, found := known.newest()
	g.Expect(found).To(BeTrue())
	g.Expect(newest.revision).To(Equal(uint64(keptCheckpoints + 3)))
}

func TestFailuresWithAGapBetweenAreApart(t *testing.T) {
	g := NewWithT(t)
	var d disturbance
	at := time.Unix(1_000, 0)
	failed := errors.New("no answer")
	for _, second := range []int{0, 2, 4, 8, 9} {
		d.note(at.Add(time.Duration(second)*time.Second), failed, nil)
	}
	d.note(at.Add(20*time.Second), nil, nil)
	d.note(at.Add(20*time.Second), ErrHistoryGone, nil)
	d.note(at.Add(20*time.Second), ErrThrottled, nil)
	d.note(at.Add(20*time.Second), failed, context.Canceled)
	g.Expect(d.latest()).To(Equal(span{at.Add(8 * time.Second), at.Add(9 * time.Second)}))
}
