package backend

import "time"

// Load is the work that one router has placed on a runner and that has not ended.
type Load struct {
	// Tokens are prompt tokens that wait to be read, and Requests all open ones.
	Tokens   int
	Requests int
	// Streams are those that have begun and allow no long pauses, and Gaps is the sum
	// of the pauses that they allow.
	Streams int
	Gaps    time.Duration
	// Suspects name the contents of requests there that may end the runner.
	Suspects []uint64
}

// otherLoadTime is how long the loads that another router told of count: it tells of
// them several times in it, and falls silent when it is lost.
const otherLoadTime = 500 * time.Millisecond

// otherLoads are the loads that one other router told of, by runner.
type otherLoads struct {
	toldAt time.Time
	loads  map[string]Load
}

// load is the work that this router has placed on the runner.
func (e *entry) load() Load {
	return Load{Tokens: e.pendingTokens, Requests: e.inFlight, Streams: e.streams.count, Gaps: e.streams.gaps, Suspects: e.suspects.names()}
}

// Loads returns the work on each runner that this router has placed, runners
// without any left out.
func (s *Set) Loads() map[string]Load {
	loads := map[string]Load{}
	for id, e := range s.entries {
		if e.inFlight > 0 {
			loads[id] = e.load()
		}
	}
	return loads
}

// ChangedLoads returns the work on each runner where it has changed since the last
// call, also where none is left.
func (s *Set) ChangedLoads() map[string]Load {
	changed := map[string]Load{}
	for id := range s.changed {
		changed[id] = s.entries[id].load()
	}
	clear(s.changed)
	return changed
}

// SetOtherLoads takes what another router tells of its loads: all of them, or those
// that changed.
func (s *Set) SetOtherLoads(now time.Time, router string, full bool, loads map[string]Load) {
	known := s.others[router]
	if known == nil || full {
		known = &otherLoads{loads: map[string]Load{}}
		s.others[router] = known
	}
	known.toldAt = now
	for id, load := range loads {
		known.loads[id] = load
	}
}

// otherLoad is the work that other routers have placed on the runner.
func (s *Set) otherLoad(now time.Time, id string) Load {
	sum := Load{}
	for _, other := range s.others {
		if now.Sub(other.toldAt) < otherLoadTime {
			load := other.loads[id]
			sum.Tokens += load.Tokens
			sum.Requests += load.Requests
			sum.Streams += load.Streams
			sum.Gaps += load.Gaps
			sum.Suspects = append(sum.Suspects, load.Suspects...)
		}
	}
	return sum
}
