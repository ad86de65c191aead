package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/cacheindex"
	"github.com/clovertiller/clovertiller/internal/events"
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
