package backend

import "time"

const (
	// crowdedShare is the share of taken slots from which the runners of a software version are left to streams
	// that can go nowhere else.
	crowdedShare = 0.75
	// crowdedVersionCost is the cost of such a runner for other requests, in prompt tokens. They still go there
	// rather than wait for half a second elsewhere.
	crowdedVersionCost = 20000
)

// crowdedVersions returns the software versions whose runners the request should leave to streams that are bound to
// them: those of which most slots are taken while another version has room. It returns nil for bound requests, and
// where no streams are bound because the service has one version or no model.
func (s *Set) crowdedVersions(now time.Time, entries []*entry, query Query) map[string]bool {
	if query.BoundVersion != "" || query.Model == "" || len(s.listedVersions[query.Service]) < 2 {
		return nil
	}
	usage := map[string]*slotUsage{}
	for _, e := range entries {
		if e.isLeaving() {
			continue
		}
		if usage[e.SoftwareVersion] == nil {
			usage[e.SoftwareVersion] = &slotUsage{}
		}
		usage[e.SoftwareVersion].add(e.inFlight+s.peerLoad(now, e.ID).Requests, e.Slots)
	}
	crowded, hasRoom := map[string]bool{}, false
	for version, slots := range usage {
		if float64(slots.used) >= crowdedShare*float64(slots.total) {
			crowded[version] = true
		} else {
			hasRoom = true
		}
	}
	if !hasRoom {
		return nil
	}
	return crowded
}
