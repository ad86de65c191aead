package relay

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestFewAskersAreAnsweredByTheSeedItself(t *testing.T) {
	g := NewWithT(t)
	assigner := NewAssigner()
	for i := range 20 {
		g.Expect(assigner.Assign(start, Asker{Address: fmt.Sprint(i), Zone: "z", Capacity: 10}, false)).To(BeEmpty())
	}
	g.Expect(assigner.Relays()).To(BeZero())
}

func TestCrowdedSeedRefersToARelayOfTheZoneWithRoom(t *testing.T) {
	g := NewWithT(t)
	assigner := NewAssigner()
	ask := func(address, zone string) string {
		return assigner.Assign(start, Asker{Address: address, Zone: zone, Capacity: 2}, true)
	}
	g.Expect(ask("a", "z")).To(BeEmpty(), "the first becomes the relay")
	g.Expect(ask("b", "z")).To(Equal("a"))
	g.Expect(ask("c", "y")).To(BeEmpty(), "another zone has its own")
	g.Expect(ask("d", "z")).To(Equal("a"))
	g.Expect(ask("e", "z")).To(BeEmpty(), "a has no room left")
	g.Expect(ask("f", "z")).To(Equal("e"))
	g.Expect(assigner.Assign(start, Asker{Address: "old", Capacity: 2}, true)).To(BeEmpty(), "a version without zones")
}

func TestStrongerRouterTakesTheRelaysPlace(t *testing.T) {
	g := NewWithT(t)
	assigner := NewAssigner()
	weak := Asker{Address: "weak", Zone: "z", Capacity: 10, Followers: 8}
	g.Expect(assigner.Assign(start, weak, true)).To(BeEmpty())
	g.Expect(assigner.Assign(start, Asker{Address: "strong", Zone: "z", Capacity: 60}, true)).To(BeEmpty())
	g.Expect(assigner.Assign(start, weak, true)).To(Equal("strong"))
	g.Expect(assigner.Assign(start, Asker{Address: "other", Zone: "z", Capacity: 10}, true)).To(Equal("strong"))
	g.Expect(assigner.Relays()).To(Equal(1))
}

func TestSilentRelayIsForgotten(t *testing.T) {
	g := NewWithT(t)
	assigner := NewAssigner()
	g.Expect(assigner.Assign(start, Asker{Address: "a", Zone: "z", Capacity: 10}, true)).To(BeEmpty())
	later := start.Add(relayPatience + time.Millisecond)
	g.Expect(assigner.Assign(later, Asker{Address: "b", Zone: "z", Capacity: 10}, true)).To(BeEmpty(), "b is the next relay")
	g.Expect(assigner.Assign(later, Asker{Address: "c", Zone: "z", Capacity: 10}, true)).To(Equal("b"))
}

// However routers ask and fall silent, nobody is referred to itself, to another
// zone, or to a relay that was not heard of within its patience.
func TestReferralsLeadToLiveRelaysOfTheZone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		assigner := NewAssigner()
		now := start
		heard := map[string]time.Time{}
		zones := []string{"y", "z"}
		for range rapid.IntRange(1, 200).Draw(t, "pulls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			number := rapid.IntRange(0, 30).Draw(t, "router")
			asker := Asker{
				Address: fmt.Sprint("r", number), Zone: zones[number%2], Capacity: 1 + number%7*3,
				Followers: rapid.IntRange(0, 5).Draw(t, "followers"),
			}
			referred := assigner.Assign(now, asker, rapid.Bool().Draw(t, "crowded"))
			if referred == "" {
				heard[asker.Address] = now
				continue
			}
			var to int
			if _, err := fmt.Sscanf(referred, "r%d", &to); err != nil {
				t.Fatalf("referred to %q", referred)
			}
			switch {
			case referred == asker.Address:
				t.Fatal("referred to itself")
			case zones[to%2] != asker.Zone:
				t.Fatalf("%s of zone %s referred to %s", asker.Address, asker.Zone, referred)
			case now.Sub(heard[referred]) > relayPatience:
				t.Fatalf("referred to %s, heard of %v ago", referred, now.Sub(heard[referred]))
			}
		}
	})
}
