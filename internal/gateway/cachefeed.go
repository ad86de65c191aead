package gateway

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/cacheindex"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// Intervals and timeouts for following the cache feed of another router.
const (
	// feedSnapshotInterval is the minimum interval between two requests for a snapshot of a feed. A
	// snapshot has several hundred kilobytes, and a router that finds no recent proof requests one
	// from each seed in turn.
	feedSnapshotInterval = 3 * time.Second
	// feedTimeout is how long the contents of a followed feed are used after its last delta:
	// runners replace what they cache within seconds.
	feedTimeout = 5 * time.Second
)

// followedFeed is a position in the feed of another router.
type followedFeed struct {
	address      string
	id, position uint64
	// snapshotRequestedAt is when a snapshot was last requested, and lastDeltaAt when the last
	// delta arrived.
	snapshotRequestedAt, lastDeltaAt time.Time
	// snapshotRequestedFrom is the router from which a snapshot was last requested, and requestFailed is
	// set if it has not answered.
	snapshotRequestedFrom string
	requestFailed         bool
}

// dropSilentFeed drops the contents of the followed feed if it has been silent for feedTimeout,
// and stops relaying a feed that is silent or that no follower has requested for as long.
func (r *cacheReader) dropSilentFeed() {
	r.mutex.Lock()
	silent := !r.followed.lastDeltaAt.IsZero() && r.gateway.since(r.followed.lastDeltaAt) > feedTimeout
	if silent {
		r.followed = followedFeed{snapshotRequestedAt: r.followed.snapshotRequestedAt}
	}
	if silent || r.gateway.since(r.lastPulledAt) > feedTimeout {
		r.feed, r.feedComplete = nil, false
	}
	r.mutex.Unlock()
	if silent {
		r.gateway.mutex.Lock()
		r.gateway.runners.ClearCachedParts()
		r.gateway.mutex.Unlock()
	}
}

// addToPull adds a request for cache contents to a pull from the router at the address: the
// changes since the last pull if its feed is the one that is followed, otherwise a snapshot, at
// most once per feedSnapshotInterval.
func (r *cacheReader) addToPull(address string, pull *wire.CopyPull) {
	now := r.gateway.now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.readsHolders || r.gateway.ports.Caches == nil {
		return
	}
	if r.followed.address == address {
		pull.WantsCache, pull.CacheFeed, pull.CacheThrough = true, r.followed.id, r.followed.position
		return
	}
	// A router that does not answer may be overloaded, but another one may be sound.
	fromOther := r.followed.requestFailed && address != r.followed.snapshotRequestedFrom
	if fromOther || now.Sub(r.followed.snapshotRequestedAt) >= feedSnapshotInterval {
		pull.WantsCache = true
		r.followed.snapshotRequestedAt, r.followed.snapshotRequestedFrom, r.followed.requestFailed = now, address, false
	}
}

// recordPullFailure records that the router at the address has not answered a pull.
func (r *cacheReader) recordPullFailure(address string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.followed.requestFailed = r.followed.requestFailed || r.followed.snapshotRequestedFrom == address && r.followed.address != address
}

// deltaSince returns the changes of the own feed since the follower's position, or a snapshot
// if the follower was following another feed. It returns nil if there is no complete feed. A
// router that does not read runners itself starts to relay the feed that it follows, beginning
// with the next snapshot it receives.
func (r *cacheReader) deltaSince(feedID, position uint64) *wire.CacheDelta {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lastPulledAt = r.gateway.now()
	if r.feed == nil && r.gateway.ports.Caches != nil {
		r.startFeed()
		r.followed = followedFeed{lastDeltaAt: r.followed.lastDeltaAt}
	}
	if r.feed == nil || !(r.readsHolders || r.feedComplete) {
		return nil
	}
	var delta cacheindex.FeedDelta
	if feedID == r.feedID {
		delta = r.feed.Since(position)
	} else {
		delta = r.feed.Snapshot()
	}
	return cacheDeltaToWire(r.feedID, delta)
}

// receiveDelta applies the delta that the router at the address returned.
func (r *cacheReader) receiveDelta(address string, message *wire.CacheDelta) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.readsHolders {
		return
	}
	if message == nil {
		if r.followed.address != address {
			// It has no feed yet, or will never have one. Requesting it again is cheap.
			r.followed.snapshotRequestedAt = time.Time{}
		}
		return
	}
	if !message.GetFull() && (r.followed.address != address || r.followed.id != message.GetFeed()) {
		return
	}
	r.followed.address, r.followed.id, r.followed.position = address, message.GetFeed(), message.GetThrough()
	r.followed.lastDeltaAt = r.gateway.now()
	delta := cacheDeltaFromWire(message)
	r.applyDelta(delta)
	if r.feed != nil {
		r.feedComplete = r.feedComplete || delta.Full
		r.feed.Apply(delta)
	}
}

// cacheDeltaToWire groups the changes by holder. Only the last change of each part is kept.
func cacheDeltaToWire(id uint64, delta cacheindex.FeedDelta) *wire.CacheDelta {
	message := &wire.CacheDelta{Feed: id, Through: delta.Through, Full: delta.Full}
	last := map[cacheindex.PartChange]bool{}
	for _, change := range delta.Changes {
		last[cacheindex.PartChange{Holder: change.Holder, Part: change.Part}] = change.Removed
	}
	byHolder := map[string]*wire.HolderParts{}
	for change, removed := range last {
		parts := byHolder[change.Holder]
		if parts == nil {
			parts = &wire.HolderParts{Holder: change.Holder}
			byHolder[change.Holder] = parts
			message.Holders = append(message.Holders, parts)
		}
		if removed {
			parts.Removed = append(parts.Removed, change.Part)
		} else {
			parts.Added = append(parts.Added, change.Part)
		}
	}
	return message
}

func cacheDeltaFromWire(message *wire.CacheDelta) cacheindex.FeedDelta {
	delta := cacheindex.FeedDelta{Through: message.GetThrough(), Full: message.GetFull()}
	for _, parts := range message.GetHolders() {
		for _, part := range parts.GetAdded() {
			delta.Changes = append(delta.Changes, cacheindex.PartChange{Holder: parts.GetHolder(), Part: part})
		}
		for _, part := range parts.GetRemoved() {
			delta.Changes = append(delta.Changes, cacheindex.PartChange{Holder: parts.GetHolder(), Part: part, Removed: true})
		}
	}
	return delta
}
