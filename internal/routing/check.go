package routing

import (
	"fmt"
	"strings"
)

// Check returns a description of every fault of a configuration. It is for
// operators: the router itself serves the valid part of a faulty configuration,
// since the store has accepted it.
func Check(config *Config) []string {
	c := checker{services: map[string]bool{}}
	for _, service := range config.Services {
		c.requireUnique("service", service.Name)
		c.services[service.Name] = true
	}
	for i := range config.Routes {
		c.checkRoute(&config.Routes[i])
	}
	c.checkTenants(config.Tenants)
	return c.faults
}

// checker collects the faults of one configuration.
type checker struct {
	// services are the names of all services.
	services map[string]bool
	// seen are the kinds and names passed to requireUnique.
	seen   map[string]bool
	faults []string
}

// addFault adds a formatted fault description.
func (c *checker) addFault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

// requireUnique adds a fault if the name is empty or was passed before with the
// same kind.
func (c *checker) requireUnique(kind, name string) {
	if name == "" {
		c.addFault("%s: a name is required", kind)
		return
	}
	if c.seen == nil {
		c.seen = map[string]bool{}
	}
	seenKey := kind + " " + name
	if c.seen[seenKey] {
		c.addFault("%s %q: defined more than once", kind, name)
	}
	c.seen[seenKey] = true
}

// checkRoute adds the faults of one route.
func (c *checker) checkRoute(route *Route) {
	c.requireUnique("route", route.Name)
	c.requireUnique("route of host and path", strings.ToLower(route.Host)+route.PathPrefix)
	if !strings.HasPrefix(route.PathPrefix, "/") {
		c.addFault("route %q: path prefix %q does not begin with /", route.Name, route.PathPrefix)
	}
	if route.Timeout < 0 || route.LatencyTarget < 0 || route.MaxEventGap < 0 {
		c.addFault("route %q: times must not be negative", route.Name)
	}
	if route.Timeout > 0 && route.LatencyTarget > route.Timeout {
		c.addFault("route %q: latency target of %v exceeds the timeout of %v", route.Name, route.LatencyTarget, route.Timeout)
	}
	if route.MaxAttempts < 1 {
		c.addFault("route %q: at least one attempt is required", route.Name)
	}
	c.checkBackends(route)
}

// checkBackends adds the faults of a route's backends.
func (c *checker) checkBackends(route *Route) {
	totalWeight := 0
	for _, backend := range route.Backends {
		if !c.services[backend.Service] {
			c.addFault("route %q: service %q does not exist", route.Name, backend.Service)
		}
		if backend.Weight < 0 {
			c.addFault("route %q: weight of %q is negative", route.Name, backend.Service)
		}
		totalWeight += max(backend.Weight, 0)
	}
	if totalWeight == 0 {
		c.addFault("route %q: no service has a positive weight", route.Name)
	}
}

// checkTenants adds the faults of all tenants.
func (c *checker) checkTenants(tenants []Tenant) {
	keyOwners := map[string]string{}
	for _, tenant := range tenants {
		c.requireUnique("tenant", tenant.Name)
		if quota := tenant.Quota; quota != nil && quota.CountsTokens && quota.DefaultTokens < 0 {
			c.addFault("tenant %q: tokens charged for requests without token counts must not be negative", tenant.Name)
		}
		for _, key := range tenant.Keys {
			if owner, taken := keyOwners[key]; taken && owner != tenant.Name {
				// The key itself is a secret and must not be printed.
				c.addFault("tenant %q: shares a key with tenant %q", tenant.Name, owner)
			}
			keyOwners[key] = tenant.Name
		}
	}
}
