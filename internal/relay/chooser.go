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
}

// NewChooser returns a chooser of the router with the peer address self.
func NewChooser(self string, seeds []string) *Chooser {
	c := &Chooser{self: self, passedUntil: map[string]time.Time{}}
	c.SetSeeds(seeds)
	return c
}

// SetSeeds replaces the seeds. Each router prefers them in an order of its own,
// so that they share the load.
func (c *Chooser) SetSeeds(seeds []string) {
	c.seeds = rendezvous.Ranked(seeds, rendezvous.KeyOf(c.self), len(seeds))
}

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
	for _, seed := range c.seeds {
		if seed != c.self && !now.Before(c.passedUntil[seed]) {
			return seed, true
		}
	}
	return "", false
}

// Failed passes a seed over for a while.
func (c *Chooser) Failed(now time.Time, seed string) { c.passedUntil[seed] = now.Add(passedOver) }

// Answered notes that a seed is well.
func (c *Chooser) Answered(seed string) { delete(c.passedUntil, seed) }
