package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/cacheindex"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// Times of reading what runners keep.
const (
	// cacheReadInterval is the pause between two rounds of calls for changes.
	// Measured on three sites: 0.25 s is worth 0.002 more than 0.6 s (docs/POLICY.md).
	cacheReadInterval = 250 * time.Millisecond
	// cacheReadWait is how long a call may be held until there are changes. Calls
	// that wait under 200 ms are priced like health checks, longer ones are free.
	cacheReadWait = 300 * time.Millisecond
	// cacheReadTime bounds one call: its wait and a slow answer.
	cacheReadTime = 700 * time.Millisecond
	// wholeFeedInterval is the least time between two requests for a whole feed: it
	// is some hundred kilobytes, and a router that finds no fresh proof asks one
	// seed after the other.
	wholeFeedInterval = 3 * time.Second
	// feedPatience is how long what a feed said is used without hearing from it:
	// runners turn over what they keep in some seconds.
	feedPatience = 5 * time.Second
	// cacheListInterval is how often everything that a runner keeps is read again:
	// a few events never arrive, and what they would have said is wrong until then.
	cacheListInterval = 30 * time.Second
)

// What was read, in counters.
const (
	readList    = "list"
	readChanges = "changes"
	readFailed  = "failed"
)

// cacheReader reads what runners and stores of kept cache keep, at seeds only.
// All others are told with the changes that they pull, so the calls do not grow
// with the number of routers, not even when all read the store of objects
// themselves because no seed proves anything.
type cacheReader struct {
	gateway *Gateway
	// mutex guards what follows.
	mutex sync.Mutex
	// feed is what was read, nil at a router that does not read. It is set once.
	feed *cacheindex.Feed
	// id names the feed to those that follow it: another one after each start.
	id uint64
	// holders is how far each runner and store has been read.
	holders map[string]*holderReading
	// applied is how far the own feed is applied to the own index.
	applied uint64
	// followed is the feed of another router that this one follows.
	followed followedFeed
}

// holderReading is how far one runner or store has been read.
type holderReading struct {
	position CachePosition
	// listAt is when everything is to be read.
	listAt time.Time
	// failing is true while calls fail, so that only the first one is logged.
	failing bool
}

// followedFeed is a position in the feed of another router.
type followedFeed struct {
	address     string
	id, through uint64
	// wholeAt is when all of a feed was asked for last, and heardAt when anything came.
	wholeAt, heardAt time.Time
}

func newCacheReader(g *Gateway) *cacheReader {
	return &cacheReader{gateway: g, id: uint64(g.started.UnixNano()), holders: map[string]*holderReading{}}
}

func (r *cacheReader) run() {
	g := r.gateway
	if g.ports.Caches == nil {
		return
	}
	if g.relays.isSource() {
		r.mutex.Lock()
		r.feed = cacheindex.NewFeed()
		r.mutex.Unlock()
	}
	for g.pause(g.jitter(cacheReadInterval)) {
		current := g.view.Load()
		switch {
		case r.feed == nil:
			r.forgetSilent()
		case current != nil:
			r.readAll(current.table.CacheStores())
		}
	}
}

// forgetSilent drops what a feed said that has not been heard of for long.
func (r *cacheReader) forgetSilent() {
	r.mutex.Lock()
	silent := !r.followed.heardAt.IsZero() && time.Since(r.followed.heardAt) > feedPatience
	if silent {
		r.followed = followedFeed{wholeAt: r.followed.wholeAt}
	}
	r.mutex.Unlock()
	if silent {
		r.gateway.mutex.Lock()
		r.gateway.runners.ForgetCached()
		r.gateway.mutex.Unlock()
	}
}

// readAll reads every runner and store once and takes what changed.
func (r *cacheReader) readAll(stores []string) {
	g := r.gateway
	g.mutex.Lock()
	runners := g.runners.CacheHolders()
	g.mutex.Unlock()
	var group sync.WaitGroup
	for id, address := range runners {
		group.Go(func() { r.read(id, address, id) })
	}
	listed := map[string]bool{}
	for _, address := range stores {
		listed[address] = true
		group.Go(func() { r.read(address, address, "") })
	}
	group.Wait()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := func(holder string) bool { return listed[holder] || runners[holder] != "" }
	r.feed.Retain(known)
	for holder := range r.holders {
		if !known(holder) {
			delete(r.holders, holder)
		}
	}
	delta := r.feed.Since(r.applied)
	if r.applied == 0 {
		// What another router told before is replaced.
		delta = r.feed.Whole()
	}
	r.applied = delta.Through
	r.apply(delta)
}

