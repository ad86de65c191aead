package backend

import (
	"maps"
	"time"
)

// Load is the open work that one router has placed on a runner.
type Load struct {
	// Tokens is the number of prompt tokens of requests whose response has not begun, and
	// Requests the number of all open requests.
	Tokens   int
	Requests int
	// Streams counts open requests that have begun to respond and have a bound on the pause
	// between events. TotalMaxGap is the sum of these bounds.
	Streams     int
	TotalMaxGap time.Duration
	// Suspects are the hashes of suspect contents among the open requests.
	Suspects []uint64
}

// peerLoadTTL is how long the loads reported by another router count. A router reports
// several times within it, and stops when it is lost.
const peerLoadTTL = 500 * time.Millisecond

// peerLoads are the loads reported by one other router, by runner.
type peerLoads struct {
	reportedAt time.Time
	byRunner   map[string]Load
}

// localLoad returns the open work that this router has placed on the runner. Suspects include those that
// another router has placed, as it matters only which contents run there.
func (e *entry) localLoad() Load {
	return Load{
		Tokens: e.pendingTokens - e.elsewhere.Tokens, Requests: e.inFlight - e.elsewhere.Requests,
		Streams: e.streams.count - e.elsewhere.Streams, TotalMaxGap: e.streams.totalMaxGap - e.elsewhere.TotalMaxGap, Suspects: e.suspects.contents(),
	}
}

// addElsewhere adds the send, in its current state, to the work that other routers report, or removes it if
// sign is -1.
func (e *entry) addElsewhere(send *Send, sign int) {
	if !send.reportedElsewhere {
		return
	}
	e.elsewhere.Requests += sign
	if !send.responded {
		e.elsewhere.Tokens += sign * send.tokens
	} else if send.maxEventGap > 0 {
		e.elsewhere.Streams += sign
		e.elsewhere.TotalMaxGap += time.Duration(sign) * send.maxEventGap
	}
}

// Loads returns the open work that this router has placed, by runner. Runners without any
// are omitted.
func (s *Set) Loads() map[string]Load {
	loads := map[string]Load{}
	for id, e := range s.entries {
		if e.inFlight > e.elsewhere.Requests {
			loads[id] = e.localLoad()
		}
	}
	return loads
}

// ChangedLoads returns the load of each runner for which it has changed since the last
// call, including runners with no open work left.
func (s *Set) ChangedLoads() map[string]Load {
	changed := map[string]Load{}
	for id := range s.changedLoads {
		changed[id] = s.entries[id].localLoad()
	}
	clear(s.changedLoads)
	return changed
}

// SetPeerLoads stores the loads that another router reports: all of them if full is set,
// otherwise only the changed ones. Loads that have expired, for example while the link to that
// router was cut, do not count again because a change arrives.
func (s *Set) SetPeerLoads(now time.Time, router string, full bool, loads map[string]Load) {
	known := s.peers[router]
	if known == nil {
		// Each choice looks at all reporting routers, and standby schedulers come and go.
		maps.DeleteFunc(s.peers, func(_ string, other *peerLoads) bool { return now.Sub(other.reportedAt) >= peerLoadTTL })
	}
	if known == nil || full || now.Sub(known.reportedAt) >= peerLoadTTL {
		known = &peerLoads{byRunner: map[string]Load{}}
		s.peers[router] = known
	}
	known.reportedAt = now
	for id, load := range loads {
		known.byRunner[id] = load
	}
}

// peerLoad returns the sum of the open work that other routers have placed on the runner.
func (s *Set) peerLoad(now time.Time, id string) Load {
	sum := Load{}
	for _, peer := range s.peers {
		if now.Sub(peer.reportedAt) < peerLoadTTL {
			load := peer.byRunner[id]
			sum.Tokens += load.Tokens
			sum.Requests += load.Requests
			sum.Streams += load.Streams
			sum.TotalMaxGap += load.TotalMaxGap
			sum.Suspects = append(sum.Suspects, load.Suspects...)
		}
	}
	return sum
}
