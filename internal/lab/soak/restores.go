package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/storestand"
)

// Returns of the store from a copy.
const (
	// restoreGap is the mean pause between two series of returns, and seriesMost how many
	// returns a series has, with pauses of seriesGapMost between them.
	restoreGap    = 7 * time.Second
	seriesMost    = 3
	seriesGapMost = time.Second
	// copyInterval is the time between two copies, and copyAgeMost how old the copy is at
	// most that the store comes back from.
	copyInterval = 250 * time.Millisecond
	copyAgeMost  = 2500 * time.Millisecond
	// awayMost is how long the store is away, and againMost how long after its return the
	// operator and the runners write again. With the age of the copy that is less than
	// the time after which no key that was taken away is used: gateways that have all
	// started anew meanwhile cannot know it.
	awayMost  = time.Second
	againMost = 700 * time.Millisecond
	// lateAgainMost is how long after the return a late operator writes again, within the
	// time after which no key that was taken away is used.
	lateAgainMost = 3200 * time.Millisecond
	// lapseTime is after how long entries lapse that the copy has of runners that have ended.
	lapseTime = 3 * time.Second
	// restoreChanges is one in how many returns that a key, or weights, change right after.
	restoreChanges = 3
)

// storeCopy is what the store held at the moment.
type storeCopy struct {
	at   time.Time
	held storestand.Backup
}

// restores has the store come back from copies. It draws from a random source of its own, so
// that a seed's other faults stay the same.
type restores struct {
	soak   *Soak
	random *rand.Rand
	copies []storeCopy
	// group are the entries that are to lapse.
	group sync.WaitGroup
}

func newRestores(s *Soak) *restores {
	return &restores{soak: s, random: rand.New(rand.NewPCG(s.settings.Seed, s.settings.Seed+5))}
}

// run brings the store back from copies until the time is over and returns how often.
func (f *restores) run(ctx context.Context, deadline time.Time) (count int) {
	defer f.group.Wait()
	for {
		f.copyFor(restoreGap/2 + f.upTo(restoreGap))
		if !time.Now().Before(deadline) || ctx.Err() != nil {
			return count
		}
		for range 1 + f.random.IntN(seriesMost) {
			f.restore()
			count++
			time.Sleep(f.upTo(seriesGapMost))
		}
	}
}

func (f *restores) upTo(most time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(most)))
}

// copyFor makes copies for the time. None is made between a return of the store and when all
// was written again.
func (f *restores) copyFor(duration time.Duration) {
	for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(copyInterval) {
		f.copies = append(f.copies, storeCopy{at: time.Now(), held: f.soak.store.Backup()})
	}
}

// pick returns any copy that is not too old once the store is back, or the newest.
func (f *restores) pick(away time.Duration) storeCopy {
	for len(f.copies) > 1 && time.Since(f.copies[0].at)+away > copyAgeMost {
		f.copies = f.copies[1:]
	}
	return f.copies[f.random.IntN(len(f.copies))]
}

// restore has the store go away and come back from a copy; then what the operator and the
// runners had written is written again.
func (f *restores) restore() {
	s, away := f.soak, f.upTo(awayMost)
	from := f.pick(away)
	s.say("fault: the store goes away for %v and comes back from a copy that is %v old then", away.Round(time.Millisecond), (time.Since(from.at) + away).Round(time.Millisecond))
	defer s.disturbances.begin(storeForEach)()
	for _, p := range s.processes {
		p.door.SetFault(storestand.Reset)
	}
	time.Sleep(away)
	s.store.Restore(from.held)
	for _, p := range s.processes {
		p.door.SetFault(storestand.Healthy)
	}
	f.group.Go(func() { time.Sleep(lapseTime); s.runners.lapse() })
	time.Sleep(f.upTo(againMost))
	if s.settings.LateOperator {
		s.runners.listAll()
		left := revokeTime - keySlack - time.Since(from.at)
		time.Sleep(f.upTo(max(min(lateAgainMost, left), againMost)))
	}
	s.config.writeAgain()
	f.change()
	s.runners.listAll()
}

// change has the operator change something of what was written again, while the store gives out
// revisions that gateways have seen.
func (f *restores) change() {
	s := f.soak
	switch f.random.IntN(restoreChanges) {
	case 0:
		s.say("fault: a key is taken away after the return")
		s.config.change(true)
	case 1:
		s.say("fault: new weights after the return")
		s.config.bump()
	}
}
