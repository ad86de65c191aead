package backend

import "time"

// Times and sizes of remembered saves.
const (
	// saveInterval is how long a prompt family counts as saved that the store is
	// not known to keep: longer than it takes to hear of a save that came there.
	saveInterval = 2 * time.Second
	// minSharedShare is the least shared part of a prompt that is worth a save.
	minSharedShare = 0.5
	// maxSaves bounds the remembered families.
	maxSaves = 4096
)

// savedFamily is a prompt family under one version of weights.
type savedFamily struct {
	family  uint64
	weights uint64
}

// Saves remembers which prompt families this router had saved to the store of
// kept cache of late: a save stores the request's own part too, which nobody
// else uses and which pushes shared parts out. It is not safe for concurrent use.
type Saves struct {
	at map[savedFamily]time.Time
}

// NewSaves returns an empty memory.
func NewSaves() *Saves { return &Saves{at: map[savedFamily]time.Time{}} }

// Due tells whether the prompt is to be saved, and notes that it is. A save that
// is mostly the request's own part pushes more shared parts out than it keeps.
func (s *Saves) Due(now time.Time, query Query, weights uint64) bool {
	if float64(query.SharedTokens) < minSharedShare*float64(query.PromptTokens) {
		return false
	}
	key := savedFamily{query.Family, weights}
	if at, known := s.at[key]; known && now.Sub(at) < saveInterval {
		return false
	}
	if len(s.at) >= maxSaves {
		s.forget(now)
	}
	s.at[key] = now
	return true
}

// forget drops what is old, or everything when nothing is.
func (s *Saves) forget(now time.Time) {
	for key, at := range s.at {
		if now.Sub(at) >= saveInterval {
			delete(s.at, key)
		}
	}
	if len(s.at) >= maxSaves {
		clear(s.at)
	}
}
