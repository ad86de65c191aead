// Package cacheindex implements one shard of the index of cached prompt blocks. The index records
// which runners hold which anchor blocks, that is, the first block and every stride-th block of a
// prompt (see prefix.IsAnchor).
//
// The index is only a hint. Its entries name the runner's incarnation, and the engine checks
// incarnation and weight version at dispatch, so a wrong entry can cause a cache miss but never a
// wrong answer. The package has no I/O and no clock of its own.
package cacheindex

import (
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/prefix"
)

// Holder is a runner process that may hold blocks.
type Holder struct {
	Runner      string
	Incarnation uint64
}

// holderID is a compact identifier of a Holder. IDs are never reused.
type holderID uint32

// Match is the length of the prompt prefix that a holder has cached.
type Match struct {
	Holder Holder
	// Depth is the number of blocks from the start of the prompt.
	Depth int
}

// provisionalEntry identifies an entry that was added before the engine reported the block.
type provisionalEntry struct {
	hash   uint64
	holder holderID
}

// Shard maps anchor hashes to holders. It is not safe for concurrent use.
type Shard struct {
	// holders contains only the current incarnation of each runner. Entries with any other ID
	// are stale.
	holders    map[holderID]Holder
	idByRunner map[string]holderID
	lastID     holderID

	// firstHolder is the first holder of each block, which for most blocks is the only one.
	// otherHolders lists the further holders.
	firstHolder  map[uint64]holderID
	otherHolders map[uint64][]holderID

	// unconfirmed holds the provisional entries with the times at which they expire.
	unconfirmed map[provisionalEntry]time.Time
	// confirmTimeout is how long a provisional entry is kept without an event of the engine.
	confirmTimeout  time.Duration
	nextExpiryCheck time.Time
}

// NewShard returns an empty Shard. Provisional entries are removed if no event of the engine
// confirms them within confirmTimeout.
func NewShard(confirmTimeout time.Duration) *Shard {
	return &Shard{
		holders:        map[holderID]Holder{},
		idByRunner:     map[string]holderID{},
		firstHolder:    map[uint64]holderID{},
		otherHolders:   map[uint64][]holderID{},
		unconfirmed:    map[provisionalEntry]time.Time{},
		confirmTimeout: confirmTimeout,
	}
}

// idOf returns the ID of the holder. A newer incarnation of the runner gets a new ID, which makes
// all entries of the old one stale. For an older incarnation it returns false.
func (s *Shard) idOf(holder Holder) (holderID, bool) {
	current, found := s.idByRunner[holder.Runner]
	if found {
		knownIncarnation := s.holders[current].Incarnation
		if knownIncarnation == holder.Incarnation {
			return current, true
		}
		if knownIncarnation > holder.Incarnation {
			return 0, false
		}
	}
	return s.assignID(holder), true
}

func (s *Shard) assignID(holder Holder) holderID {
	if old, found := s.idByRunner[holder.Runner]; found {
		delete(s.holders, old)
	}
	s.lastID++
	s.idByRunner[holder.Runner] = s.lastID
	s.holders[s.lastID] = holder
	return s.lastID
}

// Reset drops all entries of the holder's runner, either because a snapshot of its blocks follows
// or because its process has been replaced.
func (s *Shard) Reset(holder Holder) {
	if _, current := s.idOf(holder); current {
		s.assignID(holder)
	}
}

// RemoveRunner drops the runner and all of its entries.
func (s *Shard) RemoveRunner(runner string) {
	if old, found := s.idByRunner[runner]; found {
		delete(s.holders, old)
		delete(s.idByRunner, runner)
	}
}

// Add records blocks that the engine reported as cached.
func (s *Shard) Add(holder Holder, hashes ...uint64) {
	id, current := s.idOf(holder)
	if !current {
		return
	}
	for _, hash := range hashes {
		s.insertEntry(hash, id)
		if len(s.unconfirmed) > 0 {
			delete(s.unconfirmed, provisionalEntry{hash, id})
		}
	}
}

// Remove records blocks that the engine reported as evicted.
func (s *Shard) Remove(holder Holder, hashes ...uint64) {
	id, found := s.idByRunner[holder.Runner]
	if !found || s.holders[id].Incarnation != holder.Incarnation {
		return
	}
	for _, hash := range hashes {
		s.removeEntry(hash, id)
	}
}

// AddProvisional records that a request was just sent to the holder, so that requests with the
// same prefix go to the same runner before the engine's events arrive.
func (s *Shard) AddProvisional(now time.Time, holder Holder, anchors []prefix.Anchor) {
	id, current := s.idOf(holder)
	if !current {
		return
	}
	for _, anchor := range anchors {
		if s.insertEntry(anchor.Hash, id) {
			s.unconfirmed[provisionalEntry{anchor.Hash, id}] = now.Add(s.confirmTimeout)
		}
	}
}

