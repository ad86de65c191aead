package backpressure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// window is the time over which a limit is judged; of its limit a runner may get
	// windowShare in it, and windowSlack requests beyond.
	window      = 4 * time.Second
	windowShare = 1.5
	windowSlack = 5
	// listLag is how long a change of the list of schedulers takes to reach each of them.
	listLag = 3 * time.Second
	tick    = 20 * time.Millisecond
)

func allowedIn(rate float64) int { return int(windowShare*rate*window.Seconds() + windowSlack) }

// scheduler is one that grants, with the list that it has read.
type scheduler struct {
	permits *Permits
	listed  []string
	// next is the list that it reads at the moment.
	next   []string
	nextAt time.Time
}

func (s *scheduler) read(now time.Time, self string) {
	if s.next != nil && !now.Before(s.nextAt) {
		s.listed, s.next = s.next, nil
		parts := 0
		if slices.Contains(s.listed, self) {
			parts = len(s.listed)
		}
		s.permits.SetParts(now, parts)
	}
}

// world plays schedulers that grant as much as they may, and a network that delays sends.
type world struct {
	random     *rand.Rand
	rate       float64
	list       []string
	schedulers map[string]*scheduler
	arrived    []time.Time
}

func newWorld(seed uint64, rate float64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), rate: rate, list: []string{"a", "b", "c"}, schedulers: map[string]*scheduler{}}
	for _, name := range w.list {
		w.start(start.Add(-time.Minute), name)
	}
	return w
}

// start starts a scheduler that reads the present list at once.
func (w *world) start(now time.Time, name string) {
	w.schedulers[name] = &scheduler{permits: NewPermits(), next: w.list, nextAt: now}
	w.schedulers[name].read(now, name)
}

// change puts another list in force, which each scheduler reads within listLag.
func (w *world) change(now time.Time, list []string) {
	w.list = list
	for _, name := range list {
		if w.schedulers[name] == nil {
			w.start(now, name)
		}
	}
	for _, s := range w.schedulers {
		s.next, s.nextAt = list, now.Add(time.Duration(w.random.Int64N(int64(listLag))))
	}
}

// step has each scheduler grant what it may; permits are used late, as far as they allow.
func (w *world) step(now time.Time) {
	for name, s := range w.schedulers {
		s.read(now, name)
		if s.permits.Share(now, w.rate) == 0 {
			continue
		}
		for s.permits.Wait(now, runner, w.rate) == 0 {
			s.permits.Take(now, runner, w.rate)
			w.arrived = append(w.arrived, now.Add(time.Duration(w.random.Int64N(int64(permitTime)))))
		}
	}
}

// most is the most arrivals within any window.
func (w *world) most() (most int) {
	slices.SortFunc(w.arrived, time.Time.Compare)
	first := 0
	for last, at := range w.arrived {
		for at.Sub(w.arrived[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// However schedulers restart, come, leave or are told late of it, a runner gets no more than
// its limit allows.
func TestSumOfAllPartsIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), math.Pow(10, rapid.Float64Range(-1.5, 2).Draw(t, "magnitude")))
		changeAt, names := start.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "first change"))*time.Second), 3
		for now := start; now.Before(start.Add(60 * time.Second)); now = now.Add(tick) {
			w.step(now)
			if now.Before(changeAt) {
				continue
			}
			changeAt = now.Add(time.Duration(rapid.IntRange(6, 20).Draw(t, "pause")) * time.Second)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0: // one restarts
				w.start(now, rapid.SampledFrom(w.list).Draw(t, "restarted"))
			case 1: // one is replaced
				names++
				w.change(now, append(slices.Clone(w.list[1:]), fmt.Sprintf("s%d", names)))
			case 2: // one more
				if names++; len(w.list) < 5 {
					w.change(now, append(slices.Clone(w.list), fmt.Sprintf("s%d", names)))
				}
			case 3: // one fewer
				if len(w.list) > 1 {
					w.change(now, slices.Clone(w.list[1:]))
				}
			}
		}
		if most := w.most(); most > allowedIn(w.rate) {
			t.Fatalf("%d within a window, allowed %d at %.3f a second", most, allowedIn(w.rate), w.rate)
		}
	})
}
