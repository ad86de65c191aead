package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Services that only a run with configuration changes has.
const (
	// longService has engines whose streams are longer than a silence.
	longService = "long"
	longModel   = "long-model"
	// secondService shares routes with plainService, and visitingService comes and goes.
	secondService   = "plain-two"
	visitingService = "visiting"
)

// secondTenant is the tenant that comes and goes.
const secondTenant = "tenant-two"

// Limits of bodies, of which one is in force at a time.
const (
	usualBodyLimit = 1 << 20
	smallBodyLimit = 4 << 10
)

// changingRoute is a route that configuration changes remove, add and alter.
type changingRoute struct {
	name string
	kind string
	// timeouts are those between which changes choose.
	timeouts []time.Duration
	timeout  time.Duration
	// weights holds the weights of the services.
	weights map[string]int
	present bool
	// extra holds further fields of the route.
	extra map[string]any
}

func (r *changingRoute) prefix() string { return "/" + r.name + "/" }

// newChangingRoutes returns the routes in their first state.
func newChangingRoutes() []*changingRoute {
	shortTimes := []time.Duration{2500 * time.Millisecond, 4 * time.Second, 6 * time.Second}
	longTimes := []time.Duration{9 * time.Second, 11 * time.Second, 14 * time.Second}
	routes := []*changingRoute{
		{name: "repeatable", kind: "safe", timeouts: shortTimes, weights: map[string]int{plainService: 1, secondService: 1}},
		{name: "single", kind: "unsafe", timeouts: shortTimes, weights: map[string]int{plainService: 1, secondService: 1}},
		{name: "visit", kind: "safe", timeouts: shortTimes, weights: map[string]int{visitingService: 1}},
		{name: "long-resumable", kind: "streaming", timeouts: longTimes, weights: map[string]int{longService: 1}, extra: map[string]any{"sticky": true, "resumable": true}},
		{name: "long-single", kind: "streaming", timeouts: longTimes, weights: map[string]int{longService: 1}, extra: map[string]any{"sticky": true, "max_attempts": 1}},
	}
	for _, route := range routes {
		route.timeout, route.present = route.timeouts[len(route.timeouts)-1], true
	}
	return routes
}

// configVersion is a version of the configuration that was written.
type configVersion struct {
	// sentAt is when the operator began to write it, and ackedAt when the store had acknowledged it.
	sentAt, ackedAt time.Time
	// timeouts and services hold the time-outs and services of the routes by their names.
	timeouts  map[string]time.Duration
	services  map[string][]string
	keys      map[string]string
	bodyLimit int
}

// changingConfig is the part of the configuration that changes in a run with configuration changes. The mutex of
// the configuration guards it.
type changingConfig struct {
	routes    []*changingRoute
	bodyLimit int
	// hasSecondTenant is set while secondTenant exists. secondKeys are its keys, and keyCount is how many there were.
	hasSecondTenant bool
	secondKeys      []string
	keyCount        int
	versions        []configVersion
}

func newChangingConfig() *changingConfig {
	return &changingConfig{routes: newChangingRoutes(), bodyLimit: usualBodyLimit, hasSecondTenant: true, secondKeys: []string{"second-key-0"}, keyCount: 1}
}

// route returns the route with the name.
func (c *changingConfig) route(name string) *changingRoute {
	index := slices.IndexFunc(c.routes, func(r *changingRoute) bool { return r.name == name })
	return c.routes[index]
}

// hasService reports whether a present route leads to the service.
func (c *changingConfig) hasService(service string) bool {
	return slices.ContainsFunc(c.routes, func(r *changingRoute) bool { return r.present && r.weights[service] > 0 })
}

// services returns the services with the routes' engines.
func (c *changingConfig) services() []map[string]any {
	services := []map[string]any{engineService(longService, longModel), {"name": secondService}}
	if c.hasService(visitingService) {
		services = append(services, map[string]any{"name": visitingService})
	}
	return services
}

// routeSpecs returns the routes that are present.
func (c *changingConfig) routeSpecs() (specs []map[string]any) {
	for _, route := range c.routes {
		if !route.present {
			continue
		}
		var backends []map[string]any
		for _, service := range slices.Sorted(maps.Keys(route.weights)) {
			if weight := route.weights[service]; weight > 0 {
				backends = append(backends, map[string]any{"service": service, "weight": weight})
			}
		}
		spec := map[string]any{
			"name": route.name, "host": hostName, "path_prefix": route.prefix(), "kind": route.kind, "weighted_backends": backends,
			"timeout_ms": route.timeout.Milliseconds(), "target_latency_ms": 300, "max_attempts": 2,
		}
		maps.Copy(spec, route.extra)
		specs = append(specs, spec)
	}
	return specs
}

