// Package routing holds the accepted configuration of the gateway: routes,
// services and tenants, and finds the route and tenant of a request.
//
// The package has no I/O and no clock. A Table is immutable; a new
// configuration is a new Table.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind says what may be done again with a request of a route.
type Kind uint8

// The kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Streaming requests are answered by a series of events; they may be
	// repeated only where the route is resumable.
	Streaming
)

// String returns the kind's name.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Streaming:
		return "streaming"
	}
	return "unsafe"
}

// Backend is one service that a route sends requests to.
type Backend struct {
	Service string
	// Weight is the service's share of the route's requests, relative to the others.
	Weight int
}

// Route is where and how requests of one host and path prefix are sent.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time the router may hold a request; 0 means no bound.
	Timeout time.Duration
	// Target is the time within which an answer is on time.
	Target time.Duration
	// EventGap is the longest pause between events of an answer that is on time.
	EventGap time.Duration
	// Priority ranks requests after the tenant's priority; 0 is highest.
	Priority int
	Backends []Backend
	// MaxAttempts is the largest number of runners that may run one request.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Cached routes carry a prompt whose parts runners keep.
	Cached bool
	// Resumable streams may go on at another runner.
	Resumable bool
}

// Repeatable tells whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// Engine describes the language-model engines of a service.
type Engine struct {
	// Slots is how many requests one engine runs at once.
	Slots int
	// CacheTokens is an engine's memory, in tokens.
	CacheTokens int
	// Backups tells whether engines send a run's memory to another one as it grows.
	Backups bool
	// Models names the models that the service's engines hold.
	Models []string
}

// Service is a group of runners that serve the same requests.
type Service struct {
	Name string
	// HealthPath is the path of the runners' health check.
	HealthPath string
	// MaxConnections is how many connections one runner takes from all callers.
	MaxConnections int
	// Engine is nil for services that hold no language model.
	Engine *Engine
	// CacheStoreAddress is set for a store of kept cache, as IP:port.
	CacheStoreAddress string
	CacheStoreZone    string
}

// Tenant is a customer whose requests carry one of its keys.
type Tenant struct {
	Name string
	Keys []string
	// Priority ranks tenants; 0 is highest.
	Priority int
	// Isolated tenants share no cached prompt part with others.
	Isolated bool
	// Quota limits what the tenant may send over all routers; nil means no limit.
	Quota *Quota
}

// Quota is a tenant's limit over all routers.
type Quota struct {
	// Rate is the allowance a second, and Burst what may be spent beyond it.
	Rate  float64
	Burst float64
	// InTokens limits count tokens, others requests.
	InTokens bool
	// UncountedTokens is what a request counts that does not tell its tokens.
	UncountedTokens float64
}

// Amount is what a request spends of the limit.
func (q *Quota) Amount(promptTokens, maxTokens int, counted bool) float64 {
	switch {
	case !q.InTokens:
		return 1
	case !counted:
		return q.UncountedTokens
	}
	return float64(promptTokens) + float64(maxTokens)
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one accepted configuration as a whole.
type Config struct {
	// Version orders configurations.
	Version  uint64
	Routes   []Route
	Services []Service
	Tenants  []Tenant
	Limits   Limits
}

// Table answers look-ups in one configuration.
type Table struct {
	Version  uint64
	Limits   Limits
	byHost   map[string][]*Route
	byKey    map[string]*Tenant
	services map[string]*Service
	// tiers are the distinct priorities of tenants, and ranks those of the routes to
	// each service, the first first.
	tiers []int
	ranks map[string][]int
	// cacheStores are the addresses of the stores of kept cache.
	cacheStores []string
	// keyed is true when the configuration has tenants.
	keyed bool
	// weights are those of the tenants, by name.
	weights map[string]float64
}

// NewTable indexes a configuration. The table keeps parts of the configuration,
// which must not be changed afterwards.
func NewTable(config *Config) *Table {
	t := &Table{
		Version: config.Version, Limits: config.Limits,
		ranks:  map[string][]int{},
		byHost: map[string][]*Route{}, byKey: map[string]*Tenant{}, services: map[string]*Service{},
		keyed: len(config.Tenants) > 0,
	}
	for i := range config.Routes {
		route := &config.Routes[i]
		if !route.Public {
			t.addRank(route)
		}
		host := strings.ToLower(route.Host)
		t.byHost[host] = append(t.byHost[host], route)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for i := range config.Tenants {
		t.tiers = append(t.tiers, config.Tenants[i].Priority)
		for _, key := range config.Tenants[i].Keys {
			t.byKey[key] = &config.Tenants[i]
		}
	}
	t.tiers = distinct(t.tiers)
	t.weights = weights(config.Tenants)
	for service, ranks := range t.ranks {
		t.ranks[service] = distinct(ranks)
	}
	for i := range config.Services {
		service := &config.Services[i]
		t.services[service.Name] = service
		if service.CacheStoreAddress != "" {
			t.cacheStores = append(t.cacheStores, service.CacheStoreAddress)
		}
	}
	return t
}

// addRank notes the priority of a route to its services. Public routes are checks of
// operators and rank nowhere.
func (t *Table) addRank(route *Route) {
	for _, backend := range route.Backends {
		t.ranks[backend.Service] = append(t.ranks[backend.Service], route.Priority)
	}
}

// distinct sorts priorities and drops repeated ones.
func distinct(priorities []int) []int {
	slices.Sort(priorities)
	return slices.Compact(priorities)
}

// Tier counts the tiers of tenants before this one's; without a tenant it is 0.
func (t *Table) Tier(tenant *Tenant) int {
	if tenant == nil {
		return 0
	}
	return max(slices.Index(t.tiers, tenant.Priority), 0)
}

// Rank counts the priorities of the service's routes before this one's.
func (t *Table) Rank(service string, route *Route) int {
	return max(slices.Index(t.ranks[service], route.Priority), 0)
}

// Match returns the route with the longest prefix of the path for the host, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, route := range t.byHost[hostName(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// hostName strips a port from a Host header and lowers its case.
func hostName(host string) string {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	return strings.ToLower(host)
}

// Tenant returns the tenant that holds the key, or nil.
func (t *Table) Tenant(key string) *Tenant {
	if key == "" {
		return nil
	}
	return t.byKey[key]
}

// NeedsKeys tells whether requests of routes that are not public need a key.
func (t *Table) NeedsKeys() bool { return t.keyed }

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// CacheStores returns the IP:ports of the stores of kept cache.
func (t *Table) CacheStores() []string { return t.cacheStores }
