package gateway

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/membudget"
)

const (
	// requestMemoryShare is the share of the memory that open connections and calls may hold together. As much again may be garbage.
	requestMemoryShare = 0.375
	// smallRequestShare is the part of that which is left to new connections, heads, and calls with at most smallRequestBytes.
	smallRequestShare = 0.15
	smallRequestBytes = 64 << 10
	// evictionLogInterval is the minimum interval of log lines about evictions.
	evictionLogInterval = time.Second
	// uncountedEventBytes is the part of an event that is within connectionBytes, and eventStepBytes the part for which memory is held at
	// a time.
	uncountedEventBytes = 4 << 10
	eventStepBytes      = 16 << 10
	// firstChunkBytes is the first part of a body of unknown length for which memory is held.
	firstChunkBytes = 16 << 10
)

// reasonNoMemory is the reason given to callers whose bodies there is no memory for.
const reasonNoMemory = "other requests hold all memory for bodies"

// newRequestMemory returns the memory of open connections and calls.
func newRequestMemory(g *Gateway) *membudget.Budget {
	var loggedAt time.Time
	limit := int64(requestMemoryShare * float64(g.settings.MemoryBytes))
	return membudget.New(membudget.Config{
		Limit: limit, Reserve: int64(smallRequestShare * float64(limit)), SmallBytes: smallRequestBytes, Now: time.Now,
		OnEvict: func(class membudget.Class) {
			g.metrics.evictions.WithLabelValues(class.String()).Inc()
			// The budget calls this one at a time.
			if now := time.Now(); now.Sub(loggedAt) >= evictionLogInterval {
				loggedAt = now
				g.log.Log(events.ReceptionEvicted, events.Fields{"class": class.String(), "limit": limit})
			}
		},
	})
}

// holdBody waits until there is memory for more bytes of the call, and refuses it if there is none.
func (c *call) holdBody(bytes int64) *refusal {
	if bytes == 0 || c.memory.Hold(c.ctx.Done(), bytes) {
		return nil
	}
	return c.outOfMemory()
}

// outOfMemory refuses a call of which the rest is not read. What follows must not be parsed as another request.
func (c *call) outOfMemory() *refusal {
	c.writer.Header().Set("Connection", "close")
	return unavailable(reasonNoMemory, busyRetryAfter)
}

// mayBuffer reports whether the call may hold the number of bytes of an event that has not ended.
func (c *call) mayBuffer(buffered int) bool {
	if buffered > maxEventBytes {
		return false
	}
	for uncountedEventBytes+c.eventBytes < int64(buffered) {
		if !c.memory.TryHold(eventStepBytes) {
			return false
		}
		c.eventBytes += eventStepBytes
	}
	return true
}
