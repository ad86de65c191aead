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

// event is an action at a point in virtual time.
type event struct {
	dueAt  time.Time
	order  uint64
	action func()
}

// eventQueue is a heap of events, earliest first. Events at the same time are in the order in
// which they were scheduled.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].dueAt.Equal(q[j].dueAt) {
		return q[i].dueAt.Before(q[j].dueAt)
	}
	return q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// emulatedRunner is an emulated engine together with the state that its home router, the one
// that follows its events, keeps about it.
type emulatedRunner struct {
	name           string
	index          int
	incarnation    uint64
	engine         *enginemodel.Engine
	stepRunning    bool
	loading        bool
	weightVersion  string
	eventSequence  uint64
	tracker        *cacheindex.Tracker
	activeRequests map[enginemodel.ID]*pendingRequest
}

// pendingRequest is a request that has not ended.
type pendingRequest struct {
	request workload.Request
	// promptText is the rendered prompt. Its chain and salt depend on weightVersion.
	promptText         string
	tier               int
	arrivedAt          time.Time
	chain              prefix.Chain
	salt               prefix.Salt
	weightVersion      string
	attempts           int
	cachedTokens       int
	firstTokenProduced bool
	refusals           int
	id                 enginemodel.ID
}

// emulatedRouter is an emulated router. Its placer holds a shard of the cache index, the runners'
// reports and the recent placements.
type emulatedRouter struct {
	placer *placement.Placer
}

// emulation is the state of a run.
type emulation struct {
	settings Settings
	random   *rand.Rand
	// now is the current virtual time.
	now         time.Time
	endTime     time.Time
	events      eventQueue
	eventCount  uint64
	runners     []*emulatedRunner
	routers     []*emulatedRouter
	runnerNames []string
	baseline    *baselinePolicy
	generator   *workload.Generator
	// weightVersion is the version that the runners are to serve.
	weightVersion string
	partitioned   bool
	requestCount  uint64
	// activeLoads is the number of runners that are loading weights.
	activeLoads int
	// familyOwners caches the result of indexOwner as an index into routers.
	familyOwners  map[uint64]int
	runnersByName map[string]*emulatedRunner
	result        *Result
}

// Run emulates a run and returns its measurements.
func Run(settings Settings) *Result {
	r := &emulation{
		settings:      settings,
		random:        rand.New(rand.NewPCG(settings.Seed, 7)),
		now:           time.Unix(0, 0),
		endTime:       time.Unix(0, 0).Add(settings.Duration),
		generator:     workload.NewGenerator(settings.Deployment.Workload, settings.Seed),
		weightVersion: "v1",
		result:        newResult(),
		familyOwners:  map[uint64]int{},
		runnersByName: map[string]*emulatedRunner{},
	}
	r.baseline = &baselinePolicy{policy: settings.Policy, random: r.random}
	for i := range settings.Deployment.Runners {
		newRunner := &emulatedRunner{name: fmt.Sprintf("r%d", i), index: i}
		r.runners = append(r.runners, newRunner)
		r.runnerNames = append(r.runnerNames, newRunner.name)
		r.runnersByName[newRunner.name] = newRunner
		r.startEngine(newRunner)
	}
	r.createRouters()
	for _, runner := range r.runners {
		r.publishChanges(runner)
	}
	r.scheduleFaults()
	r.scheduleArrival()
	for len(r.events) > 0 {
		next := heap.Pop(&r.events).(event)
		if next.dueAt.After(r.endTime) {
			break
		}
		r.now = next.dueAt
		next.action()
	}
	return r.result
}

// schedule adds an event that runs the action after the delay.
func (r *emulation) schedule(delay time.Duration, action func()) {
	r.eventCount++
	heap.Push(&r.events, event{dueAt: r.now.Add(delay), order: r.eventCount, action: action})
}

// createRouters replaces all routers by ones with empty state.
func (r *emulation) createRouters() {
	r.routers = nil
	for range r.settings.Routers {
		r.routers = append(r.routers, &emulatedRouter{placer: &placement.Placer{
			Index:         cacheindex.NewShard(10 * time.Second),
			Pending:       placement.NewPendingPlacements(time.Millisecond),
			Fleet:         fleet.NewTable(),
			RetrySchedule: admission.NewRetrySchedule(),
			Random:        r.random,
		}})
	}
}

