package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/storestand"
	"github.com/clovertiller/clovertiller/platform"
)

const hostName = "h.example"

// configuration is what the operator has written.
type configuration struct {
	store   *storestand.Store
	mutex   sync.Mutex
	version int
	named   uint64
	// namedAt is when the store acknowledged each version of the weights but the first.
	namedAt []time.Time
	// keys are valid, and taken are those that were taken away. Both have the moment of the
	// store's acknowledgement, added holds that of valid ones.
	keys  []string
	added map[string]time.Time
	taken map[string]time.Time
	next  int
}

// tenantName is the only tenant.
const tenantName = "tenant-one"

func newConfiguration(store *storestand.Store) *configuration {
	c := &configuration{store: store, named: 1, added: map[string]time.Time{}, taken: map[string]time.Time{}}
	for range 3 {
		c.addKey()
	}
	c.write()
	return c
}

func (c *configuration) addKey() {
	c.next++
	c.keys = append(c.keys, fmt.Sprintf("key-%d", c.next))
}

// write writes a new version.
func (c *configuration) write() {
	c.version++
	c.put()
	for _, key := range c.keys {
		if c.added[key].IsZero() {
			c.added[key] = time.Now()
		}
	}
}

// writeAgain writes what is newest of all, as the operator does once the store has lost it.
func (c *configuration) writeAgain() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.put()
	if c.named > 1 {
		c.putWeights()
	}
}

func (c *configuration) putWeights() {
	c.store.Put(platform.KindWeightVersions, modelName, map[string]any{"model": modelName, "version": c.named})
}

func (c *configuration) put() {
	route := func(name, kind, service string, more map[string]any) map[string]any {
		spec := map[string]any{
			"name": name, "host": hostName, "path_prefix": "/" + name + "/", "kind": kind, "service": service,
			"timeout_ms": callDeadline.Milliseconds(), "target_latency_ms": 300, "max_attempts": 2,
		}
		for key, value := range more {
			spec[key] = value
		}
		return spec
	}
	c.store.Put(platform.KindConfig, "main", map[string]any{
		"version": c.version,
		"routes": []map[string]any{
			route("safe", "safe", "plain", nil), route("unsafe", "unsafe", "plain", nil),
			route("stream", "streaming", "engines", map[string]any{"sticky": true, "resumable": true}),
			route("once", "streaming", "engines", map[string]any{"sticky": true, "max_attempts": 1}),
		},
		"services": []map[string]any{
			{"name": "plain"},
			{"name": "engines", "engine": map[string]any{"slots": 8, "backups": true, "models": []map[string]any{{"name": modelName}}}},
		},
		"tenants": []map[string]any{{"name": tenantName, "api_keys": c.keys}},
		"limits":  map[string]any{"max_body_bytes": 1 << 20},
	})
}

// change writes a new version, sometimes with a key less and one more.
func (c *configuration) change(revoke bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !revoke {
		c.write()
		return
	}
	gone := c.keys[0]
	c.keys = c.keys[1:]
	c.addKey()
	c.write()
	c.taken[gone] = time.Now()
}

// bump names new weights.
func (c *configuration) bump() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.named++
	c.putWeights()
	c.namedAt = append(c.namedAt, time.Now())
}

// replacedAt returns when a newer version than this one was first named, or false when
// none was.
func (c *configuration) replacedAt(version uint64) (time.Time, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	index := int(version) - 1
	if index < 0 || index >= len(c.namedAt) {
		return time.Time{}, false
	}
	return c.namedAt[index], true
}

func (c *configuration) weights() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.named
}

// takenShare is one in how many calls that use a key that was taken away.
const takenShare = 8

// validKey returns a key that is not taken away.
func (c *configuration) validKey() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.keys[len(c.keys)-1]
}

// key returns a key with its tenant, and when it was added or, if it was, taken away.
func (c *configuration) key(random *rand.Rand) (key, tenant string, added, taken time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.taken) > 0 && random.IntN(takenShare) == 0 {
		for number := 1; number < c.next; number++ {
			key := fmt.Sprintf("key-%d", number)
			if at, gone := c.taken[key]; gone && random.IntN(2) == 0 {
				return key, tenantName, time.Time{}, at
			}
		}
	}
	key = c.keys[random.IntN(len(c.keys))]
	return key, tenantName, c.added[key], time.Time{}
}
