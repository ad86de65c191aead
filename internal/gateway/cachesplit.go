package gateway

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/clovertiller/clovertiller/internal/cacheindex"
	"github.com/clovertiller/clovertiller/internal/rendezvous"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// Timing of the exchange between the routers that read runners' caches.
const (
	// cacheShareInterval is how often a reader sends its changes to the others, and
	// cacheShareHeartbeat how often it sends a message at least.
	cacheShareInterval  = 100 * time.Millisecond
	cacheShareHeartbeat = 500 * time.Millisecond
	// cacheShareTimeout bounds one message.
	cacheShareTimeout = 400 * time.Millisecond
	// readerTimeout is how long after its last message a reader's part is read by the others. It
	// covers two lost messages.
	readerTimeout = 3 * cacheShareHeartbeat
)

// readerPeer is another router that reads runners' caches.
type readerPeer struct {
	// lastHeard is when its last message arrived.
	lastHeard time.Time
	// feed and position identify its changes that were received.
	feed, position uint64
	// acknowledged is the position through which it has received this router's changes, valid if
	// synced is set. lastSent is when a message was last sent to it.
	acknowledged uint64
	synced       bool
	lastSent     time.Time
	sending      bool
}

// peer returns the state of the reader at the address. The mutex must be held.
func (r *cacheReader) peer(address string) *readerPeer {
	if r.peers[address] == nil {
		r.peers[address] = &readerPeer{}
	}
	return r.peers[address]
}

// readers returns the addresses of the live readers, including this router, in order. A router that
// has just started assumes that the others are alive, so that it does not begin to read what they
// read already. The mutex must be held.
func (r *cacheReader) readers(now time.Time) []liveReader {
	g := r.gateway
	live := []liveReader{{address: g.settings.PeerAddress, region: g.regionName()}}
	for _, address := range g.peerRouters.otherSeeds() {
		if now.Sub(r.peer(address).lastHeard) < readerTimeout || now.Sub(r.readingSince) < readerTimeout {
			live = append(live, liveReader{address: address, region: g.schedulers.seedRegion(address)})
		}
	}
	slices.SortFunc(live, func(a, b liveReader) int { return cmp.Compare(a.address, b.address) })
	return live
}

// liveReader is a router that reads runners' caches at present, and the region that it named. The
// region is empty for a router of a version that names none: such a router reads its share of the
// holders of all regions.
type liveReader struct{ address, region string }

// ownsHolder returns a function that reports whether this router is the one of the readers that reads the
// holder in the zone. That is a reader of the holder's region if there is one, so that calls for changes stay
// within the region and only their results cross its border.
func (r *cacheReader) ownsHolder(readers []liveReader) func(holder, zone string) bool {
	byRegion := map[string][]string{}
	return func(holder, zone string) bool {
		region := r.gateway.distances.Region(zone)
		if byRegion[region] == nil {
			byRegion[region] = readersOf(readers, region)
		}
		return rendezvous.Owner(byRegion[region], rendezvous.KeyOf(holder)) == r.gateway.settings.PeerAddress
	}
}

// readersOf returns the addresses of the readers in the region, or of all readers if there are none.
func readersOf(readers []liveReader, region string) []string {
	var all, inRegion []string
	for _, reader := range readers {
		all = append(all, reader.address)
		if reader.region != "" && reader.region == region {
			inRegion = append(inRegion, reader.address)
		}
	}
	if len(inRegion) > 0 {
		return inRegion
	}
	return all
}

// shareLoop sends what this router reads to the other readers.
func (r *cacheReader) shareLoop() {
	g := r.gateway
	if g.ports.Caches == nil || g.peerRouters.transport == nil {
		return
	}
	for {
		others, interval := g.peerRouters.otherSeeds(), cacheShareInterval
		if len(others) == 0 {
			interval = roleCheckInterval
		}
		if !g.pause(g.jitter(interval)) {
			return
		}
		if g.paths.reachesNone() {
			// The other readers then read this router's part.
			continue
		}
		for _, address := range others {
			if message := r.nextShare(g.now(), address); message != nil {
				g.spawn(func() { r.sendShare(address, message) })
			}
		}
	}
}

// nextShare returns the message that is due to the reader, or nil.
func (r *cacheReader) nextShare(now time.Time, address string) *wire.CacheShare {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.readsHolders {
		return nil
	}
	peer := r.peer(address)
	heartbeatDue := now.Sub(peer.lastSent) >= cacheShareHeartbeat
	if peer.sending || (!heartbeatDue && !(peer.synced && r.own.Position() > peer.acknowledged)) {
		return nil
	}
	var delta cacheindex.FeedDelta
	if peer.synced {
		delta = r.own.Since(peer.acknowledged)
	} else {
		delta = r.own.Snapshot()
	}
	peer.lastSent, peer.sending = now, true
	return &wire.CacheShare{Delta: cacheDeltaToWire(r.ownID, delta), After: peer.acknowledged, From: r.gateway.settings.PeerAddress}
}

func (r *cacheReader) sendShare(address string, message *wire.CacheShare) {
	ctx, cancel := context.WithTimeout(r.gateway.ctx, cacheShareTimeout)
	defer cancel()
	reply, err := r.gateway.peerRouters.transport.Call(ctx, "", address, &wire.Envelope{Body: &wire.Envelope_CacheShare{CacheShare: message}})
	r.mutex.Lock()
	defer r.mutex.Unlock()
	peer := r.peer(address)
	peer.sending = false
	if err != nil || reply.GetCacheShareAck() == nil || message.GetDelta().GetFeed() != r.ownID {
		// The same changes are sent again.
		return
	}
	peer.synced = !reply.GetCacheShareAck().GetResync()
	peer.acknowledged = message.GetDelta().GetThrough()
}

// handleShare applies the changes that another reader has read. It returns nil if the sender is no
// reader, or this router is none.
func (r *cacheReader) handleShare(message *wire.CacheShare) *wire.CacheShareAck {
	address, delta := message.GetFrom(), message.GetDelta()
	if !slices.Contains(r.gateway.peerRouters.otherSeeds(), address) {
		return nil
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.readsHolders {
		return nil
	}
	peer := r.peer(address)
	peer.lastHeard = r.gateway.now()
	if !delta.GetFull() && (peer.feed != delta.GetFeed() || message.GetAfter() > peer.position) {
		return &wire.CacheShareAck{Resync: true}
	}
	peer.feed, peer.position = delta.GetFeed(), delta.GetThrough()
	r.applyShare(cacheDeltaFromWire(delta))
	return &wire.CacheShareAck{}
}

// applyShare applies the changes of another reader to the common feed. A full delta replaces the
// parts of the holders that it names and leaves the others as they are. The mutex must be held.
func (r *cacheReader) applyShare(delta cacheindex.FeedDelta) {
	if delta.Full {
		r.feed.ReplaceHolders(delta.Changes)
	} else {
		r.feed.Apply(delta)
	}
	r.applyOwnFeed()
}

// readersKey identifies a set of readers.
func readersKey(readers []liveReader) string {
	var key strings.Builder
	for _, reader := range readers {
		key.WriteString(reader.address + " " + reader.region + "\n")
	}
	return key.String()
}
