package scale

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/wire"
)

func encodeSpec(spec v1.Spec) []byte {
	// The spec types hold only plain fields, so encoding cannot fail.
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return encoded
}

// kindOf names a message for the report.
func kindOf(envelope *wire.Envelope) string {
	switch envelope.GetBody().(type) {
	case *wire.Envelope_Heartbeat, *wire.Envelope_HeartbeatAck:
		return "heartbeat"
	case *wire.Envelope_MemberList, *wire.Envelope_MemberListRequest:
		return "member list"
	case *wire.Envelope_ConfigDelta, *wire.Envelope_ConfigPull:
		return "configuration"
	case *wire.Envelope_RunnerReports, *wire.Envelope_FleetPull:
		return "runner reports"
	}
	return "other"
}

// Point is what was measured at one size.
type Point struct {
	Size Size
	// BytesByKind and BytesPerSecond are per node in steady operation, mean;
	// WorstBytes is of the node that sends most.
	BytesByKind    map[string]float64
	BytesPerSecond float64
	WorstBytes     float64
	// CorePercent is the mean share of a core a node's control plane takes;
	// WorstCorePercent is of the busiest node.
	CorePercent      float64
	WorstCorePercent float64
	// HeapMB is the heap per node in megabytes.
	HeapMB float64
	// ConfigP50 and ConfigWorst are the times for a change to be in force everywhere.
	ConfigP50   time.Duration
	ConfigWorst time.Duration
	// Left is the time until all agree that a node has left without a word, and
	// Leaving for one that announced it.
	Left    time.Duration
	Leaving time.Duration
	// Start is the time from a start of all nodes until all have the
	// configuration, and Lists the list calls that took.
	Start time.Duration
	Lists int
	// ZoneCut and ZoneHealed are the times until a cut zone is left and taken
	// back by all; RegionHealed the same after a region was cut from the others.
	ZoneCut      time.Duration
	ZoneHealed   time.Duration
	RegionHealed time.Duration
	RackLost     time.Duration
	Took         time.Duration
}

// steady is the measured period of ordinary operation, with its changes of
// configuration and restarts at the target's rate for this number of nodes.
const steady = 60 * time.Second

// Measure starts a system of the size and measures it.
func Measure(size Size, report func(format string, args ...any)) Point {
	begun := time.Now()
	before := heapOf()
	s := NewSystem(size, 1)
	point := Point{Size: size}
	point.Start = s.Until(2*time.Minute, step, s.Converged)
	point.Lists = s.lists
	report("%d nodes: configuration everywhere %s after a start of all, %d lists\n", size.Nodes, point.Start, point.Lists)
	s.Until(2*time.Minute, checkEvery, s.Agreed)
	s.ObserveRunners()
	s.Run(20 * time.Second)
	point.HeapMB = (float64(heapOf()) - float64(before)) / float64(size.Nodes) / (1 << 20)
	s.measureSteady(&point)
	s.measureConfig(&point)
	s.measureLeaving(&point)
	s.measureCuts(&point)
	point.Took = time.Since(begun)
	return point
}

// measureSteady measures bytes and processor time of ordinary operation.
func (s *System) measureSteady(point *Point) {
	s.resetCounters()
	changes := int(steady.Seconds() * changesPerDay / secondsPerDay)
	for second := range int(steady.Seconds()) {
		s.ObserveRunners()
		s.changeDuties()
		s.Run(time.Second)
		if changes > 0 && second%(int(steady.Seconds())/changes) == 0 {
			s.write(v1.KindTenant, fmt.Sprintf("tenant-%d", second%s.size.Tenants), tenantSpec(second+s.size.Tenants))
		}
	}
	point.BytesByKind = map[string]float64{}
	for _, node := range s.nodes {
		total := 0.0
		for kind, bytes := range node.sent {
			perSecond := float64(bytes) / steady.Seconds()
			point.BytesByKind[kind] += perSecond / float64(len(s.nodes))
			total += perSecond
		}
		point.BytesPerSecond += total / float64(len(s.nodes))
		point.WorstBytes = max(point.WorstBytes, total)
		percent := node.cpu.Seconds() / steady.Seconds() * 100
		point.CorePercent += percent / float64(len(s.nodes))
		point.WorstCorePercent = max(point.WorstCorePercent, percent)
	}
}

