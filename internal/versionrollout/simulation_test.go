package versionrollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Parameters of simulated rollouts.
const (
	simulatedShare  = 0.1
	simulatedSlack  = 50
	simulatedBad    = 0.3
	simulatedOldBad = 0.02
	simulatedLoad   = 3
	// slotLength is the resolution of arrivals of messages and answers.
	slotLength       = 5 * time.Millisecond
	slots            = 1024
	rollbackLimit    = 5 * time.Second
	badAnswersBefore = 50
	// leaderlessTime is how long no router leads after the loss of a leader.
	leaderlessTime = 2 * time.Second
	// finalPart is the time before the deadline in which the simulation advances by single slots.
	finalPart = 3 * time.Second
)

var simulatedRoutes = []string{"route 0", "route 1", "route 2"}

// fault is how the target version differs from the old one from some moment on.
type fault struct {
	name string
	// badShare returns the share of bad answers of the target version.
	badShare func(route, concurrent int) float64
	// slowBy multiplies the latency of the target version, 0 if it isn't slower.
	slowBy float64
	// hangs is set if requests get no answer.
	hangs bool
	// oldBadShare is the share of bad answers of the old version from the same moment on, and before of both.
	oldBadShare float64
	isGood      bool
}

func constant(share float64) func(int, int) float64 {
	return func(int, int) float64 { return share }
}

func faults() []fault {
	return []fault{
		{name: "good", badShare: constant(simulatedOldBad), oldBadShare: simulatedOldBad, isGood: true},
		{name: "bad", badShare: constant(simulatedBad), oldBadShare: simulatedOldBad},
		{name: "bad always", badShare: constant(1), oldBadShare: simulatedOldBad},
		{name: "bad under load", oldBadShare: simulatedOldBad, badShare: func(_, concurrent int) float64 {
			if concurrent >= simulatedLoad {
				return simulatedBad * 2
			}
			return simulatedOldBad
		}},
		{name: "bad on one route", oldBadShare: simulatedOldBad, badShare: func(route, _ int) float64 {
			if route == 1 {
				return simulatedBad * 2
			}
			return simulatedOldBad
		}},
		{name: "slow", badShare: constant(simulatedOldBad), oldBadShare: simulatedOldBad, slowBy: 4},
		{name: "hangs", badShare: constant(simulatedOldBad), oldBadShare: simulatedOldBad, hangs: true},
		{name: "both bad", badShare: constant(simulatedBad), oldBadShare: simulatedBad, isGood: true},
		{name: "slower by build", badShare: constant(simulatedOldBad), oldBadShare: simulatedOldBad, slowBy: 1.2, isGood: true},
	}
}

func faultNamed(name string) fault {
	for _, f := range faults() {
		if f.name == name {
			return f
		}
	}
	panic(name)
}

// scenario is what one simulated rollout is made of.
type scenario struct {
	seed     uint64
	fault    fault
	onset    float64
	placers  int
	rate     float64
	bursts   bool
	duration time.Duration
	// leaderLostAt is a share of the duration, negative if the leader stays. leaderCrashes is set if
	// its router is lost too.
	leaderLostAt  float64
	leaderCrashes bool
	// lossy loses and delays messages and fails writes. cutOffAt is when one placer is cut off from the
	// leader for a tenth of the duration, and restartAt when one is restarted, negative for never.
	lossy               bool
	cutOffAt, restartAt float64
}

func (s scenario) String() string {
	return fmt.Sprintf("seed %d: %s from %.2f, %d placers, %.1f/s, bursts %v, %v, leader lost at %.2f (crash %v), lossy %v, cut off at %.2f, restart at %.2f",
		s.seed, s.fault.name, s.onset, s.placers, s.rate, s.bursts, s.duration, s.leaderLostAt, s.leaderCrashes, s.lossy, s.cutOffAt, s.restartAt)
}

// policy is how the routers choose between the versions. Beside the controller of this package, others are run
// for comparison.
type policy interface {
	// advance lets time pass.
	advance(w *world)
	// take reports whether the request that the placer places goes to the target version.
	take(w *world, placer int) bool
	// ended notes the end of a request.
	ended(w *world, answer simulatedAnswer)
}

