package quarantine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The simulation of a fleet in which some prompt parts crash the runners that begin to answer. Each router
// has a detector of its own. Records travel as between real routers: changes that a router detects go to
// the seeds, seeds push what changed to all routers, and routers pull from a seed what they missed.

// partScenario describes a fleet, its load and its faults.
type partScenario struct {
	name             string
	routers, runners int
	// soundRate is the number of sound requests per second, and badRate that of requests with each bad part.
	soundRate, badRate float64
	// badParts are the IDs of the parts that crash runners. Each is the second part of its requests, or
	// the first one if badFirst is set.
	badParts []string
	badFirst bool
	// requestsFrom is when the first requests with bad parts are sent, and badFrom when these begin to crash
	// runners; they are sound before.
	requestsFrom, badFrom time.Duration
	// tenants is the number of tenants that send requests with bad parts, at least one.
	tenants int
	// resumable makes the routers send a request whose runner crashed to a second one.
	resumable bool
	// waveInterval is how often three in ten runners crash for another reason, 0 for never.
	waveInterval time.Duration
	// lossRate is the share of messages that are lost.
	lossRate float64
	// lostSeeds is the number of seeds that are lost at the fourth crash.
	lostSeeds int
	// cutRouter is set if the last router reaches no other until cutUntil.
	cutRouter bool
	// runTime is the mean time of an answer.
	runTime time.Duration
}

var partScenarios = []partScenario{
	{name: "3 routers", routers: 3, runners: 8, soundRate: 30, requestsFrom: afterWarmUp, badRate: 8},
	{name: "7 routers", routers: 7, runners: 18, soundRate: 90, requestsFrom: afterWarmUp, badRate: 1.2},
	{name: "7 routers, first part", routers: 7, runners: 18, soundRate: 90, requestsFrom: afterWarmUp, badRate: 8, badFirst: true},
	{name: "7 routers, resumable", routers: 7, runners: 18, soundRate: 90, requestsFrom: afterWarmUp, badRate: 8, resumable: true},
	{name: "7 routers, sound before", routers: 7, runners: 18, soundRate: 90, badRate: 8, badFrom: afterWarmUp},
	{name: "7 routers, first part, resumable, sound before", routers: 7, runners: 18, soundRate: 90, badRate: 8, badFirst: true, resumable: true, badFrom: afterWarmUp},
	{name: "7 routers, slow answers, sound before", routers: 7, runners: 18, soundRate: 60, badRate: 4, badFrom: afterWarmUp, runTime: time.Second},
	{name: "7 routers, two parts", routers: 7, runners: 18, soundRate: 90, requestsFrom: afterWarmUp, badRate: 4, badParts: []string{"bad-1", "bad-2"}},
	{name: "7 routers, two parts, from the start", routers: 7, runners: 18, soundRate: 90, badRate: 4, badParts: []string{"bad-1", "bad-2"}},
	{name: "60 routers, from the start, waves", routers: 60, runners: 90, soundRate: 800, badRate: 8, waveInterval: 5 * time.Second},
	{name: "7 routers, two tenants", routers: 7, runners: 18, soundRate: 90, requestsFrom: afterWarmUp, badRate: 8, tenants: 2},
	{name: "7 routers, waves", routers: 7, runners: 18, soundRate: 90, requestsFrom: afterWarmUp, badRate: 2, waveInterval: 3500 * time.Millisecond},
	{name: "7 routers, waves, sound before", routers: 7, runners: 18, soundRate: 90, badRate: 2, waveInterval: 3500 * time.Millisecond, badFrom: afterWarmUp},
	{name: "7 routers, waves alone", routers: 7, runners: 18, soundRate: 90, waveInterval: 2 * time.Second},
	{name: "7 routers, waves alone, slow answers", routers: 7, runners: 18, soundRate: 60, waveInterval: 3500 * time.Millisecond, runTime: time.Second},
	{name: "7 routers, a router is cut off", routers: 7, runners: 18, soundRate: 90, requestsFrom: afterWarmUp, badRate: 8, cutRouter: true},
	{name: "60 routers", routers: 60, runners: 90, soundRate: 800, requestsFrom: afterWarmUp, badRate: 8},
	{name: "60 routers, sound before, waves", routers: 60, runners: 90, soundRate: 800, badRate: 8, badFrom: afterWarmUp, waveInterval: 5 * time.Second},
	{name: "60 routers, a seed is lost", routers: 60, runners: 90, soundRate: 800, requestsFrom: afterWarmUp, badRate: 8, lostSeeds: 1, lossRate: 0.02},
	{name: "400 routers", routers: 400, runners: 800, soundRate: 3000, requestsFrom: afterWarmUp, badRate: 8, lossRate: 0.01},
	{name: "985 routers, two parts", routers: 985, runners: 2000, soundRate: 4000, requestsFrom: afterWarmUp, badRate: 8, badParts: []string{"bad-1", "bad-2"}, lossRate: 0.01},
	{name: "985 routers, sound before, two seeds are lost", routers: 985, runners: 2000, soundRate: 4000, badRate: 8, badFrom: afterWarmUp, lostSeeds: 2, lossRate: 0.01},
}