func (r *cacheReader) apply(delta cacheindex.FeedDelta) {
	g := r.gateway
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.runners.ApplyCacheDelta(delta)
}

// read reads what one runner or store keeps: the changes, or everything when the
// changes do not tell.
func (r *cacheReader) read(holder, address, runner string) {
	g := r.gateway
	ctx, cancel := context.WithTimeout(g.ctx, cacheReadTime)
	defer cancel()
	r.mutex.Lock()
	reading := r.holders[holder]
	if reading == nil {
		reading = &holderReading{}
		r.holders[holder] = reading
	}
	after, lists := reading.position, !time.Now().Before(reading.listAt)
	r.mutex.Unlock()
	if lists {
		parts, position, err := g.ports.Caches.CacheList(ctx, address, runner)
		r.takeList(holder, reading, parts, position, err)
		return
	}
	changes, err := g.ports.Caches.CacheChanges(ctx, address, runner, after, cacheReadWait)
	r.takeChanges(holder, reading, changes, err)
}

func (r *cacheReader) takeList(holder string, reading *holderReading, parts []CachedPart, position CachePosition, err error) {
	if err != nil {
		r.failed(holder, reading, err)
		return
	}
	hashes := make([]uint64, 0, len(parts))
	for _, part := range parts {
		hashes = append(hashes, backend.PartHash(part.Salt, part.Part))
	}
	r.gateway.metrics.cacheReads.WithLabelValues(readList).Inc()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	reading.failing = false
	r.feed.Replace(holder, hashes)
	reading.position = position
	reading.listAt = time.Now().Add(r.gateway.jitter(cacheListInterval))
}

func (r *cacheReader) takeChanges(holder string, reading *holderReading, changes CacheChanges, err error) {
	if err != nil {
		r.failed(holder, reading, err)
		return
	}
	r.gateway.metrics.cacheReads.WithLabelValues(readChanges).Inc()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	reading.failing = false
	if changes.Incomplete || changes.Position.Epoch != reading.position.Epoch {
		reading.listAt = time.Time{}
		return
	}
	reading.position = changes.Position
	for _, event := range changes.Events {
		hash := backend.PartHash(event.Salt, event.Part)
		if event.Removed {
			r.feed.Remove(holder, hash)
		} else {
			r.feed.Add(holder, hash)
		}
	}
}

// failed notes that a runner or store could not be read; what was known stays
// until it is read again or leaves the directory.
func (r *cacheReader) failed(holder string, reading *holderReading, err error) {
	r.gateway.metrics.cacheReads.WithLabelValues(readFailed).Inc()
	r.mutex.Lock()
	first := !reading.failing
	reading.failing = true
	r.mutex.Unlock()
	if first && r.gateway.ctx.Err() == nil {
		r.gateway.log.Log(events.CacheUnread, events.Fields{"holder": holder, "error": err.Error()})
	}
}

// ask adds to a pull what is asked of the address's feed: what changed in the one
// that is followed, or the whole of another one, now and then.
func (r *cacheReader) ask(address string, pull *wire.CopyPull) {
	now := time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.feed != nil || r.gateway.ports.Caches == nil {
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

// answer returns what a follower lacks of the own feed, nil without one.
func (r *cacheReader) answer(id, through uint64) *wire.CacheDelta {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.feed == nil {
		return nil
	}
	var delta cacheindex.FeedDelta
	if id == r.id {
		delta = r.feed.Since(through)
	} else {
		delta = r.feed.Whole()
	}
	return cacheDeltaToWire(r.id, delta)
}

// told takes what the router at the address answered.
func (r *cacheReader) told(address string, message *wire.CacheDelta) {
	if message == nil {
		return
	}
	r.mutex.Lock()
	follows := message.GetFull() || (r.followed.address == address && r.followed.id == message.GetFeed())
	if follows {
		r.followed.address, r.followed.id, r.followed.through = address, message.GetFeed(), message.GetThrough()
		r.followed.heardAt = time.Now()
	}
	r.mutex.Unlock()
	if follows {
		r.apply(cacheDeltaFromWire(message))
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