// simulatedAnswer is a response that is still to come. It is faulty if the target version's fault made it bad.
type simulatedAnswer struct {
	placer, incarnation int
	route               int
	target, bad, faulty bool
	latency             time.Duration
}

// world simulates the requests of a service. The policy decides where they go.
type world struct {
	scenario
	random               *rand.Rand
	now, start, deadline time.Time
	policy               policy
	// slots holds what arrives in each slot of time, in a ring.
	slots    [slots][]func()
	answers  [slots][]simulatedAnswer
	lastSlot int64
	// burstUntil and nextBurst bound the present and the next burst.
	burstUntil, nextBurst time.Time
	isDown                []bool
	incarnations          []int
	concurrent            int
	final                 State
	finalAt               time.Time

	requests, exposed, badAnswers int
	fiftiethBadAt, lastExposedAt  time.Time
}

func newWorld(s scenario) *world {
	start := time.Unix(1000, 0)
	w := &world{
		scenario: s, random: rand.New(rand.NewPCG(s.seed, 1)), now: start, start: start, deadline: start.Add(s.duration),
		isDown: make([]bool, s.placers), incarnations: make([]int, s.placers),
	}
	w.lastSlot = w.slot(start)
	w.nextBurst = start.Add(w.randomTime(s.duration / 2))
	return w
}

func (w *world) randomTime(limit time.Duration) time.Duration {
	return time.Duration(w.random.Float64() * float64(limit))
}

func (w *world) slot(at time.Time) int64 { return at.UnixNano() / int64(slotLength) }

func (w *world) slotAfter(delay time.Duration) int64 {
	slot := w.slot(w.now.Add(delay))
	return min(max(slot, w.lastSlot+1), w.lastSlot+slots-1) % slots
}

// after calls what happens after the delay.
func (w *world) after(delay time.Duration, what func()) {
	slot := w.slotAfter(delay)
	w.slots[slot] = append(w.slots[slot], what)
}

func (w *world) progress() float64 { return w.now.Sub(w.start).Seconds() / w.duration.Seconds() }

// step returns by how much time advances: coarsely in long rollouts, but finely near the end.
func (w *world) step() time.Duration {
	coarse := min(max(w.duration/500, slotLength), 100*time.Millisecond).Truncate(slotLength)
	if left := w.deadline.Sub(w.now); left > finalPart {
		return min(coarse, left-finalPart+slotLength)
	}
	return slotLength
}

// run plays until the deadline.
func (w *world) run(p policy) {
	w.policy = p
	for w.now.Before(w.deadline) {
		step := w.step()
		w.now = w.now.Add(step)
		for last := w.slot(w.now); w.lastSlot < last; {
			w.lastSlot++
			w.deliver(w.lastSlot % slots)
		}
		w.policy.advance(w)
		for range w.poisson(w.currentRate() * step.Seconds()) {
			w.place()
		}
	}
}

func (w *world) deliver(slot int64) {
	for _, answer := range w.answers[slot] {
		w.end(answer)
	}
	events := w.slots[slot]
	w.slots[slot] = nil
	w.answers[slot] = w.answers[slot][:0]
	for _, event := range events {
		event()
	}
}

func (w *world) end(answer simulatedAnswer) {
	if answer.target {
		w.concurrent--
	}
	w.policy.ended(w, answer)
	if answer.faulty {
		w.badAnswers++
		if w.badAnswers == badAnswersBefore {
			w.fiftiethBadAt = w.now
		}
	}
}

func (w *world) currentRate() float64 {
	if !w.bursts {
		return w.rate
	}
	if w.now.After(w.nextBurst) {
		w.burstUntil = w.now.Add(200*time.Millisecond + w.randomTime(min(5*time.Second, w.duration/4)))
		w.nextBurst = w.burstUntil.Add(w.randomTime(w.duration / 2))
	}
	if w.now.Before(w.burstUntil) {
		return 3 * w.rate
	}
	return w.rate
}

