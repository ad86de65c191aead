package egress

import (
	"maps"
	"slices"
	"time"
)

// Intervals at which a lost runner is probed. They double because the runner itself may have failed.
const (
	minLostProbeInterval = 250 * time.Millisecond
	maxLostProbeInterval = 4 * time.Second
)

// LostRunners holds the single runners to which this router has lost its path while it still reaches others of their
// services.
type LostRunners struct{ runners map[string]*lostRunner }

type lostRunner struct {
	service     string
	incarnation uint64
	interval    time.Duration
	probeAt     time.Time
}

// NewLostRunners returns LostRunners without any.
func NewLostRunners() *LostRunners { return &LostRunners{runners: map[string]*lostRunner{}} }

// Add records that an incarnation of a runner could not be reached. It reports whether that was not known.
func (l *LostRunners) Add(now time.Time, service, runner string, incarnation uint64) (added bool) {
	known := l.runners[runner]
	if known != nil && known.incarnation == incarnation {
		return false
	}
	l.runners[runner] = &lostRunner{service: service, incarnation: incarnation, interval: minLostProbeInterval, probeAt: now.Add(minLostProbeInterval)}
	return true
}

// Remove records that a runner answered or is gone. It reports whether it was lost.
func (l *LostRunners) Remove(runner string) (removed bool) {
	_, removed = l.runners[runner]
	delete(l.runners, runner)
	return removed
}

// Len returns the number of lost runners.
func (l *LostRunners) Len() int { return len(l.runners) }

// Contains reports whether the incarnation of the runner is lost.
func (l *LostRunners) Contains(runner string, incarnation uint64) bool {
	known := l.runners[runner]
	return known != nil && known.incarnation == incarnation
}

// Of returns the lost runners of a service with their incarnations.
func (l *LostRunners) Of(service string) map[string]uint64 {
	lost := map[string]uint64{}
	for id, known := range l.runners {
		if known.service == service {
			lost[id] = known.incarnation
		}
	}
	return lost
}

// TakeDue returns the runners that are to be probed now, sorted. Each is due again after its next interval.
func (l *LostRunners) TakeDue(now time.Time) (due []string) {
	for _, id := range slices.Sorted(maps.Keys(l.runners)) {
		known := l.runners[id]
		if !now.Before(known.probeAt) {
			due = append(due, id)
			known.interval = min(2*known.interval, maxLostProbeInterval)
			known.probeAt = now.Add(known.interval)
		}
	}
	return due
}
