package cacheindex

import (
	"maps"
	"slices"
)

// PartChange says that a holder keeps a prompt part, or no longer does.
type PartChange struct {
	Holder  string
	Part    uint64
	Removed bool
}

// FeedDelta is what changed in a feed after one position up to another.
type FeedDelta struct {
	// Through is the position that the changes lead to.
	Through uint64
	// Full deltas hold everything; what else was known is dropped.
	Full    bool
	Changes []PartChange
}

// Limits of a feed.
const (
	// maxFeedLog is how many changes a feed keeps for those that follow it: four
	// seconds at an estimated 1,000 changes a second of 90 runners. Older ones get everything.
	maxFeedLog = 4096
	// maxFeedParts bounds the parts of one feed, each some 20 bytes of a map: four
	// megabytes. 90 runners keep some 20,000 (estimated). Further ones are not taken.
	maxFeedParts = 200_000
)

// Feed collects which holders keep which prompt parts, as one router reads it
// from all of them, and publishes it to those that follow.
//
// It has no I/O and no clock, and is not safe for concurrent use.
type Feed struct {
	// kept holds the parts of each holder, and size is how many there are in all.
	kept map[string]map[uint64]bool
	size int
	log  []PartChange
	// through is the position of the newest change.
	through uint64
}

// NewFeed returns an empty feed.
func NewFeed() *Feed {
	return &Feed{kept: map[string]map[uint64]bool{}}
}

// Add notes that the holder keeps the part.
func (f *Feed) Add(holder string, part uint64) {
	if f.kept[holder][part] || f.size >= maxFeedParts {
		return
	}
	if f.kept[holder] == nil {
		f.kept[holder] = map[uint64]bool{}
	}
	f.kept[holder][part] = true
	f.size++
	f.publish(PartChange{Holder: holder, Part: part})
}

// Remove notes that the holder no longer keeps the part.
func (f *Feed) Remove(holder string, part uint64) {
	if !f.kept[holder][part] {
		return
	}
	delete(f.kept[holder], part)
	f.size--
	f.publish(PartChange{Holder: holder, Part: part, Removed: true})
}

// Replace takes a whole list of what the holder keeps.
func (f *Feed) Replace(holder string, parts []uint64) {
	kept := make(map[uint64]bool, len(parts))
	for _, part := range parts {
		kept[part] = true
	}
	for _, part := range slices.Collect(maps.Keys(f.kept[holder])) {
		if !kept[part] {
			f.Remove(holder, part)
		}
	}
	for _, part := range parts {
		f.Add(holder, part)
	}
}

// Apply takes what changed in another feed.
func (f *Feed) Apply(delta FeedDelta) {
	if delta.Full {
		f.replaceAll(delta.Changes)
		return
	}
	for _, change := range delta.Changes {
		if change.Removed {
			f.Remove(change.Holder, change.Part)
		} else {
			f.Add(change.Holder, change.Part)
		}
	}
}

// replaceAll takes everything that all holders keep.
func (f *Feed) replaceAll(kept []PartChange) {
	parts := map[string][]uint64{}
	for _, change := range kept {
		parts[change.Holder] = append(parts[change.Holder], change.Part)
	}
	f.Retain(func(holder string) bool { return parts[holder] != nil })
	for holder, list := range parts {
		f.Replace(holder, list)
	}
}

// Retain drops every holder that is not listed.
func (f *Feed) Retain(listed func(holder string) bool) {
	for _, holder := range slices.Collect(maps.Keys(f.kept)) {
		if !listed(holder) {
			f.Replace(holder, nil)
			delete(f.kept, holder)
		}
	}
}

func (f *Feed) publish(change PartChange) {
	f.through++
	f.log = append(f.log, change)
	if len(f.log) >= 2*maxFeedLog {
		f.log = append([]PartChange(nil), f.log[len(f.log)-maxFeedLog:]...)
	}
}

// Since returns what changed after the position, or everything when that is no
// longer known.
func (f *Feed) Since(position uint64) FeedDelta {
	oldest := f.through - uint64(len(f.log))
	if position > f.through || position < oldest {
		return f.Whole()
	}
	return FeedDelta{Through: f.through, Changes: slices.Clone(f.log[position-oldest:])}
}

// Whole returns everything.
func (f *Feed) Whole() FeedDelta {
	delta := FeedDelta{Through: f.through, Full: true}
	for holder, parts := range f.kept {
		for part := range parts {
			delta.Changes = append(delta.Changes, PartChange{Holder: holder, Part: part})
		}
	}
	return delta
}