func (w *world) poisson(mean float64) int {
	if mean > 50 {
		return int(max(0, math.Round(mean+math.Sqrt(mean)*w.random.NormFloat64())))
	}
	count, product, limit := 0, w.random.Float64(), math.Exp(-mean)
	for product > limit {
		product *= w.random.Float64()
		count++
	}
	return count
}

func (w *world) place() {
	placer := w.random.IntN(w.placers)
	for tries := 0; w.isDown[placer]; tries++ {
		if tries == w.placers {
			return
		}
		placer = (placer + 1) % w.placers
	}
	w.requests++
	// After the end there are runners of one version only.
	target := w.final == Succeeded
	if w.final == Running {
		target = w.policy.take(w, placer)
	}
	answer := simulatedAnswer{placer: placer, incarnation: w.incarnations[placer], route: w.random.IntN(len(simulatedRoutes)), target: target}
	answer.latency = 20*time.Millisecond + w.randomTime(160*time.Millisecond)
	w.answer(answer)
}

func (w *world) answer(answer simulatedAnswer) {
	hasBegun := w.progress() >= w.onset
	share := simulatedOldBad
	if hasBegun {
		share = w.fault.oldBadShare
	}
	if answer.target {
		w.exposed++
		w.lastExposedAt = w.now
		w.concurrent++
		if hasBegun {
			share = w.fault.badShare(answer.route, w.concurrent)
			if w.fault.slowBy > 0 {
				answer.latency = time.Duration(float64(answer.latency) * w.fault.slowBy)
			}
		}
	}
	answer.bad = w.random.Float64() < share
	isSlow := answer.target && hasBegun && w.fault.slowBy >= slowFactor
	answer.faulty = answer.target && hasBegun && !w.fault.isGood && (answer.bad || isSlow)
	if answer.target && hasBegun && w.fault.hangs {
		return
	}
	slot := w.slotAfter(answer.latency)
	w.answers[slot] = append(w.answers[slot], answer)
}

// recordFinal notes that the store has the final state.
func (w *world) recordFinal(state State) {
	if w.final == Running {
		w.final, w.finalAt = state, w.now
	}
}

// isInBound reports whether the target version got no more requests than allowed.
func (w *world) isInBound() bool {
	return float64(w.exposed) <= simulatedShare*float64(w.requests)+simulatedSlack
}

// isStoppedInTime reports whether no request was sent to the target version too long after the 50th bad
// answer since its fault began.
func (w *world) isStoppedInTime() bool {
	return w.fiftiethBadAt.IsZero() || !w.lastExposedAt.After(w.fiftiethBadAt.Add(rollbackLimit))
}

// simulatedPlacer is a router that places requests.
type simulatedPlacer struct {
	exposure Exposure
	outcomes Outcomes
	requests uint64
	openOld  uint64
	nextAt   time.Time
	// interval is the time between reports that the last permit asked for.
	interval time.Duration
}

// accountPolicy runs the controller of this package with permits and a store.
type accountPolicy struct {
	placers    []*simulatedPlacer
	names      []string
	controller *Controller
	// leader is the placer that leads, and leads numbers the leaders. -1 is no leader.
	leader, leads int
	// stopsAt is when the leader's term ends, zero if it is renewed.
	stopsAt, nextLeaderAt time.Time
	nextStepAt            time.Time
	// nextNamesAt is when the leader learns anew which routers there are.
	nextNamesAt time.Time
	isWriting   bool
	decision    Decision
	// reserved is what the store holds.
	reserved uint64
	// stored is the number of requests that the store holds beside it.
	stored     uint64
	writes     int
	promotedAt time.Time
	// earliest and latest are the bounds of the order's time as routers know them.
	earliest, latest time.Time
	// overdrawn is set if more was ever exposed than reserved while the old runners ran.
	overdrawn bool
	lost      bool
}

