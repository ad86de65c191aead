package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/liveness"
	"github.com/clovertiller/clovertiller/internal/quarantine"
)

const (
	// silentCheckLifetime is how long the failed probes of a runner count for its next check.
	silentCheckLifetime = 3 * time.Second
	// runningLifetime is how long a runner that answered a probe is not probed again for another silent stream.
	runningLifetime = liveness.ProbeTimeout
)

// silentRunners checks whether the runners of silent streams have ended. The streams of a runner share its probes. In contrast
// to crashDetector, which attributes a crash to requests and so needs proof of it, it also gives up runners that are silent for
// longer than sound ones.
type silentRunners struct {
	gateway *Gateway
	mutex   sync.Mutex
	// checks holds the checks in progress and the last ones, for silentCheckLifetime.
	checks map[quarantine.Runner]*silentRunnerCheck
	// heardAt is when the checked runners last sent data on any stream.
	heardAt map[quarantine.Runner]time.Time
}

// silentRunnerCheck is one check of a runner.
type silentRunnerCheck struct {
	runner backend.Runner
	judge  liveness.Judge
	// startedAt is when the check began.
	startedAt time.Time
	// done is closed when the check is over, after which verdict and endedAt are set.
	done    chan struct{}
	verdict liveness.Verdict
	endedAt time.Time
}

func newSilentRunners(g *Gateway) *silentRunners {
	return &silentRunners{gateway: g, checks: map[quarantine.Runner]*silentRunnerCheck{}, heardAt: map[quarantine.Runner]time.Time{}}
}

// heard records that the runner has sent data. It matters only for a runner that has been checked.
func (s *silentRunners) heard(runner backend.Runner) {
	incarnation := incarnationOf(runner)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.checks[incarnation] != nil {
		s.heardAt[incarnation] = s.gateway.now()
	}
}

// heardSince reports whether the runner has sent data since the given time.
func (s *silentRunners) heardSince(runner backend.Runner, since time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.heardAt[incarnationOf(runner)].Before(since)
}

// check returns a check of the runner that is in progress or found it running after the given time. If there is none, it starts one.
func (s *silentRunners) check(runner backend.Runner, since time.Time) *silentRunnerCheck {
	now, incarnation := s.gateway.now(), incarnationOf(runner)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	previous := s.checks[incarnation]
	if previous != nil && (previous.endedAt.IsZero() || previous.verdict == liveness.Running && previous.startedAt.After(since)) {
		return previous
	}
	next := &silentRunnerCheck{runner: runner, startedAt: now, done: make(chan struct{})}
	if previous != nil && now.Sub(previous.endedAt) < silentCheckLifetime && s.heardAt[incarnation].Before(previous.endedAt) {
		next.judge = previous.judge
	}
	s.checks[incarnation] = next
	s.gateway.spawn(func() { s.run(next) })
	return next
}

// run probes the runner at intervals of liveness.ProbeTimeout until the verdict is known.
func (s *silentRunners) run(check *silentRunnerCheck) {
	ticker := time.NewTicker(liveness.ProbeTimeout)
	defer ticker.Stop()
	result := s.probe(check.runner)
	results, verdict := []string{result.String()}, check.judge.Record(result)
	for verdict == liveness.Undecided {
		select {
		case <-ticker.C:
		case <-s.gateway.ctx.Done():
			s.end(check, verdict)
			return
		}
		result = s.probe(check.runner)
		results, verdict = append(results, result.String()), check.judge.Record(result)
	}
	if len(results) > 1 || verdict == liveness.Ended {
		s.gateway.log.Log(events.SilentRunnerProbed, events.Fields{
			"runner": check.runner.ID, "address": check.runner.Address, "service": check.runner.Service, "verdict": verdict.String(), "probes": results,
			"after_ms": s.gateway.since(check.startedAt).Milliseconds(),
		})
	}
	s.gateway.metrics.silentRunnerChecks.WithLabelValues(check.runner.Service, verdict.String()).Inc()
	s.end(check, verdict)
}