// Parameters of the simulation of parts.
const (
	partSeeds     = 3
	partSimTime   = 18 * time.Second
	maxAnswerTime = 6 * time.Second
	// afterWarmUp is when the routers know which parts are sound.
	afterWarmUp     = 6 * time.Second
	prefillTime     = 30 * time.Millisecond
	crashDelay      = 40 * time.Millisecond
	partRestart     = 3 * time.Second
	networkDelay    = 2 * time.Millisecond
	batchDelay      = 10 * time.Millisecond
	detectionDelay  = 8 * time.Millisecond
	pullInterval    = 300 * time.Millisecond
	pullLimit       = 64
	cutUntil        = 8 * time.Second
	waveShare       = 0.3
	maxSimHold      = 750 * time.Millisecond
	popularFirsts   = 4
	sharedSeconds   = 40
	maxCrashesPart  = 5
	maxLatePart     = 3
	recordBytes     = 60
	crashBytes      = 40
	minWholePercent = 98
)

// partEvent is something that happens at a time.
type partEvent struct {
	at     time.Time
	number int
	run    func()
}

type partEvents []partEvent

func (e partEvents) Len() int { return len(e) }
func (e partEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].number < e[j].number
}
func (e partEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *partEvents) Push(x any)   { *e = append(*e, x.(partEvent)) }
func (e *partEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// partRequest is one request and its current run.
type partRequest struct {
	content   Subject
	parts     []string
	bad       string
	router    *partRouter
	attempts  int
	heldSince time.Time
	run       *Run
	// suspected is set if the request was suspect when it was last sent.
	suspected bool
	// counted is set if the request arrived early enough to be answered within the simulated time.
	counted bool
}

// partRouter is one router.
type partRouter struct {
	number   int
	detector *Detector
	lost     bool
	// outbox holds the subjects whose records are to be sent, to the seeds if local.
	outbox  map[Subject]bool
	local   map[Subject]bool
	sending bool
	pulled  [partSeeds]uint64
}

type partRunner struct {
	runner      Runner
	requests    []*partRequest
	availableAt time.Time
	suspect     Subject
}

// partResult holds the measurements.
type partResult struct {
	crashes                    map[string]int
	late                       map[string]int
	cutCrashes                 int
	sound, whole, refused      int
	messages, bytes, maxRecord int
}

type partSimulation struct {
	partScenario
	random  *rand.Rand
	now     time.Time
	start   time.Time
	events  partEvents
	queued  int
	routers []*partRouter
	fleet   []*partRunner
	nextID  int
	// crashTimes holds when each bad part crashed runners.
	crashTimes map[string][]time.Time
	partResult
}

func newPartSimulation(sc partScenario, seed uint64) *partSimulation {
	if sc.badParts == nil && sc.badRate > 0 {
		sc.badParts = []string{"bad-1"}
	}
	sc.tenants = max(sc.tenants, 1)
	if sc.runTime == 0 {
		sc.runTime = 200 * time.Millisecond
	}
	start := time.Unix(10_000, 0)
	s := &partSimulation{partScenario: sc, random: rand.New(rand.NewPCG(seed, 9)), now: start, start: start, crashTimes: map[string][]time.Time{}}
	s.partResult = partResult{crashes: map[string]int{}, late: map[string]int{}}
	for i := range sc.routers {
		s.routers = append(s.routers, &partRouter{number: i, detector: NewDetector(Config{Probes: i < partSeeds, TrialKey: uint64(i + 1), StartedAt: start}), outbox: map[Subject]bool{}, local: map[Subject]bool{}})
	}
	for i := range sc.runners {
		s.fleet = append(s.fleet, &partRunner{runner: Runner{ID: fmt.Sprint(i), Incarnation: 1}})
	}
	return s
}

func (s *partSimulation) after(delay time.Duration, run func()) {
	s.queued++
	heap.Push(&s.events, partEvent{at: s.now.Add(delay), number: s.queued, run: run})
}

// jitter returns a random duration between half and one and a half of the mean.
func (s *partSimulation) jitter(mean time.Duration) time.Duration {
	return time.Duration((0.5 + s.random.Float64()) * float64(mean))
}

// interval returns a random time between two events of the rate.
func (s *partSimulation) interval(rate float64) time.Duration {
	return time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
}

func (s *partSimulation) simulate() partResult {
	s.repeat(func() time.Duration { return s.interval(s.soundRate) }, func() { s.arrive(s.newSoundRequest()) })
	for _, part := range s.badParts {
		s.after(s.requestsFrom, func() {
			s.repeat(func() time.Duration { return s.interval(s.badRate) }, func() { s.arrive(s.newBadRequest(part)) })
		})
	}
	if s.waveInterval > 0 {
		s.repeat(func() time.Duration { return s.waveInterval }, s.crashWave)
	}
	for _, r := range s.routers {
		s.repeat(func() time.Duration { return s.jitter(pullInterval) }, func() { s.pull(r) })
	}
	for end := s.start.Add(partSimTime); len(s.events) > 0 && s.events[0].at.Before(end); {
		next := heap.Pop(&s.events).(partEvent)
		s.now = next.at
		next.run()
	}
	return s.partResult
}

// repeat runs the action after each interval.
func (s *partSimulation) repeat(interval func() time.Duration, action func()) {
	s.after(interval(), func() {
		action()
		s.repeat(interval, action)
	})
}

func (s *partSimulation) newSoundRequest() *partRequest {
	first, second := s.random.IntN(popularFirsts), int(float64(sharedSeconds)*s.random.Float64()*s.random.Float64())
	tenant := s.random.IntN(s.tenants + 1)
	return s.newRequest(tenant, fmt.Sprint("first-", first), fmt.Sprint("second-", second))
}

func (s *partSimulation) newBadRequest(part string) *partRequest {
	tenant := s.random.IntN(s.tenants)
	first, second := "first-0", part
	if s.badFirst {
		first, second = part, "second-0"
	}
	request := s.newRequest(tenant, first, second)
	request.bad = part
	return request
}

func (s *partSimulation) newRequest(tenant int, parts ...string) *partRequest {
	s.nextID++
	return &partRequest{content: Subject{Tenant: fmt.Sprint("t", tenant), Digest: uint64(s.nextID)}, parts: parts}
}

// isBad reports whether the request crashes its runner now.
func (s *partSimulation) isBad(request *partRequest) bool {
	return request.bad != "" && s.now.Sub(s.start) >= s.badFrom
}

// countsAsSound reports whether the outcome of the request counts for sound requests.
func (request *partRequest) countsAsSound() bool { return request.bad == "" && request.counted }

func (s *partSimulation) arrive(request *partRequest) {
	for request.router == nil || request.router.lost {
		request.router = s.routers[s.random.IntN(len(s.routers))]
	}
	request.counted = s.now.Sub(s.start) < partSimTime-maxAnswerTime
	if request.countsAsSound() {
		s.sound++
	}
	s.send(request)
}

// send sends the request to a runner, unless it is refused or held.
func (s *partSimulation) send(request *partRequest) {
	verdict := request.router.detector.EvaluateRequest(s.now, Request{Content: request.content, Parts: request.parts})
	switch verdict.State {
	case Quarantined:
		s.refuse(request)
		return
	case Held:
		if request.heldSince.IsZero() {
			request.heldSince = s.now
		}
		if s.now.Sub(request.heldSince) < maxSimHold {
			s.after(min(verdict.Until.Sub(s.now), 20*time.Millisecond), func() { s.send(request) })
			return
		}
	case OnTrial:
		if s.hasOpenRun(request.router, verdict.Subject) {
			s.refuse(request)
			return
		}
	}
	r := s.place(verdict)
	if r == nil {
		// No runner is left: neither whole nor refused for its parts.
		return
	}
	request.suspected = verdict.State != Clear
	if request.suspected {
		r.suspect = verdict.Subject
	}
	s.begin(request, r)
}

func (s *partSimulation) refuse(request *partRequest) {
	if request.countsAsSound() {
		s.refused++
	}
}

func (s *partSimulation) hasOpenRun(router *partRouter, subject Subject) bool {
	for _, r := range s.fleet {
		if slices.ContainsFunc(r.requests, func(other *partRequest) bool { return other.router == router && other.run.Includes(subject) }) {
			return true
		}
	}
	return false
}

// place chooses a runner at random, or for a suspected request the one with the same suspect or the fewest requests.
func (s *partSimulation) place(verdict Verdict) *partRunner {
	var available []*partRunner
	for range 8 {
		if r := s.fleet[s.random.IntN(len(s.fleet))]; !r.availableAt.After(s.now) {
			available = append(available, r)
		}
	}
	if len(available) == 0 {
		return nil
	}
	if verdict.State == Clear {
		return available[0]
	}
	for _, r := range s.fleet {
		if r.suspect == verdict.Subject && len(r.requests) > 0 && !r.availableAt.After(s.now) {
			return r
		}
	}
	return slices.MinFunc(available, func(a, b *partRunner) int { return len(a.requests) - len(b.requests) })
}

// begin starts a run on the runner.
func (s *partSimulation) begin(request *partRequest, r *partRunner) {
	run := &Run{Content: request.content, Parts: request.parts, Runner: r.runner, Service: "s", SentAt: s.now}
	request.run = run
	request.attempts++
	r.requests = append(r.requests, request)
	if request.bad != "" && s.isBad(request) {
		s.countLate(request)
	}
	isCurrent := func() bool { return request.run == run && r.runner == run.Runner }
	s.after(prefillTime, func() {
		if !isCurrent() {
			return
		}
		run.BeganAt = s.now
		if s.isBad(request) {
			s.after(crashDelay, func() {
				if isCurrent() {
					s.recordCrash(request)
					s.crash(r)
				}
			})
			return
		}
		s.after(time.Duration((0.3+0.7*s.random.ExpFloat64())*float64(s.runTime)), func() {
			if isCurrent() {
				s.complete(request, r)
			}
		})
	})
}

// countLate counts a send of a bad part that is later than lateSendDelay after its fifth crash, unless its
// router is cut off.
func (s *partSimulation) countLate(request *partRequest) {
	crashes := s.crashTimes[request.bad]
	if len(crashes) >= maxCrashesPart && s.now.Sub(crashes[maxCrashesPart-1]) > lateSendDelay && !s.isCut(request.router) {
		s.late[request.bad]++
	}
}

// recordCrash counts a crash, unless the router of the request was cut off and could not know of the others.
func (s *partSimulation) recordCrash(request *partRequest) {
	part := request.bad
	if s.isCut(request.router) {
		s.cutCrashes++
		return
	}
	s.crashes[part]++
	s.crashTimes[part] = append(s.crashTimes[part], s.now)
	if s.lostSeeds > 0 && s.crashes[part] == 4 {
		for _, r := range s.routers[:s.lostSeeds] {
			r.lost = true
		}
	}
}

func (s *partSimulation) complete(request *partRequest, r *partRunner) {
	r.requests = slices.DeleteFunc(r.requests, func(other *partRequest) bool { return other == request })
	if request.countsAsSound() {
		s.whole++
	}
	s.publish(request.router, request.router.detector.RunnerSurvived(s.now, request.run), true)
}

func (s *partSimulation) crashWave() {
	for _, r := range s.fleet {
		if s.random.Float64() < waveShare {
			s.crash(r)
		}
	}
}

// crash restarts a runner. Each router detects the crash if it had requests there.
func (s *partSimulation) crash(r *partRunner) {
	byRouter, lost := map[*partRouter][]*Run{}, r.requests
	var order []*partRouter
	for _, request := range lost {
		request.run.crashedAt = s.now.Add(networkDelay)
		if byRouter[request.router] == nil {
			order = append(order, request.router)
		}
		byRouter[request.router] = append(byRouter[request.router], request.run)
		request.run = nil
	}
	r.requests, r.availableAt, r.suspect = nil, s.now.Add(s.jitter(partRestart)), Subject{}
	r.runner.Incarnation++
	for _, router := range order {
		runs := byRouter[router]
		s.after(networkDelay+s.jitter(detectionDelay), func() { s.publish(router, router.detector.RunnerCrashed(s.now, runs...), true) })
	}
	for _, request := range lost {
		// The router sends a resumable request to a second runner. Callers repeat other sound requests.
		if request.attempts < 2 && (s.resumable || request.bad == "") {
			delay := networkDelay + time.Millisecond
			if request.suspected {
				// The router waits until the crash is confirmed.
				delay += 2 * detectionDelay
			}
			s.after(delay, func() { s.send(request) })
		}
	}
}

func (s *partSimulation) isCut(router *partRouter) bool {
	return s.cutRouter && router.number == len(s.routers)-1 && s.now.Sub(s.start) < cutUntil
}

// publish queues changed records: local changes for the seeds, and all changes of a seed for all routers.
func (s *partSimulation) publish(router *partRouter, changed []Record, local bool) {
	for _, record := range changed {
		router.maxRecords(s)
		if router.number < partSeeds {
			router.outbox[record.Subject] = true
		}
		if local {
			router.local[record.Subject] = true
		}
	}
	if len(changed) == 0 || router.sending {
		return
	}
	router.sending = true
	s.after(batchDelay, func() { s.flush(router) })
}

func (r *partRouter) maxRecords(s *partSimulation) {
	s.maxRecord = max(s.maxRecord, len(r.detector.records))
}

func (s *partSimulation) flush(router *partRouter) {
	router.sending = false
	outbox, local := router.outbox, router.local
	router.outbox, router.local = map[Subject]bool{}, map[Subject]bool{}
	for _, seed := range s.routers[:partSeeds] {
		if seed != router {
			s.transmit(router, seed, router.recordsOf(local))
		}
	}
	if router.number >= partSeeds {
		return
	}
	records := router.recordsOf(outbox)
	for _, other := range s.routers[partSeeds:] {
		s.transmit(router, other, records)
	}
}

// recordsOf returns the current records of the subjects in a fixed order.
func (r *partRouter) recordsOf(subjects map[Subject]bool) (records []Record) {
	for subject := range subjects {
		if record, found := r.detector.Record(subject); found {
			records = append(records, record)
		}
	}
	slices.SortFunc(records, func(a, b Record) int {
		return cmpSubjects(a.Subject, b.Subject)
	})
	return records
}

func cmpSubjects(a, b Subject) int {
	if x, y := a.Tenant+a.String(), b.Tenant+b.String(); x < y {
		return -1
	} else if x > y {
		return 1
	}
	return 0
}

// transmit delivers the records to another router.
func (s *partSimulation) transmit(from, to *partRouter, records []Record) {
	if len(records) == 0 || from.lost || s.isCut(from) || s.isCut(to) {
		return
	}
	s.messages++
	for _, record := range records {
		s.bytes += recordBytes + len(record.Crashes)*crashBytes
	}
	if s.random.Float64() < s.lossRate {
		return
	}
	s.after(networkDelay, func() {
		if !to.lost {
			s.merge(to, records)
		}
	})
}

// merge applies records that the router received.
func (s *partSimulation) merge(router *partRouter, records []Record) {
	changed, refuted := router.detector.Merge(s.now, records)
	s.publish(router, changed, false)
	s.publish(router, refuted, true)
}

// pull gets the records that a router missed from one of the seeds.
func (s *partSimulation) pull(router *partRouter) {
	number := s.random.IntN(partSeeds)
	seed := s.routers[number]
	if seed == router || seed.lost || router.lost || s.isCut(router) {
		return
	}
	records, reached := seed.detector.ChangedSince(router.pulled[number], pullLimit)
	router.pulled[number] = reached
	if len(records) > 0 {
		s.merge(router, records)
	}
}

// simulatedParts holds the results of the scenarios by name and seed, which several tests check.
var simulatedParts sync.Map

// simulateParts returns the result of the scenario with the seed.
func simulateParts(sc partScenario, seed int) partResult {
	simulate := sync.OnceValue(func() partResult { return newPartSimulation(sc, uint64(seed)).simulate() })
	known, _ := simulatedParts.LoadOrStore(fmt.Sprint(sc.name, " ", seed), simulate)
	return known.(func() partResult)()
}

// forEachPartSeed simulates each scenario with several seeds and passes the results to check.
func forEachPartSeed(t *testing.T, check func(g *WithT, sc partScenario, got partResult)) {
	for _, sc := range partScenarios {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			seeds := partSeedCount()
			if sc.routers > 100 {
				seeds = 1
			}
			for seed := range seeds {
				got := simulateParts(sc, seed)
				t.Logf("%s, seed %d: crashes %v and %d cut off, late %v; sound %d, whole %.4f, refused %d; %d messages, %d kB, at most %d records",
					sc.name, seed, got.crashes, got.cutCrashes, got.late, got.sound, float64(got.whole)/float64(got.sound), got.refused, got.messages, got.bytes/1000, got.maxRecord)
				check(NewWithT(t), sc, got)
			}
		})
	}
}

