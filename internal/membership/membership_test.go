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

// simulatedNetwork delivers messages between cores in simulated time, with latency, losses, frozen
// nodes and partitioned zones.
type simulatedNetwork struct {
	now              time.Time
	cores            map[string]*Core
	frozenNodes      map[string]bool
	partitionedZones map[string]bool
	lossRate         float64
	random           *rand.Rand
	queue            []inFlightMessage
	events           map[string][]Event
}

type inFlightMessage struct {
	to        string
	deliverAt time.Time
	message   Message
}

const (
	tickInterval = 50 * time.Millisecond
	latency      = 10 * time.Millisecond
)

func newSimulatedNetwork(zones, perZone int, seed uint64) *simulatedNetwork {
	n := &simulatedNetwork{
		now: time.Unix(1_000, 0), cores: map[string]*Core{}, frozenNodes: map[string]bool{}, partitionedZones: map[string]bool{},
		random: rand.New(rand.NewPCG(seed, 1)), events: map[string][]Event{},
	}
	for zone := range zones {
		for i := range perZone {
			n.start(fmt.Sprintf("z%d-n%d", zone, i), fmt.Sprintf("z%d", zone), 1)
		}
	}
	return n
}

// start adds a node, or replaces it by a new process with the given incarnation.
func (n *simulatedNetwork) start(id, zone string, incarnation uint64) {
	self := Member{ID: id, Zone: zone, Region: "r", PeerAddress: id, Incarnation: incarnation}
	n.cores[id] = NewCore(self, []string{"z0-n0", "z1-n0"}, DefaultSettings(), rand.New(rand.NewPCG(n.random.Uint64(), 2)))
}

// advance runs all nodes for the duration in simulated time.
func (n *simulatedNetwork) advance(duration time.Duration) {
	for end := n.now.Add(duration); n.now.Before(end); n.now = n.now.Add(tickInterval) {
		n.deliver()
		for _, id := range slices.Sorted(maps.Keys(n.cores)) {
			core := n.cores[id]
			if !n.frozenNodes[id] {
				core.Tick(n.now)
			}
			n.collect(id, core)
		}
	}
}

// collect records the events of a core and queues its messages for delivery.
func (n *simulatedNetwork) collect(id string, core *Core) {
	ready := core.TakeReady()
	n.events[id] = append(n.events[id], ready.Events...)
	for _, outgoing := range ready.Messages {
		n.queue = append(n.queue, inFlightMessage{to: outgoing.Address, deliverAt: n.now.Add(latency), message: outgoing.Message})
	}
}

// deliver delivers or drops the messages that are due. Messages to frozen nodes stay queued.
func (n *simulatedNetwork) deliver() {
	queue := n.queue
	n.queue = nil
	for _, item := range queue {
		core := n.cores[item.to]
		switch {
		case item.deliverAt.After(n.now) || (core != nil && n.frozenNodes[item.to]):
			n.queue = append(n.queue, item)
		case core == nil || n.random.Float64() < n.lossRate || n.partitionedZones[item.message.Sender.Zone] != n.partitionedZones[core.Self().Zone]:
		default:
			core.Step(n.now, item.message)
			n.collect(item.to, core)
		}
	}
}

// usableCount returns the number of nodes that the node with the ID regards as usable.
func (n *simulatedNetwork) usableCount(id string) int { return len(n.cores[id].Usable(nil)) }

func TestAllNodesDiscoverEachOther(t *testing.T) {
	g := NewWithT(t)
	n := newSimulatedNetwork(3, 8, 1)
	n.advance(20 * time.Second)
	for id := range n.cores {
		g.Expect(n.usableCount(id)).To(Equal(24), id)
	}
}

// Guards against a load peak on the platform when all nodes restart: nodes that do not know the
// peers of their zone a second after the start would all read the configuration from the platform.
// Each node is a seed of all others, and messages are lost while the first dials fail.
func TestNodesThatStartTogetherDiscoverEachOtherWithinASecond(t *testing.T) {
	for seed := range uint64(20) {
		g := NewWithT(t)
		n := newSimulatedNetwork(3, 3, seed)
		seeds := slices.Sorted(maps.Keys(n.cores))
		for id, core := range n.cores {
			n.cores[id] = NewCore(core.Self(), seeds, DefaultSettings(), rand.New(rand.NewPCG(seed, 3)))
		}
		n.lossRate = 0.6
		n.advance(300 * time.Millisecond)
		n.lossRate = 0
		n.advance(600 * time.Millisecond)
		for _, id := range seeds {
			g.Expect(n.usableCount(id)).To(Equal(9), "%s with seed %d", id, seed)
		}
	}
}

func TestDeadNodeIsRemovedFromTheViewsOfAllZones(t *testing.T) {
	g := NewWithT(t)
	n := newSimulatedNetwork(3, 8, 2)
	n.advance(20 * time.Second)
	delete(n.cores, "z1-n3")
	n.advance(25 * time.Second)
	for id := range n.cores {
		g.Expect(n.usableCount(id)).To(Equal(23), id)
	}
}

