package gateway

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
	known := &modelBounds{}
	// What a router lists first bounds nothing: older weights have until it has settled.
	known.learn(5, weightNews{learned: started.Add(time.Second), started: started})
	settled := started.Add(boundSettings.SettleTime)
	g.Expect(deadlineOf(known, 4)).To(BeTemporally("==", settled))
	now := started.Add(time.Minute)
	failed := now.Add(-time.Second)
	known.learn(6, weightNews{
		learned: now, started: started, proven: now.Add(-2 * time.Second), before: now.Add(-2 * time.Second),
		disturbed: span{first: failed, last: failed},
	})
	g.Expect(deadlineOf(known, 4)).To(BeTemporally("<=", now))
}

// A router that was told that weights were named while it could not read the store does not
// take the store to have been away, whichever bound it knows of versions before them. Routers
// that tell of the newest version only say the same with theirs.
func TestToldNamingOfALaterVersionShowsThatTheStoreWorked(t *testing.T) {
	now := time.Unix(1_000, 0)
	blind := now.Add(-10 * time.Second)
	news := weightNews{
		learned: now, started: now.Add(-time.Hour), proven: blind, before: blind,
		disturbed: span{first: blind.Add(time.Second), last: now.Add(-100 * time.Millisecond)},
	}
	// The other router's last proof before it learned is older than this one's.
	told := blind.Add(-time.Second)
	// The router has settled later than the weights' time ends.
	want := news.disturbed.last.Add(boundSettings.SettleTime)
	t.Run("told after", func(t *testing.T) {
		g := NewWithT(t)
		known := &modelBounds{named: 4}
		known.learn(6, news)
		known.told(6, told)
		g.Expect(deadlineOf(known, 5)).To(BeTemporally("<=", want))
	})
	t.Run("told before", func(t *testing.T) {
		g := NewWithT(t)
		known := &modelBounds{named: 4}
		known.told(6, told)
		known.learn(6, news)
		g.Expect(deadlineOf(known, 5)).To(BeTemporally("<=", want))
	})
}

// Weights have their time also when many are named in quick succession.
func TestWeightsKeepTheirTimeWhenManyAreNamed(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1_000, 0)
	known := &modelBounds{}
	known.learn(1, weightNews{learned: start, started: start.Add(-time.Hour)})
	const gap = 300 * time.Millisecond
	for i := range 20 {
		at := start.Add(time.Duration(i+1) * gap)
		news := weightNews{learned: at, started: start.Add(-time.Hour), proven: at.Add(-gap / 3), before: at.Add(-gap / 3)}
		known.learn(uint64(i+2), news)
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
	teller := weightBounds{}
	teller.of("m").named = 4
	// The watch that brought the first was sent 20 ms after its copy was proven.
	first, second := start.Add(-500*time.Millisecond), start.Add(-480*time.Millisecond)
	teller.of("m").learn(5, weightNews{learned: start, started: started, proven: first, before: first})
	teller.of("m").learn(6, weightNews{learned: start.Add(300 * time.Millisecond), started: started, proven: second, before: second})

	blindFrom, now := start.Add(100*time.Millisecond), start.Add(10*time.Second)
	known := &modelBounds{named: 4}
	known.learn(5, weightNews{learned: start, started: started, proven: first, before: first})
	known.learn(6, weightNews{
		learned: now, started: started, proven: blindFrom, before: blindFrom,
		disturbed: span{first: blindFrom.Add(time.Second), last: now.Add(-100 * time.Millisecond)},
	})
	settled := now.Add(-100 * time.Millisecond).Add(boundSettings.SettleTime)
	for _, bound := range teller.firm(now, time.Minute) {
		known.told(bound.GetVersion(), now.Add(-time.Duration(bound.GetAgeMillis())*time.Millisecond))
	}
	g.Expect(deadlineOf(known, 5)).To(BeTemporally("<=", settled))
}
