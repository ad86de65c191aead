// Package egress decides when a router forwards requests to another router because it cannot reach
// the runners of a service itself, and to which one.
//
// The ingress router took a request from its caller. The egress router sends it to a runner. The
// package has no I/O and no clock, and its types are not safe for concurrent use.
package egress

import (
	"maps"
	"time"

	"github.com/clovertiller/clovertiller/internal/liveness"
)

// State is the state of the links between this router and the runners of one service.
type State uint8

const (
	// Direct means that requests are sent to runners over the router's own links.
	Direct State = iota
	// ReuseOnly means that open connections deliver but no new ones can be opened.
	ReuseOnly
	// Cut means that nothing reaches the runners.
	Cut
)

// String returns the name of the state in logs, metrics and the status.
func (s State) String() string { return [...]string{"direct", "reuse only", "cut"}[s] }

const (
	// MaxRunnersCounted is the largest number of runners of a service that matters: more do not change any
	// result.
	MaxRunnersCounted = minRunners
	// minRunners is the number of runners that must fail before the links are at fault and not the
	// runners. Of a service with fewer runners, all must fail.
	minRunners = 3
	// SilenceTimeout is how long nothing must have been heard from a service before its silence
	// counts.
	SilenceTimeout = 150 * time.Millisecond
	// verifiedTime is how long silence doesn't count after a runner has answered a probe: its requests then
	// wait because the runners are busy.
	verifiedTime = 2 * time.Second
	// minConfirmations is the number of runners that must answer a probe before the links count as
	// restored.
	minConfirmations = 2
	// failureLifetime is how long a failure counts, for services without other requests.
	failureLifetime = 10 * time.Second
)

// Paths records what this router observes of its links to runners, and derives the state of the links
// to each service.
type Paths struct{ services map[string]*servicePaths }

// servicePaths is what was observed of the runners of one service.
type servicePaths struct {
	state State
	since time.Time
	// lastHeard is when a runner last sent anything.
	lastHeard time.Time
	// verifiedAt is when a runner last answered a probe while the service was silent.
	verifiedAt time.Time
	// failed holds the runners whose connections failed since lastHeard, and unopened those to which no
	// new connection worked since one last did, with the times.
	failed, unopened map[string]time.Time
	// brokenAt is when a connection last failed other than by silence, zero if none has since lastHeard.
	brokenAt time.Time
	// waits holds the sends without a response.
	waits map[*Wait]struct{}
	// confirmed holds the runners that answered a probe since the state is not Direct.
	confirmed map[string]struct{}
	// restoredAt is when the state last became Direct again.
	restoredAt time.Time
}

// Wait is a send that has not been answered yet.
type Wait struct {
	service, runner string
	since           time.Time
}

// Service returns the service of the runner.
func (w *Wait) Service() string { return w.service }

// IsUnanswered reports whether the send waits for longer than SilenceTimeout.
func (w *Wait) IsUnanswered(now time.Time) bool { return now.Sub(w.since) >= SilenceTimeout }

// NewPaths returns Paths on which nothing has been observed.
func NewPaths() *Paths { return &Paths{services: map[string]*servicePaths{}} }

func (p *Paths) service(name string) *servicePaths {
	known := p.services[name]
	if known == nil {
		known = &servicePaths{failed: map[string]time.Time{}, unopened: map[string]time.Time{}, waits: map[*Wait]struct{}{}, confirmed: map[string]struct{}{}}
		p.services[name] = known
	}
	return known
}

// Retain forgets the services that are not in the configuration.
func (p *Paths) Retain(isConfigured func(service string) bool) {
	maps.DeleteFunc(p.services, func(name string, s *servicePaths) bool { return !isConfigured(name) && len(s.waits) == 0 })
}

// BeginWait records a send to a runner. EndWait must be called with the result.
func (p *Paths) BeginWait(now time.Time, service, runner string) *Wait {
	w := &Wait{service: service, runner: runner, since: now}
	p.service(service).waits[w] = struct{}{}
	return w
}

// EndWait records that a send is over or that its response has begun.
func (p *Paths) EndWait(w *Wait) { delete(p.service(w.service).waits, w) }

