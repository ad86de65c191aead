package egress

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/rendezvous"
)

// Router is a router that accepts forwarded requests.
type Router struct {
	// Address is its address for other routers.
	Address string
	Zone    string
}

const (
	// entryLifetime is how long a router is listed after it was last reported. Routers pull at least each
	// 450 ms.
	entryLifetime = 2 * time.Second
	// maxSameZone and maxOtherZones bound a list. A list needs routers of several zones because a
	// whole zone may lose its links together.
	maxSameZone   = 4
	maxOtherZones = 8
	// maxSample bounds the routers that one router reports for its followers.
	maxSample = 8
)

// Hops is how many routers have passed on a report.
type Hops uint8

const (
	// FromRouter is a report of the router itself.
	FromRouter Hops = iota
	// FromRelay is a report of the router from which it pulls.
	FromRelay
	// FromSeed is a report of another seed. It is not passed on, so that no report can circulate.
	FromSeed
)

// Directory holds the egress routers that a router knows, and makes the lists of its followers.
type Directory struct{ entries map[string]entry }

type entry struct {
	zone       string
	hops       Hops
	reportedAt time.Time
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory { return &Directory{entries: map[string]entry{}} }

// Add records a report that a router accepts forwarded requests. A report that was passed on more often
// than the current one is ignored.
func (d *Directory) Add(now time.Time, router Router, hops Hops) {
	if known, found := d.entries[router.Address]; found && known.hops < hops && now.Sub(known.reportedAt) < entryLifetime {
		return
	}
	d.entries[router.Address] = entry{zone: router.Zone, hops: hops, reportedAt: now}
}

// Remove records that a router accepts no forwarded requests.
func (d *Directory) Remove(address string) { delete(d.entries, address) }

func (d *Directory) sweep(now time.Time) {
	for address, known := range d.entries {
		if now.Sub(known.reportedAt) >= entryLifetime {
			delete(d.entries, address)
		}
	}
}

// List returns the egress routers for a router, from the directory and additional ones: some of its own zone
// and some of each other zone. Which ones depends on the address of the asker, so that the load of a lost
// zone is spread and a list changes only with the routers in it.
func (d *Directory) List(now time.Time, asker Router, additional []Router) []Router {
	d.sweep(now)
	zones := map[string]string{}
	for _, router := range additional {
		zones[router.Address] = router.Zone
	}
	for address, known := range d.entries {
		zones[address] = known.zone
	}
	delete(zones, asker.Address)
	byZone := map[string][]string{}
	for address, zone := range zones {
		byZone[zone] = append(byZone[zone], address)
	}
	key := rendezvous.KeyOf(asker.Address)
	chosen := rendezvous.Ranked(byZone[asker.Zone], key, maxSameZone)
	delete(byZone, asker.Zone)
	var others []string
	for _, addresses := range byZone {
		perZone := (maxOtherZones + len(byZone) - 1) / len(byZone)
		others = append(others, rendezvous.Ranked(addresses, key, perZone)...)
	}
	return routersOf(append(chosen, rendezvous.Ranked(others, key, maxOtherZones)...), zones)
}

// Sample returns some of the routers whose reports were passed on at most so often, for routers that know
// none of them otherwise.
func (d *Directory) Sample(now time.Time, self string, maxHops Hops) []Router {
	d.sweep(now)
	var addresses []string
	zones := map[string]string{}
	for address, known := range d.entries {
		if known.hops <= maxHops {
			addresses = append(addresses, address)
			zones[address] = known.zone
		}
	}
	return routersOf(rendezvous.Ranked(addresses, rendezvous.KeyOf(self), maxSample), zones)
}

func routersOf(addresses []string, zones map[string]string) (routers []Router) {
	for _, address := range addresses {
		routers = append(routers, Router{Address: address, Zone: zones[address]})
	}
	return routers
}

// Digest identifies a list.
func Digest(list []Router) uint64 {
	text := ""
	for _, router := range list {
		text += router.Address + " " + router.Zone + "\n"
	}
	return rendezvous.KeyOf(text)
}
