// Package scale measures the control plane at sizes that one machine cannot
// run as processes: hollow nodes share a process, each with the product's real
// control core, and their messages pass through the real wire code. Time is
// virtual; processor time and bytes are measured.
package scale

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/config"
	"github.com/clovertiller/clovertiller/internal/control"
	"github.com/clovertiller/clovertiller/internal/fleet"
	"github.com/clovertiller/clovertiller/internal/membership"
	"github.com/clovertiller/clovertiller/internal/wire"
	"google.golang.org/protobuf/proto"
)

// Size of one measured system.
type Size struct {
	Nodes   int
	Zones   int
	Regions int
	Runners int
	Tenants int
}

// SizeOf scales the target of 400 nodes, 7,500 runners and 22,000 tenants down
// to a number of nodes, with its nine zones and four regions.
func SizeOf(nodes int) Size {
	return Size{Nodes: nodes, Zones: TargetZones, Regions: targetRegions, Runners: nodes * 7500 / 400, Tenants: nodes * 22000 / 400}
}

// The target's zones and regions.
const (
	TargetZones   = 9
	targetRegions = 4
)

// step is the resolution of virtual time; latency is of one message.
const (
	step           = 50 * time.Millisecond
	zoneLatency    = 1 * time.Millisecond
	regionLatency  = 40 * time.Millisecond
	changesPerDay  = 5400
	platformDelay  = 50 * time.Millisecond
	secondsPerDay  = 24 * 3600
	watcherPerZone = 2
)

// hollow is one node without sockets.
type hollow struct {
	id     string
	zone   string
	region string
	core   *control.Core
	alive  bool
	// sent counts bytes by message kind.
	sent map[string]int
	// cpu is the processor time spent in the core and the wire code.
	cpu time.Duration
}

// message is on its way.
type message struct {
	to    *hollow
	frame []byte
}

// System is a set of hollow nodes with a hollow platform.
type System struct {
	size     Size
	now      time.Time
	random   *rand.Rand
	nodes    []*hollow
	byPeer   map[string]*hollow
	buckets  map[int64][]message
	log      []v1.Object
	objects  map[v1.Key]v1.Object
	lists    int
	cutZones map[string]bool
	cutPairs map[[2]string]bool
	// settings are the product's own, with the byte budget of the target.
	settings control.Settings
	runners  []runner
	// dutyDebt is the part of a change of duty that is still to come.
	dutyDebt float64
}

type runner struct {
	name, zone  string
	load        int
	incarnation uint64
}

// controlSettings are the product's settings as the target needs them: no load
// is pushed, because 19 runners' loads to 100 nodes of the region would take
// the whole budget at one round a minute; loads then come with placement
// results alone, on the request path. Changes of duty are still pushed.
func controlSettings() control.Settings {
	settings := control.DefaultSettings()
	settings.LoadBytesPerSecond = 0
	return settings
}

// NewSystem starts all nodes at once and fills the platform.
func NewSystem(size Size, seed uint64) *System {
	s := &System{
		size: size, now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 3)),
		byPeer: map[string]*hollow{}, buckets: map[int64][]message{}, objects: map[v1.Key]v1.Object{},
		cutZones: map[string]bool{}, cutPairs: map[[2]string]bool{}, settings: controlSettings(),
	}
	for i := range size.Runners {
		s.runners = append(s.runners, runner{name: fmt.Sprintf("runner-%d", i), zone: s.zoneOf(i)})
	}
	s.fillPlatform()
	for i := range size.Nodes {
		zone := s.zoneOf(i)
		node := &hollow{id: fmt.Sprintf("node-%d", i), zone: zone, region: s.regionOf(zone)}
		s.nodes = append(s.nodes, node)
		s.byPeer[node.id] = node
	}
	for _, node := range s.nodes {
		s.start(node)
	}
	return s
}

func (s *System) zoneOf(i int) string { return fmt.Sprintf("zone-%d", i%s.size.Zones) }

func (s *System) regionOf(zone string) string {
	var number int
	fmt.Sscanf(zone, "zone-%d", &number)
	return fmt.Sprintf("region-%d", number%s.size.Regions)
}

