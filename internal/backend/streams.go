package backend

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/placement"
)

// openStreams counts streams at a runner that the prefill of other prompts delays.
type openStreams struct {
	count int
	// totalMaxGap is the sum of the streams' bounds on the pause between events.
	totalMaxGap time.Duration
}

// addStream counts a stream that has begun to respond.
func (e *entry) addStream(send *Send) {
	if send.maxEventGap > 0 {
		e.streams.count++
		e.streams.totalMaxGap += send.maxEventGap
	}
}

// removeStream undoes addStream when the request ends.
func (e *entry) removeStream(send *Send) {
	if send.responded && send.maxEventGap > 0 {
		e.streams.count--
		e.streams.totalMaxGap -= send.maxEventGap
	}
}

// streamPauses returns the open streams at the runner and the prompt tokens that are
// prefilled there, including those of other routers. If all slots are in use, no tokens are
// reported: queued requests are prefilled one at a time as slots are released.
func (e *entry) streamPauses(fromPeers Load) placement.StreamLoad {
	count := e.streams.count + fromPeers.Streams
	if count <= 0 {
		return placement.StreamLoad{}
	}
	pauses := placement.StreamLoad{Streams: count, AllowedPause: (e.streams.totalMaxGap + fromPeers.TotalMaxGap) / time.Duration(count)}
	if e.inFlight+fromPeers.Requests < e.Slots {
		pauses.PrefillTokens = e.pendingTokens + fromPeers.Tokens
	}
	return pauses
}
