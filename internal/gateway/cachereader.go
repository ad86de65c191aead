package gateway

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/cacheindex"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/routing"
)

// Intervals and timeouts for reading which prompt parts runners hold.
const (
	// cacheReadDelay is the delay between two calls for the changes of one runner, so that several
	// changes are fetched together. The knowledge of routers lags behind by this delay, by the
	// 0.08 s that the events themselves take and by the interval of pulls. A shorter delay improved the
	// result by only 0.008 (docs/POLICY.md).
	cacheReadDelay = 80 * time.Millisecond
	// maxCacheReadsPerSecond limits the calls of one router: the delay grows with the number of
	// runners. It is the rate that 90 runners needed when all were read in rounds.
	maxCacheReadsPerSecond = 200
	// cacheLongPollWait is how long a call may wait for changes, the maximum that runners allow.
	// Calls that wait less than 200 ms are priced like health checks; longer ones are free.
	cacheLongPollWait = time.Second
	// cacheReadTimeout bounds one call, including its wait and a slow response.
	cacheReadTimeout = 1400 * time.Millisecond
	// cacheRetryDelay is the delay after a failed call.
	cacheRetryDelay = 300 * time.Millisecond
	// cacheListInterval is the interval at which the whole cache content of a runner is listed.
	// Some events are lost, and the index is wrong about their parts until the next list.
	cacheListInterval = 30 * time.Second
	// cacheHolderCheckInterval is how often the set of runners being read is compared with the
	// directory.
	cacheHolderCheckInterval = 200 * time.Millisecond
)

// Labels of cache reads in metrics.
const (
	readResultList    = "list"
	readResultChanges = "changes"
	readResultFailed  = "failed"
)

// cacheReader reads which prompt parts runners and cache stores hold. Only seeds read them, each of
// them its part, and tell each other what they read (cachesplit.go). All other routers receive the changes with their pulls, so that the number of calls does not grow
// with the number of routers, not even when all routers read the object store themselves
// because no seed can prove its copies. A router to which seeds refer others relays the feed
// that it follows.
type cacheReader struct {
	gateway *Gateway
	// mutex guards the fields below.
	mutex sync.Mutex
	// readsHolders is set if this router reads runners and cache stores itself.
	readsHolders bool
	// feed holds the cache contents that were read or are relayed. It is nil on a router without
	// followers that does not read holders.
	feed *cacheindex.Feed
	// feedComplete is set once a relayed feed has received a snapshot, and lastPulledAt is when
	// a follower last requested the feed.
	feedComplete bool
	lastPulledAt time.Time
	// feedID identifies the feed to its followers. Each new feed has another ID.
	feedID uint64
	// own holds what this router reads itself, and ownID identifies it to the other readers in peers.
	// readingSince is when this router began to read.
	own          *cacheindex.Feed
	ownID        uint64
	peers        map[string]*readerPeer
	readingSince time.Time
	// holders holds the read state of each runner and cache store that is being read.
	holders map[string]*holderState
	// appliedPosition is the position up to which the own feed is applied to the own index.
	appliedPosition uint64
	// holdersListed is the state of the directory and the configuration for which the holders were
	// last listed.
	holdersListed listedHolders
	// followed is the feed of another router that this one follows.
	followed followedFeed
}

// holderState is the read state of one runner or cache store.
type holderState struct {
	// source is the incarnation and address being read.
	source backend.CacheHolder
	// cancel stops the goroutine that reads the holder.
	cancel   context.CancelFunc
	position CachePosition
	// nextListAt is when the whole content is to be listed again.
	nextListAt time.Time
	// failing is set while calls fail, so that only the first failure is logged.
	failing bool
	// hasFault is set once an entry could not be read, so that only the first one is logged.
	hasFault bool
}

// listedHolders identifies a set of holders.
type listedHolders struct {
	listChanges, configVersion uint64
	readers                    string
}

func newCacheReader(g *Gateway) *cacheReader {
	return &cacheReader{gateway: g, holders: map[string]*holderState{}, peers: map[string]*readerPeer{}}
}