// start runs a node as a new process.
func (s *System) start(node *hollow) {
	self := membership.Member{ID: node.id, Zone: node.zone, Region: node.region, PeerAddress: node.id, Incarnation: uint64(s.now.UnixMilli())}
	// Seeds are two nodes of every zone.
	var seeds []string
	for i := range min(2*s.size.Zones, s.size.Nodes) {
		seeds = append(seeds, fmt.Sprintf("node-%d", i))
	}
	node.core = control.New(self, seeds, s.settings, rand.New(rand.NewPCG(s.random.Uint64(), 4)))
	node.alive = true
	node.sent = map[string]int{}
	node.cpu = 0
}

func (s *System) write(kind v1.Kind, name string, spec v1.Spec) uint64 {
	spec.SetDefaults()
	object := v1.Object{Kind: kind, Name: name, Version: uint64(len(s.log) + 1), Spec: encodeSpec(spec)}
	s.log = append(s.log, object)
	s.objects[object.Key()] = object
	return object.Version
}

func (s *System) fillPlatform() {
	s.write(v1.KindTier, "gold", &v1.TierSpec{})
	s.write(v1.KindPool, "pool", &v1.PoolSpec{})
	s.write(v1.KindWeightVersion, "v1", &v1.WeightVersionSpec{Model: "model", Source: "v1"})
	s.write(v1.KindModel, "model", &v1.ModelSpec{Pool: "pool", WeightVersion: "v1"})
	for _, one := range s.runners {
		s.write(v1.KindRunner, one.name, &v1.RunnerSpec{Pool: "pool", Zone: one.zone, Address: "127.0.0.1:1"})
	}
	for i := range s.size.Tenants {
		s.write(v1.KindTenant, fmt.Sprintf("tenant-%d", i), tenantSpec(i))
	}
}

func tenantSpec(i int) *v1.TenantSpec {
	return &v1.TenantSpec{Tier: "gold", KeyHashes: []string{fmt.Sprintf("%064x", i)}}
}

// Run lets virtual time pass. Only measured time is charged to the nodes.
func (s *System) Run(duration time.Duration) {
	for end := s.now.Add(duration); s.now.Before(end); s.now = s.now.Add(step) {
		s.deliver()
		for _, node := range s.nodes {
			if node.alive {
				s.tick(node)
			}
		}
	}
}

func (s *System) tick(node *hollow) {
	begun := time.Now()
	// A real node ticks every 100 ms.
	if s.now.UnixMilli()/step.Milliseconds()%2 == 0 {
		node.core.Tick(s.now)
	}
	s.collect(node)
	node.cpu += time.Since(begun)
	s.readPlatform(node)
}

// readPlatform lets watchers list and follow the platform's log.
func (s *System) readPlatform(node *hollow) {
	if !s.isWatcher(node) {
		return
	}
	revision := node.core.Store().Revision()
	last := uint64(len(s.log))
	if revision == last {
		return
	}
	begun := time.Now()
	if revision == 0 {
		s.lists++
		delta := config.Delta{Through: last, Full: true}
		for _, object := range s.objects {
			delta.Objects = append(delta.Objects, object)
		}
		node.core.ApplyFromPlatform(s.now, delta)
	} else {
		node.core.ApplyFromPlatform(s.now, config.Delta{From: revision, Through: last, Objects: s.log[revision:]})
	}
	s.collect(node)
	node.cpu += time.Since(begun)
}

// isWatcher follows the product's rule, after the grace that a started router
// waits for peers.
func (s *System) isWatcher(node *hollow) bool {
	self := node.core.Members().Self()
	if s.now.UnixMilli()-int64(self.Incarnation) < 500 {
		return false
	}
	for _, id := range node.core.Members().Watchers(watcherPerZone) {
		if id == node.id {
			return true
		}
	}
	return false
}

