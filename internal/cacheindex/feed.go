package cacheindex

import (
	"maps"
	"slices"
)

// PartChange reports that a holder has cached a prompt part or, if Removed is set, no longer has
// it.
type PartChange struct {
	Holder  string
	Part    uint64
	Removed bool
}

// FeedDelta contains the changes of a feed between two positions.
type FeedDelta struct {
	// Through is the position after the changes.
	Through uint64
	// Full is set if Changes contains the whole state, which replaces what the follower knew
	// before.
	Full    bool
	Changes []PartChange
}

// Limits of a Feed.
const (
	// maxFeedLogLength is the number of changes that a feed keeps for its followers. It covers
	// four seconds at an estimated 1,000 changes per second from 90 runners. Followers that are
	// further behind get the whole state.
	maxFeedLogLength = 4096
	// maxFeedParts bounds the parts in a feed. Each takes about 20 bytes of a map, so the limit is
	// about 4 MB. 90 runners hold an estimated 20,000 parts. Further parts are ignored.
	maxFeedParts = 200_000
)

// Feed records which holders have cached which prompt parts, as read by one router from all
// holders, and provides the changes to followers.
//
// It has no I/O and no clock, and is not safe for concurrent use.
type Feed struct {
	// partsByHolder holds the parts of each holder. partCount is their total number.
	partsByHolder map[string]map[uint64]bool
	partCount     int
	log           []PartChange
	// lastPosition is the position of the latest change.
	lastPosition uint64
}

// NewFeed returns an empty Feed.
func NewFeed() *Feed {
	return &Feed{partsByHolder: map[string]map[uint64]bool{}}
}

// Add records that the holder has cached the part.
func (f *Feed) Add(holder string, part uint64) {
	if f.partsByHolder[holder][part] || f.partCount >= maxFeedParts {
		return
	}
	if f.partsByHolder[holder] == nil {
		f.partsByHolder[holder] = map[uint64]bool{}
	}
	f.partsByHolder[holder][part] = true
	f.partCount++
	f.appendChange(PartChange{Holder: holder, Part: part})
}

// Remove records that the holder no longer has the part.
func (f *Feed) Remove(holder string, part uint64) {
	if !f.partsByHolder[holder][part] {
		return
	}
	delete(f.partsByHolder[holder], part)
	f.partCount--
	f.appendChange(PartChange{Holder: holder, Part: part, Removed: true})
}

// Replace replaces all parts of the holder.
func (f *Feed) Replace(holder string, parts []uint64) {
	listed := make(map[uint64]bool, len(parts))
	for _, part := range parts {
		listed[part] = true
	}
	for _, part := range slices.Collect(maps.Keys(f.partsByHolder[holder])) {
		if !listed[part] {
			f.Remove(holder, part)
		}
	}
	for _, part := range parts {
		f.Add(holder, part)
	}
}

// Apply applies a delta of another feed.
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

// replaceAll replaces the parts of all holders.
func (f *Feed) replaceAll(entries []PartChange) {
	parts := groupByHolder(entries)
	f.RetainHolders(func(holder string) bool { return parts[holder] != nil })
	f.replaceParts(parts)
}

// ReplaceHolders replaces the parts of the holders in the entries and leaves the others as they are.
func (f *Feed) ReplaceHolders(entries []PartChange) { f.replaceParts(groupByHolder(entries)) }

func (f *Feed) replaceParts(parts map[string][]uint64) {
	for holder, list := range parts {
		f.Replace(holder, list)
	}
}

func groupByHolder(entries []PartChange) map[string][]uint64 {
	parts := map[string][]uint64{}
	for _, change := range entries {
		parts[change.Holder] = append(parts[change.Holder], change.Part)
	}
	return parts
}

// RetainHolders removes all holders for which retain returns false.
func (f *Feed) RetainHolders(retain func(holder string) bool) {
	for _, holder := range slices.Collect(maps.Keys(f.partsByHolder)) {
		if !retain(holder) {
			f.Replace(holder, nil)
			delete(f.partsByHolder, holder)
		}
	}
}

// Position returns the position of the latest change.
func (f *Feed) Position() uint64 { return f.lastPosition }

// Forget drops the holder without a change, because another router reads it from now on.
func (f *Feed) Forget(holder string) {
	f.partCount -= len(f.partsByHolder[holder])
	delete(f.partsByHolder, holder)
}

func (f *Feed) appendChange(change PartChange) {
	f.lastPosition++
	f.log = append(f.log, change)
	if len(f.log) >= 2*maxFeedLogLength {
		f.log = append([]PartChange(nil), f.log[len(f.log)-maxFeedLogLength:]...)
	}
}

// Since returns the changes after the position, or a snapshot if they are no longer available or
// the position is not one of this feed.
func (f *Feed) Since(position uint64) FeedDelta {
	oldest := f.lastPosition - uint64(len(f.log))
	if position > f.lastPosition || position < oldest {
		return f.Snapshot()
	}
	return FeedDelta{Through: f.lastPosition, Changes: slices.Clone(f.log[position-oldest:])}
}

// Snapshot returns the whole state as a full delta.
func (f *Feed) Snapshot() FeedDelta {
	delta := FeedDelta{Through: f.lastPosition, Full: true}
	for holder, parts := range f.partsByHolder {
		for part := range parts {
			delta.Changes = append(delta.Changes, PartChange{Holder: holder, Part: part})
		}
	}
	return delta
}
