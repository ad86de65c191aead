package cacheindex

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/prefix"
)

// Block is a cached block as reported by an engine.
type Block struct {
	Hash uint64
	// Root is the hash of the first block of the chain. It selects the shard.
	Root  uint64
	Depth int
}

// Changes are the updates to be sent to the shards.
type Changes struct {
	Added   []Block
	Removed []Block
}

// blockPosition is the position of a block in its chain.
type blockPosition struct {
	root  uint64
	depth int
}

// Bounds of the interval between snapshot requests.
const (
	minResyncInterval = time.Second
	maxResyncInterval = 30 * time.Second
)

// Tracker maintains the set of anchors cached by one runner. It is used by the router that follows
// the runner's event stream, which may lose events, and it is repaired with snapshots. It mirrors
// what the shards were sent, so that a repair sends only the difference.
type Tracker struct {
	stride         int
	incarnation    uint64
	lastSequence   uint64
	anchors        map[uint64]blockPosition
	needsSnapshot  bool
	nextResync     time.Time
	resyncInterval time.Duration
}

// NewTracker returns a Tracker that indexes every stride-th block and needs a snapshot.
func NewTracker(stride int) *Tracker {
	return &Tracker{stride: stride, anchors: map[uint64]blockPosition{}, needsSnapshot: true, resyncInterval: minResyncInterval}
}

// Incarnation returns the incarnation of the engine process that the tracker follows.
func (t *Tracker) Incarnation() uint64 { return t.incarnation }

// Len returns the number of tracked anchors.
func (t *Tracker) Len() int { return len(t.anchors) }

// Restart starts to follow another engine process, whose cache content is unknown. The entries of
// the old process become stale in the shards with its incarnation.
func (t *Tracker) Restart(incarnation uint64) {
	t.incarnation = incarnation
	t.lastSequence = 0
	t.anchors = map[uint64]blockPosition{}
	t.needsSnapshot = true
	t.nextResync = time.Time{}
	t.resyncInterval = minResyncInterval
}

// ApplyEvent applies one event of the stream and returns the changes. A gap in the sequence
// numbers is repaired by the next snapshot; the event is applied nevertheless. Events that were
// already applied are ignored.
func (t *Tracker) ApplyEvent(sequence uint64, added, removed []Block) Changes {
	if sequence <= t.lastSequence {
		return Changes{}
	}
	if t.lastSequence != 0 && sequence != t.lastSequence+1 {
		t.needsSnapshot = true
	}
	t.lastSequence = sequence
	var changes Changes
	for _, block := range removed {
		if _, tracked := t.anchors[block.Hash]; tracked {
			delete(t.anchors, block.Hash)
			changes.Removed = append(changes.Removed, block)
		}
	}
	for _, block := range added {
		if prefix.IsAnchor(block.Depth, t.stride) {
			t.anchors[block.Hash] = blockPosition{block.Root, block.Depth}
			changes.Added = append(changes.Added, block)
		}
	}
	return changes
}

// NeedsResync reports whether a snapshot should be read now. The interval between snapshots grows
// for streams that keep losing events.
func (t *Tracker) NeedsResync(now time.Time) bool {
	if !t.needsSnapshot || now.Before(t.nextResync) {
		return false
	}
	t.nextResync = now.Add(t.resyncInterval)
	t.resyncInterval = min(t.resyncInterval*2, maxResyncInterval)
	return true
}

// ApplySnapshot applies a full list of the cached blocks that includes all events up to sequence.
// It returns the difference to the tracked anchors.
func (t *Tracker) ApplySnapshot(sequence uint64, blocks []Block) Changes {
	var changes Changes
	present := make(map[uint64]blockPosition, len(t.anchors))
	for _, block := range blocks {
		if !prefix.IsAnchor(block.Depth, t.stride) {
			continue
		}
		present[block.Hash] = blockPosition{block.Root, block.Depth}
		if _, tracked := t.anchors[block.Hash]; !tracked {
			changes.Added = append(changes.Added, block)
		}
	}
	for hash, position := range t.anchors {
		if _, still := present[hash]; !still {
			changes.Removed = append(changes.Removed, Block{hash, position.root, position.depth})
		}
	}
	t.anchors = present
	t.lastSequence = max(t.lastSequence, sequence)
	t.needsSnapshot = false
	return changes
}

// Select returns the tracked anchors whose root satisfies include.
func (t *Tracker) Select(include func(root uint64) bool) []Block {
	var blocks []Block
	for hash, position := range t.anchors {
		if include(position.root) {
			blocks = append(blocks, Block{hash, position.root, position.depth})
		}
	}
	return blocks
}