// end ends the check with the verdict.
func (s *silentRunners) end(check *silentRunnerCheck, verdict liveness.Verdict) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	check.verdict, check.endedAt = verdict, s.gateway.now()
	if verdict == liveness.Undecided {
		s.forget(incarnationOf(check.runner))
	}
	close(check.done)
}

// forget removes what is known about the runner. The mutex must be held.
func (s *silentRunners) forget(incarnation quarantine.Runner) {
	delete(s.checks, incarnation)
	delete(s.heardAt, incarnation)
}

// probe probes the runner once. Data that the runner sends meanwhile counts as an answer: it may be slow to accept or to answer
// other requests.
func (s *silentRunners) probe(runner backend.Runner) liveness.Result {
	sentAt := s.gateway.now()
	result := s.classify(s.ask(s.gateway.ctx, runner), runner, sentAt)
	if result == liveness.Unanswered && s.heardSince(runner, sentAt) {
		return liveness.Answered
	}
	return result
}

// classify returns the result of a probe that was sent at the given time. A runner that is leaving may refuse connections
// while it finishes its streams, and a refusal may be a fault of this router's own links: both count as silence. A runner of
// which nothing is known but that its machine sent something counts as running.
func (s *silentRunners) classify(result RunnerLiveness, runner backend.Runner, sentAt time.Time) liveness.Result {
	switch result {
	case RunnerSilent:
		return liveness.Unanswered
	case RunnerEnded:
		if !s.gateway.crashDetector.expectedToRun(runner) || !s.gateway.crashDetector.reachesAnother(runner, sentAt) {
			return liveness.Unanswered
		}
		return liveness.Refused
	}
	return liveness.Answered
}

// hasEnded reports whether the runner of a stream that has broken off has ended. It returns false if the context ends before
// that is known. Since the connection is lost as well, one refusal suffices, and only an answer of the runner itself shows that it
// has not ended: its machine may reset new connections.
func (s *silentRunners) hasEnded(ctx context.Context, runner backend.Runner) bool {
	ticker := time.NewTicker(liveness.ProbeTimeout)
	defer ticker.Stop()
	var judge liveness.Judge
	for {
		sentAt := s.gateway.now()
		result := s.ask(ctx, runner)
		if result == RunnerRunning || ctx.Err() != nil {
			return false
		}
		if s.classify(result, runner, sentAt) == liveness.Refused || judge.Record(liveness.Unanswered) == liveness.Ended {
			return true
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
}

// ask asks the runner once whether it runs.
func (s *silentRunners) ask(ctx context.Context, runner backend.Runner) RunnerLiveness {
	ctx, cancel := context.WithTimeout(ctx, liveness.ProbeTimeout)
	defer cancel()
	return s.gateway.ports.Runners.Liveness(ctx, runner)
}

// hasEnded reports whether the check, which must be over, found that the runner has ended.
func (c *silentRunnerCheck) hasEnded() bool { return c.verdict == liveness.Ended }

// isRunning reports whether the check, which must be over, found that the runner answers.
func (c *silentRunnerCheck) isRunning() bool { return c.verdict == liveness.Running }

// ended returns the IDs of the runners that were found ended and have sent nothing since.
func (s *silentRunners) ended(now time.Time) (ids []string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for incarnation, check := range s.checks {
		if check.verdict == liveness.Ended && now.Sub(check.endedAt) < silentCheckLifetime && s.heardAt[incarnation].Before(check.endedAt) {
			ids = append(ids, incarnation.ID)
		}
	}
	return ids
}

// sweep removes the checks that no longer count.
func (s *silentRunners) sweep(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for incarnation, check := range s.checks {
		if !check.endedAt.IsZero() && now.Sub(check.endedAt) >= silentCheckLifetime {
			s.forget(incarnation)
		}
	}
}
