package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/storerev"
	"github.com/clovertiller/clovertiller/internal/streamversion"
)

const (
	// rosterTurn is how long each replica waits for the ones before it to update the roster.
	rosterTurn = 300 * time.Millisecond
	// maxRosterDirectoryAge is the age up to which the directory shows that a version is no longer listed.
	maxRosterDirectoryAge = 3 * time.Second
)

// wakeRosterLoop makes the roster loop compare the roster with what is listed.
func (o *storedOrigins) wakeRosterLoop() {
	wake(o.rosterWakeup)
}

// rosterLoop keeps the roster in the store up to date while this router is a replica.
func (o *storedOrigins) rosterLoop() {
	o.runLoop(o.rosterWakeup, func() time.Duration { return 0 }, o.updateRoster)
}

// turn returns this router's position among the replicas.
func (o *storedOrigins) turn() int {
	replicas := slices.Sorted(slices.Values(o.gateway.streams.replicas()))
	return max(slices.Index(replicas, o.gateway.settings.PeerAddress), 0)
}

// isOutdated reports whether this router is a replica and does not know that the roster in the store is up to date.
func (o *storedOrigins) isOutdated() bool {
	if !o.gateway.streams.isReplica(o.gateway.streams.replicas()) {
		return false
	}
	_, changed := o.nextRoster()
	return changed || !o.hasRead()
}

// nextRoster returns the roster that the store should hold, and whether it differs from the one that it is known to
// hold.
func (o *storedOrigins) nextRoster() (next streamversion.Roster, changed bool) {
	g := o.gateway
	now := g.now()
	age, known := g.copies.age(now, RunnerObjects)
	isCurrent := known && age <= maxRosterDirectoryAge && !g.copies.hasPartialDirectory()
	listed, covers := g.streams.roster(now)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	// A store that was restored from a backup may hold an earlier roster.
	isRestored := o.rosterRevision > 0 && o.rosterRevision.Era() < g.eraTracker.newest()
	switch {
	case len(listed) == 0 || o.roster == nil && !covers:
		return nil, false
	case covers && isCurrent:
		// Versions that were not listed within the window are left out.
		return listed, isRestored || !listed.Equal(o.roster)
	}
	next, changed = o.roster.With(listed)
	return next, isRestored || changed
}

// roster returns the versions that were listed within the window, and whether this router knows all of them.
func (s *streamVersions) roster(now time.Time) (listed streamversion.Roster, covers bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.history.Roster(now), s.history.CoversWindow(now)
}

// updateRoster writes the roster to the store if it is outdated. The replicas take turns, so that usually one of them writes; the
// others then read what it wrote. They also read after their start and after a failed write.
func (o *storedOrigins) updateRoster() (more bool, err error) {
	if !o.isOutdated() {
		return false, nil
	}
	g, turn := o.gateway, o.turn()
	if o.hasRead() && !g.pause(time.Duration(turn)*rosterTurn) {
		return false, nil
	}
	if (turn > 0 || !o.hasRead()) && !o.read(g.ctx, g.now()) {
		return true, errOriginsNotRead
	}
	next, changed := o.nextRoster()
	if !changed {
		return false, nil
	}
	o.mutex.Lock()
	revision := o.rosterRevision
	o.mutex.Unlock()
	startedAt := g.now()
	var written storerev.Revision
	err = o.write(func(ctx context.Context) (err error) {
		written, err = g.ports.Store.WriteRoster(ctx, next, revision)
		return err
	})
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if err != nil {
		// The write may have taken effect, or another replica's did.
		o.readAt = time.Time{}
		return true, err
	}
	o.roster, o.rosterRevision = next, written
	g.log.Log(events.RosterWritten, events.Fields{"services": next, "revision": written.Number(), "after_ms": g.since(startedAt).Milliseconds()})
	return false, nil
}
