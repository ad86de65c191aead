package versionrollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// shareQuality is how a version of a simulated service answers.
type shareQuality struct {
	name string
	// badShare returns the share of bad answers of the target version.
	badShare func(progress float64, route string, concurrent int) float64
	// oldBadShare is the share of bad answers of the old version.
	oldBadShare float64
	isGood      bool
}

const (
	simulatedTick = 10 * time.Millisecond
)

func shareQualities() []shareQuality {
	return []shareQuality{
		{name: "good", badShare: func(float64, string, int) float64 { return simulatedOldBad }, oldBadShare: simulatedOldBad, isGood: true},
		{name: "bad at once", badShare: func(float64, string, int) float64 { return simulatedBad }, oldBadShare: simulatedOldBad},
		{name: "bad late", oldBadShare: simulatedOldBad, badShare: func(progress float64, _ string, _ int) float64 {
			if progress > 0.35 {
				return simulatedBad
			}
			return simulatedOldBad
		}},
		{name: "bad under load", oldBadShare: simulatedOldBad, badShare: func(_ float64, _ string, concurrent int) float64 {
			if concurrent >= simulatedLoad {
				return simulatedBad * 2
			}
			return simulatedOldBad
		}},
		{name: "bad on one route", oldBadShare: simulatedOldBad, badShare: func(_ float64, route string, _ int) float64 {
			if route == "route 1" {
				return simulatedBad * 2
			}
			return simulatedOldBad
		}},
		{name: "old and new equally bad", badShare: func(float64, string, int) float64 { return simulatedBad }, oldBadShare: simulatedBad, isGood: true},
	}
}

// sharePlacer is a simulated router that places requests.
type sharePlacer struct {
	exposure ShareExposure
	counted  Report
	// nextAskAt is when it asks the leader next.
	nextAskAt time.Time
	cutOff    bool
}

// answer is a response that is still to come.
type sharePendingAnswer struct {
	at     time.Time
	from   *sharePlacer
	route  string
	target bool
	bad    bool
}

// shareWorld simulates a rollout over several placers and one leader at a time.
type shareWorld struct {
	random       *rand.Rand
	now, start   time.Time
	order        Order
	shareQuality shareQuality
	placers      []*sharePlacer
	controller   *ShareController
	decision     ShareDecision
	// leaderLostAt is when the leader is lost, zero for never, and leaderlessUntil when the next
	// one begins.
	leaderLostAt, leaderlessUntil time.Time
	pending                       []sharePendingAnswer
	requests                      int
	exposed                       int
	badAnswers                    int
	fiftiethBadAt                 time.Time
	lastExposedAt                 time.Time
	endedAt                       time.Time
}

func newShareWorld(seed uint64, shareQuality shareQuality, placers int) *shareWorld {
	start := time.Unix(1000, 0)
	w := &shareWorld{random: rand.New(rand.NewPCG(seed, 1)), now: start, start: start, shareQuality: shareQuality, order: Order{Service: "s", Target: "v2", Duration: 12 * time.Second}}
	for range placers {
		w.placers = append(w.placers, &sharePlacer{counted: Report{Routes: map[string]RouteTally{}}})
	}
	w.newLeader()
	return w
}

func (w *shareWorld) newLeader() {
	w.controller = NewShareController(ShareConfig{Order: w.order, MaxShare: simulatedShare, StartedAt: w.start})
	w.controller.TargetListed = true
	w.decision = ShareDecision{}
}

func (w *shareWorld) ask(i int, p *sharePlacer) {
	if p.cutOff || w.now.Before(w.leaderlessUntil) || w.decision.State.IsFinal() {
		return
	}
	copied := Report{Requests: p.counted.Requests, Exposed: p.counted.Exposed, Routes: map[string]RouteTally{}}
	for route, tally := range p.counted.Routes {
		copied.Routes[route] = tally
	}
	w.controller.Report(Source{Router: fmt.Sprint(i)}, copied)
	if w.decision.Phase == Testing {
		p.exposure.Permit(w.now, w.decision.Share)
	}
}

func (w *shareWorld) place(p *sharePlacer) {
	w.requests++
	route := fmt.Sprintf("route %d", w.random.IntN(3))
	target := w.decision.Phase == Testing && p.exposure.Take(w.now)
	p.exposure.CountRequest(w.now)
	p.counted.Requests++
	concurrent := 0
	for _, answer := range w.pending {
		if answer.target {
			concurrent++
		}
	}
	share := w.shareQuality.oldBadShare
	if target {
		w.exposed++
		p.counted.Exposed++
		w.lastExposedAt = w.now
		share = w.shareQuality.badShare(w.now.Sub(w.start).Seconds()/w.order.Duration.Seconds(), route, concurrent)
	}
	took := time.Duration(20+w.random.IntN(160)) * time.Millisecond
	w.pending = append(w.pending, sharePendingAnswer{at: w.now.Add(took), from: p, route: route, target: target, bad: w.random.Float64() < share})
}

