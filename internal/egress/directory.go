package egress

import (
	"slices"
	"strings"
	"time"

	"github.com/clovertiller/clovertiller/internal/rendezvous"
)

// Router is a router that accepts forwarded requests.
type Router struct {
	// Address is its address for other routers.
	Address string
	Zone    string
	// Unserved are the services for which it accepts none, because it does not reach their runners or only over
	// open connections.
	Unserved []string
}

// serves reports whether the router accepts requests of the service.
func (r Router) serves(service string) bool { return !slices.Contains(r.Unserved, service) }

const (
	// entryLifetime is how long a router is listed after it was last reported. Routers pull at least each
	// 450 ms.
	entryLifetime = 2 * time.Second
	// maxSameZone and maxOtherZones bound a list. A list needs routers of several zones because a
	// whole zone may lose its links together.
	maxSameZone   = 4
	maxOtherZones = 8
	maxListed     = maxSameZone + maxOtherZones
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
	Router
	// reporter is the address of the router that reported it.
	reporter   string
	hops       Hops
	reportedAt time.Time
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory { return &Directory{entries: map[string]entry{}} }

// Add records a router's report that it accepts forwarded requests.
func (d *Directory) Add(now time.Time, router Router) { d.add(now, router, router.Address, FromRouter) }

// Replace records the routers that another router reported, in place of those that it reported before. A report that was
// passed on more often than the current one is ignored.
func (d *Directory) Replace(now time.Time, reporter string, routers []Router, hops Hops) {
	reported := map[string]bool{}
	for _, router := range routers {
		reported[router.Address] = true
		d.add(now, router, reporter, hops)
	}
	for address, known := range d.entries {
		if known.reporter == reporter && known.hops == hops && !reported[address] {
			delete(d.entries, address)
		}
	}
}

func (d *Directory) add(now time.Time, router Router, reporter string, hops Hops) {
	if known, found := d.entries[router.Address]; found && known.hops < hops && now.Sub(known.reportedAt) < entryLifetime {
		return
	}
	d.entries[router.Address] = entry{Router: router, reporter: reporter, hops: hops, reportedAt: now}
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
// and some of each other zone, at first those that serve all services. Which ones depends on the address of the asker, so that
// the load of a lost zone is spread and a list changes only with the routers in it.
func (d *Directory) List(now time.Time, asker Router, additional []Router) []Router {
	d.sweep(now)
	known := map[string]Router{}
	for _, router := range additional {
		known[router.Address] = router
	}
	for address, reported := range d.entries {
		known[address] = reported.Router
	}
	delete(known, asker.Address)
	sound, impaired := map[string][]string{}, []string{}
	for address, router := range known {
		if len(router.Unserved) > 0 {
			impaired = append(impaired, address)
		} else {
			sound[router.Zone] = append(sound[router.Zone], address)
		}
	}
	key := rendezvous.KeyOf(asker.Address)
	own := rendezvous.Ranked(sound[asker.Zone], key, maxListed)
	chosen, rest := own[:min(maxSameZone, len(own))], own[min(maxSameZone, len(own)):]
	delete(sound, asker.Zone)
	var balanced []string
	for _, addresses := range sound {
		perZone := (maxOtherZones + len(sound) - 1) / len(sound)
		ranked := rendezvous.Ranked(addresses, key, len(addresses))
		count := min(perZone, len(ranked))
		balanced, rest = append(balanced, ranked[:count]...), append(rest, ranked[count:]...)
	}
	chosen = append(slices.Clone(chosen), rendezvous.Ranked(balanced, key, maxOtherZones)...)
	for _, more := range [][]string{rest, impaired} {
		chosen = append(chosen, rendezvous.Ranked(more, key, maxListed-len(chosen))...)
	}
	return routersOf(chosen, known)
}

// Sample returns some of the routers whose reports were passed on at most so often, for routers that know
// none of them otherwise. Those that serve all services go first.
func (d *Directory) Sample(now time.Time, self string, maxHops Hops) []Router {
	d.sweep(now)
	var sound, impaired []string
	known := map[string]Router{}
	for address, reported := range d.entries {
		if reported.hops > maxHops {
			continue
		}
		known[address] = reported.Router
		if len(reported.Unserved) > 0 {
			impaired = append(impaired, address)
		} else {
			sound = append(sound, address)
		}
	}
	key := rendezvous.KeyOf(self)
	chosen := rendezvous.Ranked(sound, key, maxSample)
	return routersOf(append(chosen, rendezvous.Ranked(impaired, key, maxSample-len(chosen))...), known)
}

func routersOf(addresses []string, known map[string]Router) (routers []Router) {
	for _, address := range addresses {
		routers = append(routers, known[address])
	}
	return routers
}

// Digest identifies a list.
func Digest(list []Router) uint64 {
	text := ""
	for _, router := range list {
		text += router.Address + " " + router.Zone + " " + strings.Join(router.Unserved, " ") + "\n"
	}
	return rendezvous.KeyOf(text)
}
