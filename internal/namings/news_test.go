package namings

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Older weights were used beyond the deadline where news of newer ones was late, and would
// be refused for nothing where the store had been away for everybody.
func TestOlderWeightsExpireByWhatIsKnownOfTheNaming(t *testing.T) {
	times := boundTimes
	const allowed, begun = 7250 * time.Millisecond, 7750 * time.Millisecond
	now := time.Unix(1_000, 0)
	ago := func(seconds float64) time.Time { return now.Add(-time.Duration(seconds * float64(time.Second))) }
	failing := func(first, last float64) Span { return Span{ago(first), ago(last)} }
	for name, test := range map[string]struct {
		news News
		want time.Time
	}{
		"news at once":                        {News{Started: ago(100), Before: ago(0.3)}, ago(0.3).Add(allowed)},
		"a lost watch":                        {News{Started: ago(100), Before: ago(2.4)}, ago(2.4).Add(allowed)},
		"a lost watch and a failed call":      {News{Started: ago(100), Before: ago(2.4), Disturbed: failing(2, 1)}, ago(2.4).Add(allowed)},
		"lost for long without a failure":     {News{Started: ago(100), Before: ago(5)}, ago(5).Add(allowed)},
		"the store was away":                  {News{Started: ago(100), Before: ago(5), Disturbed: failing(4.5, 0.2)}, ago(0.2).Add(allowed)},
		"the store was away for one alone":    {News{Started: ago(100), Before: ago(5), Disturbed: failing(4.5, 0.2), Alone: true}, ago(0.2).Add(settled)},
		"the process stood still":             {News{Started: ago(100), Before: ago(5), Disturbed: failing(0.1, 0.1)}, ago(0.1).Add(settled)},
		"the store was away for one, as told": {News{Started: ago(100), Before: ago(3), Told: true, Disturbed: failing(4.5, 0.2)}, ago(3).Add(allowed)},
		"just started":                        {News{Started: ago(1)}, ago(1).Add(settled)},
		"started and long without a store":    {News{Started: ago(9), Disturbed: failing(8, 0.5)}, ago(0.5).Add(settled)},
		"started and learned late":            {News{Started: ago(9)}, now},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			test.news.Learned = now
			deadlines := Older(times, test.news)
			g.Expect(deadlines.Expiry).To(BeTemporally("==", test.want))
			g.Expect(deadlines.WithdrawAt).To(BeTemporally(">=", deadlines.Expiry))
			g.Expect(deadlines.WithdrawAt).To(BeTemporally("<=", deadlines.Expiry.Add(begun-allowed)))
		})
	}
}

// A router that had been started 30 ms before its code began let a request begin on older weights
// 3.0002 s after its start, where 3 s are borne.
func TestOlderWeightsExpireBeforeTheSettlingTimeIsOver(t *testing.T) {
	const startup, withdrawal = 50 * time.Millisecond, 150 * time.Millisecond
	launched := time.Unix(1_000, 0)
	for name, news := range map[string]News{
		"nothing is known of the naming": {Started: launched.Add(startup)},
		"the time of the naming is over": {Started: launched.Add(startup), Before: launched.Add(-time.Hour)},
		"a call failed at once":          {Started: launched.Add(startup), Disturbed: Span{launched.Add(startup), launched.Add(startup)}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			news.Learned = launched.Add(startup)
			deadlines := Older(boundTimes, news)
			g.Expect(deadlines.WithdrawAt.Add(withdrawal)).To(BeTemporally("<=", launched.Add(boundTimes.Settle)))
			g.Expect(deadlines.Expiry).To(BeTemporally("<=", deadlines.WithdrawAt))
		})
	}
}