func (w *shareWorld) deliver() {
	var open []sharePendingAnswer
	for _, answer := range w.pending {
		if answer.at.After(w.now) {
			open = append(open, answer)
			continue
		}
		tally := answer.from.counted.Routes[answer.route]
		counted := &tally.Old
		if answer.target {
			counted = &tally.Target
		}
		counted.Answers++
		if answer.bad {
			counted.Bad++
			w.countBad(answer.target)
		}
		answer.from.counted.Routes[answer.route] = tally
	}
	w.pending = open
}

func (w *shareWorld) countBad(target bool) {
	if !target {
		return
	}
	w.badAnswers++
	if w.badAnswers == badAnswersBefore {
		w.fiftiethBadAt = w.now
	}
}

// run plays the whole duration with the rate of requests a second.
func (w *shareWorld) run(rate float64) {
	for w.now.Before(w.start.Add(w.order.Duration)) {
		w.now = w.now.Add(simulatedTick)
		w.deliver()
		if !w.leaderLostAt.IsZero() && !w.now.Before(w.leaderLostAt) {
			w.newLeader()
			w.leaderLostAt, w.leaderlessUntil = time.Time{}, w.now.Add(2*time.Second)
		}
		for i, p := range w.placers {
			if !w.now.Before(p.nextAskAt) {
				p.nextAskAt = w.now.Add(time.Duration(100+w.random.IntN(300)) * time.Millisecond)
				w.ask(i, p)
			}
		}
		if !w.now.Before(w.leaderlessUntil) && !w.decision.State.IsFinal() {
			w.decision = w.controller.Step(w.now)
			if w.decision.State.IsFinal() {
				w.endedAt = w.now
			}
		}
		for range int(rate*simulatedTick.Seconds() + w.random.Float64()) {
			if w.decision.Phase == Testing && !w.decision.State.IsFinal() {
				w.place(w.placers[w.random.IntN(len(w.placers))])
			}
		}
	}
}

func TestShareRolloutOfAnyVersionKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		shareQuality := rapid.SampledFrom(shareQualities()).Draw(t, "shareQuality")
		w := newShareWorld(rapid.Uint64().Draw(t, "seed"), shareQuality, rapid.SampledFrom([]int{1, 3, 30}).Draw(t, "placers"))
		if rapid.Bool().Draw(t, "cut off") {
			w.placers[0].cutOff = true
		}
		if rapid.Bool().Draw(t, "leader lost") {
			w.leaderLostAt = w.start.Add(time.Duration(rapid.Float64Range(0, 1).Draw(t, "lost at") * float64(w.order.Duration/2)))
		}
		w.run(rapid.Float64Range(150, 800).Draw(t, "rate"))
		g.Expect(float64(w.exposed)).To(BeNumerically("<=", simulatedShare*float64(w.requests)+simulatedSlack), "exposure")
		if !w.fiftiethBadAt.IsZero() && !shareQuality.isGood {
			g.Expect(w.lastExposedAt).To(BeTemporally("<=", w.fiftiethBadAt.Add(rollbackLimit)), "requests after the 50th bad answer")
		}
		g.Expect(w.endedAt.IsZero()).To(BeFalse(), "a final state before the deadline")
	})
}

// shareVerdicts plays each shareQuality with many seeds and returns the shares of final states that are
// right.
func shareVerdicts(t *testing.T, placers int, leaderLoss bool) map[string]float64 {
	t.Helper()
	const plays = 60
	right := map[string]float64{}
	for _, shareQuality := range shareQualities() {
		for seed := range plays {
			w := newShareWorld(uint64(seed), shareQuality, placers)
			if leaderLoss {
				w.leaderLostAt = w.start.Add(w.order.Duration / 4)
			}
			w.run(400)
			if (w.decision.State == Succeeded) == shareQuality.isGood && w.decision.State.IsFinal() {
				right[shareQuality.name] += 1.0 / plays
			}
		}
	}
	return right
}