// Heard records that a runner sent something, on a new connection or on one that has worked before. Only
// probes restore the links once they were found to be at fault.
func (p *Paths) Heard(now time.Time, service string, isNewConnection bool) {
	s := p.service(service)
	s.lastHeard, s.brokenAt = now, time.Time{}
	clear(s.failed)
	if isNewConnection {
		clear(s.unopened)
	}
}

// Answered records that a runner answered a probe over a new connection. It reports whether the state has
// changed.
func (p *Paths) Answered(now time.Time, service, runner string, runnerCount int) (changed bool) {
	p.Heard(now, service, true)
	s := p.service(service)
	s.verifiedAt = now
	if s.state == Direct {
		return false
	}
	s.confirmed[runner] = struct{}{}
	if len(s.confirmed) < min(minConfirmations, runnerCount) {
		return false
	}
	s.setState(now, Direct)
	s.restoredAt = now
	return true
}

// OpenFailed records that a new connection to a runner could not be opened or broke before it brought
// anything.
func (p *Paths) OpenFailed(now time.Time, service, runner string) {
	p.Unanswered(now, service, runner)
	p.service(service).brokenAt = now
}

// Unanswered records that a runner accepted a new connection but did not answer a probe on it in time. Unlike
// a failed open, this may be the silence of a sound runner.
func (p *Paths) Unanswered(now time.Time, service, runner string) {
	s := p.service(service)
	s.unopened[runner], s.failed[runner] = now, now
	clear(s.confirmed)
}

// ConnectionLost records that a connection to a runner that has worked before broke.
func (p *Paths) ConnectionLost(now time.Time, service, runner string) {
	s := p.service(service)
	s.failed[runner], s.brokenAt = now, now
}

// Evaluate derives the state of the links to a service with the given number of runners from what was
// observed. It reports whether the state has become worse.
func (p *Paths) Evaluate(now time.Time, service string, runnerCount int) (worsened bool) {
	s := p.service(service)
	expire(s.failed, now)
	expire(s.unopened, now)
	next, required := s.state, p.requiredFailures(service, runnerCount)
	switch {
	case len(s.failed) >= required && s.failedOpen():
		next = Cut
	case len(s.unopened) >= required:
		next = max(next, ReuseOnly)
	}
	if next <= s.state {
		return false
	}
	s.setState(now, next)
	return true
}

func (s *servicePaths) setState(now time.Time, state State) {
	s.state, s.since = state, now
	clear(s.confirmed)
}

// requiredFailures returns the number of runners that must fail before the links to a service with the given
// number of runners are at fault.
func (p *Paths) requiredFailures(service string, runnerCount int) int {
	if p.isOtherCut(service, p.service(service).lastHeard) {
		return 1
	}
	return min(minRunners, max(runnerCount, 1))
}

// failedOpen reports whether one of the failures since lastHeard was that of a new connection. Runners that
// end close their connections too, but accept new ones when they are back.
func (s *servicePaths) failedOpen() bool {
	for runner := range s.failed {
		if _, unopened := s.unopened[runner]; unopened {
			return true
		}
	}
	return false
}

func expire(failures map[string]time.Time, now time.Time) {
	maps.DeleteFunc(failures, func(_ string, at time.Time) bool { return now.Sub(at) >= failureLifetime })
}

// isOtherCut reports whether the links to another service were cut after the given time. The links to
// all services are usually lost together.
func (p *Paths) isOtherCut(service string, lastHeard time.Time) bool {
	for name, other := range p.services {
		if name != service && other.state == Cut && lastHeard.Before(other.since) {
			return true
		}
	}
	return false
}

// NeedsProbe reports whether a send waits although nothing was heard from the service for SilenceTimeout. The
// links may be at fault, or its runner may be busy or silent.
func (p *Paths) NeedsProbe(now time.Time, service string) bool {
	s := p.service(service)
	return s.state != Cut && s.isQuiet(now) && len(s.unanswered(now)) > 0
}

