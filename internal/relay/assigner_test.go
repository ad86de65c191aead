package relay

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestAssignReturnsNoRelayUnlessSeedIsOverloaded(t *testing.T) {
	g := NewWithT(t)
	assigner := NewAssigner()
	for i := range 20 {
		g.Expect(assigner.Assign(start, Router{Address: fmt.Sprint(i), Zone: "z", Capacity: 10}, false)).To(BeEmpty())
	}
	g.Expect(assigner.RelayCount()).To(BeZero())
}

func TestAssignReturnsRelayOfSameZoneWithFreeCapacity(t *testing.T) {
	g := NewWithT(t)
	assigner := NewAssigner()
	assign := func(address, zone string) string {
		return assigner.Assign(start, Router{Address: address, Zone: zone, Capacity: 2}, true)
	}
	g.Expect(assign("a", "z")).To(BeEmpty(), "the first becomes the relay")
	g.Expect(assign("b", "z")).To(Equal("a"))
	g.Expect(assign("c", "y")).To(BeEmpty(), "another zone has its own relay")
	g.Expect(assign("d", "z")).To(Equal("a"))
	g.Expect(assign("e", "z")).To(BeEmpty(), "a has no free capacity left")
	g.Expect(assign("f", "z")).To(Equal("e"))
	g.Expect(assigner.Assign(start, Router{Address: "old", Capacity: 2}, true)).To(BeEmpty(), "a version without support for relays")
}

func TestAssignReplacesRelayByRouterOfHigherCapacity(t *testing.T) {
	g := NewWithT(t)
	assigner := NewAssigner()
	weak := Router{Address: "weak", Zone: "z", Capacity: 10, Followers: 8}
	g.Expect(assigner.Assign(start, weak, true)).To(BeEmpty())
	g.Expect(assigner.Assign(start, Router{Address: "strong", Zone: "z", Capacity: 60}, true)).To(BeEmpty())
	g.Expect(assigner.Assign(start, weak, true)).To(Equal("strong"))
	g.Expect(assigner.Assign(start, Router{Address: "other", Zone: "z", Capacity: 10}, true)).To(Equal("strong"))
	g.Expect(assigner.RelayCount()).To(Equal(1))
}

func TestRelayExpiresWithoutPulls(t *testing.T) {
	g := NewWithT(t)
	assigner := NewAssigner()
	g.Expect(assigner.Assign(start, Router{Address: "a", Zone: "z", Capacity: 10}, true)).To(BeEmpty())
	later := start.Add(relayTimeout + time.Millisecond)
	g.Expect(assigner.Assign(later, Router{Address: "b", Zone: "z", Capacity: 10}, true)).To(BeEmpty(), "b is the next relay")
	g.Expect(assigner.Assign(later, Router{Address: "c", Zone: "z", Capacity: 10}, true)).To(Equal("b"))
}

// For any sequence of pulls, no router is assigned to itself, to a relay of another zone, or to a
// relay whose last pull is longer ago than the timeout.
func TestAssignReturnsOnlyActiveRelaysOfSameZone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		assigner := NewAssigner()
		now := start
		lastPulls := map[string]time.Time{}
		zones := []string{"y", "z"}
		for range rapid.IntRange(1, 200).Draw(t, "pulls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			number := rapid.IntRange(0, 30).Draw(t, "router")
			router := Router{
				Address: fmt.Sprint("r", number), Zone: zones[number%2], Capacity: 1 + number%7*3,
				Followers: rapid.IntRange(0, 5).Draw(t, "followers"),
			}
			relay := assigner.Assign(now, router, rapid.Bool().Draw(t, "overloaded"))
			if relay == "" {
				lastPulls[router.Address] = now
				continue
			}
			var relayNumber int
			if _, err := fmt.Sscanf(relay, "r%d", &relayNumber); err != nil {
				t.Fatalf("assigned to %q", relay)
			}
			switch {
			case relay == router.Address:
				t.Fatal("assigned to itself")
			case zones[relayNumber%2] != router.Zone:
				t.Fatalf("%s of zone %s assigned to %s", router.Address, router.Zone, relay)
			case now.Sub(lastPulls[relay]) > relayTimeout:
				t.Fatalf("assigned to %s, which pulled %v ago", relay, now.Sub(lastPulls[relay]))
			}
		}
	})
}
