package gateway

import (
	"io"
	"slices"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/integrity"
)

const (
	// bufferChunkBytes is the size of the parts in which a body is read into memory.
	bufferChunkBytes = 64 << 10
	// maxBufferedBytes bounds what is held of the bodies of all responses, beyond the first part of each.
	maxBufferedBytes = 16 << 20
)

// readHeld appends to data what follows in the body, until it has limit bytes, or there is no memory for more. The end is
// then Unfinished.
func (c *call) readHeld(body io.Reader, data []byte, limit int) ([]byte, integrity.End) {
	end := integrity.End{Verdict: integrity.Unfinished}
	for end.Verdict == integrity.Unfinished && len(data) < limit {
		if !c.gateway.holdBytes(bufferChunkBytes) {
			return data, end
		}
		c.bufferedBytes += bufferChunkBytes
		if !c.memory.TryHold(bufferChunkBytes) {
			return data, end
		}
		var n int
		data = slices.Grow(data, bufferChunkBytes)
		n, end = integrity.ReadChunk(body, data[len(data):len(data)+bufferChunkBytes])
		data = data[:len(data)+n]
	}
	return data, end
}

// holdBytes adds to what is held of bodies, and reports whether that is allowed.
func (g *Gateway) holdBytes(count int64) bool {
	if g.bufferedBytes.Add(count) > maxBufferedBytes {
		g.bufferedBytes.Add(-count)
		return false
	}
	return true
}

// releaseBuffers is called when the call ends.
func (c *call) releaseBuffers() { c.gateway.bufferedBytes.Add(-c.bufferedBytes) }

// logEndless returns a function that logs responses that were given up because they do not end.
func (g *Gateway) logEndless(kind string) func(address, part string) {
	return func(address, part string) {
		g.metrics.endlessResponses.WithLabelValues(kind, part).Inc()
		g.log.Log(events.EndlessResponse, events.Fields{"address": address, "to": kind, "part": part})
	}
}