// IsSilent reports whether sends to several runners wait or failed although nothing was heard from the
// service for SilenceTimeout. That alone doesn't show that the links are at fault, since all runners may be
// busy.
func (p *Paths) IsSilent(now time.Time, service string, runnerCount int) bool {
	s := p.service(service)
	if s.state == Cut || !s.isQuiet(now) {
		return false
	}
	return len(s.unanswered(now)) >= p.requiredFailures(service, runnerCount)
}

// isQuiet reports whether nothing was heard for SilenceTimeout and no probe was answered recently.
func (s *servicePaths) isQuiet(now time.Time) bool {
	return now.Sub(s.lastHeard) >= SilenceTimeout && now.Sub(s.verifiedAt) >= verifiedTime
}

// unanswered returns the runners at which sends wait or failed.
func (s *servicePaths) unanswered(now time.Time) map[string]struct{} {
	runners := map[string]struct{}{}
	for w := range s.waits {
		if w.IsUnanswered(now) {
			runners[w.runner] = struct{}{}
		}
	}
	for runner := range s.failed {
		runners[runner] = struct{}{}
	}
	return runners
}

// ConfirmSilence records that a runner of a silent service did not answer a probe, which makes the service
// Cut. It reports whether the state has changed.
func (p *Paths) ConfirmSilence(now time.Time, service string, runnerCount int) (changed bool) {
	if !p.IsSilent(now, service, runnerCount) {
		return false
	}
	s := p.service(service)
	s.setState(now, Cut)
	return true
}

// IsOnlySilent reports whether the links to a service count as cut only because its runners are silent, and not
// for longer than sound runners may be. If no other router reaches them either, the runners are more likely
// silent than the links of all routers cut.
func (p *Paths) IsOnlySilent(now time.Time, service string) bool {
	s := p.services[service]
	return s != nil && s.state == Cut && s.brokenAt.IsZero() && now.Sub(s.since) < liveness.MaxSilence
}

// State returns the state of the links to a service.
func (p *Paths) State(service string) State {
	if s := p.services[service]; s != nil {
		return s.state
	}
	return Direct
}

// Since returns since when the links to a service are in their state, zero if they always were.
func (p *Paths) Since(service string) time.Time {
	if s := p.services[service]; s != nil {
		return s.since
	}
	return time.Time{}
}

// HeardSince reports whether anything was heard from the service after the given time.
func (p *Paths) HeardSince(service string, since time.Time) bool {
	s := p.services[service]
	return s != nil && s.lastHeard.After(since)
}

// HeardFromOtherServices reports whether anything was heard from a service other than the named one after
// the given time.
func (p *Paths) HeardFromOtherServices(service string, since time.Time) bool {
	for name, s := range p.services {
		if name != service && s.lastHeard.After(since) {
			return true
		}
	}
	return false
}

// AtFault reports whether the links to the service were or may have been at fault at any time since a
// request was sent. Its outcome is then no evidence about its runner.
func (p *Paths) AtFault(now time.Time, service string, sentAt time.Time, runnerCount int) bool {
	s := p.services[service]
	if s == nil {
		return false
	}
	return s.state != Direct || s.restoredAt.After(sentAt) || p.IsSilent(now, service, runnerCount)
}

// Unconfirmed returns the services other than the given one whose links are Direct and from which nothing was heard since it
// was cut. The links to all services are usually lost together.
func (p *Paths) Unconfirmed(service string) (names []string) {
	for name, s := range p.services {
		if name != service && s.state == Direct && p.isOtherCut(name, s.lastHeard) {
			names = append(names, name)
		}
	}
	return names
}

// Impaired returns the services whose links are not Direct.
func (p *Paths) Impaired() []string {
	var names []string
	for name, s := range p.services {
		if s.state != Direct {
			names = append(names, name)
		}
	}
	return names
}

// ReachesNone reports whether the links to a service are cut and nothing has been heard from any service
// since.
func (p *Paths) ReachesNone() bool {
	var cutAt, heardAt time.Time
	for _, s := range p.services {
		if s.state == Cut && (cutAt.IsZero() || s.since.Before(cutAt)) {
			cutAt = s.since
		}
		if s.lastHeard.After(heardAt) {
			heardAt = s.lastHeard
		}
	}
	return !cutAt.IsZero() && !heardAt.After(cutAt)
}
