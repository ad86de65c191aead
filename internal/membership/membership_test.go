package membership

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/clovertiller/clovertiller/internal/lab/testkit"
)

// network carries messages between cores in simulated time, with latency,
// losses, frozen nodes and cut zones.
type network struct {
	now    time.Time
	cores  map[string]*Core
	frozen map[string]bool
	cut    map[string]bool
	loss   float64
	random *rand.Rand
	queue  []inFlight
	events map[string][]Event
}

type inFlight struct {
	to      string
	at      time.Time
	message Message
}

const (
	step    = 50 * time.Millisecond
	latency = 10 * time.Millisecond
)

func newNetwork(zones, perZone int, seed uint64) *network {
	n := &network{
		now: time.Unix(1_000, 0), cores: map[string]*Core{}, frozen: map[string]bool{}, cut: map[string]bool{},
		random: rand.New(rand.NewPCG(seed, 1)), events: map[string][]Event{},
	}
	for zone := range zones {
		for i := range perZone {
			n.start(fmt.Sprintf("z%d-n%d", zone, i), fmt.Sprintf("z%d", zone), 1)
		}
	}
	return n
}

func (n *network) start(id, zone string, incarnation uint64) {
	self := Member{ID: id, Zone: zone, Region: "r", PeerAddress: id, Incarnation: incarnation}
	n.cores[id] = NewCore(self, []string{"z0-n0", "z1-n0"}, DefaultSettings(), rand.New(rand.NewPCG(n.random.Uint64(), 2)))
}

func (n *network) run(duration time.Duration) {
	for end := n.now.Add(duration); n.now.Before(end); n.now = n.now.Add(step) {
		n.deliver()
		for _, id := range slices.Sorted(maps.Keys(n.cores)) {
			core := n.cores[id]
			if !n.frozen[id] {
				core.Tick(n.now)
			}
			n.collect(id, core)
		}
	}
}

func (n *network) collect(id string, core *Core) {
	ready := core.TakeReady()
	n.events[id] = append(n.events[id], ready.Events...)
	for _, outgoing := range ready.Messages {
		n.queue = append(n.queue, inFlight{to: outgoing.Address, at: n.now.Add(latency), message: outgoing.Message})
	}
}

func (n *network) deliver() {
	queue := n.queue
	n.queue = nil
	for _, item := range queue {
		core := n.cores[item.to]
		switch {
		case item.at.After(n.now) || (core != nil && n.frozen[item.to]):
			n.queue = append(n.queue, item)
		case core == nil || n.random.Float64() < n.loss || n.cut[item.message.Sender.Zone] != n.cut[core.Self().Zone]:
		default:
			core.Step(n.now, item.message)
			n.collect(item.to, core)
		}
	}
}

func (n *network) view(id string) int { return len(n.cores[id].Usable(nil)) }

func TestAllNodesFindEachOther(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(3, 8, 1)
	n.run(20 * time.Second)
	for id := range n.cores {
		g.Expect(n.view(id)).To(Equal(24), id)
	}
}

// A herd of restarts: each node is a seed of all others, and messages are lost
// while the first dials fail. Nodes that do not know their zone a second after the
// start would all read the configuration from the platform.
func TestNodesThatStartTogetherKnowEachOtherWithinASecond(t *testing.T) {
	for seed := range uint64(20) {
		g := NewWithT(t)
		n := newNetwork(3, 3, seed)
		seeds := slices.Sorted(maps.Keys(n.cores))
		for id, core := range n.cores {
			n.cores[id] = NewCore(core.Self(), seeds, DefaultSettings(), rand.New(rand.NewPCG(seed, 3)))
		}
		n.loss = 0.6
		n.run(300 * time.Millisecond)
		n.loss = 0
		n.run(600 * time.Millisecond)
		for _, id := range seeds {
			g.Expect(n.view(id)).To(Equal(9), "%s with seed %d", id, seed)
		}
	}
}

func TestDeadNodeIsLeftByItsZoneAndTheOthers(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(3, 8, 2)
	n.run(20 * time.Second)
	delete(n.cores, "z1-n3")
	n.run(25 * time.Second)
	for id := range n.cores {
		g.Expect(n.view(id)).To(Equal(23), id)
	}
}

func TestFrozenObserverDeclaresNobodyDead(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(1, 8, 3)
	n.run(20 * time.Second)
	n.frozen["z0-n0"] = true
	n.run(2 * time.Second)
	n.frozen["z0-n0"] = false
	before := len(n.events["z0-n0"])
	n.run(10 * time.Second)
	for _, event := range n.events["z0-n0"][before:] {
		g.Expect(event.Kind == EventChanged && event.Member.State == Dead).To(BeFalse(), "%+v", event)
	}
	for id := range n.cores {
		g.Expect(n.view(id)).To(Equal(8), id)
	}
}

