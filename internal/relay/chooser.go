// Package relay decides from whom a router learns what is in the store: from
// the store itself, or from another router that reads it for others.
//
// Seeds, the routers that the settings name, read the store; all others ask
// them, so that the store's load does not grow with the number of routers. A
// seed that does not answer, or whose proof is old, is passed over for a while,
// and a router that finds no seed reads the store itself.
//
// The package has no I/O and no clock.
package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/rendezvous"
)

// passedOver is how long a seed that failed is not asked.
const passedOver = 500 * time.Millisecond

// Chooser picks the seed to ask. It is not safe for concurrent use.
type Chooser struct {
	self  string
	seeds []string
	// passedUntil holds the seeds that failed.
	passedUntil map[string]time.Time
	// zone is this router's, and zones those of the seeds that have told theirs.
	zone  string
	zones map[string]string
}

// NewChooser returns a chooser of the router in the zone with the peer address self.
func NewChooser(self, zone string, seeds []string) *Chooser {
	c := &Chooser{self: self, zone: zone, passedUntil: map[string]time.Time{}, zones: map[string]string{}}
	c.SetSeeds(seeds)
	return c
}

// SetSeeds replaces the seeds. Each router prefers them in an order of its own,
// so that they share the load.
func (c *Chooser) SetSeeds(seeds []string) {
	c.seeds = rendezvous.Ranked(seeds, rendezvous.KeyOf(c.self), len(seeds))
}

// Seeds returns how many seeds there are.
func (c *Chooser) Seeds() int { return len(c.seeds) }

// IsSeed tells whether this router reads the store for others.
func (c *Chooser) IsSeed() bool {
	for _, seed := range c.seeds {
		if seed == c.self {
			return true
		}
	}
	return false
}

// Next returns the seed to ask, or false when there is none.
func (c *Chooser) Next(now time.Time) (string, bool) {
	if askable := c.Askable(now); len(askable) > 0 {
		return askable[0], true
	}
	return "", false
}

// Askable returns the seeds that are not passed over, the best first: those of
// this router's zone, then those whose zone is not known yet.
func (c *Chooser) Askable(now time.Time) []string {
	var askable []string
	for _, seed := range c.seeds {
		if seed != c.self && !now.Before(c.passedUntil[seed]) {
			askable = append(askable, seed)
		}
	}
	slices.SortStableFunc(askable, func(a, b string) int { return cmp.Compare(c.rank(a), c.rank(b)) })
	return askable
}

// Ranks of seeds, the best first.
const (
	ownZone = iota
	unknownZone
	otherZone
)

func (c *Chooser) rank(seed string) int {
	zone, known := c.zones[seed]
	switch {
	case !known:
		return unknownZone
	case zone == c.zone:
		return ownZone
	}
	return otherZone
}

// Failed passes a seed over for a while.
func (c *Chooser) Failed(now time.Time, seed string) { c.passedUntil[seed] = now.Add(passedOver) }

// startingPause is how long a seed that is starting itself is not asked.
const startingPause = 80 * time.Millisecond

// Starting notes that a seed knows nothing yet, or may be starting as this
// router is.
func (c *Chooser) Starting(now time.Time, seed string) {
	c.passedUntil[seed] = now.Add(startingPause)
}

// Answered notes that a seed is well, and its zone.
func (c *Chooser) Answered(seed, zone string) {
	delete(c.passedUntil, seed)
	c.zones[seed] = zone
}
