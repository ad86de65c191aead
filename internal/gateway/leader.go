package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/lease"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

// Times of the lease on ordering runners.
const (
	// leaderInterval is how often a router looks whether there is work to order.
	leaderInterval = 200 * time.Millisecond
	// standbyDelay is how long nothing may happen before routers that do not read
	// the store seek the lease too.
	standbyDelay = 2 * time.Second
	// orderLease is how long a holder acts on one write of the lease.
	orderLease = time.Second
	// gapMargin is added to the least time between the orders of two holders.
	gapMargin = 250 * time.Millisecond
	// leaseCall bounds one call on the lease.
	leaseCall = 800 * time.Millisecond
	// leaseWatch is how often a router that reads the store for all looks at another one's
	// lease while there is work: the time until it may take the lease begins with the
	// first look that shows the last renewal, so it begins that much late at the most.
	leaseWatch = time.Second
	// leaseRetry is the pause after a call on the lease that failed.
	leaseRetry = 200 * time.Millisecond
)

// leader contends for the lease while there is something to order, and orders
// while it holds it. A router that never has to order never calls the store
// for it.
type leader struct {
	gateway   *Gateway
	candidate *lease.Candidate
	rollout   *rollouts
	// nextRead is when the lease is read again while another router holds it.
	nextRead time.Time
	held     bool
	// outdated is how many runners had older weights than named when last looked,
	// and changedAt when that number changed.
	outdated  int
	changedAt time.Time
}

func newLeader(g *Gateway) *leader {
	l := &leader{gateway: g, candidate: lease.NewCandidateWithGap(g.settings.Node, orderLease, g.settings.LeaseGap+gapMargin)}
	l.rollout = newRollouts(g)
	return l
}

func (l *leader) run() {
	for l.wait() {
		outdated := l.rollout.outdated()
		if outdated == 0 {
			l.outdated = 0
			l.note(0, false)
			continue
		}
		l.yieldIfFenced()
		if !l.contends(l.gateway.now(), outdated) {
			continue
		}
		token, held := l.keep()
		l.note(token, held)
		if held {
			l.rollout.advance(l.term(token))
		}
	}
}

// contends tells whether this router seeks the lease. Those that read the store do at once,
// and the last holder, whose lease keeps the others waiting; all others only when nothing
// happens, so that a named version does not bring a herd of calls.
func (l *leader) contends(now time.Time, outdated int) bool {
	if outdated != l.outdated {
		l.outdated, l.changedAt = outdated, now
	}
	return l.gateway.direct.isEnabled() || l.held || l.candidate.IsLastHolder() || now.Sub(l.changedAt) >= standbyDelay
}

// wait returns when there may be something to do, or false when the gateway stops.
func (l *leader) wait() bool {
	select {
	case <-l.gateway.named:
	case <-time.After(leaderInterval):
	case <-l.gateway.ctx.Done():
	}
	return l.gateway.ctx.Err() == nil
}

// term is the right to order under one fencing token.
type term struct {
	holder string
	token  storerev.Revision
	// until is when the right ends unless the lease is renewed.
	until time.Time
}

func (l *leader) term(token storerev.Revision) term {
	return term{holder: l.gateway.settings.Node, token: token, until: l.candidate.ValidUntil()}
}

// keep takes or renews the lease and returns the fencing token while it is held.
func (l *leader) keep() (storerev.Revision, bool) {
	now := l.gateway.now()
	if era, since := l.gateway.era.known(); era > 0 {
		l.candidate.EnterEra(since, era)
	}
	if token, held := l.candidate.Token(now); held {
		switch l.candidate.Next(now) {
		case lease.Renew:
			l.write(lease.Renew)
		case lease.Acquire:
			l.takeAnew(now)
		default:
			return token, true
		}
		return l.candidate.Token(l.gateway.now())
	}
	if now.Before(l.nextRead) || !l.read() {
		return 0, false
	}
	switch l.candidate.Next(l.gateway.now()) {
	case lease.Acquire:
		l.write(lease.Acquire)
	case lease.Wait:
		l.nextRead = l.nextLook()
	}
	return l.candidate.Token(l.gateway.now())
}

// takeAnew takes the held lease in a new era of the store, which may not know of it.
func (l *leader) takeAnew(now time.Time) {
	if !now.Before(l.nextRead) && l.read() {
		l.write(lease.Acquire)
	}
}

// nextLook returns when to read the lease that another router holds. Those that do not read
// the store, or for want of seeds only, look when it may be free, so that they are no herd.
func (l *leader) nextLook() time.Time {
	freeAt := l.candidate.AvailableAt().Add(l.gateway.jitter(leaseRetry))
	if look := l.gateway.now().Add(leaseWatch); l.gateway.relays.alwaysReadsStore() && look.Before(freeAt) {
		return look
	}
	return freeAt
}

// yieldIfFenced gives up a term whose token a runner refused. A new one is not
// sought before the other holder's orders have had their time.
func (l *leader) yieldIfFenced() {
	token, held := l.candidate.Token(l.gateway.now())
	if !held || !l.rollout.refused(token) {
		return
	}
	l.candidate.Release()
	l.nextRead = l.gateway.now().Add(l.gateway.settings.LeaseGap + gapMargin)
}

// read observes the lease and tells whether it could.
func (l *leader) read() bool {
	ctx, cancel := context.WithTimeout(l.gateway.ctx, leaseCall)
	defer cancel()
	asked := l.gateway.now()
	spec, revision, err := l.gateway.ports.Store.Lease(ctx)
	now := l.gateway.now()
	l.gateway.metrics.storeCall(leaseKind, callRead, l.gateway.since(asked))
	switch {
	case errors.Is(err, ErrNotFound):
		l.candidate.Observe(now, lease.Observation{Revision: revision})
	case err != nil:
		l.retryLater(err)
		return false
	default:
		l.candidate.Observe(now, lease.Observation{Exists: true, Revision: revision, Spec: spec})
	}
	return true
}

func (l *leader) write(action lease.Action) {
	ctx, cancel := context.WithTimeout(l.gateway.ctx, leaseCall)
	defer cancel()
	proposal := l.candidate.Proposal(action)
	sent := l.gateway.now()
	seen := l.candidate.LastObservation()
	written, err := l.gateway.ports.Store.WriteLease(ctx, proposal, seen.Exists, seen.Revision)
	l.gateway.metrics.storeCall(leaseKind, callWrite, l.gateway.since(sent))
	if err != nil {
		// Lost or refused: the next read shows what is in place.
		l.retryLater(err)
		return
	}
	l.candidate.RecordWrite(sent, l.gateway.now(), action, written, proposal)
}

func (l *leader) retryLater(err error) {
	g := l.gateway
	g.metrics.storeFailures.WithLabelValues(leaseKind).Inc()
	l.nextRead = l.gateway.now().Add(g.jitter(leaseRetry))
	g.log.Log(events.LeaseCallFailed, events.Fields{"error": err.Error(), "seen": l.candidate.LastObservation().Revision.Number(), "holder": l.candidate.LastObservation().Spec.Holder})
}

func (l *leader) note(token storerev.Revision, held bool) {
	if held == l.held {
		return
	}
	l.held = held
	l.gateway.leaseToken.Store(uint64(token))
	if held {
		l.gateway.log.Log(events.LeaseAcquired, events.Fields{"token": token, "era": token.Era()})
		return
	}
	l.gateway.log.Log(events.LeaseLost, events.Fields{"holder": l.candidate.LastObservation().Spec.Holder})
}
