package emulator

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/clovertiller/clovertiller/internal/admission"
	"github.com/clovertiller/clovertiller/internal/cacheindex"
	"github.com/clovertiller/clovertiller/internal/fleet"
	"github.com/clovertiller/clovertiller/internal/lab/enginemodel"
	"github.com/clovertiller/clovertiller/internal/lab/workload"
	"github.com/clovertiller/clovertiller/internal/placement"
	"github.com/clovertiller/clovertiller/internal/prefix"
	"github.com/clovertiller/clovertiller/internal/rendezvous"
)

// event is something that happens at a moment of virtual time.
type event struct {
	at     time.Time
	number uint64
	do     func()
}

// agenda is a heap of events, earliest first, in order of making at equal times.
type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].number < a[j].number
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// runner is one emulated engine with what its home knows of it.
type runner struct {
	name        string
	index       int
	incarnation uint64
	model       *enginemodel.Engine
	stepping    bool
	loading     bool
	version     string
	sequence    uint64
	tracker     *cacheindex.Tracker
	open        map[enginemodel.ID]*pending
}

// pending is a request that has not ended.
type pending struct {
	request workload.Request
	// text is the rendered prompt.
	text     string
	tier     int
	arrived  time.Time
	chain    prefix.Chain
	salt     prefix.Salt
	version  string
	attempts int
	cached   int
	first    bool
	asks     int
	id       enginemodel.ID
}

// router is one emulated router: an index shard, reports and recent placements.
type router struct {
	placer *placement.Placer
}

// run is one run in progress.
type run struct {
	settings Settings
	random   *rand.Rand
	now      time.Time
	end      time.Time
	agenda   agenda
	numbers  uint64
	runners  []*runner
	routers  []*router
	names    []string
	baseline *baseline
	traffic  *workload.Generator
	version  string
	cut      bool
	requests uint64
	loads    int
	owners   map[uint64]int
	byName   map[string]*runner
	result   *Result
}

// Run carries out one run.
func Run(settings Settings) *Result {
	r := &run{
		settings: settings,
		random:   rand.New(rand.NewPCG(settings.Seed, 7)),
		now:      time.Unix(0, 0),
		end:      time.Unix(0, 0).Add(settings.Duration),
		traffic:  workload.NewGenerator(settings.Deployment.Workload, settings.Seed),
		version:  "v1",
		result:   newResult(),
		owners:   map[uint64]int{},
		byName:   map[string]*runner{},
	}
	r.baseline = &baseline{policy: settings.Policy, random: r.random}
	for i := range settings.Deployment.Runners {
		created := &runner{name: fmt.Sprintf("r%d", i), index: i}
		r.runners = append(r.runners, created)
		r.names = append(r.names, created.name)
		r.byName[created.name] = created
		r.startEngine(created)
	}
	r.startRouters()
	for _, one := range r.runners {
		r.publish(one)
	}
	r.scheduleFaults()
	r.arrive()
	for len(r.agenda) > 0 {
		next := heap.Pop(&r.agenda).(event)
		if next.at.After(r.end) {
			break
		}
		r.now = next.at
		next.do()
	}
	return r.result
}

func (r *run) after(delay time.Duration, do func()) {
	r.numbers++
	heap.Push(&r.agenda, event{at: r.now.Add(delay), number: r.numbers, do: do})
}

func (r *run) startRouters() {
	r.routers = nil
	for range r.settings.Routers {
		r.routers = append(r.routers, &router{placer: &placement.Placer{
			Index:         cacheindex.NewShard(10 * time.Second),
			Pending:       placement.NewPendingPlacements(time.Millisecond),
			Fleet:         fleet.NewTable(),
			RetrySchedule: admission.NewRetrySchedule(),
			Random:        r.random,
		}})
	}
}

func (r *run) startEngine(one *runner) {
	one.incarnation++
	one.model = enginemodel.New(r.settings.Engine)
	one.version = r.version
	one.stepping, one.loading = false, false
	one.tracker = cacheindex.NewTracker(r.settings.Stride)
	one.tracker.Restart(one.incarnation)
	one.open = map[enginemodel.ID]*pending{}
}

// ---- traffic ----

// burst says when the rate is doubled: one second in ten.
func (r *run) burst() bool { return r.now.Unix()%10 == 4 }

func (r *run) arrive() {
	rate := r.settings.Rate
	if r.burst() {
		rate *= 2
	} else {
		rate *= 8.0 / 9
	}
	wait := time.Duration(-math.Log(1-r.random.Float64()) / rate * float64(time.Second))
	r.after(wait, func() {
		request := r.traffic.Next()
		r.requests++
		p := &pending{request: request, text: request.Prompt(), tier: tierOf(request), arrived: r.now, id: enginemodel.ID{Request: fmt.Sprint(r.requests)}}
		r.result.offer(p.tier)
		r.place(p)
		r.arrive()
	})
}

