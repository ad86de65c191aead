package gateway

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/backpressure"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// Values of the metric label that names a signal.
const (
	signalLeaving   = "leaving"
	signalLimit     = "limit"
	signalBackoff   = "rest"
	signalBrittle   = "brittle"
	signalRejected  = "rejected"
	signalMalformed = "unreadable"
)

// malformedLogInterval is the minimum interval between two log lines about malformed signal
// headers.
const malformedLogInterval = time.Second

// signals receives the load signals that runners send in their responses and shares them with all
// routers. Signals that this router receives go to the seeds, which choose runners for others and
// push the signals on to the other routers; pulls repair lost messages. The gateway's mutex guards
// the fields and the signals themselves, which are stored in the gateway's set of runners.
type signals struct {
	gateway    *Gateway
	broadcasts *broadcaster[backpressure.Runner]
	// pullPositions holds, by address, up to which position this router has the signals of the
	// routers that it pulls from.
	pullPositions map[string]feedPosition
	// malformedLoggedAt is when a malformed header was last logged.
	malformedLoggedAt time.Time
}

// maxSignalRecords is the maximum number of records in one answer to a pull; the remaining ones
// follow in the next answer.
const maxSignalRecords = 64

func newSignals(g *Gateway) *signals {
	s := &signals{gateway: g, pullPositions: map[string]feedPosition{}}
	s.broadcasts = newBroadcaster(g, s.encodeRunners)
	return s
}

// receiveSignals applies the signals in the headers of a runner's response.
func (c *call) receiveSignals(info ResponseInfo, status int) {
	g, now := c.gateway, c.gateway.now()
	success := info.Stamped && !info.Encoded && isSuccess(status)
	g.mutex.Lock()
	changes := g.runners.RecordSignals(now, c.sentAt, c.runner, info.Signals, success)
	shouldLog := len(info.Signals.Malformed) > 0 && now.Sub(g.signals.malformedLoggedAt) >= malformedLogInterval
	if shouldLog {
		g.signals.malformedLoggedAt = now
	}
	g.mutex.Unlock()
	for range info.Signals.Malformed {
		g.metrics.runnerSignals.WithLabelValues(c.service, signalMalformed).Inc()
	}
	if shouldLog {
		g.log.Log(events.SignalUnreadable, events.Fields{"runner": c.runner.ID, "address": c.runner.Address, "headers": info.Signals.Malformed, "status": status, "request": c.metadata.ID})
	}
	if changes.Any() {
		g.signals.recordChanges(c.runner, c.service, changes, info.Signals, c.metadata.ID)
	}
}

// recordChanges counts and logs the changes that a response made, and broadcasts those that other
// routers need.
func (s *signals) recordChanges(runner backend.Runner, service string, changes backpressure.Changes, received backpressure.Signals, requestID string) {
	counters := s.gateway.metrics.runnerSignals
	for signal, changed := range map[string]bool{signalLeaving: changes.Leaving, signalLimit: changes.Limit, signalBackoff: changes.Backoff, signalBrittle: changes.Brittle, signalRejected: changes.Rejected} {
		if changed {
			counters.WithLabelValues(service, signal).Inc()
		}
	}
	s.gateway.log.Log(events.RunnerSignalReceived, events.Fields{
		"runner": runner.ID, "address": runner.Address, "service": service, "request": requestID,
		"leaving": received.Leaving, "limited": received.Limited, "rate": received.Rate, "rest_ms": received.Backoff.Milliseconds(),
		"brittle": received.Brittle, "max_rejections": received.MaxRejections, "rejected": changes.Rejected,
	})
	if changes.NeedsBroadcast() {
		s.broadcasts.add([]backpressure.Runner{{ID: runner.ID, Incarnation: runner.Incarnation}}, true)
	}
}

// resend broadcasts the runner's signals to the schedulers again, because one of them chose the
// runner without knowing them. The gateway's mutex must be held.
func (s *signals) resend(now time.Time, runner backend.Runner) {
	incarnation := backpressure.Runner{ID: runner.ID, Incarnation: runner.Incarnation}
	if s.gateway.runners.Signals().ShouldResend(now, incarnation) {
		s.broadcasts.add([]backpressure.Runner{incarnation}, true)
	}
}

// merge applies signals from another router. It logs and broadcasts those that changed here and
// those of which the other router had an outdated version.
func (s *signals) merge(messages []*wire.RunnerSignal) {
	g, now := s.gateway, s.gateway.now()
	g.mutex.Lock()
	changed := g.runners.MergeSignals(now, decodeSignals(now, messages))
	g.mutex.Unlock()
	runners := make([]backpressure.Runner, 0, len(changed))
	for _, record := range changed {
		runners = append(runners, record.Runner)
		g.log.Log(events.RunnerSignalForwarded, events.Fields{"runner": record.ID, "leaving": record.Leaving(), "limited": record.Limited(), "rate": record.Rate, "brittle": record.Brittle()})
	}
	s.broadcasts.add(runners, false)
}

// encodeRunners returns a message with the current signals of the runners, or nil if there are
// none.
func (s *signals) encodeRunners(now time.Time, runners []backpressure.Runner) *wire.Envelope {
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
	return &wire.Envelope{Body: &wire.Envelope_SignalNews{SignalNews: &wire.SignalNews{Signals: encodeSignals(now, records)}}}
}

// addPullPosition adds to a pull up to which position this router has the signals of the router at
// the address.
func (s *signals) addPullPosition(address string, pull *wire.CopyPull) {
	s.gateway.mutex.Lock()
	defer s.gateway.mutex.Unlock()
	position := s.pullPositions[address]
	pull.WantsSignals, pull.SignalsFeed, pull.SignalsThrough = true, position.feed, position.through
}

// answerPull returns the signals that the pulling router lacks. It returns nil if there are none,
// or if that router runs a version that does not ask for them.
func (s *signals) answerPull(pull *wire.CopyPull) *wire.SignalDelta {
	if !pull.GetWantsSignals() {
		return nil
	}
	feed, through := uint64(s.gateway.startedAt.UnixMilli()), pull.GetSignalsThrough()
	if pull.GetSignalsFeed() != feed {
		through = 0
	}
	s.gateway.mutex.Lock()
	defer s.gateway.mutex.Unlock()
	records, reached := s.gateway.runners.Signals().ChangedSince(through, maxSignalRecords)
	if reached == through {
		return nil
	}
	return &wire.SignalDelta{Feed: feed, Through: reached, Signals: encodeSignals(s.gateway.now(), records)}
}

// applyPull applies the answer of the router at the address.
func (s *signals) applyPull(address string, delta *wire.SignalDelta) {
	if delta == nil {
		return
	}
	s.merge(delta.GetSignals())
	s.gateway.mutex.Lock()
	defer s.gateway.mutex.Unlock()
	s.pullPositions[address] = feedPosition{feed: delta.GetFeed(), through: delta.GetThrough()}
}

// runnerBackoffs returns the runners that requested a backoff from this router, with the remaining
// times.
func (g *Gateway) runnerBackoffs() []backend.RunnerBackoff {
	now := g.now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.runners.Backoffs(now)
}

// sweep removes the signals of runners that have not been listed for a long time.
func (s *signals) sweep(now time.Time) {
	s.gateway.mutex.Lock()
	defer s.gateway.mutex.Unlock()
	s.gateway.runners.SweepSignals(now)
}
