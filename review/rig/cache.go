package rig

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/platform"
)

// PartKey names a kept part of a prompt.
type PartKey struct{ Salt, ID string }

// Part is a kept part of a prompt.
type Part struct {
	Tokens int
	// MadeUnder is the version of the weights under which the part was made, and MadeBy the runner. Neither is told to anybody.
	MadeUnder uint64
	MadeBy    string
}

type cacheEvent struct {
	number  uint64
	removed bool
	key     PartKey
	tokens  int
}

// Cache holds what a runner or a cache store keeps.
type Cache struct {
	mutex   sync.Mutex
	epoch   uint64
	parts   map[PartKey]Part
	events  []cacheEvent
	changed chan struct{}
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{epoch: uint64(time.Now().UnixNano() % 1e9), parts: map[PartKey]Part{}, changed: make(chan struct{})}
}

// Get returns a kept part.
func (c *Cache) Get(key PartKey) (Part, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	part, found := c.parts[key]
	return part, found
}

// Add keeps a part, unless it is kept already.
func (c *Cache) Add(key PartKey, part Part) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, found := c.parts[key]; found {
		return
	}
	c.parts[key] = part
	c.append(cacheEvent{key: key, tokens: part.Tokens})
}

// Clear drops all parts.
func (c *Cache) Clear() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for key, part := range c.parts {
		c.append(cacheEvent{key: key, tokens: part.Tokens, removed: true})
	}
	clear(c.parts)
}

// append adds an event. The mutex must be held.
func (c *Cache) append(event cacheEvent) {
	event.number = uint64(len(c.events) + 1)
	c.events = append(c.events, event)
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Cache) writeEvents(writer http.ResponseWriter, request *http.Request) {
	since, _ := strconv.ParseUint(request.URL.Query().Get("since"), 10, 64)
	wait, _ := strconv.Atoi(request.Header.Get(platform.HeaderWaitMillis))
	timer := time.NewTimer(time.Duration(min(wait, 1000)) * time.Millisecond)
	defer timer.Stop()
	for {
		c.mutex.Lock()
		events, changed, epoch := c.events, c.changed, c.epoch
		c.mutex.Unlock()
		if uint64(len(events)) > since {
			writeCacheEvents(writer, epoch, events[since:], uint64(len(events)))
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeCacheEvents(writer, epoch, nil, since)
			return
		case <-request.Context().Done():
			return
		}
	}
}

func writeCacheEvents(writer http.ResponseWriter, epoch uint64, events []cacheEvent, next uint64) {
	encoded := []any{}
	for _, event := range events {
		operation := "+"
		if event.removed {
			operation = "-"
		}
		encoded = append(encoded, []any{event.number, operation, event.key.Salt, event.key.ID, event.tokens, Model})
	}
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(mustJSON(map[string]any{"epoch": epoch, "next_page_token": next, "lost": false, "events": encoded}))
}

func (c *Cache) writeList(writer http.ResponseWriter) {
	c.mutex.Lock()
	held := []any{}
	for key, part := range c.parts {
		held = append(held, []any{key.Salt, key.ID, part.Tokens, Model})
	}
	list := map[string]any{"epoch": c.epoch, "next_page_token": len(c.events), "held": held}
	c.mutex.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(mustJSON(list))
}