// tierOf gives the largest tenant the lowest tier, the next two the middle one
// and the small ones the top tier, about a sixth of the requests; batch work is
// one tier lower.
func tierOf(request workload.Request) int {
	tier := 0
	switch request.Tenant[len(request.Tenant)-1] {
	case '0':
		tier = 2
	case '1', '2':
		tier = 1
	}
	if request.Batch {
		tier = min(tier+1, Tiers-1)
	}
	return tier
}

// ---- placement ----

func (r *run) chainOf(p *pending, version string) {
	if p.version == version {
		return
	}
	p.version = version
	p.salt = prefix.Scope{Tenant: p.request.Tenant, Model: p.request.Model, WeightVersion: version}.Salt()
	p.chain = prefix.NewChain(p.salt, p.text, BlockBytes)
}

func (r *run) place(p *pending) {
	target := r.choose(p)
	if target == nil {
		return
	}
	p.attempts++
	p.id.Attempt = uint32(p.attempts)
	if target.loading || target.version != p.version {
		// The engine refuses: it has other weights by now. Nothing has run.
		r.after(time.Millisecond, func() { r.place(p) })
		return
	}
	target.open[p.id] = p
	target.model.Submit(enginemodel.Job{
		ID: p.id, Chain: p.chain, BlockTokens: BlockTokens, PromptTokens: prefix.EstimateTokens(len(p.text)),
		TotalOutputTokens: p.request.MaxTokens, Priority: p.tier,
	})
	r.step(target)
}

// choose returns the runner, or nil when the request was refused.
func (r *run) choose(p *pending) *runner {
	r.chainOf(p, r.activeVersion())
	family := p.chain.Family(p.salt)
	if r.settings.Policy == Product || r.settings.Policy == Oracle {
		return r.chooseByScore(p, family)
	}
	var candidates []placement.Runner
	for _, one := range r.runners {
		if !one.loading && one.version == p.version {
			candidates = append(candidates, placement.Runner{Name: one.name})
		}
	}
	index := r.baseline.choose(family, candidates, r.routers[0].placer.Fleet)
	if index < 0 {
		r.after(100*time.Millisecond, func() { r.place(p) })
		return nil
	}
	return r.byName[candidates[index].Name]
}

// activeVersion is the product's own rule, by any router's table.
func (r *run) activeVersion() string {
	return r.routers[0].placer.Fleet.ActiveVersion(r.settings.Deployment.Model, r.version, r.names)
}

func (r *run) query(p *pending, family uint64) placement.Query {
	query := placement.Query{
		Request: placement.Request{
			Model: r.settings.Deployment.Model, WeightVersion: p.version, PromptTokens: prefix.EstimateTokens(len(p.text)),
			MaxTokens: p.request.MaxTokens, Priority: p.tier, MaxWait: r.settings.MaxWait[p.tier],
		},
		Family: family, Anchors: p.chain.Anchors(r.settings.Stride), BlockTokens: BlockTokens, Ticket: prefix.PromptDigest(p.salt, p.text),
		Weights: placement.ScoreWeights{Uncached: r.settings.Deployment.HitWeight},
	}
	for _, one := range r.runners {
		query.Runners = append(query.Runners, placement.Runner{Name: one.name})
	}
	return query
}

func (r *run) chooseByScore(p *pending, family uint64) *runner {
	query := r.query(p, family)
	var pick placement.Pick
	switch {
	case r.settings.Policy == Oracle:
		pick = r.oraclePick(p, query)
	case r.cut && r.requests%3 == 0:
		pick = r.routers[int(r.requests)%len(r.routers)].placer.PlaceWithoutIndex(r.now, query)
	default:
		pick = r.shard(family).placer.Place(r.now, query)
	}
	r.result.Lookups++
	if pick.Status == placement.Picked {
		return r.byName[pick.Candidate.Name]
	}
	r.refuse(p, pick)
	return nil
}

// shard returns the router that owns a family's index.
func (r *run) shard(family uint64) *router {
	owner, found := r.owners[family]
	if !found {
		owner = int(rendezvous.Weight("owner", family) % uint64(len(r.routers)))
		r.owners[family] = owner
	}
	return r.routers[owner]
}

// oraclePick scores with the engines' true caches and loads.
func (r *run) oraclePick(p *pending, query placement.Query) placement.Pick {
	candidates := make([]placement.Candidate, len(r.runners))
	for i, one := range r.runners {
		candidates[i] = placement.Candidate{
			Name: one.name, Report: r.report(one),
			CachedTokens: min(one.model.CachedDepth(p.chain)*BlockTokens, query.Request.PromptTokens),
		}
	}
	return placement.Choose(query.Request, candidates, query.Weights, r.random)
}

// refuse answers at once; the caller comes back once, when it was told to.
func (r *run) refuse(p *pending, pick placement.Pick) {
	if pick.Status == placement.NoRunner {
		r.after(100*time.Millisecond, func() { r.place(p) })
		return
	}
	p.asks++
	r.result.refuse(p.tier, p.asks)
	if p.asks > 1 {
		return
	}
	r.after(pick.RetryAfter, func() {
		p.arrived = r.now
		r.result.Returned++
		r.place(p)
	})
}

