package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/storestand"
	"github.com/clovertiller/clovertiller/platform"
)

// hostName is the host of all routes.
const hostName = "h.example"

// configuration is what the operator has written to the store. It is safe for concurrent use.
type configuration struct {
	store *storestand.Store
	// hasMixedService is set if the configuration has mixedService.
	hasMixedService bool
	// releaseServices are the services that get releases while gateways are stale.
	releaseServices []string
	// changing is the part that changes in a run with configuration changes, nil otherwise.
	changing      *changingConfig
	mutex         sync.Mutex
	configVersion int
	weightVersion uint64
	// weightChangeTimes holds when the store acknowledged each weight version after the first.
	weightChangeTimes []time.Time
	// validKeys holds the API keys that are not revoked. addedAt and revokedAt hold when the store
	// acknowledged the addition of a valid key and the revocation of a key.
	validKeys []string
	addedAt   map[string]time.Time
	revokedAt map[string]time.Time
	keyCount  int
}

// tenantName is the name of the only tenant.
const tenantName = "tenant-one"

func newConfiguration(store *storestand.Store) *configuration {
	c := &configuration{store: store, weightVersion: 1, addedAt: map[string]time.Time{}, revokedAt: map[string]time.Time{}}
	for range 3 {
		c.addKey()
	}
	c.writeNextVersion()
	return c
}

// addMixedService writes a configuration with mixedService.
func (c *configuration) addMixedService() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.hasMixedService = true
	c.writeNextVersion()
}

// addReleaseServices writes a configuration with the services.
func (c *configuration) addReleaseServices(services []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.releaseServices = services
	c.writeNextVersion()
}

// addKey adds a new valid key, which the next version of the configuration contains.
func (c *configuration) addKey() {
	c.keyCount++
	c.validKeys = append(c.validKeys, fmt.Sprintf("key-%d", c.keyCount))
}

// writeNextVersion writes the next version of the configuration.
func (c *configuration) writeNextVersion() {
	c.configVersion++
	c.putConfig()
	for _, key := range c.validKeys {
		if c.addedAt[key].IsZero() {
			c.addedAt[key] = time.Now()
		}
	}
}

// rewrite writes the latest configuration and weight version again, like an operator after the
// store has lost them.
func (c *configuration) rewrite() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.putConfig()
	if c.weightVersion > 1 {
		c.putWeightVersion()
	}
}

// putWeightVersion writes the current weight version to the store.
func (c *configuration) putWeightVersion() {
	c.store.Put(platform.KindWeightVersions, modelName, map[string]any{"model": modelName, "version": c.weightVersion})
}

// putConfig writes the current configuration to the store.
func (c *configuration) putConfig() {
	route := func(name, kind, service string, extra map[string]any) map[string]any {
		spec := map[string]any{
			"name": name, "host": hostName, "path_prefix": "/" + name + "/", "kind": kind, "service": service,
			"timeout_ms": callTimeout.Milliseconds(), "target_latency_ms": 300, "max_attempts": 2,
		}
		for key, value := range extra {
			spec[key] = value
		}
		return spec
	}
	routes := []map[string]any{
		route("safe", "safe", plainService, nil), route("unsafe", "unsafe", plainService, nil),
		route("stream", "streaming", "engines", map[string]any{"sticky": true, "resumable": true}),
		route("once", "streaming", "engines", map[string]any{"sticky": true, "max_attempts": 1}),
	}
	services := []map[string]any{{"name": plainService}, engineService("engines", modelName)}
	if c.hasMixedService {
		routes = append(routes, route(mixedService, "streaming", mixedService, map[string]any{"sticky": true, "resumable": true}))
		services = append(services, engineService(mixedService, mixedModel))
	}
	for _, service := range c.releaseServices {
		routes = append(routes, route(service, "streaming", service, map[string]any{"sticky": true, "resumable": true}))
		services = append(services, engineService(service, releaseModel(service)))
	}
	tenants, bodyLimit := []map[string]any{{"name": tenantName, "api_keys": c.validKeys}}, usualBodyLimit
	if c.changing != nil {
		routes, services = append(routes, c.changing.routeSpecs()...), append(services, c.changing.services()...)
		tenants, bodyLimit = append(tenants, c.changing.tenants()...), c.changing.bodyLimit
	}
	sentAt := time.Now()
	c.store.Put(platform.KindConfig, "main", map[string]any{
		"version": c.configVersion, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"max_body_bytes": bodyLimit},
	})
	if c.changing != nil {
		c.changing.record(sentAt, time.Now(), c.validKeys)
	}
}

// engineService returns the service of engines with the model.
func engineService(service, model string) map[string]any {
	return map[string]any{"name": service, "engine": map[string]any{"slots": 8, "backups": true, "models": []map[string]any{{"name": model}}}}
}

// addChangingConfig writes a configuration with the part that changes.
func (c *configuration) addChangingConfig() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.changing = newChangingConfig()
	c.writeNextVersion()
}

// update writes the next version of the configuration. With revoke it replaces the oldest valid key
// by a new one.
func (c *configuration) update(revoke bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !revoke {
		c.writeNextVersion()
		return
	}
	revokedKey := c.validKeys[0]
	c.validKeys = c.validKeys[1:]
	c.addKey()
	c.writeNextVersion()
	c.revokedAt[revokedKey] = time.Now()
}

// bumpWeights requests the next weight version.
func (c *configuration) bumpWeights() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.weightVersion++
	c.putWeightVersion()
	c.weightChangeTimes = append(c.weightChangeTimes, time.Now())
}

// replacedAt returns when a newer weight version was first requested, and false if there is none.
func (c *configuration) replacedAt(version uint64) (time.Time, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	index := int(version) - 1
	if index < 0 || index >= len(c.weightChangeTimes) {
		return time.Time{}, false
	}
	return c.weightChangeTimes[index], true
}

func (c *configuration) currentWeightVersion() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.weightVersion
}

// callsPerRevokedKey is the mean number of calls of which one may use a revoked key.
const callsPerRevokedKey = 8

// validKey returns a key that is not revoked.
func (c *configuration) validKey() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.validKeys[len(c.validKeys)-1]
}

// establishedKey returns a valid key that neither the last update added nor the next one revokes.
func (c *configuration) establishedKey() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.validKeys[len(c.validKeys)/2]
}

// oldestKey returns the valid key that was added first, with its tenant.
func (c *configuration) oldestKey() (key, tenant string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.validKeys[0], tenantName
}

// wasRevokedBy reports whether the key had been revoked at the moment.
func (c *configuration) wasRevokedBy(key string, moment time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	revokedAt, revoked := c.revokedAt[key]
	return revoked && revokedAt.Before(moment)
}

// randomKey returns a key and its tenant. addedAt is set if the key is valid, revokedAt if it is
// revoked.
func (c *configuration) randomKey(random *rand.Rand) (key, tenant string, addedAt, revokedAt time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.revokedAt) > 0 && random.IntN(callsPerRevokedKey) == 0 {
		for number := 1; number < c.keyCount; number++ {
			key := fmt.Sprintf("key-%d", number)
			if keyRevokedAt, revoked := c.revokedAt[key]; revoked && random.IntN(2) == 0 {
				return key, tenantName, time.Time{}, keyRevokedAt
			}
		}
	}
	key = c.validKeys[random.IntN(len(c.validKeys))]
	return key, tenantName, c.addedAt[key], time.Time{}
}