func TestShareVerdicts(t *testing.T) {
	for _, placers := range []int{1, 3, 30} {
		for _, leaderLoss := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d placers, leader lost %v", placers, leaderLoss), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				right := shareVerdicts(t, placers, leaderLoss)
				t.Log(right)
				for _, shareQuality := range shareQualities() {
					g.Expect(right[shareQuality.name]).To(BeNumerically(">=", 0.95), shareQuality.name)
				}
			})
		}
	}
}

func TestSharePermitRunsOut(t *testing.T) {
	g := NewWithT(t)
	now, e := time.Unix(1000, 0), ShareExposure{}
	e.Permit(now, 1)
	e.CountRequest(now)
	e.CountRequest(now)
	g.Expect(e.Take(now.Add(PermitDuration - time.Millisecond))).To(BeTrue())
	g.Expect(e.Take(now.Add(PermitDuration))).To(BeFalse(), "the leader was not reached for the whole time")
	e.Permit(now, 1)
	e.Revoke()
	g.Expect(e.Take(now)).To(BeFalse())
}

func TestShareExposureOfManyRoutersAddsUp(t *testing.T) {
	g := NewWithT(t)
	for _, routers := range []int{3, 81, 1000} {
		requests, exposed := 0, 0
		exposures := make([]ShareExposure, routers)
		random := rand.New(rand.NewPCG(7, uint64(routers)))
		now := time.Unix(1000, 0)
		for i := range exposures {
			exposures[i].Permit(now, simulatedShare)
		}
		for range 100_000 {
			e := &exposures[random.IntN(routers)]
			if e.Take(now) {
				exposed++
			}
			e.CountRequest(now)
			requests++
		}
		g.Expect(float64(exposed)).To(BeNumerically("<=", simulatedShare*float64(requests)), "%d routers", routers)
		g.Expect(float64(exposed)).To(BeNumerically(">", simulatedShare*float64(requests)*0.9-float64(routers)), "%d routers", routers)
	}
}

func TestShareTargetWithoutRunnersOrAnswersIsRolledBack(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1000, 0)
	order := Order{Service: "s", Target: "v2", Duration: 10 * time.Second}
	c := NewShareController(ShareConfig{Order: order, MaxShare: simulatedShare, StartedAt: start})
	g.Expect(c.Step(start.Add(5 * time.Second)).State).To(Equal(Running))
	g.Expect(c.Step(start.Add(7*time.Second)).State).To(Equal(RolledBack), "no runner is listed")
	c = NewShareController(ShareConfig{Order: order, MaxShare: simulatedShare, StartedAt: start})
	c.TargetListed = true
	c.Report(Source{Router: "r"}, Report{Requests: 500, Routes: map[string]RouteTally{"a": {Old: Tally{Answers: 500}}}})
	g.Expect(c.Step(start.Add(7*time.Second)).State).To(Equal(RolledBack), "there is traffic, but no answer of the target version")
}

func TestShareFinalStateStays(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1000, 0)
	c := NewShareController(ShareConfig{Order: Order{Service: "s", Target: "v2", Duration: 10 * time.Second}, MaxShare: simulatedShare, StartedAt: start})
	c.TargetListed = true
	c.Report(Source{Router: "r"}, Report{Requests: 200, Exposed: 20, Routes: map[string]RouteTally{"a": {Old: Tally{Answers: 180}, Target: Tally{Answers: 20, Bad: 20}}}})
	g.Expect(c.Step(start.Add(time.Second)).State).To(Equal(RolledBack))
	c.Report(Source{Router: "r"}, Report{Requests: 20000, Routes: map[string]RouteTally{"a": {Old: Tally{Answers: 18000}, Target: Tally{Answers: 2000}}}})
	g.Expect(c.Step(start.Add(9 * time.Second)).State).To(Equal(RolledBack))
}

// Guards against a good start that covers what comes later: the recent answers are judged on their
// own.
func TestShareVersionThatTurnsBadLate(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1000, 0)
	c := NewShareController(ShareConfig{Order: Order{Service: "s", Target: "v2", Duration: 20 * time.Second}, MaxShare: simulatedShare, StartedAt: start})
	c.TargetListed = true
	counted := RouteTally{}
	for i := range 100 {
		counted.Old.Answers += 50
		counted.Target.Answers += 5
		if i >= 90 {
			counted.Target.Bad++
		}
		c.Report(Source{Router: "r"}, Report{Requests: counted.Old.Answers + counted.Target.Answers, Routes: map[string]RouteTally{"a": counted}})
		c.Step(start.Add(time.Duration(i) * 100 * time.Millisecond))
	}
	g.Expect(c.Step(start.Add(10*time.Second)).State).To(Equal(RolledBack), "10 of the last 50 answers, 10 of all 500")
}