// ---- engines ----

func (r *run) step(one *runner) {
	if one.stepping || !one.model.Busy() {
		return
	}
	one.stepping = true
	duration, started := one.model.BeginStep()
	for _, output := range started {
		if p := one.open[output.ID]; p != nil {
			p.cached = output.CachedTokens
			r.result.start(p)
			r.feedBack(one, p)
		}
	}
	incarnation := one.incarnation
	r.after(duration, func() {
		if one.incarnation != incarnation {
			return
		}
		one.stepping = false
		for _, output := range one.model.EndStep() {
			r.output(one, output)
		}
		r.step(one)
	})
}

func (r *run) output(one *runner, output enginemodel.Output) {
	p := one.open[output.ID]
	if p == nil {
		return
	}
	if !p.first {
		p.first = true
		r.result.firstToken(p, r.now.Sub(p.arrived))
	}
	if output.Finished {
		delete(one.open, output.ID)
		r.result.complete(p)
	}
}

// feedBack is the placement result that the ingress sends to the shard.
func (r *run) feedBack(one *runner, p *pending) {
	if r.settings.Policy != Product {
		return
	}
	placer := r.shard(p.chain.Family(p.salt)).placer
	placer.Fleet.UpdateLoad(one.name, one.incarnation, r.report(one).Load)
	placer.Index.AddProvisional(r.now, cacheindex.Holder{Runner: one.name, Incarnation: one.incarnation}, p.chain.Anchors(r.settings.Stride))
	r.result.Messages++
}

// ---- events and reports ----

// publishInterval is how often an engine tells its home what changed.
const publishInterval = 100 * time.Millisecond

func (r *run) report(one *runner) fleet.Report {
	state := fleet.Serving
	if one.loading {
		state = fleet.Loading
	}
	load := one.model.Load()
	load.AsOf = r.now
	return fleet.Report{
		Runner: one.name, Incarnation: one.incarnation, State: state, Connected: true, Role: "serve",
		Model: r.settings.Deployment.Model, WeightVersion: one.version, Load: load,
	}
}

func (r *run) publish(one *runner) {
	one.sequence++
	sequence, incarnation := one.sequence, one.incarnation
	added, removed := one.model.TakeCacheChanges()
	addedBlocks, removedBlocks := make([]cacheindex.Block, len(added)), make([]cacheindex.Block, len(removed))
	for i, block := range added {
		addedBlocks[i] = cacheindex.Block{Hash: block.Hash, Root: block.Root, Depth: block.Depth}
	}
	for i, block := range removed {
		removedBlocks[i] = cacheindex.Block{Hash: block.Hash, Root: block.Root, Depth: block.Depth}
	}
	report := r.report(one)
	if r.random.Float64() >= r.settings.Faults.EventLoss {
		r.after(r.settings.Faults.EventLag, func() { r.deliverEvent(one, incarnation, sequence, addedBlocks, removedBlocks) })
	}
	r.after(r.settings.Faults.LoadLag, func() { r.deliverReport(report, sequence) })
	r.after(publishInterval, func() { r.publish(one) })
}

func (r *run) deliverReport(report fleet.Report, sequence uint64) {
	report.Sequence = sequence
	for _, one := range r.routers {
		change := one.placer.Fleet.Apply(report)
		if change == fleet.ChangeIncarnation {
			one.placer.Index.Reset(cacheindex.Holder{Runner: report.Runner, Incarnation: report.Incarnation})
		}
		r.result.Messages++
	}
}

func (r *run) deliverEvent(one *runner, incarnation, sequence uint64, added, removed []cacheindex.Block) {
	if incarnation != one.incarnation {
		return
	}
	r.apply(one, one.tracker.ApplyEvent(sequence, added, removed))
	if one.tracker.NeedsResync(r.now) {
		r.resync(one)
	}
	for _, shard := range r.routers {
		shard.placer.Index.ExpireProvisional(r.now)
	}
}

func (r *run) resync(one *runner) {
	blocks := one.model.Blocks()
	list := make([]cacheindex.Block, len(blocks))
	for i, block := range blocks {
		list[i] = cacheindex.Block{Hash: block.Hash, Root: block.Root, Depth: block.Depth}
	}
	sequence := one.sequence
	r.after(20*time.Millisecond, func() { r.apply(one, one.tracker.ApplySnapshot(sequence, list)) })
}

func (r *run) apply(one *runner, changes cacheindex.Changes) {
	holder := cacheindex.Holder{Runner: one.name, Incarnation: one.incarnation}
	for _, block := range changes.Removed {
		r.shard(block.Root).placer.Index.Remove(holder, block.Hash)
	}
	for _, block := range changes.Added {
		r.shard(block.Root).placer.Index.Add(holder, block.Hash)
	}
	if len(changes.Added)+len(changes.Removed) > 0 {
		r.result.Messages++
	}
}
