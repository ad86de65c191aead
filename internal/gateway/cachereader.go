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
	// cacheReadPause is the pause between two calls for the changes of one runner, so
	// that changes that come together travel together. What routers know is old by
	// this, the 0.08 s of the events themselves and their pull; fresher was worth
	// 0.008 on further (docs/POLICY.md).
	cacheReadPause = 80 * time.Millisecond
	// cacheReadsPerSecond bounds the calls of one router: the pause grows with the
	// number of runners. It is what 90 runners took when all were read in rounds.
	cacheReadsPerSecond = 200
	// cacheReadWait is how long a call may be held until there are changes, the
	// longest that runners allow. Calls that wait under 200 ms are priced like
	// health checks, longer ones are free.
	cacheReadWait = time.Second
	// cacheReadTime bounds one call: its wait and a slow answer.
	cacheReadTime = 1400 * time.Millisecond
	// cacheRetryPause is the pause after a call that failed.
	cacheRetryPause = 300 * time.Millisecond
	// cacheListInterval is how often everything that a runner keeps is read again:
	// a few events never arrive, and what they would have said is wrong until then.
	cacheListInterval = 30 * time.Second
	// cacheHoldersInterval is how often the runners that are read are compared with
	// the directory, and a follower looks whether its feed has fallen silent.
	cacheHoldersInterval = 200 * time.Millisecond
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
// themselves because no seed proves anything. A router that others pull from, as
// seeds refer them to it, gives on what it is told.
type cacheReader struct {
	gateway *Gateway
	// mutex guards what follows.
	mutex sync.Mutex
	// reads is true at a router that reads runners and stores itself.
	reads bool
	// feed is what was read, or what is given on; nil at a router without followers.
	feed *cacheindex.Feed
	// whole is true once a feed that is given on holds everything, and askedAt is when
	// a follower last asked for it.
	whole   bool
	askedAt time.Time
	// id names the feed to those that follow it: another one for each new feed.
	id uint64
	// holders is how far each runner and store that is being read has been read.
	holders map[string]*holderReading
	// applied is how far the own feed is applied to the own index.
	applied uint64
	// followed is the feed of another router that this one follows.
	followed followedFeed
}

// holderReading is how far one runner or store has been read.
type holderReading struct {
	// source is the runner's incarnation and address that are read.
	source backend.CacheHolder
	// stop ends the reading.
	stop     context.CancelFunc
	position CachePosition
	// listAt is when everything is to be read.
	listAt time.Time
	// failing is true while calls fail, so that only the first one is logged.
	failing bool
}

func newCacheReader(g *Gateway) *cacheReader {
	return &cacheReader{gateway: g, holders: map[string]*holderReading{}}
}

func (r *cacheReader) run() {
	g := r.gateway
	if g.ports.Caches == nil {
		return
	}
	for g.pause(g.jitter(cacheHoldersInterval)) {
		r.setReading(g.relays.alwaysReadsStore())
		current := g.view.Load()
		switch {
		case !r.reads:
			r.forgetSilent()
		case current != nil:
			r.readFrom(current.table.CacheStores())
		}
	}
}

// setReading begins or ends to read what runners keep, if that is news: seeds
// change with the settings. What was known comes from another source then, and is
// dropped.
func (r *cacheReader) setReading(reads bool) {
	r.mutex.Lock()
	if reads == r.reads {
		r.mutex.Unlock()
		return
	}
	r.reads = reads
	for holder, reading := range r.holders {
		reading.stop()
		delete(r.holders, holder)
	}
	r.feed, r.whole, r.applied, r.followed = nil, false, 0, followedFeed{}
	if reads {
		r.beginFeed()
	}
	r.mutex.Unlock()
	r.gateway.mutex.Lock()
	r.gateway.runners.ClearCachedParts()
	r.gateway.mutex.Unlock()
}

// beginFeed begins an empty feed of its own name. The mutex is held.
func (r *cacheReader) beginFeed() {
	r.feed, r.id = cacheindex.NewFeed(), uint64(time.Now().UnixNano())
}

// readFrom begins to read the runners and stores that are new, and ends with those
// that are no longer there.
func (r *cacheReader) readFrom(stores []string) {
	g := r.gateway
	g.mutex.Lock()
	runners := g.runners.CacheHolders()
	g.mutex.Unlock()
	listed := map[string]bool{}
	for _, address := range stores {
		listed[address] = true
		r.begin(address, backend.CacheHolder{Address: address}, "")
	}
	for id, source := range runners {
		r.begin(id, source, id)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := func(holder string) bool { return listed[holder] || runners[holder].Address != "" }
	for holder, reading := range r.holders {
		if !known(holder) {
			reading.stop()
			delete(r.holders, holder)
		}
	}
	r.feed.RetainHolders(known)
	r.applyOwn()
}

// begin reads the holder from now on, unless it is being read. What an earlier incarnation
// of a runner kept is gone with it.
func (r *cacheReader) begin(holder string, source backend.CacheHolder, runner string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if known := r.holders[holder]; known != nil {
		if known.source == source {
			return
		}
		known.stop()
		r.feed.Replace(holder, nil)
	}
	ctx, cancel := context.WithCancel(r.gateway.ctx)
	reading := &holderReading{stop: cancel, source: source}
	r.holders[holder] = reading
	r.gateway.spawn(func() {
		for {
			pause := r.pauseAfter(r.read(ctx, holder, source.Address, runner, reading))
			if !sleep(ctx, r.gateway.jitter(pause)) {
				return
			}
		}
	})
}

// pauseAfter is the pause after a call.
func (r *cacheReader) pauseAfter(err error) time.Duration {
	if err != nil {
		return cacheRetryPause
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return max(cacheReadPause, time.Duration(len(r.holders))*time.Second/cacheReadsPerSecond)
}

// applyOwn applies the own feed's news to the own index. The mutex is held.
func (r *cacheReader) applyOwn() {
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
func (r *cacheReader) read(ctx context.Context, holder, address, runner string, reading *holderReading) error {
	ctx, cancel := context.WithTimeout(ctx, cacheReadTime)
	defer cancel()
	r.mutex.Lock()
	after, lists := reading.position, !r.gateway.now().Before(reading.listAt)
	r.mutex.Unlock()
	if lists {
		parts, position, err := r.gateway.ports.Caches.ListCache(ctx, address, runner)
		r.takeList(holder, reading, parts, position, err)
		return err
	}
	changes, err := r.gateway.ports.Caches.WatchCache(ctx, address, runner, after, cacheReadWait)
	r.takeChanges(holder, reading, changes, err)
	return err
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
	if r.holders[holder] != reading {
		return
	}
	reading.failing = false
	r.feed.Replace(holder, hashes)
	reading.position = position
	reading.listAt = r.gateway.now().Add(r.gateway.jitter(cacheListInterval))
	r.applyOwn()
}

func (r *cacheReader) takeChanges(holder string, reading *holderReading, changes CacheChanges, err error) {
	if err != nil {
		r.failed(holder, reading, err)
		return
	}
	r.gateway.metrics.cacheReads.WithLabelValues(readChanges).Inc()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.holders[holder] != reading {
		return
	}
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
	r.applyOwn()
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
		r.gateway.log.Log(events.CacheReadFailed, events.Fields{"holder": holder, "error": err.Error()})
	}
}