// RemoveProvisional undoes AddProvisional for a request that the engine refused. Confirmed entries
// remain.
func (s *Shard) RemoveProvisional(holder Holder, anchors []prefix.Anchor) {
	id, found := s.idByRunner[holder.Runner]
	if !found {
		return
	}
	for _, anchor := range anchors {
		key := provisionalEntry{anchor.Hash, id}
		if _, pending := s.unconfirmed[key]; pending {
			delete(s.unconfirmed, key)
			s.removeEntry(anchor.Hash, id)
		}
	}
}

// ExpireProvisional removes provisional entries that were not confirmed in time.
func (s *Shard) ExpireProvisional(now time.Time) {
	if now.Before(s.nextExpiryCheck) {
		return
	}
	s.nextExpiryCheck = now.Add(s.confirmTimeout / 4)
	for key, deadline := range s.unconfirmed {
		if !now.Before(deadline) {
			delete(s.unconfirmed, key)
			s.removeEntry(key.hash, key.holder)
		}
	}
}

// insertEntry adds an entry and reports whether it is new. It replaces a stale entry of the block
// if there is one.
func (s *Shard) insertEntry(hash uint64, id holderID) bool {
	first, found := s.firstHolder[hash]
	if !found {
		s.firstHolder[hash] = id
		return true
	}
	others := s.otherHolders[hash]
	if first == id || slices.Contains(others, id) {
		return false
	}
	if s.isStale(first) {
		s.firstHolder[hash] = id
		return true
	}
	if i := slices.IndexFunc(others, s.isStale); i >= 0 {
		others[i] = id
		return true
	}
	s.otherHolders[hash] = append(others, id)
	return true
}

func (s *Shard) isStale(id holderID) bool {
	_, live := s.holders[id]
	return !live
}

func (s *Shard) removeEntry(hash uint64, id holderID) {
	others := s.otherHolders[hash]
	if s.firstHolder[hash] == id {
		if len(others) == 0 {
			delete(s.firstHolder, hash)
			return
		}
		s.firstHolder[hash] = others[len(others)-1]
		s.setOtherHolders(hash, others[:len(others)-1])
		return
	}
	for i, other := range others {
		if other == id {
			others[i] = others[len(others)-1]
			s.setOtherHolders(hash, others[:len(others)-1])
			return
		}
	}
}

func (s *Shard) setOtherHolders(hash uint64, others []holderID) {
	if len(others) == 0 {
		delete(s.otherHolders, hash)
		return
	}
	s.otherHolders[hash] = others
}

// Lookup returns the holders of the prompt's first anchor. The depth of a match is that of the
// last anchor up to which the holder has all anchors.
func (s *Shard) Lookup(anchors []prefix.Anchor) []Match {
	var matches []Match
	for i, anchor := range anchors {
		present := s.liveHolders(anchor.Hash)
		if i == 0 {
			for _, id := range present {
				matches = append(matches, Match{Holder: s.holders[id], Depth: anchor.Depth})
			}
			continue
		}
		if !s.extendMatches(matches, present, anchors[i-1].Depth, anchor.Depth) {
			break
		}
	}
	return matches
}

// extendMatches sets the depth of the matches that reached the previous anchor and whose holder is
// present. It reports whether there were any.
func (s *Shard) extendMatches(matches []Match, present []holderID, previousDepth, depth int) bool {
	extended := false
	for i := range matches {
		if matches[i].Depth != previousDepth {
			continue
		}
		for _, id := range present {
			if s.holders[id] == matches[i].Holder {
				matches[i].Depth = depth
				extended = true
			}
		}
	}
	return extended
}

func (s *Shard) liveHolders(hash uint64) []holderID {
	first, found := s.firstHolder[hash]
	if !found {
		return nil
	}
	var present []holderID
	for _, id := range append([]holderID{first}, s.otherHolders[hash]...) {
		if !s.isStale(id) {
			present = append(present, id)
		}
	}
	return present
}

// RemoveStale removes the entries of stale holder IDs and returns their number. It should be
// called from time to time to free memory; lookups ignore stale entries anyway.
func (s *Shard) RemoveStale() int {
	removed := 0
	for hash, first := range s.firstHolder {
		others := s.otherHolders[hash]
		live := others[:0:0]
		for _, id := range append([]holderID{first}, others...) {
			if s.isStale(id) {
				removed++
			} else {
				live = append(live, id)
			}
		}
		if len(live) == len(others)+1 {
			continue
		}
		if len(live) == 0 {
			delete(s.firstHolder, hash)
			delete(s.otherHolders, hash)
			continue
		}
		s.firstHolder[hash] = live[0]
		s.setOtherHolders(hash, live[1:])
	}
	return removed
}

// Len returns the number of distinct blocks in the shard.
func (s *Shard) Len() int { return len(s.firstHolder) }