// collect encodes what a node sends, as the transport does.
func (s *System) collect(node *hollow) {
	ready := node.core.TakeReady()
	for _, send := range ready.Sends {
		send.Envelope.From = node.id
		frame, err := wire.AppendFrame(nil, send.Envelope)
		if err != nil {
			panic(err)
		}
		node.sent[kindOf(send.Envelope)] += len(frame) + frameOverhead
		to := s.byPeer[send.Address]
		if to == nil || s.isCut(node, to) {
			continue
		}
		latency := zoneLatency
		if to.region != node.region {
			latency = regionLatency
		}
		bucket := s.now.Add(latency).UnixMilli()/step.Milliseconds() + 1
		s.buckets[bucket] = append(s.buckets[bucket], message{to: to, frame: frame})
	}
}

// frameOverhead is what TCP and IP add to a frame that travels alone.
const frameOverhead = 40

func (s *System) isCut(a, b *hollow) bool {
	if a.zone != b.zone && (s.cutZones[a.zone] || s.cutZones[b.zone]) {
		return true
	}
	return s.cutPairs[[2]string{a.region, b.region}] || s.cutPairs[[2]string{b.region, a.region}]
}

func (s *System) deliver() {
	bucket := s.now.UnixMilli() / step.Milliseconds()
	messages := s.buckets[bucket]
	delete(s.buckets, bucket)
	for _, item := range messages {
		if !item.to.alive {
			continue
		}
		begun := time.Now()
		envelope := &wire.Envelope{}
		if proto.Unmarshal(item.frame[5:], envelope) == nil {
			item.to.core.Step(s.now, envelope)
		}
		s.collect(item.to)
		item.to.cpu += time.Since(begun)
	}
}

// ObserveRunners lets every home hear its runners once, each with another load.
func (s *System) ObserveRunners() {
	for i := range s.runners {
		s.observe(&s.runners[i])
	}
}

func (s *System) observe(one *runner) {
	one.load++
	node := s.homeOf(one)
	if node == nil {
		return
	}
	begun := time.Now()
	node.core.ObserveRunner(s.now, fleet.Report{
		Runner: one.name, Incarnation: one.incarnation + 1, State: fleet.Serving, Model: "model", WeightVersion: "v1", Role: "serve",
		Connected: true, Load: fleet.Load{Running: one.load % 16, PrefillRate: 20000, MaxRunning: 16},
	})
	s.collect(node)
	node.cpu += time.Since(begun)
}

// homeOf returns the runner's home, by the rule of the first live node of its zone.
func (s *System) homeOf(one *runner) *hollow {
	for _, node := range s.nodes {
		if node.alive && node.zone == one.zone {
			if home := s.byPeer[node.core.HomeOf(one.name, one.zone)]; home != nil && home.alive {
				return home
			}
		}
	}
	return nil
}

// Converged tells whether every live node has the platform's revision.
func (s *System) Converged() bool {
	last := uint64(len(s.log))
	for _, node := range s.nodes {
		if node.alive && node.core.Store().Revision() < last {
			return false
		}
	}
	return true
}

// Agreed tells whether every live node has exactly the live nodes in duty.
func (s *System) Agreed() bool {
	alive := 0
	for _, node := range s.nodes {
		if node.alive {
			alive++
		}
	}
	for _, node := range s.nodes {
		if node.alive && len(node.core.Members().Usable(nil)) != alive {
			return false
		}
	}
	return true
}

// checkEvery is how often conditions over all pairs of nodes are checked; times
// are rounded up to it.
const checkEvery = 5 * step

// Until runs until the condition holds and returns the virtual time that took,
// or the limit. The condition is checked once every given time.
func (s *System) Until(limit, every time.Duration, condition func() bool) time.Duration {
	begun := s.now
	for s.now.Sub(begun) < limit {
		if condition() {
			return s.now.Sub(begun)
		}
		s.Run(every)
	}
	return limit
}

// resetCounters begins a measured period.
func (s *System) resetCounters() {
	for _, node := range s.nodes {
		node.sent = map[string]int{}
		node.cpu = 0
	}
}

// heapOf returns the heap that the system takes, in bytes.
func heapOf() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
