// Package routing defines the configuration of the gateway, which consists of
// routes, services and tenants, and looks up the route and the tenant of a
// request.
//
// The package has no I/O and no clock. A Table is immutable; each new
// configuration gets a new Table.
package routing

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Kind is the kind of a route's requests. It determines whether a request may be
// repeated.
type Kind uint8

// The kinds of routes.
const (
	// Unsafe requests may run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Streaming requests are answered by a series of events. They may be repeated
	// only if the route is resumable.
	Streaming
)

// String returns "unsafe", "safe" or "streaming".
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Streaming:
		return "streaming"
	}
	return "unsafe"
}

// Backend is a service to which a route sends requests.
type Backend struct {
	Service string
	// Weight is the service's share of the route's requests, relative to the weights
	// of the route's other backends.
	Weight int
}

// Route defines to which services, and how, requests of one host and path prefix
// are sent.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a request may take; 0 means no limit.
	Timeout time.Duration
	// LatencyTarget is the longest time until the first event of a response that
	// counts as on time; 0 means no target.
	LatencyTarget time.Duration
	// MaxEventGap is the longest pause between two events of a response that counts
	// as on time; 0 means no target.
	MaxEventGap time.Duration
	// Priority orders requests of tenants of the same priority; 0 is highest.
	Priority int
	Backends []Backend
	// MaxAttempts is the maximum number of runners that may run one request.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// PromptCached is set if the requests carry prompts whose parts runners cache.
	PromptCached bool
	// Resumable streams may be continued on another runner.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// Engine describes the language-model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs at the same time.
	Slots int
	// CacheTokens is the capacity of one engine's KV cache in tokens.
	CacheTokens int
	// CacheBackups is set if engines copy the growing KV cache of a run to another
	// engine while it runs.
	CacheBackups bool
	// Models are the names of the models that the service's engines serve.
	Models []string
}

// Service is a group of runners that serve the same requests.
type Service struct {
	Name string
	// HealthPath is the path of the runners' health check.
	HealthPath string
	// MaxConnections is the maximum number of connections that one runner accepts
	// from all of its clients together.
	MaxConnections int
	// Engine is nil for services without a language model.
	Engine *Engine
	// CacheStoreAddress is the IP:port of the service if it is a cache store, else "".
	CacheStoreAddress string
	// CacheStoreZone is the zone of the cache store.
	CacheStoreZone string
}

// Tenant is a customer, recognized by the API key of its requests.
type Tenant struct {
	Name string
	Keys []string
	// Priority orders tenants; 0 is highest.
	Priority int
	// Isolated tenants share no cached prompt parts with others.
	Isolated bool
	// Quota is nil if the tenant has no limit.
	Quota *Quota
}

// Quota is a tenant's rate limit over all routers together, as a token bucket.
type Quota struct {
	// Rate is the allowance per second, and Burst what may be spent beyond it.
	Rate  float64
	Burst float64
	// CountsTokens is set if the limit counts tokens instead of requests.
	CountsTokens bool
	// DefaultTokens is charged for a request without token counts.
	DefaultTokens float64
}

// Amount returns what a request is charged against the limit. The counted argument
// says whether the token counts are known.
func (q *Quota) Amount(promptTokens, maxTokens int, counted bool) float64 {
	switch {
	case !q.CountsTokens:
		return 1
	case !counted:
		return q.DefaultTokens
	}
	return float64(promptTokens) + float64(maxTokens)
}

// Limits are the limits on the requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one complete configuration.
type Config struct {
	// Version is higher for later configurations.
	Version  uint64
	Routes   []Route
	Services []Service
	Tenants  []Tenant
	Limits   Limits
}

// Table is an index for look-ups in one configuration. It is safe for concurrent
// use.
type Table struct {
	Version  uint64
	Limits   Limits
	byHost   map[string][]*Route
	byKey    map[string]*Tenant
	services map[string]*Service
	// tenantPriorities are the distinct priorities of tenants, and routePriorities
	// those of the non-public routes to each service, both in ascending order.
	tenantPriorities []int
	routePriorities  map[string][]int
	// cacheStores are the cache stores.
	cacheStores []CacheStore
	hasTenants  bool
	// tenantWeights are the tenants' fair-share weights by tenant name.
	tenantWeights map[string]float64
	// routedServices are the services that routes name, in order.
	routedServices []string
}

