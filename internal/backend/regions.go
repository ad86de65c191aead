package backend

import (
	"cmp"
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/distance"
	"github.com/clovertiller/clovertiller/internal/placement"
)

// leaveRegionCost is the cost of a runner in another region for a request without a prompt while a
// runner of the request's region has a free slot: more than all queues that a free runner can have,
// and less than the cost of a runner that fails every request or is being updated.
const leaveRegionCost = 30000

// regions holds what choices need to know about distances. It is nil without regions.
type regions struct {
	table *distance.Table
	// zones are the zones of the runners by name, numbered from 0.
	zones map[string]int
	names []string
	// views are the distances seen from the zones of senders.
	views    map[string]*zoneView
	families families
	// rings hold the runners of each service and region in the order of a hash.
	rings map[ringKey]*ring
}

// ringKey identifies the runners of a service in a region.
type ringKey struct{ service, region string }

// viewLifetime is how long the distances seen from a zone are reused. Looking them up for each
// choice would take several percent of its time, and they change within seconds at most.
const viewLifetime = 100 * time.Millisecond

// maxViews bounds the zones whose distances are kept, as zones of senders come from other processes.
const maxViews = 256

// zoneView is the distance of all zones of runners from one zone.
type zoneView struct {
	updatedAt time.Time
	// zones are indexed by the number of the zone.
	zones []zoneDistance
}

type zoneDistance struct {
	relation distance.Relation
	// roundTrip is what counts of the round trip: all of it to another region, 0 within the region.
	roundTrip time.Duration
}

// maxRegionRoundTrip is the longest round trip between zones of one region, by which zones outside
// the settings are judged.
const maxRegionRoundTrip = 2 * time.Millisecond

// UseDistances makes choices take the table's regions into account. It must be called before the first
// Put. A table without regions changes nothing.
func (s *Set) UseDistances(table *distance.Table) {
	if table.HasRegions() {
		s.regions = &regions{table: table, zones: map[string]int{}, views: map[string]*zoneView{}, families: newFamilies(), rings: map[ringKey]*ring{}}
	}
}

// zoneNumber returns the number of the zone.
func (r *regions) zoneNumber(zone string) int {
	if r == nil {
		return 0
	}
	number, known := r.zones[zone]
	if !known {
		number = len(r.names)
		r.zones[zone], r.names = number, append(r.names, zone)
	}
	return number
}

// ringKey returns the key of the ring that holds the service's runner in the zone.
func (r *regions) ringKey(service, zone string) ringKey {
	return ringKey{service: service, region: r.table.Region(zone)}
}

// add adds a new runner to the ring of its region.
func (r *regions) add(e *entry) {
	if r == nil {
		return
	}
	key := r.ringKey(e.Service, e.Zone)
	if r.rings[key] == nil {
		r.rings[key] = &ring{}
	}
	r.rings[key].add(e)
}

// remove removes a runner from the ring of its region.
func (r *regions) remove(e *entry) {
	if r != nil {
		r.rings[r.ringKey(e.Service, e.Zone)].remove(e)
	}
}

// regionRing returns the runners of the query's service in the region of its sender, nil if there are
// none, the region is unknown, or without regions.
func (s *Set) regionRing(query Query) *ring {
	if s.regions == nil {
		return nil
	}
	key := s.regions.ringKey(query.Service, cmp.Or(query.Zone, s.zone))
	found := s.regions.rings[key]
	if key.region == "" || found == nil || len(found.sorted()) == 0 {
		return nil
	}
	return found
}

// view returns the distances of the runners' zones from the zone, nil without regions.
func (r *regions) view(now time.Time, zone string) *zoneView {
	if r == nil {
		return nil
	}
	known := r.views[zone]
	if known != nil && len(known.zones) == len(r.names) && now.Sub(known.updatedAt) < viewLifetime {
		return known
	}
	if known == nil && len(r.views) >= maxViews {
		clear(r.views)
	}
	view := &zoneView{updatedAt: now, zones: make([]zoneDistance, len(r.names))}
	for number, name := range r.names {
		view.zones[number] = r.distance(zone, name)
	}
	r.views[zone] = view
	return view
}

