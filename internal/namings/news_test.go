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
		"the store was away for one alone":    {News{Started: ago(100), Before: ago(5), Disturbed: failing(4.5, 0.2), Alone: true}, ago(0.2).Add(times.Settle)},
		"the process stood still":             {News{Started: ago(100), Before: ago(5), Disturbed: failing(0.1, 0.1)}, ago(0.1).Add(times.Settle)},
		"the store was away for one, as told": {News{Started: ago(100), Before: ago(3), Told: true, Disturbed: failing(4.5, 0.2)}, ago(3).Add(allowed)},
		"just started":                        {News{Started: ago(1)}, ago(1).Add(times.Settle)},
		"started and long without a store":    {News{Started: ago(9), Disturbed: failing(8, 0.5)}, ago(0.5).Add(times.Settle)},
		"started and learned late":            {News{Started: ago(9)}, now},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			test.news.Learned = now
			deadlines := Older(times, test.news)
			g.Expect(deadlines.Expired).To(BeTemporally("==", test.want))
			g.Expect(deadlines.Unbegun).To(BeTemporally(">=", deadlines.Expired))
			g.Expect(deadlines.Unbegun).To(BeTemporally("<=", deadlines.Expired.Add(begun-allowed)))
		})
	}
}
