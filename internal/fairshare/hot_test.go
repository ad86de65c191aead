package fairshare

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestHotTenantsCostOthersLittle(t *testing.T) {
	for name, l := range map[string]load{
		"16 even":              {usual: even(16), hot: hot(3)},
		"16 skewed, weighted":  {usual: skewed(16), hot: hot(3), weighted: true},
		"16 skewed, biggest":   {usual: skewed(16), hot: hot(0), weighted: true},
		"16 skewed, smallest":  {usual: skewed(16), hot: hot(15), weighted: true, share: 0.9},
		"16 even, two hot":     {usual: even(16), hot: map[int]float64{3: hotFactor, 9: 3}},
		"74 even":              {usual: even(74), hot: hot(5)},
		"74 even, usual fits":  {usual: even(74), hot: hot(5), share: 0.925},
		"74 skewed, weighted":  {usual: skewed(74), hot: hot(5), weighted: true},
		"16 even, one router":  {usual: even(16), hot: hot(3), schedulers: 1},
		"16 even, news 50 ms":  {usual: even(16), hot: hot(3), delay: 50 * time.Millisecond},
		"16 even, news 200 ms": {usual: even(16), hot: hot(3), delay: 200 * time.Millisecond},
		"16 even, news 1 s":    {usual: even(16), hot: hot(3), delay: time.Second},
		"16 even, lost":        {usual: even(16), hot: hot(3), lost: 10 * time.Second},
		"16 even, cut":         {usual: even(16), hot: hot(3), cut: 10 * time.Second},
		"16 even, restart":     {usual: even(16), hot: hot(3), restart: 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			if l.share == 0 {
				// With what the hot tenants want beyond their usual a quarter is too much.
				l.share = 0.75
			}
			if l.schedulers == 0 {
				l.schedulers = 3
			}
			first := l.plays()
			l.fair = true
			fair, oracle := l.plays(), l.fairlyServed()
			owed := 0.0
			for i, served := range oracle {
				if l.hot[i] == 0 {
					owed = 1 - served // all others lack the same part of their requests
				}
			}
			t.Logf("of the others' requests %.3f refused first come, %.3f shared, %.3f by the oracle; idle %v, %v", first.refused(), fair.refused(), owed, first.idle, fair.idle)
			g.Expect(fair.refused()).To(BeNumerically("<", owed+mostRefused))
			g.Expect(fair.idle).To(BeNumerically("<", seeds*(playedTime-warmTime)/100), "work-conserving")
			for i := range l.hot {
				t.Logf("of a hot tenant's requests %.3f served first come, %.3f shared, %.3f by the oracle", 1-first.refusedOf(i), 1-fair.refusedOf(i), oracle[i])
				g.Expect(1-fair.refusedOf(i)).To(BeNumerically(">", leastFair*oracle[i]), "not starved")
			}
		})
	}
}

func TestNobodyIsHeldBackWhileThereIsRoom(t *testing.T) {
	g := NewWithT(t)
	l := load{usual: even(16), hot: hot(3), share: 1.25, schedulers: 3}
	first := l.plays()
	l.fair = true
	fair := l.plays()
	t.Logf("refused of the hot tenant: %.4f first come, %.4f shared", first.refusedOf(3), fair.refusedOf(3))
	g.Expect(fair.refusedOf(3)).To(BeNumerically("<=", first.refusedOf(3)))
}