func (r *cacheReader) run() {
	g := r.gateway
	if g.ports.Caches == nil {
		return
	}
	interval := cacheHolderCheckInterval
	for g.pause(g.jitter(interval)) {
		r.setReadsHolders(g.peerRouters.alwaysReadsStore())
		interval = roleCheckInterval
		if r.readsHolders {
			interval = cacheHolderCheckInterval
		}
		current := g.activeConfig.Load()
		switch {
		case !r.readsHolders:
			r.dropSilentFeed()
		case current != nil && !g.copies.hasPartialDirectory():
			// Until the directory is complete, others wait for its pages, and thousands of new connections
			// to runners would delay them.
			r.updateHolders(current.table)
		}
	}
}

// setReadsHolders starts or stops reading holders if the given value is a change: the settings
// may change the seeds. Everything known is dropped, as it comes from another source from now
// on.
func (r *cacheReader) setReadsHolders(reads bool) {
	r.mutex.Lock()
	if reads == r.readsHolders {
		r.mutex.Unlock()
		return
	}
	r.readsHolders, r.holdersListed = reads, listedHolders{}
	for holder, state := range r.holders {
		state.cancel()
		delete(r.holders, holder)
	}
	r.feed, r.feedComplete, r.appliedPosition, r.followed = nil, false, 0, followedFeed{}
	clear(r.peers)
	if reads {
		r.startFeed()
		r.own, r.ownID, r.readingSince = cacheindex.NewFeed(), r.feedID, r.gateway.now()
	}
	r.mutex.Unlock()
	r.gateway.mutex.Lock()
	r.gateway.runners.ClearCachedParts()
	r.gateway.mutex.Unlock()
}

// startFeed starts an empty feed with a new ID. The mutex must be held.
func (r *cacheReader) startFeed() {
	r.feed, r.feedID = cacheindex.NewFeed(), uint64(time.Now().UnixNano())
}