// NewTable returns the table of a configuration. The table refers to parts of the
// configuration, which must not be changed afterwards.
func NewTable(config *Config) *Table {
	t := &Table{
		Version: config.Version, Limits: config.Limits,
		routePriorities: map[string][]int{},
		byHost:          map[string][]*Route{}, byKey: map[string]*Tenant{}, services: map[string]*Service{},
		hasTenants: len(config.Tenants) > 0,
	}
	for i := range config.Routes {
		route := &config.Routes[i]
		if !route.Public {
			t.addRoutePriority(route)
		}
		host := strings.ToLower(route.Host)
		t.byHost[host] = append(t.byHost[host], route)
	}
	t.routedServices = routedServices(config.Routes)
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for i := range config.Tenants {
		t.tenantPriorities = append(t.tenantPriorities, config.Tenants[i].Priority)
		for _, key := range config.Tenants[i].Keys {
			t.byKey[key] = &config.Tenants[i]
		}
	}
	t.tenantPriorities = sortedUnique(t.tenantPriorities)
	t.tenantWeights = tenantWeights(config.Tenants)
	for service, priorities := range t.routePriorities {
		t.routePriorities[service] = sortedUnique(priorities)
	}
	for i := range config.Services {
		service := &config.Services[i]
		t.services[service.Name] = service
		if service.CacheStoreAddress != "" {
			t.cacheStores = append(t.cacheStores, CacheStore{Address: service.CacheStoreAddress, Zone: service.CacheStoreZone})
		}
	}
	return t
}

// routedServices returns the services that the routes name, in order.
func routedServices(routes []Route) []string {
	named := map[string]bool{}
	for i := range routes {
		for _, backend := range routes[i].Backends {
			named[backend.Service] = true
		}
	}
	return slices.Sorted(maps.Keys(named))
}

// RoutedServices returns the services that routes name, in order.
func (t *Table) RoutedServices() []string { return t.routedServices }

// addRoutePriority adds the priority of a route to those of its services. It is not
// called for public routes: these are checks by operators and have no rank.
func (t *Table) addRoutePriority(route *Route) {
	for _, backend := range route.Backends {
		t.routePriorities[backend.Service] = append(t.routePriorities[backend.Service], route.Priority)
	}
}

// sortedUnique sorts priorities in place and returns them without duplicates.
func sortedUnique(priorities []int) []int {
	slices.Sort(priorities)
	return slices.Compact(priorities)
}

// TenantTier returns the number of distinct tenant priorities that precede this
// tenant's, or 0 without a tenant.
func (t *Table) TenantTier(tenant *Tenant) int {
	if tenant == nil {
		return 0
	}
	return max(slices.Index(t.tenantPriorities, tenant.Priority), 0)
}

// RouteRank returns the number of distinct priorities of the service's routes that
// precede this route's.
func (t *Table) RouteRank(service string, route *Route) int {
	return max(slices.Index(t.routePriorities[service], route.Priority), 0)
}

// Match returns the host's route with the longest matching path prefix, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, route := range t.byHost[normalizeHost(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// normalizeHost strips the port from a Host header and converts it to lower case.
func normalizeHost(host string) string {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	return strings.ToLower(host)
}

// Tenant returns the tenant with the API key, or nil.
func (t *Table) Tenant(key string) *Tenant {
	if key == "" {
		return nil
	}
	return t.byKey[key]
}

// NeedsKeys reports whether requests need an API key on routes that aren't public.
func (t *Table) NeedsKeys() bool { return t.hasTenants }

// Service returns the service with the name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// ServiceNames returns the names of all services in order.
func (t *Table) ServiceNames() []string { return slices.Sorted(maps.Keys(t.services)) }

// CacheStore is the IP:port address of a cache store, and its zone, empty if it is not configured.
type CacheStore struct{ Address, Zone string }

// CacheStores returns the cache stores in the order of the configuration.
func (t *Table) CacheStores() []CacheStore { return t.cacheStores }
