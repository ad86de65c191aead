// Package relay decides from whom a router learns what is in the store: from
// the store itself, or from another router that reads it for others.
//
// Seeds, the routers that the settings name, read the store; all others ask
// them, so that the store's load does not grow with the number of routers. A seed
// that many ask refers them to relays of their zones, so that its own load does
// not grow either. Who does not answer, or has an old proof, is passed over for a
// while, and a router that finds nobody reads the store itself.
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
	// referred is the relay that this router was referred to, or "".
	referred string
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

// Others returns the seeds beside this router, also those that are passed over.
func (c *Chooser) Others() []string {
	return slices.DeleteFunc(slices.Clone(c.seeds), func(seed string) bool { return seed == c.self })
}

// HasOthers tells whether there are seeds beside this router.
func (c *Chooser) HasOthers() bool { return len(c.Others()) > 0 }

// IsSeed tells whether this router reads the store for others.
func (c *Chooser) IsSeed() bool { return c.HasSeed(c.self) }

// HasSeed tells whether the address is a seed's.
func (c *Chooser) HasSeed(address string) bool { return slices.Contains(c.seeds, address) }

// Refer notes that the relay is to be asked first from now on.
func (c *Chooser) Refer(address string) {
	if address != c.self {
		c.referred = address
	}
}

// Referred returns the relay that this router asks first, or "".
func (c *Chooser) Referred() string { return c.referred }

// Askable returns the routers that are not passed over, the best first: the relay
// that this one was referred to, seeds of its zone, those whose zone is not known yet.
func (c *Chooser) Askable(now time.Time) []string {
	var askable []string
	if c.referred != "" {
		askable = append(askable, c.referred)
	}
	for _, seed := range c.seeds {
		if seed != c.self && seed != c.referred && !now.Before(c.passedUntil[seed]) {
			askable = append(askable, seed)
		}
	}
	slices.SortStableFunc(askable, func(a, b string) int { return cmp.Compare(c.rank(a), c.rank(b)) })
	return askable
}

// Ranks of those that can be asked, the best first.
const (
	referredTo = iota
	ownZone
	unknownZone
	otherZone
)

func (c *Chooser) rank(seed string) int {
	zone, known := c.zones[seed]
	switch {
	case seed == c.referred:
		return referredTo
	case !known:
		return unknownZone
	case zone == c.zone:
		return ownZone
	}
	return otherZone
}

// Failed passes a seed over for a while, and gives a relay up: the seeds refer to
// the next one.
func (c *Chooser) Failed(now time.Time, address string) {
	if address == c.referred {
		c.referred = ""
		return
	}
	c.passedUntil[address] = now.Add(passedOver)
}

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
