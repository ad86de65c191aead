package gateway

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/backpressure"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// Names of what runners say, in counters.
const (
	signalLeaving    = "leaving"
	signalLimit      = "limit"
	signalRest       = "rest"
	signalUnreadable = "unreadable"
)

// unreadablePause is the least time between two log lines on values that cannot be read.
const unreadablePause = time.Second

// signals takes what runners say of themselves in their answers, and shares it with all
// routers: what this one hears goes to the seeds, which choose runners for others and push it,
// and pulls repair what was lost. The gateway's mutex guards what is known, which the set of
// runners holds, and the fields.
type signals struct {
	gateway *Gateway
	out     *newsOutbox[backpressure.Runner]
	// followed is how far this router knows the records of those that it pulls from.
	followed map[string]feedPlace
	// unreadableAt is when a value was last logged that cannot be read.
	unreadableAt time.Time
}

// mostSignals bounds the records in one answer; the rest comes with the next.
const mostSignals = 64

func newSignals(g *Gateway) *signals {
	s := &signals{gateway: g, followed: map[string]feedPlace{}}
	s.out = newNewsOutbox(g, s.news)
	return s
}

// hear takes what the runner says of itself in the head of an answer.
func (c *call) hear(answer AnswerFacts, status int) {
	g, now := c.gateway, c.gateway.now()
	success := answer.Stamped && !answer.Encoded && isSuccess(status)
	g.mutex.Lock()
	heard := g.runners.RecordSignals(now, c.sent, c.runner, answer.Signals, success)
	logged := len(answer.Signals.Malformed) > 0 && now.Sub(g.signals.unreadableAt) >= unreadablePause
	if logged {
		g.signals.unreadableAt = now
	}
	g.mutex.Unlock()
	for range answer.Signals.Malformed {
		g.metrics.runnerSignals.WithLabelValues(c.service, signalUnreadable).Inc()
	}
	if logged {
		g.log.Log(events.SignalUnreadable, events.Fields{"runner": c.runner.ID, "address": c.runner.Address, "headers": answer.Signals.Malformed, "status": status, "request": c.facts.ID})
	}
	if heard.Any() {
		g.signals.heard(c.runner, c.service, heard, answer.Signals, c.facts.ID)
	}
}

// heard notes what is new.
func (s *signals) heard(runner backend.Runner, service string, heard backpressure.Changes, said backpressure.Signals, request string) {
	counted := s.gateway.metrics.runnerSignals
	for name, isNew := range map[string]bool{signalLeaving: heard.Leaving, signalLimit: heard.Limit, signalRest: heard.Backoff} {
		if isNew {
			counted.WithLabelValues(service, name).Inc()
		}
	}
	s.gateway.log.Log(events.RunnerSignalReceived, events.Fields{
		"runner": runner.ID, "address": runner.Address, "service": service, "request": request,
		"leaving": said.Leaving, "limited": said.Limited, "rate": said.Rate, "rest_ms": said.Backoff.Milliseconds(),
	})
	if heard.NeedsBroadcast() {
		s.out.add([]backpressure.Runner{{ID: runner.ID, Incarnation: runner.Incarnation}}, true)
	}
}

// repeat tells the schedulers again what the runner has said, as one of them has chosen it
// without knowing. The gateway's mutex is held.
func (s *signals) repeat(now time.Time, runner backend.Runner) {
	start := backpressure.Runner{ID: runner.ID, Incarnation: runner.Incarnation}
	if s.gateway.runners.Signals().ShouldResend(now, start) {
		s.out.add([]backpressure.Runner{start}, true)
	}
}

// learn takes what another router tells, and passes on what is news.
func (s *signals) learn(messages []*wire.RunnerSignal) {
	g, now := s.gateway, s.gateway.now()
	g.mutex.Lock()
	changed := g.runners.MergeSignals(now, signalsOf(now, messages))
	g.mutex.Unlock()
	runners := make([]backpressure.Runner, 0, len(changed))
	for _, record := range changed {
		runners = append(runners, record.Runner)
		g.log.Log(events.RunnerSignalForwarded, events.Fields{"runner": record.ID, "leaving": record.Leaving(), "limited": record.Limited(), "rate": record.Rate})
	}
	s.out.add(runners, false)
}

// news tells other routers what is known by now of the runners.
func (s *signals) news(now time.Time, runners []backpressure.Runner) *wire.Envelope {
	s.gateway.mutex.Lock()
	defer s.gateway.mutex.Unlock()
	var records []backpressure.Record
	for _, runner := range runners {
		if state := s.gateway.runners.Signals().Get(runner); state != nil {
			records = append(records, state.Record)
		}
	}
	if len(records) == 0 {
		return nil
	}
	return &wire.Envelope{Body: &wire.Envelope_SignalNews{SignalNews: &wire.SignalNews{Signals: signalMessages(now, records)}}}
}

// ask says in a pull how far this router knows the records of the one at the address.
func (s *signals) ask(address string, pull *wire.CopyPull) {
	s.gateway.mutex.Lock()
	defer s.gateway.mutex.Unlock()
	known := s.followed[address]
	pull.WantsSignals, pull.SignalsFeed, pull.SignalsThrough = true, known.feed, known.through
}

// answer returns what the asking router lacks, nil for nothing or for a version that does
// not ask.
func (s *signals) answer(pull *wire.CopyPull) *wire.SignalDelta {
	if !pull.GetWantsSignals() {
		return nil
	}
	feed, through := uint64(s.gateway.startedAt.UnixMilli()), pull.GetSignalsThrough()
	if pull.GetSignalsFeed() != feed {
		through = 0
	}
	s.gateway.mutex.Lock()
	defer s.gateway.mutex.Unlock()
	records, reached := s.gateway.runners.Signals().ChangedSince(through, mostSignals)
	if reached == through {
		return nil
	}
	return &wire.SignalDelta{Feed: feed, Through: reached, Signals: signalMessages(s.gateway.now(), records)}
}

// told takes the answer of the router at the address.
func (s *signals) told(address string, delta *wire.SignalDelta) {
	if delta == nil {
		return
	}
	s.learn(delta.GetSignals())
	s.gateway.mutex.Lock()
	defer s.gateway.mutex.Unlock()
	s.followed[address] = feedPlace{feed: delta.GetFeed(), through: delta.GetThrough()}
}

// resting returns the runners that want no requests from this router.
func (g *Gateway) resting() []backend.RestingRunner {
	now := g.now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.runners.Resting(now)
}

func (s *signals) sweep(now time.Time) {
	s.gateway.mutex.Lock()
	defer s.gateway.mutex.Unlock()
	s.gateway.runners.SweepSignals(now)
}
