package backend

import (
	"maps"
	"time"
)

const (
	// answerDelay is how long after a failed send an answer to another router may arrive that the runner sent before it
	// failed.
	answerDelay = 50 * time.Millisecond
	// answeredLifetime is how long an answer shows that a runner is up.
	answeredLifetime = time.Second
	// lostPathLifetime is how long a router counts as one that may not reach a runner.
	lostPathLifetime = 10 * time.Second
	// lostPathRetry is after how long a router with lost paths may find one that works again.
	lostPathRetry = 250 * time.Millisecond
)

// pathEvidence distinguishes, by the sends of several routers, a runner that has failed from a router that has lost its path
// to the runner. Routers are named by their addresses; the own one is "".
type pathEvidence struct {
	// newest is the answered send that began last, and newestOther the same among those of other routers.
	newest, newestOther answeredSend
	// failure is the last send that did not reach the runner, if the runner is avoided because of it.
	failure *failedSend
	// lostPaths are the routers whose failures were no evidence about the runner, with the times of the last ones.
	lostPaths map[string]time.Time
}

type answeredSend struct {
	router             string
	sentAt, answeredAt time.Time
}

type failedSend struct {
	router           string
	sentAt, failedAt time.Time
}

// recordAnswer records that the runner answered a send.
func (p *pathEvidence) recordAnswer(now time.Time, send *Send) {
	answered := answeredSend{router: send.router, sentAt: send.sentAt, answeredAt: now}
	delete(p.lostPaths, send.router)
	switch {
	case answered.router == p.newest.router || p.newest.answeredAt.IsZero():
		if answered.sentAt.After(p.newest.sentAt) {
			p.newest = answered
		}
	case answered.sentAt.After(p.newest.sentAt):
		p.newest, p.newestOther = answered, p.newest
	case answered.sentAt.After(p.newestOther.sentAt):
		p.newestOther = answered
	}
}

// refutes reports whether the send shows that an earlier failure was that of the other router's path.
func (p *pathEvidence) refutes(now time.Time, send *Send) bool {
	f := p.failure
	return f != nil && f.router != send.router && (send.sentAt.After(f.sentAt) || now.Sub(f.failedAt) >= answerDelay)
}

// answeredOthers returns the last answered send of a router other than the given one.
func (p *pathEvidence) answeredOthers(router string) answeredSend {
	if p.newest.router == router {
		return p.newestOther
	}
	return p.newest
}

// isLostPath reports whether a send that got no answer is no evidence about the runner, because the runner answered other
// routers in the meantime, or answers them while this router's sends fail again and again.
func (p *pathEvidence) isLostPath(now time.Time, send *Send) bool {
	answered := p.answeredOthers(send.router)
	if answered.answeredAt.IsZero() {
		return false
	}
	if !answered.sentAt.Before(send.sentAt) {
		return true
	}
	lostAt, lost := p.lostPaths[send.router]
	return lost && now.Sub(lostAt) < lostPathLifetime && now.Sub(answered.answeredAt) < answeredLifetime
}

// recordLostPath records that the router may not reach the runner.
func (p *pathEvidence) recordLostPath(now time.Time, router string) {
	maps.DeleteFunc(p.lostPaths, func(_ string, at time.Time) bool { return now.Sub(at) >= lostPathLifetime })
	if p.lostPaths == nil {
		p.lostPaths = map[string]time.Time{}
	}
	p.lostPaths[router] = now
}

// recordAnswer records that the runner answered the send. If it is avoided because another router did not reach it, it is no
// longer.
func (s *Set) recordAnswer(now time.Time, e *entry, send *Send) {
	if e.paths.refutes(now, send) {
		e.paths.recordLostPath(now, e.paths.failure.router)
		e.paths.failure = nil
		e.forgetUnreachable()
		s.refutedFailures++
	}
	e.paths.recordAnswer(now, send)
}

// MayAnswerOthers reports whether routers other than the given one may reach the runner: it answered one lately, or nothing shows
// that it has failed.
func (s *Set) MayAnswerOthers(now time.Time, id, router string) bool {
	e := s.entries[id]
	if e == nil || e.isLeaving() {
		return false
	}
	answered := e.paths.answeredOthers(router)
	return !now.Before(e.avoidUntil) || !answered.answeredAt.IsZero() && now.Sub(answered.answeredAt) < answeredLifetime
}

// RefutedFailures returns the number of failures of routers to reach a runner that were no evidence about the runner.
func (s *Set) RefutedFailures() int { return s.refutedFailures }
