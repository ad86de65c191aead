package backend

import "time"

// Parameters of SaveThrottle.
const (
	// saveInterval is the minimum interval between two saves of a prompt family. It is
	// longer than it takes for the news of a completed save to arrive from the store.
	saveInterval = 2 * time.Second
	// minSharedFraction is the minimum shared fraction of a prompt that is worth saving.
	minSharedFraction = 0.5
	// maxSavedFamilies bounds the number of remembered families.
	maxSavedFamilies = 4096
)

// saveKey identifies a prompt family under one weight version.
type saveKey struct {
	family        uint64
	weightVersion uint64
}

// SaveThrottle decides which prompts this router asks runners to save to the cache store,
// and limits how often a prompt family is saved. A save also stores the unique part of the
// prompt, which no other request uses and which evicts shared parts. It is not safe for
// concurrent use.
type SaveThrottle struct {
	savedAt map[saveKey]time.Time
}

// NewSaveThrottle returns a throttle without remembered saves.
func NewSaveThrottle() *SaveThrottle { return &SaveThrottle{savedAt: map[saveKey]time.Time{}} }

// ShouldSave reports whether the prompt should be saved, and if so records the save. A save
// of a mostly unique prompt evicts more shared parts than it stores.
func (s *SaveThrottle) ShouldSave(now time.Time, query Query, weightVersion uint64) bool {
	if float64(query.SharedTokens) < minSharedFraction*float64(query.PromptTokens) {
		return false
	}
	key := saveKey{query.Family, weightVersion}
	if last, found := s.savedAt[key]; found && now.Sub(last) < saveInterval {
		return false
	}
	if len(s.savedAt) >= maxSavedFamilies {
		s.evict(now)
	}
	s.savedAt[key] = now
	return true
}

// evict drops saves older than saveInterval, or all of them if that frees no room.
func (s *SaveThrottle) evict(now time.Time) {
	for key, savedAt := range s.savedAt {
		if now.Sub(savedAt) >= saveInterval {
			delete(s.savedAt, key)
		}
	}
	if len(s.savedAt) >= maxSavedFamilies {
		clear(s.savedAt)
	}
}