// startEngine starts, or restarts, a runner's engine with an empty cache.
func (r *emulation) startEngine(runner *emulatedRunner) {
	runner.incarnation++
	runner.engine = enginemodel.New(r.settings.Engine)
	runner.weightVersion = r.weightVersion
	runner.stepRunning, runner.loading = false, false
	runner.tracker = cacheindex.NewTracker(r.settings.AnchorStride)
	runner.tracker.Restart(runner.incarnation)
	runner.activeRequests = map[enginemodel.ID]*pendingRequest{}
}

// inBurst reports whether the rate is currently doubled, which it is for one second in ten.
func (r *emulation) inBurst() bool { return r.now.Unix()%10 == 4 }

// scheduleArrival schedules the next request after an exponentially distributed interval; its
// arrival schedules the one after it. The rate outside of bursts is lower than the configured
// average, so that the average holds with the bursts.
func (r *emulation) scheduleArrival() {
	rate := r.settings.RequestsPerSecond
	if r.inBurst() {
		rate *= 2
	} else {
		rate *= 8.0 / 9
	}
	wait := time.Duration(-math.Log(1-r.random.Float64()) / rate * float64(time.Second))
	r.schedule(wait, func() {
		request := r.generator.Next()
		r.requestCount++
		pending := &pendingRequest{request: request, promptText: request.Prompt(), tier: tierOf(request), arrivedAt: r.now, id: enginemodel.ID{Request: fmt.Sprint(r.requestCount)}}
		r.result.recordOffered(pending.tier)
		r.place(pending)
		r.scheduleArrival()
	})
}

// tierOf returns the priority tier of a request; tier 0 is the highest. The largest tenant has
// the lowest tier, the next two have the middle one, and the small tenants, with about a sixth of
// the requests, have the highest. Batch requests are one tier lower.
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

// updateChain computes the request's chain of block hashes for the weight version, unless it has
// done so already.
func (r *emulation) updateChain(pending *pendingRequest, weightVersion string) {
	if pending.weightVersion == weightVersion {
		return
	}
	pending.weightVersion = weightVersion
	pending.salt = prefix.Scope{Tenant: pending.request.Tenant, Model: pending.request.Model, WeightVersion: weightVersion}.Salt()
	pending.chain = prefix.NewChain(pending.salt, pending.promptText, BlockBytes)
}

// place starts an attempt of the request on the runner that the policy chooses.
func (r *emulation) place(pending *pendingRequest) {
	target := r.chooseRunner(pending)
	if target == nil {
		return
	}
	pending.attempts++
	pending.id.Attempt = uint32(pending.attempts)
	if target.loading || target.weightVersion != pending.weightVersion {
		// The engine refuses the attempt without running it, because it now has other weights.
		r.schedule(time.Millisecond, func() { r.place(pending) })
		return
	}
	target.activeRequests[pending.id] = pending
	target.engine.Submit(enginemodel.Job{
		ID: pending.id, Chain: pending.chain, BlockTokens: BlockTokens, PromptTokens: prefix.EstimateTokens(len(pending.promptText)),
		TotalOutputTokens: pending.request.MaxTokens, Priority: pending.tier,
	})
	r.startStep(target)
}

// chooseRunner returns the runner that the policy chooses. It returns nil if the request was
// refused, or if no runner is available and a retry is scheduled.
func (r *emulation) chooseRunner(pending *pendingRequest) *emulatedRunner {
	r.updateChain(pending, r.activeWeightVersion())
	family := pending.chain.Family(pending.salt)
	if r.settings.Policy == Product || r.settings.Policy == Oracle {
		return r.chooseWithPlacer(pending, family)
	}
	var candidates []placement.Runner
	for _, runner := range r.runners {
		if !runner.loading && runner.weightVersion == pending.weightVersion {
			candidates = append(candidates, placement.Runner{Name: runner.name})
		}
	}
	index := r.baseline.choose(family, candidates, r.routers[0].placer.Fleet)
	if index < 0 {
		r.schedule(100*time.Millisecond, func() { r.place(pending) })
		return nil
	}
	return r.runnersByName[candidates[index].Name]
}

// activeWeightVersion returns the weight version to which requests are sent. It applies the
// product's own rule to the table of the first router; all routers have the same reports.
func (r *emulation) activeWeightVersion() string {
	return r.routers[0].placer.Fleet.ActiveVersion(r.settings.Deployment.Model, r.weightVersion, r.runnerNames)
}

