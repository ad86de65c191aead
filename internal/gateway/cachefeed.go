package gateway

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/cacheindex"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// Times of following the feed of another router.
const (
	// wholeFeedInterval is the least time between two requests for a whole feed: it
	// is some hundred kilobytes, and a router that finds no fresh proof asks one
	// seed after the other.
	wholeFeedInterval = 3 * time.Second
	// feedPatience is how long what a feed said is used without hearing from it:
	// runners turn over what they keep in some seconds.
	feedPatience = 5 * time.Second
)

// followedFeed is a position in the feed of another router.
type followedFeed struct {
	address     string
	id, through uint64
	// wholeAt is when all of a feed was asked for last, and heardAt when anything came.
	wholeAt, heardAt time.Time
}

// forgetSilent drops what a feed said that has not been heard of for long, and no
// longer gives on what nobody asks for.
func (r *cacheReader) forgetSilent() {
	r.mutex.Lock()
	silent := !r.followed.heardAt.IsZero() && r.gateway.since(r.followed.heardAt) > feedPatience
	if silent {
		r.followed = followedFeed{wholeAt: r.followed.wholeAt}
	}
	if silent || r.gateway.since(r.askedAt) > feedPatience {
		r.feed, r.whole = nil, false
	}
	r.mutex.Unlock()
	if silent {
		r.gateway.mutex.Lock()
		r.gateway.runners.ClearCachedParts()
		r.gateway.mutex.Unlock()
	}
}

// ask adds to a pull what is asked of the address's feed: what changed in the one
// that is followed, or the whole of another one, now and then.
func (r *cacheReader) ask(address string, pull *wire.CopyPull) {
	now := r.gateway.now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.reads || r.gateway.ports.Caches == nil {
		return
	}
	if r.followed.address == address {
		pull.WantsCache, pull.CacheFeed, pull.CacheThrough = true, r.followed.id, r.followed.through
		return
	}
	if now.Sub(r.followed.wholeAt) >= wholeFeedInterval {
		pull.WantsCache = true
		r.followed.wholeAt = now
	}
}

// answer returns what a follower lacks of the own feed, nil while there is none. A
// router that does not read begins to give on what it is told, from the next whole
// feed on.
func (r *cacheReader) answer(id, through uint64) *wire.CacheDelta {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.askedAt = r.gateway.now()
	if r.feed == nil && r.gateway.ports.Caches != nil {
		r.beginFeed()
		r.followed = followedFeed{heardAt: r.followed.heardAt}
	}
	if r.feed == nil || !(r.reads || r.whole) {
		return nil
	}
	var delta cacheindex.FeedDelta
	if id == r.id {
		delta = r.feed.Since(through)
	} else {
		delta = r.feed.Snapshot()
	}
	return cacheDeltaToWire(r.id, delta)
}

// told takes what the router at the address answered.
func (r *cacheReader) told(address string, message *wire.CacheDelta) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.reads {
		return
	}
	if message == nil {
		if r.followed.address != address {
			// It has no feed yet, or none at all: asking again costs next to nothing.
			r.followed.wholeAt = time.Time{}
		}
		return
	}
	if !message.GetFull() && (r.followed.address != address || r.followed.id != message.GetFeed()) {
		return
	}
	r.followed.address, r.followed.id, r.followed.through = address, message.GetFeed(), message.GetThrough()
	r.followed.heardAt = r.gateway.now()
	delta := cacheDeltaFromWire(message)
	r.apply(delta)
	if r.feed != nil {
		r.whole = r.whole || delta.Full
		r.feed.Apply(delta)
	}
}

// cacheDeltaToWire joins the changes by holder; only the last one of a part counts.
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