func TestFrozenNodeDeclaresNoOtherNodeDead(t *testing.T) {
	g := NewWithT(t)
	n := newSimulatedNetwork(1, 8, 3)
	n.advance(20 * time.Second)
	n.frozenNodes["z0-n0"] = true
	n.advance(2 * time.Second)
	n.frozenNodes["z0-n0"] = false
	before := len(n.events["z0-n0"])
	n.advance(10 * time.Second)
	for _, event := range n.events["z0-n0"][before:] {
		g.Expect(event.Kind == EventChanged && event.Member.State == Dead).To(BeFalse(), "%+v", event)
	}
	for id := range n.cores {
		g.Expect(n.usableCount(id)).To(Equal(8), id)
	}
}

// A partitioned zone becomes unreachable as a whole. Its members are not declared dead one by one.
func TestPartitionedZoneIsUnreachableUntilHealed(t *testing.T) {
	g := NewWithT(t)
	n := newSimulatedNetwork(3, 6, 4)
	n.advance(20 * time.Second)
	n.partitionedZones["z2"] = true
	n.advance(15 * time.Second)
	g.Expect(n.usableCount("z0-n1")).To(Equal(12))
	g.Expect(n.usableCount("z2-n1")).To(Equal(6))
	for _, event := range n.events["z0-n1"] {
		g.Expect(event.Member.Zone == "z2" && event.Member.State == Dead).To(BeFalse())
	}
	n.partitionedZones["z2"] = false
	n.advance(15 * time.Second)
	for id := range n.cores {
		g.Expect(n.usableCount(id)).To(Equal(18), id)
	}
}

func TestLeavingNodeIsUnusableEverywhereWithinThreeSeconds(t *testing.T) {
	g := NewWithT(t)
	n := newSimulatedNetwork(3, 8, 5)
	n.advance(20 * time.Second)
	n.cores["z1-n2"].Leave(n.now)
	n.advance(3 * time.Second)
	for id := range n.cores {
		g.Expect(n.usableCount(id)).To(Equal(23), id)
	}
}

func TestRestartedNodeReplacesItsEarlierIncarnation(t *testing.T) {
	g := NewWithT(t)
	n := newSimulatedNetwork(2, 4, 6)
	n.advance(20 * time.Second)
	n.start("z0-n2", "z0", 2)
	n.advance(10 * time.Second)
	member, _ := n.cores["z1-n3"].Member("z0-n2")
	g.Expect(member.Incarnation).To(Equal(uint64(2)))
	g.Expect(member.State).To(Equal(Alive))
}

func TestNodeBelievedDeadLearnsItAndReturns(t *testing.T) {
	g := NewWithT(t)
	n := newSimulatedNetwork(2, 4, 7)
	n.advance(20 * time.Second)
	n.frozenNodes["z0-n1"] = true
	n.advance(30 * time.Second)
	g.Expect(n.usableCount("z1-n0")).To(Equal(7))
	// The node must learn that it is believed dead without any queued updates.
	for _, core := range n.cores {
		core.updateQueue = nil
	}
	n.frozenNodes["z0-n1"] = false
	n.advance(20 * time.Second)
	for id := range n.cores {
		g.Expect(n.usableCount(id)).To(Equal(8), id)
	}
}

func TestDeathDuringAPartitionIsLearntAfterIt(t *testing.T) {
	for name, partitionDuration := range map[string]time.Duration{"before its record is removed": 3 * time.Minute, "after its record is removed": 12 * time.Minute} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			n := newSimulatedNetwork(3, 4, 8)
			n.advance(20 * time.Second)
			n.partitionedZones["z2"] = true
			n.advance(20 * time.Second)
			delete(n.cores, "z2-n2")
			n.advance(partitionDuration)
			n.partitionedZones["z2"] = false
			n.advance(2 * time.Minute)
			for id := range n.cores {
				g.Expect(n.usableCount(id)).To(Equal(11), id)
			}
		})
	}
}

// TestViewsConvergeAfterFaultsEnd injects random losses, crashes, restarts, freezes and partitions.
// It checks that 90 seconds after they end every live node has the same usable members and none that
// has crashed.
func TestViewsConvergeAfterFaultsEnd(t *testing.T) {
	testkit.SetRapidDefaults(25)
	rapid.Check(t, func(t *rapid.T) {
		n := newSimulatedNetwork(3, 4, rapid.Uint64().Draw(t, "seed"))
		n.advance(10 * time.Second)
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
				n.frozenNodes[id] = true
			case "cut":
				n.partitionedZones[fmt.Sprintf("z%d", zone)] = true
			case "loss":
				n.lossRate = 0.3
			}
			n.advance(time.Duration(rapid.IntRange(0, 8).Draw(t, "seconds")) * time.Second)
		}
		clear(n.frozenNodes)
		clear(n.partitionedZones)
		n.lossRate = 0
		n.advance(90 * time.Second)
		for id := range n.cores {
			if n.usableCount(id) != len(n.cores) {
				t.Fatalf("%s has %v, want %d nodes", id, n.cores[id].Usable(nil), len(n.cores))
			}
		}
	})
}
