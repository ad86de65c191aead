package namings

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Weights that expired stay so: a call to the store that failed before a later naming gives
// them no new time.
func TestExpiredWeightsStayExpiredWhenTheStoreFailsBeforeALaterNaming(t *testing.T) {
	g := NewWithT(t)
	started := time.Unix(1_000, 0)
	known := &Model{}
	// What a router lists first bounds nothing: older weights have until it has settled.
	known.Learn(5, News{Learned: started.Add(time.Second), Started: started})
	g.Expect(deadlineOf(known, 4)).To(BeTemporally("==", started.Add(settled)))
	now := started.Add(time.Minute)
	failed := now.Add(-time.Second)
	known.Learn(6, News{
		Learned: now, Started: started, Proven: now.Add(-2 * time.Second), Before: now.Add(-2 * time.Second),
		Disturbed: Span{First: failed, Last: failed},
	})
	g.Expect(deadlineOf(known, 4)).To(BeTemporally("<=", now))
}

// A router that was told that weights were named while it could not read the store does not
// take the store to have been away, whichever bound it knows of versions before them. Routers
// that tell of the newest version only say the same with theirs.
func TestToldNamingOfALaterVersionShowsThatTheStoreWorked(t *testing.T) {
	now := time.Unix(1_000, 0)
	blind := now.Add(-10 * time.Second)
	news := News{
		Learned: now, Started: now.Add(-time.Hour), Proven: blind, Before: blind,
		Disturbed: Span{First: blind.Add(time.Second), Last: now.Add(-100 * time.Millisecond)},
	}
	// The other router's last proof before it learned is older than this one's.
	told := blind.Add(-time.Second)
	// The router has settled later than the weights' time ends.
	want := news.Disturbed.Last.Add(boundTimes.Settle)
	t.Run("told after", func(t *testing.T) {
		g := NewWithT(t)
		known := &Model{named: 4}
		known.Learn(6, news)
		known.Take(boundTimes, 6, told)
		g.Expect(deadlineOf(known, 5)).To(BeTemporally("<=", want))
	})
	t.Run("told before", func(t *testing.T) {
		g := NewWithT(t)
		known := &Model{named: 4}
		known.Take(boundTimes, 6, told)
		known.Learn(6, news)
		g.Expect(deadlineOf(known, 5)).To(BeTemporally("<=", want))
	})
}

// Weights have their time also when many are named in quick succession.
func TestWeightsKeepTheirTimeWhenManyAreNamed(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1_000, 0)
	known := &Model{}
	known.Learn(1, News{Learned: start, Started: start.Add(-time.Hour)})
	const gap = 300 * time.Millisecond
	for i := range 20 {
		at := start.Add(time.Duration(i+1) * gap)
		news := News{Learned: at, Started: start.Add(-time.Hour), Proven: at.Add(-gap / 3), Before: at.Add(-gap / 3)}
		known.Learn(uint64(i+2), news)
	}
	// The first was replaced 6 s before the last was named.
	g.Expect(deadlineOf(known, 1)).To(BeTemporally("==", start.Add(gap*2/3).Add(allowedWeights)))
}

// Of versions named a moment apart a router tells the later one's naming too: one that knew
// the earlier one, and then could not read the store, learns from it that the store worked.
func TestNamingsAMomentApartAreAllTold(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1_000, 0)
	started := start.Add(-time.Hour)
	teller := Table{}
	teller.Of("m").named = 4
	// The watch that brought the first was sent 20 ms after its copy was proven.
	first, second := start.Add(-500*time.Millisecond), start.Add(-480*time.Millisecond)
	teller.Of("m").Learn(5, News{Learned: start, Started: started, Proven: first, Before: first})
	teller.Of("m").Learn(6, News{Learned: start.Add(300 * time.Millisecond), Started: started, Proven: second, Before: second})

	blindFrom, now := start.Add(100*time.Millisecond), start.Add(10*time.Second)
	known := &Model{named: 4}
	known.Learn(5, News{Learned: start, Started: started, Proven: first, Before: first})
	known.Learn(6, News{
		Learned: now, Started: started, Proven: blindFrom, Before: blindFrom,
		Disturbed: Span{First: blindFrom.Add(time.Second), Last: now.Add(-100 * time.Millisecond)},
	})
	settled := now.Add(-100 * time.Millisecond).Add(boundTimes.Settle)
	for _, bound := range teller.Firm(boundTimes, now, time.Minute) {
		known.Take(boundTimes, bound.Version, bound.Before())
	}
	g.Expect(deadlineOf(known, 5)).To(BeTemporally("<=", settled))
}