func newAccountPolicy(w *world) *accountPolicy {
	p := &accountPolicy{
		leader: -1, earliest: w.start.Add(-w.randomTime(100 * time.Millisecond)), latest: w.start.Add(w.randomTime(50 * time.Millisecond)),
	}
	for i := range w.placers {
		p.names = append(p.names, fmt.Sprint(i))
		p.placers = append(p.placers, &simulatedPlacer{nextAt: w.start.Add(w.randomTime(usualInterval)), interval: usualInterval})
	}
	p.lead(w, 0)
	return p
}

func (p *accountPolicy) lead(w *world, placer int) {
	p.leader, p.stopsAt, p.isWriting, p.decision = placer, time.Time{}, false, Decision{}
	p.nextStepAt, p.nextNamesAt = w.now, w.now
	p.leads++
	p.controller = NewController(Config{
		Order:    Order{Service: "s", Target: "v2", Duration: w.duration},
		MaxShare: simulatedShare, Slack: simulatedSlack, EarliestStart: p.earliest, LatestStart: p.latest, Reserved: p.reserved, Requests: p.stored, LeaderSince: w.now,
	})
	p.controller.SetCapacity(Capacity{TargetRunners: 4, TargetSlots: 4})
}

func (p *accountPolicy) setSchedulers(w *world) {
	names := make([]string, 0, len(p.placers))
	for i := range p.placers {
		if i != p.leader && !w.isDown[i] {
			names = append(names, p.names[i])
		}
	}
	p.controller.SetSchedulers(w.now, names)
}

func (p *accountPolicy) advance(w *world) {
	p.inject(w)
	if p.leader < 0 && !p.nextLeaderAt.IsZero() && !w.now.Before(p.nextLeaderAt) {
		next := 0
		for next < len(p.placers) && w.isDown[next] {
			next++
		}
		p.lead(w, next%len(p.placers))
	}
	for i, placer := range p.placers {
		if !w.isDown[i] && !w.now.Before(placer.nextAt) {
			placer.nextAt = w.now.Add(placer.interval)
			p.report(w, i)
		}
	}
	if p.leader >= 0 && !p.isWriting && !w.now.Before(p.nextStepAt) {
		p.stepLeader(w)
	}
	if w.final == Running {
		exposed := uint64(w.exposed)
		p.overdrawn = p.overdrawn || exposed > p.reserved && w.now.Before(p.latest.Add(w.duration))
	}
}

// inject lets the scenario's failures happen.
func (p *accountPolicy) inject(w *world) {
	progress := w.progress()
	if w.leaderLostAt >= 0 && progress >= w.leaderLostAt && !p.lost {
		p.lost = true
		p.nextLeaderAt = w.now.Add(leaderlessTime)
		if w.leaderCrashes {
			p.restart(w, p.leader, leaderlessTime/2)
			p.leader = -1
		} else {
			p.stopsAt = w.now.Add(leaderlessTime / 2)
		}
	}
	if p.leader >= 0 && !p.stopsAt.IsZero() && !w.now.Before(p.stopsAt) {
		p.leader = -1
	}
	if w.restartAt >= 0 && progress >= w.restartAt {
		w.restartAt = -1
		if last := w.placers - 1; last != p.leader && !w.isDown[last] {
			p.restart(w, last, time.Second)
		}
	}
}

// restart loses a router, which comes back without its counts.
func (p *accountPolicy) restart(w *world, placer int, after time.Duration) {
	w.isDown[placer] = true
	w.incarnations[placer]++
	w.after(after, func() {
		w.isDown[placer] = false
		p.placers[placer] = &simulatedPlacer{nextAt: w.now, interval: usualInterval}
	})
}

func (p *accountPolicy) stepLeader(w *world) {
	if !w.now.Before(p.nextNamesAt) {
		p.nextNamesAt = w.now.Add(200 * time.Millisecond)
		p.setSchedulers(w)
	}
	now, source := w.now, p.source(w, p.leader)
	p.controller.Report(now, source, p.reportOf(w, p.leader))
	p.decision = p.controller.Step(now)
	if p.decision.Phase == Promoting && p.promotedAt.IsZero() {
		p.promotedAt = now
	}
	p.placers[p.leader].exposure.SetPermit(now, p.controller.Permit(now, source))
	p.nextStepAt = now.Add(p.decision.WakeAfter)
	if p.decision.Reserve > 0 || p.decision.State.IsFinal() {
		p.write(w)
	}
}

