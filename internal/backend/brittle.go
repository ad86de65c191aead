package backend

import (
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/placement"
)

const (
	// roomRecoveryTime is the time after which the limit of a brittle runner, lowered by a rejection, rises by
	// one request.
	roomRecoveryTime = 2 * time.Second
	// silentLoadTime is how long the load of a scheduler that is not heard from any more is assumed.
	silentLoadTime = 10 * time.Second
	// brittleCheckInterval is how often it is determined which services are brittle.
	brittleCheckInterval = 20 * time.Millisecond
	// minRoomWait is the shortest time until a slot is expected to become free.
	minRoomWait = 5 * time.Millisecond
	// roomUnknownWait is the wait reported by a router that does not know the load of brittle runners.
	roomUnknownWait = 250 * time.Millisecond
)

// brittleServices remembers which services are brittle, because finding out looks at all runners.
type brittleServices struct {
	checkedAt map[string]time.Time
	brittle   map[string]bool
}

// IsBrittle reports whether any runner of the service is brittle. The others then count as brittle too:
// those that have not responded recently may not have said so yet.
func (s *Set) IsBrittle(now time.Time, service string) bool {
	if !s.signals.AnyBrittle() {
		return false
	}
	known := &s.brittleServices
	if checked := known.checkedAt[service]; !checked.IsZero() && now.Sub(checked) < brittleCheckInterval {
		return known.brittle[service]
	}
	brittle := slices.ContainsFunc(s.byService[service], func(e *entry) bool { return e.signalState.IsBrittle() })
	known.checkedAt[service], known.brittle[service] = now, brittle
	return brittle
}

// lowerRoom lowers the limit of open requests of a brittle runner that has rejected one.
func (s *Set) lowerRoom(now time.Time, e *entry) {
	if s.IsBrittle(now, e.Service) {
		open := s.openRequests(now, e)
		e.loweredRoom, e.roomLoweredAt = max(min(s.roomLimit(now, e), open), 1), now
	}
}

// roomLimit returns the number of requests that a brittle runner may have at a time.
func (s *Set) roomLimit(now time.Time, e *entry) int {
	slots := max(e.Slots, 1)
	if e.roomLoweredAt.IsZero() {
		return slots
	}
	return min(e.loweredRoom+int(now.Sub(e.roomLoweredAt)/roomRecoveryTime), slots)
}

// openRequests returns the number of open requests at a runner that this router and the other schedulers
// have placed. For each other scheduler that is not heard from, it assumes the load that it last reported,
// or an equal part of the slots if that is more.
func (s *Set) openRequests(now time.Time, e *entry) int {
	open, equalPart := e.inFlight, 0
	schedulers := s.permits.Schedulers(now)
	if schedulers > 1 {
		equalPart = max(e.Slots, 1) / schedulers
	}
	for _, peer := range s.peers {
		age := now.Sub(peer.reportedAt)
		switch requests := peer.byRunner[e.ID].Requests; {
		case age < peerLoadTTL:
			open += requests
		case age < silentLoadTime:
			open += max(requests, equalPart)
		}
	}
	if s.roomsCountedSince.IsZero() {
		s.roomsCountedSince = now
	}
	if now.Sub(s.roomsCountedSince) < silentLoadTime {
		open += equalPart * max(schedulers-1-len(s.peers), 0)
	}
	return open
}

// roomWait returns how long a brittle runner is expected to have no room for another request, 0 if it has
// room. A router that is no scheduler does not know the load of the runner, so it never finds room.
func (s *Set) roomWait(now time.Time, e *entry) time.Duration {
	if s.permits.Schedulers(now) == 0 {
		return roomUnknownWait
	}
	if hold := e.signalState.RejectionHold(now); hold > 0 {
		return hold
	}
	limit := s.roomLimit(now, e)
	if s.openRequests(now, e) < limit {
		return 0
	}
	return max(s.holdTimes[e.Service]/time.Duration(limit), minRoomWait)
}

// lacksRoom reports whether the runner belongs to a brittle service and has no room, and counts it in held.
func (s *Set) lacksRoom(now time.Time, e *entry, held *placement.HeldBack) bool {
	if !s.IsBrittle(now, e.Service) {
		return false
	}
	wait := s.roomWait(now, e)
	if wait == 0 {
		return false
	}
	rate := 0.0
	if hold := s.holdTimes[e.Service]; hold > 0 {
		rate = float64(s.roomLimit(now, e)) / hold.Seconds()
	}
	held.AddLimited(wait, rate)
	return true
}