// Guards against a part that crashes runners without end, against sound requests that are refused for what
// they share with it or for crashes of another cause, and against routers that never learn of the crashes.
func TestPoisonPartsAreContained(t *testing.T) {
	forEachPartSeed(t, func(g *WithT, sc partScenario, got partResult) {
		for part, late := range got.late {
			g.Expect(late).To(BeNumerically("<=", maxLatePart), part)
		}
		g.Expect(got.cutCrashes).To(BeNumerically("<=", maxCrashesPart))
		g.Expect(200 * got.refused).To(BeNumerically("<", got.sound))
		if sc.waveInterval == 0 {
			g.Expect(100 * got.whole).To(BeNumerically(">=", minWholePercent*got.sound))
		}
	})
}

// Guards against a part that crashes more runners than are needed to identify it.
func TestPoisonPartsCrashFewRunners(t *testing.T) {
	forEachPartSeed(t, func(g *WithT, _ partScenario, got partResult) {
		for part, crashes := range got.crashes {
			g.Expect(crashes).To(BeNumerically("<=", maxCrashesPart), part)
		}
	})
}

// partSeedCount returns how many seeds of each small fleet are simulated. PART_SEEDS overrides it for runs by hand.
func partSeedCount() int {
	if count, err := strconv.Atoi(os.Getenv("PART_SEEDS")); err == nil {
		return count
	}
	return 4
}