// placementQuery returns the query that a router sends to the owner of the request's family.
func (r *emulation) placementQuery(pending *pendingRequest, family uint64) placement.Query {
	query := placement.Query{
		Request: placement.Request{
			Model: r.settings.Deployment.Model, WeightVersion: pending.weightVersion, PromptTokens: prefix.EstimateTokens(len(pending.promptText)),
			MaxTokens: pending.request.MaxTokens, Priority: pending.tier, MaxWait: r.settings.MaxWait[pending.tier],
		},
		Family: family, Anchors: pending.chain.Anchors(r.settings.AnchorStride), BlockTokens: BlockTokens, Ticket: prefix.PromptDigest(pending.salt, pending.promptText),
		Weights: placement.ScoreWeights{Uncached: r.settings.Deployment.HitWeight},
	}
	for _, runner := range r.runners {
		query.Runners = append(query.Runners, placement.Runner{Name: runner.name})
	}
	return query
}

// chooseWithPlacer chooses a runner with the product's placement code. During a partition, a
// third of the requests is placed without the index.
func (r *emulation) chooseWithPlacer(pending *pendingRequest, family uint64) *emulatedRunner {
	query := r.placementQuery(pending, family)
	var pick placement.Pick
	switch {
	case r.settings.Policy == Oracle:
		pick = r.pickWithExactState(pending, query)
	case r.partitioned && r.requestCount%3 == 0:
		pick = r.routers[int(r.requestCount)%len(r.routers)].placer.PlaceWithoutIndex(r.now, query)
	default:
		pick = r.indexOwner(family).placer.Place(r.now, query)
	}
	r.result.Lookups++
	if pick.Status == placement.Picked {
		return r.runnersByName[pick.Candidate.Name]
	}
	r.refuse(pending, pick)
	return nil
}

// indexOwner returns the router that owns the index shard of a prompt family.
func (r *emulation) indexOwner(family uint64) *emulatedRouter {
	owner, found := r.familyOwners[family]
	if !found {
		owner = int(rendezvous.Weight("owner", family) % uint64(len(r.routers)))
		r.familyOwners[family] = owner
	}
	return r.routers[owner]
}

// pickWithExactState picks a runner by the actual caches and loads of the engines.
func (r *emulation) pickWithExactState(pending *pendingRequest, query placement.Query) placement.Pick {
	candidates := make([]placement.Candidate, len(r.runners))
	for i, runner := range r.runners {
		candidates[i] = placement.Candidate{
			Name: runner.name, Report: r.runnerReport(runner),
			CachedTokens: min(runner.engine.CachedDepth(pending.chain)*BlockTokens, query.Request.PromptTokens),
		}
	}
	return placement.Choose(query.Request, candidates, query.Weights, r.random)
}

// refuse records the refusal of a request. The caller retries once, after the delay that the
// response demands. If there is no runner, the request waits instead.
func (r *emulation) refuse(pending *pendingRequest, pick placement.Pick) {
	if pick.Status == placement.NoRunner {
		r.schedule(100*time.Millisecond, func() { r.place(pending) })
		return
	}
	pending.refusals++
	r.result.recordRefusal(pending.tier, pending.refusals)
	if pending.refusals > 1 {
		return
	}
	r.schedule(pick.RetryAfter, func() {
		pending.arrivedAt = r.now
		r.result.Retries++
		r.place(pending)
	})
}

// startStep starts the next step of an idle engine that has work, and schedules the step's end.
func (r *emulation) startStep(runner *emulatedRunner) {
	if runner.stepRunning || !runner.engine.Busy() {
		return
	}
	runner.stepRunning = true
	duration, started := runner.engine.BeginStep()
	for _, output := range started {
		if pending := runner.activeRequests[output.ID]; pending != nil {
			pending.cachedTokens = output.CachedTokens
			r.result.recordStart(pending)
			r.reportPlacement(runner, pending)
		}
	}
	incarnation := runner.incarnation
	r.schedule(duration, func() {
		if runner.incarnation != incarnation {
			return
		}
		runner.stepRunning = false
		for _, output := range runner.engine.EndStep() {
			r.handleOutput(runner, output)
		}
		r.startStep(runner)
	})
}

// handleOutput records the first token and the completion of the output's request.
func (r *emulation) handleOutput(runner *emulatedRunner, output enginemodel.Output) {
	pending := runner.activeRequests[output.ID]
	if pending == nil {
		return
	}
	if !pending.firstTokenProduced {
		pending.firstTokenProduced = true
		r.result.recordFirstToken(pending, r.now.Sub(pending.arrivedAt))
	}
	if output.Finished {
		delete(runner.activeRequests, output.ID)
		r.result.recordCompletion(pending)
	}
}

