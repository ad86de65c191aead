package versionrollout

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"
)

// compare prints the table of docs/design/version-rollouts.md: go test ./internal/versionrollout -run Comparison -compare -v.
var compare = flag.Bool("compare", false, "compare with other policies")

// splitPolicy sends a tenth of the requests to the target version for the whole time.
type splitPolicy struct{}

func (splitPolicy) advance(*world)                    {}
func (splitPolicy) take(w *world, _ int) bool         { return w.random.Float64() < simulatedShare }
func (splitPolicy) ended(_ *world, _ simulatedAnswer) {}

// sharePolicy runs the previous controller, with reports and permits each 250 ms and writes of 50 ms.
type sharePolicy struct {
	placers    []*sharePolicyPlacer
	controller *ShareController
	decision   ShareDecision
	nextStepAt time.Time
	isPromoted bool
}

type sharePolicyPlacer struct {
	exposure ShareExposure
	outcomes Outcomes
	requests uint64
	exposed  uint64
	nextAt   time.Time
}

func newSharePolicy(w *world) *sharePolicy {
	p := &sharePolicy{controller: NewShareController(ShareConfig{
		Order: Order{Service: "s", Target: "v2", Duration: w.duration}, MaxShare: simulatedShare, StartedAt: w.start,
	})}
	p.controller.TargetListed = true
	for range w.placers {
		p.placers = append(p.placers, &sharePolicyPlacer{nextAt: w.start.Add(w.randomTime(usualInterval))})
	}
	return p
}

func (p *sharePolicy) advance(w *world) {
	if w.final != Running {
		return
	}
	for i, placer := range p.placers {
		if w.now.Before(placer.nextAt) {
			continue
		}
		placer.nextAt = w.now.Add(usualInterval)
		report := Report{Requests: placer.requests, Exposed: placer.exposed}
		placer.outcomes.AddTo(&report)
		p.controller.Report(Source{Router: fmt.Sprint(i)}, report)
		if p.decision.Phase == Testing {
			placer.exposure.Permit(w.now, p.decision.Share)
		}
	}
	if w.now.Before(p.nextStepAt) || p.decision.State.IsFinal() {
		return
	}
	p.nextStepAt = w.now.Add(100 * time.Millisecond)
	p.decision = p.controller.Step(w.now)
	const write = 50 * time.Millisecond
	state := p.decision.State
	switch {
	case state.IsFinal():
		p.isPromoted = p.isPromoted && state == Succeeded
		for _, placer := range p.placers {
			placer.exposure.Revoke()
		}
		w.after(write, func() { w.recordFinal(state) })
	case p.decision.Phase == Promoting:
		w.after(write, func() { p.isPromoted = !p.decision.State.IsFinal() || p.decision.State == Succeeded })
	}
}

func (p *sharePolicy) take(w *world, i int) bool {
	placer := p.placers[i]
	target := p.isPromoted || placer.exposure.Take(w.now)
	placer.exposure.CountRequest(w.now)
	placer.requests++
	if target {
		placer.exposed++
	}
	return target
}

func (p *sharePolicy) ended(_ *world, answer simulatedAnswer) {
	result := Answered
	if answer.bad {
		result = AnswerFailed
	}
	p.placers[answer.placer].outcomes.Record(Completion{
		Route: simulatedRoutes[answer.route], IsTarget: answer.target, Runner: "r", Result: result, Latency: answer.latency,
	})
}

// measured sums up rollouts of one version under one policy.
type measured struct {
	plays, exposed, most, faulty, outOfBound, succeeded, rolledBack int
	seconds                                                         float64
}

func (m *measured) add(w *world) {
	m.plays++
	m.exposed += w.exposed
	m.most = max(m.most, w.exposed)
	m.faulty += w.badAnswers
	if !w.isInBound() {
		m.outOfBound++
	}
	switch w.final {
	case Succeeded:
		m.succeeded++
	case RolledBack:
		m.rolledBack++
	}
	if w.final.IsFinal() {
		m.seconds += w.finalAt.Sub(w.start).Seconds()
	}
}

func (m *measured) String() string {
	state := "-"
	if ended := m.succeeded + m.rolledBack; ended > 0 {
		state = fmt.Sprintf("%d s, %d r, %.1f s", m.succeeded, m.rolledBack, m.seconds/float64(ended))
	}
	return fmt.Sprintf("%d (%d) | %d | %s | %d", m.exposed/m.plays, m.most, m.outOfBound, state, m.faulty/m.plays)
}

func TestComparison(t *testing.T) {
	if !*compare {
		t.Skip("prints a table on demand")
	}
	const plays = 40
	var table strings.Builder
	for _, c := range []struct {
		fault string
		onset float64
	}{{"good", 0}, {"bad", 0}, {"bad", 0.35}, {"bad", 0.78}, {"bad under load", 0}, {"bad on one route", 0}, {"slow", 0}, {"hangs", 0}, {"both bad", 0}} {
		var split, share, account measured
		for seed := range plays {
			s := scenario{seed: uint64(seed), fault: faultNamed(c.fault), onset: c.onset, placers: 3, rate: 400, duration: 12 * time.Second, leaderLostAt: -1, cutOffAt: -1, restartAt: -1}
			w := newWorld(s)
			w.run(splitPolicy{})
			split.add(w)
			w = newWorld(s)
			w.run(newSharePolicy(w))
			share.add(w)
			account.add(play(s).world)
		}
		fmt.Fprintf(&table, "%s from %.2f | split | %v\n", c.fault, c.onset, &split)
		fmt.Fprintf(&table, "%s from %.2f | previous | %v\n", c.fault, c.onset, &share)
		fmt.Fprintf(&table, "%s from %.2f | account | %v\n", c.fault, c.onset, &account)
	}
	t.Logf("version | policy | requests (most) | out of bound of %d | end | bad answers\n%s", plays, table.String())
}
