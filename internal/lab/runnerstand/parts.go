package runnerstand

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/platform"
)

// partKey identifies a cached prompt part.
type partKey struct{ salt, id string }

// cachedPart is a cached prompt part. The version is that of the weights under which it was made, and is not part of events
// and lists.
type cachedPart struct {
	tokens  int
	version uint64
}

// partEvent is a change of the cached parts.
type partEvent struct {
	removed bool
	key     partKey
	tokens  int
}

// partCache holds the prompt parts that a runner has cached.
type partCache struct {
	mutex   sync.Mutex
	parts   map[partKey]cachedPart
	events  []partEvent
	changed chan struct{}
}

func newPartCache() *partCache {
	return &partCache{parts: map[partKey]cachedPart{}, changed: make(chan struct{})}
}

func (c *partCache) get(key partKey) (cachedPart, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	part, found := c.parts[key]
	return part, found
}

func (c *partCache) add(key partKey, part cachedPart) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, found := c.parts[key]; !found {
		c.parts[key] = part
		c.append(partEvent{key: key, tokens: part.tokens})
	}
}

// clear drops all parts, as a runner does that takes other weights.
func (c *partCache) clear() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for key, part := range c.parts {
		c.append(partEvent{removed: true, key: key, tokens: part.tokens})
	}
	clear(c.parts)
}

// append adds an event. The mutex must be held.
func (c *partCache) append(event partEvent) {
	c.events = append(c.events, event)
	close(c.changed)
	c.changed = make(chan struct{})
}

// partEpoch is the epoch of all caches, which start with their runner and never restart.
const partEpoch = 1

func (c *partCache) writeList(writer http.ResponseWriter, model string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	held := [][]any{}
	for key, part := range c.parts {
		held = append(held, []any{key.salt, key.id, part.tokens, model})
	}
	writeJSON(writer, map[string]any{"epoch": partEpoch, "next_page_token": len(c.events), "held": held})
}

// writeEvents writes the changes after a position as soon as there are any.
func (c *partCache) writeEvents(writer http.ResponseWriter, request *http.Request, model string) {
	since, _ := strconv.Atoi(request.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(request.Header.Get(platform.HeaderWaitMillis))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; waiting; {
		c.mutex.Lock()
		count, changed := len(c.events), c.changed
		c.mutex.Unlock()
		if count > since {
			break
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-request.Context().Done():
			return
		}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	events, operations := [][]any{}, map[bool]string{false: "+", true: "-"}
	for i, event := range c.events[min(since, len(c.events)):] {
		events = append(events, []any{since + i + 1, operations[event.removed], event.key.salt, event.key.id, event.tokens, model})
	}
	writeJSON(writer, map[string]any{"epoch": partEpoch, "next_page_token": len(c.events), "lost": false, "events": events})
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}

// readPrompt takes PrefillTime for each part of the prompt that is neither cached nor fetched from the runner that the request
// names, and caches it. A run that began under other weights goes on under the new ones. It returns the parts that a run
// used which were made under other weights than its own, unless its weights changed meanwhile.
func (r *Runner) readPrompt(request *http.Request, begunUnder uint64) (stale []string) {
	var source *partCache
	if address := request.Header.Get(platform.HeaderKVFetch); address != "" && r.FindPeer != nil {
		if peer := r.FindPeer(address); peer != nil {
			source = peer.parts
		}
	}
	salt, isPrefix := request.Header.Get(platform.HeaderCacheSalt), true
	for item := range strings.SplitSeq(request.Header.Get(platform.HeaderPromptPrefix), ",") {
		id, count, _ := strings.Cut(item, ":")
		tokens, _ := strconv.Atoi(count)
		key := partKey{salt, id}
		part, found := r.parts.get(key)
		origin := "cached"
		if isPrefix && !found && source != nil {
			part, found = source.get(key)
			origin = "fetched from " + request.Header.Get(platform.HeaderKVFetch)
		}
		if isPrefix && found {
			r.parts.add(key, part)
			if part.version != begunUnder {
				stale = append(stale, fmt.Sprintf("part %s under salt %s, made under version %d, %s", id, salt, part.version, origin))
			}
			continue
		}
		isPrefix = false
		time.Sleep(r.PrefillTime)
		r.awaitLoad()
		r.parts.add(key, cachedPart{tokens: tokens, version: r.WeightVersion()})
	}
	if r.WeightVersion() != begunUnder {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.crossedRuns++
		return nil
	}
	return stale
}

// awaitLoad waits while the runner loads weights: nothing is computed meanwhile.
func (r *Runner) awaitLoad() {
	for r.isLoading() {
		time.Sleep(loadPollInterval)
	}
}

// loadPollInterval is the interval at which runs check whether the weights are loaded.
const loadPollInterval = 5 * time.Millisecond

func (r *Runner) isLoading() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.loading
}

// recordStaleParts records the parts made under other weights that the run used.
func (r *Runner) recordStaleParts(requestID string, parts []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, part := range parts {
		r.staleParts = append(r.staleParts, requestID+": "+part)
	}
}

// CrossedRuns returns the number of runs whose weights changed while they read the prompt.
func (r *Runner) CrossedRuns() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.crossedRuns
}

// StaleParts returns the requests that ran on prompt parts which were made under other weights than those of the run.
func (r *Runner) StaleParts() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.staleParts)
}