func TestLossOfAZoneIsOneEventAndHeals(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(3, 6, 4)
	n.run(20 * time.Second)
	n.cut["z2"] = true
	n.run(15 * time.Second)
	g.Expect(n.view("z0-n1")).To(Equal(12))
	g.Expect(n.view("z2-n1")).To(Equal(6))
	for _, event := range n.events["z0-n1"] {
		g.Expect(event.Member.Zone == "z2" && event.Member.State == Dead).To(BeFalse())
	}
	n.cut["z2"] = false
	n.run(15 * time.Second)
	for id := range n.cores {
		g.Expect(n.view(id)).To(Equal(18), id)
	}
}

func TestLeavingNodeIsKnownEverywhereWithinSeconds(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(3, 8, 5)
	n.run(20 * time.Second)
	n.cores["z1-n2"].Leave(n.now)
	n.run(3 * time.Second)
	for id := range n.cores {
		g.Expect(n.view(id)).To(Equal(23), id)
	}
}

func TestRestartedNodeReplacesItsOldSelf(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(2, 4, 6)
	n.run(20 * time.Second)
	n.start("z0-n2", "z0", 2)
	n.run(10 * time.Second)
	member, _ := n.cores["z1-n3"].Member("z0-n2")
	g.Expect(member.Incarnation).To(Equal(uint64(2)))
	g.Expect(member.State).To(Equal(Alive))
}

func TestNodeHeldDeadIsToldSoAndReturns(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(2, 4, 7)
	n.run(20 * time.Second)
	n.frozen["z0-n1"] = true
	n.run(30 * time.Second)
	g.Expect(n.view("z1-n0")).To(Equal(7))
	// Whatever news the others still carried is gone.
	for _, core := range n.cores {
		core.queue = nil
	}
	n.frozen["z0-n1"] = false
	n.run(20 * time.Second)
	for id := range n.cores {
		g.Expect(n.view(id)).To(Equal(8), id)
	}
}

func TestDeathDuringACutIsLearntAfterIt(t *testing.T) {
	for name, cut := range map[string]time.Duration{"while it is remembered": 3 * time.Minute, "after it is forgotten": 12 * time.Minute} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			n := newNetwork(3, 4, 8)
			n.run(20 * time.Second)
			n.cut["z2"] = true
			n.run(20 * time.Second)
			delete(n.cores, "z2-n2")
			n.run(cut)
			n.cut["z2"] = false
			n.run(2 * time.Minute)
			for id := range n.cores {
				g.Expect(n.view(id)).To(Equal(11), id)
			}
		})
	}
}

// TestViewsAgreeOnceFaultsEnd runs random losses, crashes, restarts and cuts,
// and checks that within a bounded time after they end every live node has the
// same members in duty, and none that has ended.
func TestViewsAgreeOnceFaultsEnd(t *testing.T) {
	testkit.SetRapidDefaults(25)
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(3, 4, rapid.Uint64().Draw(t, "seed"))
		n.run(10 * time.Second)
		incarnation := uint64(1)
		for range rapid.IntRange(1, 5).Draw(t, "faults") {
			zone, node := rapid.IntRange(0, 2).Draw(t, "zone"), rapid.IntRange(0, 3).Draw(t, "node")
			id := fmt.Sprintf("z%d-n%d", zone, node)
			switch rapid.SampledFrom([]string{"crash", "restart", "freeze", "cut", "loss"}).Draw(t, "fault") {
			case "crash":
				if zone > 0 && node > 0 {
					delete(n.cores, id)
				}
			case "restart":
				incarnation++
				n.start(id, fmt.Sprintf("z%d", zone), incarnation)
			case "freeze":
				n.frozen[id] = true
			case "cut":
				n.cut[fmt.Sprintf("z%d", zone)] = true
			case "loss":
				n.loss = 0.3
			}
			n.run(time.Duration(rapid.IntRange(0, 8).Draw(t, "seconds")) * time.Second)
		}
		clear(n.frozen)
		clear(n.cut)
		n.loss = 0
		n.run(90 * time.Second)
		for id := range n.cores {
			if n.view(id) != len(n.cores) {
				t.Fatalf("%s has %v, want %d nodes", id, n.cores[id].Usable(nil), len(n.cores))
			}
		}
	})
}