// write stores the decision. The leader takes no step meanwhile. A leader that has lost its term can't
// write, but a write that it began before may still arrive.
func (p *accountPolicy) write(w *world) {
	if !p.stopsAt.IsZero() || w.final != Running {
		return
	}
	decision, leads, requests := p.decision, p.leads, p.controller.Totals().Requests
	p.isWriting = true
	p.writes++
	fails := w.lossy && w.random.IntN(20) == 0
	isAccepted := !fails || w.random.IntN(2) == 0
	w.after(5*time.Millisecond+w.randomTime(95*time.Millisecond), func() {
		if isAccepted && leads == p.leads {
			p.reserved, p.stored = max(p.reserved, decision.Reserve), max(p.stored, requests)
			w.recordFinal(decision.State)
		}
		if leads != p.leads || p.leader < 0 {
			return
		}
		p.isWriting, p.nextStepAt = false, w.now
		if !fails {
			p.controller.RecordReserved(decision.Reserve)
		}
	})
}

func (p *accountPolicy) source(w *world, placer int) Source {
	return Source{Router: p.names[placer], Incarnation: uint64(w.incarnations[placer])}
}

func (p *accountPolicy) reportOf(w *world, i int) Report {
	placer := p.placers[i]
	report := Report{Requests: placer.requests, Exposed: placer.exposure.Exposed(), Promoted: placer.exposure.IsPromoted(w.now), OpenOld: placer.openOld}
	placer.outcomes.AddTo(&report)
	return report
}

// delay returns how long a message takes, and false if it is lost.
func (p *accountPolicy) delay(w *world, placer int) (time.Duration, bool) {
	if w.cutOffAt >= 0 && placer == w.placers-1 && w.progress() >= w.cutOffAt && w.progress() < w.cutOffAt+0.1 {
		return 0, false
	}
	delay := time.Millisecond + w.randomTime(10*time.Millisecond)
	if w.lossy {
		switch w.random.IntN(20) {
		case 0:
			return 0, false
		case 1:
			return w.randomTime(1500 * time.Millisecond), true
		}
	}
	return delay, true
}

// report sends the placer's report to the leader, and the permit back.
func (p *accountPolicy) report(w *world, i int) {
	if i == p.leader || p.leader < 0 || w.final != Running {
		return
	}
	there, arrives := p.delay(w, i)
	if !arrives {
		return
	}
	report, source, sentAt, placer, leads := p.reportOf(w, i), p.source(w, i), w.now, p.placers[i], p.leads
	w.after(there, func() {
		if p.leader < 0 || p.leads != leads || w.final != Running {
			return
		}
		p.controller.Report(w.now, source, report)
		permit := p.controller.Permit(w.now, source)
		if back, arrives := p.delay(w, i); arrives {
			w.after(back, func() {
				placer.exposure.SetPermit(sentAt, permit)
				if permit.ReportAfter > 0 {
					placer.interval = permit.ReportAfter
					placer.nextAt = minTime(placer.nextAt, w.now.Add(permit.ReportAfter))
				}
			})
		}
	})
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (p *accountPolicy) take(w *world, i int) bool {
	placer := p.placers[i]
	target := placer.exposure.Take(w.now)
	placer.exposure.CountRequest(w.now)
	placer.requests++
	if !target {
		placer.openOld++
	}
	return target
}

func (p *accountPolicy) ended(w *world, answer simulatedAnswer) {
	if answer.incarnation != w.incarnations[answer.placer] {
		return
	}
	result := Answered
	if answer.bad {
		result = AnswerFailed
	}
	if !answer.target {
		p.placers[answer.placer].openOld--
	}
	p.placers[answer.placer].outcomes.Record(Completion{
		Route: simulatedRoutes[answer.route], IsTarget: answer.target, Runner: "r", Result: result, Latency: answer.latency,
	})
}
