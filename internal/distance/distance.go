// Package distance knows the regions of zones and learns how far zones are from the router's own
// zone. It has no I/O and no clock.
package distance

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Relation is how close two zones are to each other.
type Relation uint8

const (
	SameZone Relation = iota
	SameRegion
	OtherRegion

	relationCount
)

// String returns the relation's name as it appears in metrics and logs.
func (r Relation) String() string { return [...]string{"zone", "region", "other_region"}[r] }

// defaultOneWay are the one-way times before anything is measured.
var defaultOneWay = [relationCount]time.Duration{SameZone: 0, SameRegion: time.Millisecond, OtherRegion: 20 * time.Millisecond}

// maxUnknownZones bounds the zones outside the settings whose times are kept, as their names come
// from other processes.
const maxUnknownZones = 64

// Config is the part of a deployment's layout that the table needs.
type Config struct {
	// Zone is the router's own zone.
	Zone string
	// Regions is the region of each zone, nil without regions.
	Regions map[string]string
}

// Table holds the regions of zones and the learned times between them. It is safe for concurrent
// use.
type Table struct {
	config     Config
	hasRegions bool
	// mutex guards the fields below it. Readers use the published times only.
	mutex        sync.Mutex
	links        map[string]*link
	unknownZones int
	published    atomic.Pointer[times]
}

// times are the learned one-way times. They are never changed after they have been published.
type times struct {
	// toZone is the time from the own zone, and typical the median of toZone by relation.
	toZone  map[string]time.Duration
	typical [relationCount]time.Duration
}

// New returns a table in which nothing has been measured.
func New(config Config) *Table {
	t := &Table{config: config, links: map[string]*link{}}
	first := ""
	for _, region := range config.Regions {
		if region == "" {
			continue
		}
		t.hasRegions = t.hasRegions || first != "" && region != first
		first = region
	}
	t.published.Store(&times{typical: defaultOneWay})
	return t
}

// HasRegions reports whether at least two different regions are configured.
func (t *Table) HasRegions() bool { return t.hasRegions }

// Region returns the region of the zone, "" if it is unknown.
func (t *Table) Region(zone string) string { return t.config.Regions[zone] }

// Relation returns how close the zones are. A zone that is not in the settings counts as another
// zone of every region.
func (t *Table) Relation(a, b string) Relation {
	if a == b {
		return SameZone
	}
	if !t.hasRegions {
		return SameRegion
	}
	regionA, regionB := t.config.Regions[a], t.config.Regions[b]
	if regionA == "" || regionB == "" || regionA == regionB {
		return SameRegion
	}
	return OtherRegion
}

// RecordRoundTrip adds a measured round trip from the own zone to the zone and back.
func (t *Table) RecordRoundTrip(now time.Time, zone string, roundTrip time.Duration) {
	if roundTrip < 0 {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.links[zone]
	if known == nil {
		if t.config.Regions[zone] == "" {
			if t.unknownZones == maxUnknownZones {
				return
			}
			t.unknownZones++
		}
		known = &link{}
		t.links[zone] = known
	}
	before, wasUsable := known.roundTrip()
	known.record(now, roundTrip)
	if after, usable := known.roundTrip(); after != before || usable != wasUsable {
		t.publish()
	}
}

// publish computes the times that readers see. The mutex must be held.
func (t *Table) publish() {
	learned := &times{toZone: make(map[string]time.Duration, len(t.links)), typical: defaultOneWay}
	var byRelation [relationCount][]time.Duration
	for zone, link := range t.links {
		roundTrip, usable := link.roundTrip()
		if !usable {
			continue
		}
		learned.toZone[zone] = roundTrip / 2
		if !t.hasRegions || t.config.Regions[zone] != "" {
			relation := t.Relation(t.config.Zone, zone)
			byRelation[relation] = append(byRelation[relation], roundTrip/2)
		}
	}
	for relation, values := range byRelation {
		if len(values) > 0 {
			slices.Sort(values)
			learned.typical[relation] = values[len(values)/2]
		}
	}
	t.published.Store(learned)
}

// OneWay returns the one-way time between the zones: the measured one if one of them is the own zone,
// otherwise the typical one for their relation.
func (t *Table) OneWay(a, b string) time.Duration {
	learned, zone := t.published.Load(), ""
	switch t.config.Zone {
	case a:
		zone = b
	case b:
		zone = a
	default:
		return learned.typical[t.Relation(a, b)]
	}
	if measured, known := learned.toZone[zone]; known {
		return measured
	}
	return learned.typical[t.Relation(a, b)]
}
