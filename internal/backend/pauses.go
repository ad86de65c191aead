package backend

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/placement"
)

// openStreams are streams at a runner that bear the reading of others' prompts.
type openStreams struct {
	count int
	// gaps is the sum of the pauses that they allow.
	gaps time.Duration
}

// openStream counts a stream that has begun.
func (e *entry) openStream(send *Send) {
	if send.gap > 0 {
		e.streams.count++
		e.streams.gaps += send.gap
	}
}

// closeStream takes out a stream that was counted.
func (e *entry) closeStream(send *Send) {
	if send.answered && send.gap > 0 {
		e.streams.count--
		e.streams.gaps -= send.gap
	}
}

// pauses returns the streams at the runner and what is read there, those of other
// routers included. Requests that wait for slots are read one by one as slots come free.
func (e *entry) pauses(other Load) placement.StreamLoad {
	count := e.streams.count + other.Streams
	if count <= 0 {
		return placement.StreamLoad{}
	}
	pauses := placement.StreamLoad{Streams: count, AllowedPause: (e.streams.gaps + other.Gaps) / time.Duration(count)}
	if e.inFlight+other.Requests < e.Slots {
		pauses.PrefillTokens = e.pendingTokens + other.Tokens
	}
	return pauses
}