// updateHolders starts reading new runners and cache stores, and stops reading those that are
// gone.
func (r *cacheReader) updateHolders(table *routing.Table) {
	g := r.gateway
	r.mutex.Lock()
	readers := r.readers(g.now())
	r.mutex.Unlock()
	g.mutex.Lock()
	current := listedHolders{readers: readersKey(readers), listChanges: g.runners.ListChanges(), configVersion: table.Version}
	if current == r.holdersListed {
		g.mutex.Unlock()
		return
	}
	runners := g.runners.CacheHolders()
	g.mutex.Unlock()
	r.holdersListed = current
	zones, owns := map[string]string{}, r.ownsHolder(readers)
	for _, store := range table.CacheStores() {
		zones[store.Address] = store.Zone
		if owns(store.Address, store.Zone) {
			r.startReading(store.Address, backend.CacheHolder{Address: store.Address}, "")
		}
	}
	for id, source := range runners {
		zones[id] = source.Zone
		if owns(id, source.Zone) {
			r.startReading(id, source, id)
		}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	isListed := func(holder string) bool { _, listed := zones[holder]; return listed }
	for holder, state := range r.holders {
		switch {
		case !isListed(holder):
			state.cancel()
			delete(r.holders, holder)
		case !owns(holder, zones[holder]):
			// Another reader has its contents soon, and they stay known until then.
			state.cancel()
			delete(r.holders, holder)
			r.own.Forget(holder)
		}
	}
	r.own.RetainHolders(isListed)
	r.feed.RetainHolders(isListed)
	r.applyOwnFeed()
}

// startReading starts reading the holder unless it is already being read. Parts of an earlier
// incarnation of a runner are dropped, as they were lost with it.
func (r *cacheReader) startReading(holder string, source backend.CacheHolder, runner string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if current := r.holders[holder]; current != nil {
		if current.source == source {
			return
		}
		current.cancel()
		r.replaceParts(holder, nil)
	}
	ctx, cancel := context.WithCancel(r.gateway.ctx)
	state := &holderState{cancel: cancel, source: source}
	r.holders[holder] = state
	r.gateway.spawn(func() {
		for {
			delay := r.nextDelay(r.readHolder(ctx, holder, source.Address, runner, state))
			if !sleep(ctx, r.gateway.jitter(delay)) {
				return
			}
		}
	})
}

// nextDelay returns the delay after a call with the given result.
func (r *cacheReader) nextDelay(err error) time.Duration {
	if err != nil {
		return cacheRetryDelay
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return max(cacheReadDelay, time.Duration(len(r.holders))*time.Second/maxCacheReadsPerSecond)
}

// applyOwnFeed applies new changes of the own feed to the own index. The mutex must be held.
func (r *cacheReader) applyOwnFeed() {
	delta := r.feed.Since(r.appliedPosition)
	r.appliedPosition = delta.Through
	r.applyDelta(delta)
}

func (r *cacheReader) applyDelta(delta cacheindex.FeedDelta) {
	g := r.gateway
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.runners.ApplyCacheDelta(delta)
}

// readHolder reads the changes of one runner or cache store, or its whole content when a list
// is due.
func (r *cacheReader) readHolder(ctx context.Context, holder, address, runner string, state *holderState) error {
	ctx, cancel := context.WithTimeout(ctx, cacheReadTimeout)
	defer cancel()
	r.mutex.Lock()
	after, listAll := state.position, !r.gateway.now().Before(state.nextListAt)
	r.mutex.Unlock()
	if listAll {
		parts, position, err := r.gateway.ports.Caches.ListCache(ctx, address, runner)
		r.handleList(holder, state, parts, position, err)
		return err
	}
	changes, err := r.gateway.ports.Caches.WatchCache(ctx, address, runner, after, cacheLongPollWait)
	r.handleChanges(holder, state, changes, err)
	return err
}

func (r *cacheReader) handleList(holder string, state *holderState, parts []CachedPart, position CachePosition, err error) {
	if err != nil {
		r.recordFailure(holder, state, err)
		return
	}
	hashes := make([]uint64, 0, len(parts))
	var fault string
	for _, part := range parts {
		if part.Fault == "" {
			hashes = append(hashes, backend.PartHash(part.Salt, part.Part))
		}
		fault = cmp.Or(fault, part.Fault)
	}
	r.gateway.metrics.cacheReads.WithLabelValues(readResultList).Inc()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.holders[holder] != state {
		return
	}
	state.failing = false
	r.recordFault(holder, state, fault)
	r.replaceParts(holder, hashes)
	state.position = position
	state.nextListAt = r.gateway.now().Add(r.gateway.jitter(cacheListInterval))
	r.applyOwnFeed()
}

func (r *cacheReader) handleChanges(holder string, state *holderState, changes CacheChanges, err error) {
	if err != nil {
		r.recordFailure(holder, state, err)
		return
	}
	r.gateway.metrics.cacheReads.WithLabelValues(readResultChanges).Inc()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.holders[holder] != state {
		return
	}
	state.failing = false
	if changes.Incomplete || changes.Position.Epoch != state.position.Epoch {
		state.nextListAt = time.Time{}
		return
	}
	state.position = changes.Position
	for _, event := range changes.Events {
		hash := backend.PartHash(event.Salt, event.Part)
		switch {
		case event.Fault != "":
			// The next list tells what the event changed.
			r.recordFault(holder, state, event.Fault)
		case event.Removed:
			r.own.Remove(holder, hash)
			r.feed.Remove(holder, hash)
		default:
			r.own.Add(holder, hash)
			r.feed.Add(holder, hash)
		}
	}
	r.applyOwnFeed()
}

// replaceParts replaces the parts of a holder that this router reads. The mutex must be held.
func (r *cacheReader) replaceParts(holder string, parts []uint64) {
	r.own.Replace(holder, parts)
	r.feed.Replace(holder, parts)
}

// recordFault logs the first fault of an entry of the holder. The mutex must be held.
func (r *cacheReader) recordFault(holder string, state *holderState, fault string) {
	if fault == "" || state.hasFault {
		return
	}
	state.hasFault = true
	r.gateway.log.Log(events.CacheReadFailed, events.Fields{"holder": holder, "error": "an entry cannot be read: " + fault})
}

// recordFailure records that a runner or cache store could not be read. What was known about it
// is kept until it is read again or leaves the directory.
func (r *cacheReader) recordFailure(holder string, state *holderState, err error) {
	r.gateway.metrics.cacheReads.WithLabelValues(readResultFailed).Inc()
	r.mutex.Lock()
	first := !state.failing
	state.failing = true
	r.mutex.Unlock()
	if first && r.gateway.ctx.Err() == nil {
		r.gateway.log.Log(events.CacheReadFailed, events.Fields{"holder": holder, "error": err.Error()})
	}
}