// distance returns the distance between the zones. A zone outside the settings counts as another
// zone of the region; its round trip counts if it is longer than that of such a zone.
func (r *regions) distance(a, b string) zoneDistance {
	relation, roundTrip := r.table.Relation(a, b), 2*r.table.OneWay(a, b)
	isUnknown := r.table.Region(a) == "" || r.table.Region(b) == ""
	if relation != distance.OtherRegion && !(isUnknown && roundTrip > maxRegionRoundTrip) {
		roundTrip = 0
	}
	return zoneDistance{relation: relation, roundTrip: roundTrip}
}

// isFar reports whether the runner is in another region; always false without regions.
func (v *zoneView) isFar(e *entry) bool {
	return v != nil && v.zones[e.zoneNumber].relation == distance.OtherRegion
}

// roundTrip returns the time that the distance of the runner adds to a request, 0 within the region.
func (v *zoneView) roundTrip(e *entry) time.Duration {
	if v == nil {
		return 0
	}
	return v.zones[e.zoneNumber].roundTrip
}

// nearestFar returns the round trip to the nearest other region that has runners.
func (v *zoneView) nearestFar() time.Duration {
	nearest := time.Duration(0)
	for _, zone := range v.zones {
		if zone.relation == distance.OtherRegion && (nearest == 0 || zone.roundTrip < nearest) {
			nearest = zone.roundTrip
		}
	}
	return nearest
}

// RoundTrip returns the time that the distance between the zone, empty for this router's zone, and the
// runner of the send adds to a request. It is 0 within a region.
func (s *Set) RoundTrip(zone string, send *Send) time.Duration {
	if s.regions == nil || send.entry == nil {
		return 0
	}
	return s.regions.distance(cmp.Or(zone, s.zone), send.entry.Zone).roundTrip
}

// Relation returns how close the runner is to the zone, empty for this router's zone. Without
// regions, each zone counts as one of the same region.
func (s *Set) Relation(zone string, runner Runner) distance.Relation {
	zone = cmp.Or(zone, s.zone)
	switch {
	case runner.Zone == zone:
		return distance.SameZone
	case s.regions == nil:
		return distance.SameRegion
	}
	return s.regions.table.Relation(zone, runner.Zone)
}

// mayLeaveRegion removes leaveRegionCost from the candidates in other regions.
func (s *Set) mayLeaveRegion(view *zoneView, candidates []placement.Candidate) {
	for i := range candidates {
		if view.isFar(s.entries[candidates[i].Name]) {
			candidates[i].SeparationPenaltyTokens -= leaveRegionCost
		}
	}
}

// LeaveReason returns why a request goes to the chosen one of the candidates, if it is in another
// region.
func (s *Set) LeaveReason(now time.Time, query Query, request placement.Request, candidates []placement.Candidate, chosen string) placement.LeaveReason {
	view, picked := s.regions.view(now, cmp.Or(query.Zone, s.zone)), s.entries[chosen]
	if picked == nil || !view.isFar(picked) {
		return placement.NotLeft
	}
	reason := placement.NoRunnerInRegion
	for _, candidate := range candidates {
		if candidate.Leaving || view.isFar(s.entries[candidate.Name]) || slices.Contains(request.Excluded, candidate.Name) {
			continue
		}
		if hasFreeSlot(candidate.PendingRequests, candidate.Report.Load.MaxRunning) {
			return placement.Sooner
		}
		reason = placement.Full
	}
	return reason
}

// hasFreeSlot reports whether a runner with the given number of open requests serves another one at
// once. Runners that report no slots are free while they have no requests.
func hasFreeSlot(openRequests, slots int) bool { return openRequests < max(slots, 1) }