// tenants returns the tenants besides the one that always exists.
func (c *changingConfig) tenants() []map[string]any {
	if !c.hasSecondTenant {
		return nil
	}
	return []map[string]any{{"name": secondTenant, "api_keys": slices.Clone(c.secondKeys)}}
}

// record records the current state as a version that was sent and acknowledged at the moments. validKeys are the
// keys of the tenant that always exists.
func (c *changingConfig) record(sentAt, ackedAt time.Time, validKeys []string) {
	version := configVersion{
		sentAt: sentAt, ackedAt: ackedAt, bodyLimit: c.bodyLimit,
		timeouts: map[string]time.Duration{}, services: map[string][]string{}, keys: map[string]string{},
	}
	for _, route := range c.routes {
		if !route.present {
			continue
		}
		version.timeouts[route.name] = route.timeout
		for service, weight := range route.weights {
			if weight > 0 {
				version.services[route.name] = append(version.services[route.name], service)
			}
		}
	}
	for _, key := range validKeys {
		version.keys[key] = tenantName
	}
	if c.hasSecondTenant {
		for _, key := range c.secondKeys {
			version.keys[key] = secondTenant
		}
	}
	c.versions = append(c.versions, version)
}

// configChange is a change of the configuration. Its parameters were drawn when it was planned.
type configChange struct {
	name  string
	apply func(c *changingConfig)
}

// drawChange draws a change that stays until another change of the same kind.
func drawChange(random *rand.Rand) configChange {
	routes := newChangingRoutes()
	route := routes[random.IntN(len(routes))]
	switch random.IntN(5) {
	case 0, 1:
		timeout := route.timeouts[random.IntN(len(route.timeouts))]
		return configChange{fmt.Sprintf("time-out of %s %v", route.name, timeout), func(c *changingConfig) { c.route(route.name).timeout = timeout }}
	case 2:
		limit := []int{usualBodyLimit, smallBodyLimit}[random.IntN(2)]
		return configChange{fmt.Sprintf("bodies up to %d bytes", limit), func(c *changingConfig) { c.bodyLimit = limit }}
	case 3:
		weights := []map[string]int{{plainService: 1}, {secondService: 1}, {plainService: 1, secondService: 1}, {plainService: 1, secondService: 3}}[random.IntN(4)]
		name := []string{"repeatable", "single"}[random.IntN(2)]
		return configChange{fmt.Sprintf("weights of %s %v", name, weights), func(c *changingConfig) { c.route(name).weights = weights }}
	}
	return configChange{"new key of " + secondTenant, func(c *changingConfig) { c.replaceSecondKey() }}
}

// replaceSecondKey adds a key to secondTenant and removes all but the one before.
func (c *changingConfig) replaceSecondKey() {
	c.secondKeys = append(c.secondKeys[len(c.secondKeys)-1:], fmt.Sprintf("second-key-%d", c.keyCount))
	c.keyCount++
}

// drawRemoval draws a change that removes a route or tenant, and the one that adds it again.
func drawRemoval(random *rand.Rand) (removal, addition configChange) {
	routes := newChangingRoutes()
	choice := random.IntN(len(routes) + 1)
	if choice == len(routes) {
		return configChange{secondTenant + " goes", func(c *changingConfig) { c.hasSecondTenant = false }},
			configChange{secondTenant + " comes back", func(c *changingConfig) { c.hasSecondTenant = true }}
	}
	name := routes[choice].name
	return configChange{"route " + name + " goes", func(c *changingConfig) { c.route(name).present = false }},
		configChange{"route " + name + " comes back", func(c *changingConfig) { c.route(name).present = true }}
}

// change applies the change and writes the next version of the configuration.
func (c *configuration) change(change configChange) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	change.apply(c.changing)
	c.writeNextVersion()
}

// versions returns the versions that were written, oldest first.
func (c *configuration) versions() []configVersion {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Clone(c.changing.versions)
}

// randomCurrentKey returns a key that the newest version or the one before it holds, with its tenant.
func (c *configuration) randomCurrentKey(random *rand.Rand) (key, tenant string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if random.IntN(2) == 0 {
		return c.validKeys[len(c.validKeys)-1], tenantName
	}
	return c.changing.secondKeys[random.IntN(len(c.changing.secondKeys))], secondTenant
}
