package routing

import (
	"testing"

	. "github.com/onsi/gomega"
)

func sampleConfig() *Config {
	return &Config{
		Version: 3,
		Routes: []Route{
			{Name: "short", Host: "a.example", PathPrefix: "/x/"},
			{Name: "long", Host: "A.example", PathPrefix: "/x/y/"},
			{Name: "other", Host: "b.example", PathPrefix: "/"},
		},
		Tenants: []Tenant{{Name: "t1", Keys: []string{"k1", "k2"}}, {Name: "t2", Keys: []string{"k3"}}},
	}
}

func TestMatchReturnsLongestPrefixOfHost(t *testing.T) {
	g := NewWithT(t)
	table := NewTable(sampleConfig())
	g.Expect(table.Match("a.example", "/x/y/1").Name).To(Equal("long"))
	g.Expect(table.Match("A.EXAMPLE:8080", "/x/z").Name).To(Equal("short"))
	g.Expect(table.Match("a.example", "/xy")).To(BeNil())
	g.Expect(table.Match("c.example", "/x/")).To(BeNil())
	g.Expect(table.Match("b.example", "/anything").Name).To(Equal("other"))
}

func TestTenantByKey(t *testing.T) {
	g := NewWithT(t)
	table := NewTable(sampleConfig())
	g.Expect(table.Tenant("k2").Name).To(Equal("t1"))
	g.Expect(table.Tenant("")).To(BeNil())
	g.Expect(table.Tenant("k9")).To(BeNil())
	g.Expect(table.NeedsKeys()).To(BeTrue())
}

// TestSplitterKeepsWeights checks that the shares are exact over as many requests as
// the sum of the weights.
func TestSplitterKeepsWeights(t *testing.T) {
	g := NewWithT(t)
	splitter := NewSplitter()
	route := &Route{Name: "r", Backends: []Backend{{"a", 90}, {"b", 10}, {"off", 0}}}
	counts := map[string]int{}
	for range 100 {
		counts[splitter.Pick(route)]++
	}
	g.Expect(counts).To(Equal(map[string]int{"a": 90, "b": 10}))
	g.Expect(splitter.Pick(&Route{Name: "none"})).To(BeEmpty())
}

func TestOnlySafeAndResumableRequestsAreRepeatable(t *testing.T) {
	g := NewWithT(t)
	g.Expect((&Route{Kind: Safe}).Repeatable()).To(BeTrue())
	g.Expect((&Route{Kind: Unsafe, Resumable: true}).Repeatable()).To(BeFalse())
	g.Expect((&Route{Kind: Streaming}).Repeatable()).To(BeFalse())
	g.Expect((&Route{Kind: Streaming, Resumable: true}).Repeatable()).To(BeTrue())
}

func TestTenantTierAndRouteRank(t *testing.T) {
	g := NewWithT(t)
	newRoute := func(name, service string, priority int, public bool) Route {
		return Route{Name: name, Host: name, PathPrefix: "/", Priority: priority, Public: public, Backends: []Backend{{Service: service, Weight: 1}}}
	}
	table := NewTable(&Config{
		Routes: []Route{newRoute("a", "s", 4, false), newRoute("b", "s", 2, false), newRoute("c", "s", 4, false), newRoute("d", "other", 7, false), newRoute("e", "s", 0, true)},
		Tenants: []Tenant{
			{Name: "gold", Keys: []string{"k1"}, Priority: 1}, {Name: "silver", Keys: []string{"k2"}, Priority: 5}, {Name: "more gold", Keys: []string{"k3"}, Priority: 1},
		},
	})
	g.Expect(table.TenantTier(table.Tenant("k1"))).To(Equal(0))
	g.Expect(table.TenantTier(table.Tenant("k2"))).To(Equal(1))
	g.Expect(table.TenantTier(table.Tenant("k3"))).To(Equal(0))
	g.Expect(table.TenantTier(nil)).To(Equal(0))
	for host, rank := range map[string]int{"a": 1, "b": 0, "c": 1} {
		g.Expect(table.RouteRank("s", table.Match(host, "/"))).To(Equal(rank), host)
	}
	g.Expect(table.RouteRank("other", table.Match("d", "/"))).To(Equal(0))
	g.Expect(table.RouteRank("s", table.Match("e", "/"))).To(Equal(0), "public routes have no rank")
}
