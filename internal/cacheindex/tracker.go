package cacheindex

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/prefix"
)

// Block is one cached block as an engine names it.
type Block struct {
	Hash uint64
	// Root is the hash of the first block of the chain; it decides the shard.
	Root  uint64
	Depth int
}

// Changes are what shards must be told.
type Changes struct {
	Added   []Block
	Removed []Block
}

// place is where a block belongs.
type place struct {
	root  uint64
	depth int
}

// Times of resynchronisation.
const (
	minResync = time.Second
	maxResync = 30 * time.Second
)

// Tracker is a home's view of one runner's cached anchors, kept up by the
// runner's lossy event stream and repaired by full lists. It mirrors what the
// shards were told, so that a repair sends only the difference.
type Tracker struct {
	stride      int
	incarnation uint64
	sequence    uint64
	anchors     map[uint64]place
	stale       bool
	nextResync  time.Time
	pause       time.Duration
}

// NewTracker returns a tracker that indexes every stride-th block.
func NewTracker(stride int) *Tracker {
	return &Tracker{stride: stride, anchors: map[uint64]place{}, stale: true, pause: minResync}
}

// Incarnation returns the engine process that the tracker follows.
func (t *Tracker) Incarnation() uint64 { return t.incarnation }

// Len returns the number of tracked anchors.
func (t *Tracker) Len() int { return len(t.anchors) }

// Restart follows another engine process, whose cache starts unknown. The old
// one's entries die in the shards with its incarnation.
func (t *Tracker) Restart(incarnation uint64) {
	t.incarnation = incarnation
	t.sequence = 0
	t.anchors = map[uint64]place{}
	t.stale = true
	t.nextResync = time.Time{}
	t.pause = minResync
}

// Event takes one event of the stream. A jump of the sequence marks the
// tracker stale; the event itself is used all the same.
func (t *Tracker) Event(sequence uint64, added, removed []Block) Changes {
	if sequence <= t.sequence {
		return Changes{}
	}
	if t.sequence != 0 && sequence != t.sequence+1 {
		t.stale = true
	}
	t.sequence = sequence
	var changes Changes
	for _, block := range removed {
		if _, tracked := t.anchors[block.Hash]; tracked {
			delete(t.anchors, block.Hash)
			changes.Removed = append(changes.Removed, block)
		}
	}
	for _, block := range added {
		if prefix.IsAnchor(block.Depth, t.stride) {
			t.anchors[block.Hash] = place{block.Root, block.Depth}
			changes.Added = append(changes.Added, block)
		}
	}
	return changes
}

// NeedsResync tells whether a full list should be read now. Streams that keep
// losing events are read less and less often.
func (t *Tracker) NeedsResync(now time.Time) bool {
	if !t.stale || now.Before(t.nextResync) {
		return false
	}
	t.nextResync = now.Add(t.pause)
	t.pause = min(t.pause*2, maxResync)
	return true
}

// List takes a full list that includes events up to the sequence, and returns
// the difference to what was tracked.
func (t *Tracker) List(sequence uint64, blocks []Block) Changes {
	var changes Changes
	present := make(map[uint64]place, len(t.anchors))
	for _, block := range blocks {
		if !prefix.IsAnchor(block.Depth, t.stride) {
			continue
		}
		present[block.Hash] = place{block.Root, block.Depth}
		if _, tracked := t.anchors[block.Hash]; !tracked {
			changes.Added = append(changes.Added, block)
		}
	}
	for hash, where := range t.anchors {
		if _, still := present[hash]; !still {
			changes.Removed = append(changes.Removed, Block{hash, where.root, where.depth})
		}
	}
	t.anchors = present
	t.sequence = max(t.sequence, sequence)
	t.stale = false
	return changes
}

// Select returns the tracked anchors whose root the filter admits.
func (t *Tracker) Select(admit func(root uint64) bool) []Block {
	var blocks []Block
	for hash, where := range t.anchors {
		if admit(where.root) {
			blocks = append(blocks, Block{hash, where.root, where.depth})
		}
	}
	return blocks
}