// reportPlacement applies the placement result that the receiving router sends to the index owner
// when a request has started.
func (r *emulation) reportPlacement(runner *emulatedRunner, pending *pendingRequest) {
	if r.settings.Policy != Product {
		return
	}
	placer := r.indexOwner(pending.chain.Family(pending.salt)).placer
	placer.Fleet.UpdateLoad(runner.name, runner.incarnation, r.runnerReport(runner).Load)
	placer.Index.AddProvisional(r.now, cacheindex.Holder{Runner: runner.name, Incarnation: runner.incarnation}, pending.chain.Anchors(r.settings.AnchorStride))
	r.result.Messages++
}

// publishInterval is the interval at which an engine sends its changes to its home router.
const publishInterval = 100 * time.Millisecond

// runnerReport returns the current state and load of a runner.
func (r *emulation) runnerReport(runner *emulatedRunner) fleet.Report {
	state := fleet.Serving
	if runner.loading {
		state = fleet.Loading
	}
	load := runner.engine.Load()
	load.MeasuredAt = r.now
	return fleet.Report{
		Runner: runner.name, Incarnation: runner.incarnation, State: state, Connected: true, Role: "serve",
		Model: r.settings.Deployment.Model, WeightVersion: runner.weightVersion, Load: load,
	}
}

// publishChanges sends the runner's cache changes and report with the configured lag and losses,
// and schedules its next call. A lost event uses up its sequence number.
func (r *emulation) publishChanges(runner *emulatedRunner) {
	runner.eventSequence++
	sequence, incarnation := runner.eventSequence, runner.incarnation
	added, removed := runner.engine.TakeCacheChanges()
	addedBlocks, removedBlocks := make([]cacheindex.Block, len(added)), make([]cacheindex.Block, len(removed))
	for i, block := range added {
		addedBlocks[i] = cacheindex.Block{Hash: block.Hash, Root: block.Root, Depth: block.Depth}
	}
	for i, block := range removed {
		removedBlocks[i] = cacheindex.Block{Hash: block.Hash, Root: block.Root, Depth: block.Depth}
	}
	report := r.runnerReport(runner)
	if r.random.Float64() >= r.settings.Faults.EventLoss {
		r.schedule(r.settings.Faults.EventLag, func() { r.deliverEvent(runner, incarnation, sequence, addedBlocks, removedBlocks) })
	}
	r.schedule(r.settings.Faults.LoadLag, func() { r.deliverReport(report, sequence) })
	r.schedule(publishInterval, func() { r.publishChanges(runner) })
}

// deliverReport applies a runner's report on all routers.
func (r *emulation) deliverReport(report fleet.Report, sequence uint64) {
	report.Sequence = sequence
	for _, router := range r.routers {
		change := router.placer.Fleet.Apply(report)
		if change == fleet.ChangeIncarnation {
			router.placer.Index.Reset(cacheindex.Holder{Runner: report.Runner, Incarnation: report.Incarnation})
		}
		r.result.Messages++
	}
}

// deliverEvent applies the cache changes to the index, unless the engine has restarted since. It
// starts a resync if the tracker needs one, for example after a lost event.
func (r *emulation) deliverEvent(runner *emulatedRunner, incarnation, sequence uint64, added, removed []cacheindex.Block) {
	if incarnation != runner.incarnation {
		return
	}
	r.applyCacheChanges(runner, runner.tracker.ApplyEvent(sequence, added, removed))
	if runner.tracker.NeedsResync(r.now) {
		r.resyncIndex(runner)
	}
	for _, router := range r.routers {
		router.placer.Index.ExpireProvisional(r.now)
	}
}

// resyncIndex reads the engine's full list of cached blocks and applies it after 20 ms.
func (r *emulation) resyncIndex(runner *emulatedRunner) {
	blocks := runner.engine.Blocks()
	list := make([]cacheindex.Block, len(blocks))
	for i, block := range blocks {
		list[i] = cacheindex.Block{Hash: block.Hash, Root: block.Root, Depth: block.Depth}
	}
	sequence := runner.eventSequence
	r.schedule(20*time.Millisecond, func() { r.applyCacheChanges(runner, runner.tracker.ApplySnapshot(sequence, list)) })
}

// applyCacheChanges applies a runner's cache changes to the index shards of the blocks' owners.
func (r *emulation) applyCacheChanges(runner *emulatedRunner, changes cacheindex.Changes) {
	holder := cacheindex.Holder{Runner: runner.name, Incarnation: runner.incarnation}
	for _, block := range changes.Removed {
		r.indexOwner(block.Root).placer.Index.Remove(holder, block.Hash)
	}
	for _, block := range changes.Added {
		r.indexOwner(block.Root).placer.Index.Add(holder, block.Hash)
	}
	if len(changes.Added)+len(changes.Removed) > 0 {
		r.result.Messages++
	}
}