// dutyChangesPerDay is how often a runner's state, weights or process changes:
// an assumption, a few rollouts of three changes each and a restart.
const dutyChangesPerDay = 20

// changeDuties lets as many runners as change in a second restart.
func (s *System) changeDuties() {
	s.dutyDebt += float64(len(s.runners)) * dutyChangesPerDay / secondsPerDay
	for ; s.dutyDebt >= 1; s.dutyDebt-- {
		one := &s.runners[s.random.IntN(len(s.runners))]
		one.incarnation++
		s.observe(one)
	}
}

// changesMeasured is how many changes are timed.
const changesMeasured = 11

func (s *System) measureConfig(point *Point) {
	var times []time.Duration
	for i := range changesMeasured {
		s.write(v1.KindTenant, "tenant-0", tenantSpec(1_000_000+i))
		took := s.Until(time.Minute, step, s.Converged)
		times = append(times, took+platformDelay)
		s.Run(700 * time.Millisecond)
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	point.ConfigP50, point.ConfigWorst = times[len(times)/2], times[len(times)-1]
}

func (s *System) measureLeaving(point *Point) {
	leaver := s.nodes[len(s.nodes)-1]
	leaver.core.Leave(s.now)
	begun := s.now
	s.Until(time.Minute, checkEvery, func() bool { return s.usableEverywhere(leaver) == 0 })
	point.Leaving = s.now.Sub(begun)
	leaver.alive = false
	s.Run(10 * time.Second)
	s.start(leaver)
	s.Until(time.Minute, checkEvery, s.Agreed)

	victim := s.nodes[len(s.nodes)-2]
	victim.alive = false
	point.Left = s.Until(2*time.Minute, checkEvery, s.Agreed)
	s.start(victim)
	s.Until(time.Minute, checkEvery, s.Agreed)

	// A rack: a tenth of one zone's nodes at once, at least two.
	var rack []*hollow
	for _, node := range s.nodes {
		if node.zone == "zone-1" && len(rack) < max(2, s.size.Nodes/s.size.Zones/10) {
			rack = append(rack, node)
			node.alive = false
		}
	}
	point.RackLost = s.Until(2*time.Minute, checkEvery, s.Agreed)
	for _, node := range rack {
		s.start(node)
	}
	s.Until(time.Minute, checkEvery, s.Agreed)
}

// usableEverywhere counts the live nodes that would give the node duties.
func (s *System) usableEverywhere(node *hollow) int {
	count := 0
	for _, other := range s.nodes {
		if !other.alive || other == node {
			continue
		}
		for _, id := range other.core.Members().Usable(nil) {
			if id == node.id {
				count++
			}
		}
	}
	return count
}

func (s *System) measureCuts(point *Point) {
	s.cutZones["zone-2"] = true
	outside := func() bool {
		for _, node := range s.nodes {
			if node.zone != "zone-2" && !node.core.Members().ZoneUnreachable("zone-2") {
				return false
			}
		}
		return true
	}
	point.ZoneCut = s.Until(2*time.Minute, checkEvery, outside)
	s.write(v1.KindTenant, "tenant-1", tenantSpec(2_000_000))
	s.Run(10 * time.Second)
	delete(s.cutZones, "zone-2")
	point.ZoneHealed = s.Until(2*time.Minute, checkEvery, func() bool { return s.Agreed() && s.Converged() })

	for region := 1; region < s.size.Regions; region++ {
		s.cutPairs[[2]string{"region-0", fmt.Sprintf("region-%d", region)}] = true
	}
	s.Run(2 * time.Minute)
	clear(s.cutPairs)
	point.RegionHealed = s.Until(2*time.Minute, checkEvery, func() bool { return s.Agreed() && s.Converged() })
}

// kinds returns the message kinds of a point, largest first.
func (p Point) kinds() string {
	var names []string
	for name := range p.BytesByKind {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return p.BytesByKind[names[i]] > p.BytesByKind[names[j]] })
	var parts []string
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s %.0f", name, p.BytesByKind[name]))
	}
	return strings.Join(parts, ", ")
}
