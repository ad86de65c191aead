package gateway

import (
	"context"
	"errors"
	"time"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/lease"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

// Durations and intervals of the lease on ordering runners.
const (
	// leaderPollInterval is how often a router checks whether runners need orders.
	leaderPollInterval = 200 * time.Millisecond
	// standbyPollInterval is the same for a router that competes only when the others make no
	// progress, while no runner needs orders.
	standbyPollInterval = time.Second
	// standbyDelay is how long the number of outdated runners must stay unchanged before
	// routers that do not read the store also compete for the lease.
	standbyDelay = 2 * time.Second
	// leaseDuration is how long a holder may act after one write of the lease.
	leaseDuration = time.Second
	// leaseGapMargin is added to the minimum time between the orders of two holders.
	leaseGapMargin = 250 * time.Millisecond
	// leaseCallTimeout bounds one call on the lease.
	leaseCallTimeout = 800 * time.Millisecond
	// leasePollInterval is how often a seed, or a router without peers, reads another router's
	// lease while there is work. The time until it may acquire the lease starts with the first read
	// that shows the last renewal, so it starts late by this interval at most.
	leasePollInterval = time.Second
	// leaseRetryDelay is the delay after a failed call on the lease.
	leaseRetryDelay = 200 * time.Millisecond
	// yieldAfter is how long a router that leads no rollouts holds the lease while a rollout waits
	// for a leader, and yieldPause how long it then leaves the lease to the schedulers. The pause is
	// longer than a term with its gap and the interval at which a scheduler reads the lease.
	yieldAfter = 3 * time.Second
	yieldPause = 3 * time.Second
)

// leader competes for the lease while runners need orders, and sends orders while it holds the
// lease. A router that never has orders to send never calls the store for the lease.
type leader struct {
	gateway   *Gateway
	candidate *lease.Candidate
	rollout   *rolloutController
	// nextReadAt is when the lease is read again while another router holds it.
	nextReadAt time.Time
	holdsLease bool
	// heldSince is when this router last acquired the lease.
	heldSince time.Time
	// outdatedRunners is the number of runners with weights older than the target at the last
	// check, and outdatedChangedAt when this number last changed.
	outdatedRunners   int
	outdatedChangedAt time.Time
}

func newLeader(g *Gateway) *leader {
	l := &leader{gateway: g, candidate: lease.NewCandidateWithGap(g.settings.Node, leaseDuration, g.settings.LeaseGap+leaseGapMargin)}
	l.rollout = newRolloutController(g)
	return l
}

func (l *leader) run() {
	for l.waitForWork() {
		outdated := l.rollout.countOutdated()
		leadsRollouts := l.gateway.rolloutDriver.NeedsLeader()
		if outdated == 0 && !leadsRollouts {
			l.gateway.rolloutDriver.SetTerm(time.Time{})
			l.outdatedRunners = 0
			l.setHoldsLease(0, false)
			continue
		}
		l.releaseIfFenced()
		if outdated > 0 && l.cannotReachOutdated() {
			l.release()
			continue
		}
		if !leadsRollouts && !l.seeksLease(l.gateway.now(), outdated) {
			continue
		}
		token, held := l.acquireOrRenew()
		if held && l.yieldsToScheduler(l.gateway.now()) {
			l.candidate.Release()
			l.nextReadAt = l.gateway.now().Add(yieldPause)
			token, held = 0, false
		}
		l.setHoldsLease(token, held)
		if !held {
			l.gateway.rolloutDriver.SetTerm(time.Time{})
			continue
		}
		l.gateway.rolloutDriver.SetTerm(l.candidate.ValidUntil())
		l.rollout.startUpdates(l.term(token))
	}
}

// cannotReachOutdated reports whether this router has lost its links to all runners that need orders.
func (l *leader) cannotReachOutdated() bool {
	g := l.gateway
	g.mutex.Lock()
	services := g.runners.OutdatedServices()
	g.mutex.Unlock()
	return g.paths.areCut(services)
}

// release gives up the lease, if this router holds it, so that another one can give the orders.
func (l *leader) release() {
	if l.holdsLease {
		l.candidate.Release()
		l.nextReadAt = l.gateway.now().Add(yieldPause)
	}
	l.gateway.rolloutDriver.SetTerm(time.Time{})
	l.setHoldsLease(0, false)
}

// yieldsToScheduler reports whether the lease is left to a scheduler, because a rollout waits for one.
// Otherwise a router that took the lease while the schedulers did not reach the store would keep it
// for as long as any runner needs orders. While this router reads the store itself, they are not back.
func (l *leader) yieldsToScheduler(now time.Time) bool {
	return l.holdsLease && now.Sub(l.heldSince) >= yieldAfter && !l.gateway.directReads.isEnabled() && l.gateway.rolloutDriver.AwaitsScheduler()
}

// seeksLease reports whether this router competes for the lease. Routers that read the store do
// so at once, and so does the last holder, as the others wait for its lease to expire. All
// others do so only when there is no progress, so that a newly named version does not cause a
// burst of calls from all routers.
func (l *leader) seeksLease(now time.Time, outdated int) bool {
	if outdated != l.outdatedRunners {
		l.outdatedRunners, l.outdatedChangedAt = outdated, now
	}
	return l.gateway.directReads.isEnabled() || l.holdsLease || l.candidate.IsLastHolder() || now.Sub(l.outdatedChangedAt) >= standbyDelay
}

// waitForWork returns when there may be something to do. It returns false if the gateway stops.
func (l *leader) waitForWork() bool {
	select {
	case <-l.gateway.weightsNamed:
	case <-time.After(l.pollInterval()):
	case <-l.gateway.ctx.Done():
	}
	return l.gateway.ctx.Err() == nil
}

// pollInterval returns how long to wait for the next check.
func (l *leader) pollInterval() time.Duration {
	if l.gateway.directReads.isEnabled() || l.holdsLease || l.outdatedRunners > 0 {
		return leaderPollInterval
	}
	return standbyPollInterval
}

// term is a period during which one holder may order runners, identified by its fencing token.
type term struct {
	holder string
	token  storerev.Revision
	// validUntil is when the term ends unless the lease is renewed.
	validUntil time.Time
}

func (l *leader) term(token storerev.Revision) term {
	return term{holder: l.gateway.settings.Node, token: token, validUntil: l.candidate.ValidUntil()}
}

// acquireOrRenew acquires or renews the lease if needed. It returns the fencing token and
// whether the lease is held.
func (l *leader) acquireOrRenew() (storerev.Revision, bool) {
	now := l.gateway.now()
	if era, since := l.gateway.eraTracker.known(); era > 0 {
		l.candidate.EnterEra(since, era)
	}
	if token, held := l.candidate.Token(now); held {
		switch l.candidate.Next(now) {
		case lease.Renew:
			l.writeLease(lease.Renew)
		case lease.Acquire:
			l.reacquire(now)
		default:
			return token, true
		}
		return l.candidate.Token(l.gateway.now())
	}
	if now.Before(l.nextReadAt) || !l.readLease() {
		return 0, false
	}
	switch l.candidate.Next(l.gateway.now()) {
	case lease.Acquire:
		l.writeLease(lease.Acquire)
	case lease.Wait:
		l.nextReadAt = l.nextReadTime()
	}
	return l.candidate.Token(l.gateway.now())
}

// reacquire acquires the held lease anew after the store has entered a new era, since the
// restored store may lack it.
func (l *leader) reacquire(now time.Time) {
	if !now.Before(l.nextReadAt) && l.readLease() {
		l.writeLease(lease.Acquire)
	}
}

// nextReadTime returns when to read the lease that another router holds. Routers other than seeds
// read it only when it may become available, so that not all routers poll it.
func (l *leader) nextReadTime() time.Time {
	availableAt := l.candidate.AvailableAt().Add(l.gateway.jitter(leaseRetryDelay))
	if nextPoll := l.gateway.now().Add(leasePollInterval); l.gateway.peerRouters.alwaysReadsStore() && nextPoll.Before(availableAt) {
		return nextPoll
	}
	return availableAt
}

// releaseIfFenced gives up a term whose token a runner rejected. The lease is not sought again
// before the other holder has had time for its orders.
func (l *leader) releaseIfFenced() {
	token, held := l.candidate.Token(l.gateway.now())
	if !held || !l.rollout.isFenced(token) {
		return
	}
	l.candidate.Release()
	l.nextReadAt = l.gateway.now().Add(l.gateway.settings.LeaseGap + leaseGapMargin)
}

// readLease reads the lease and reports whether it succeeded.
func (l *leader) readLease() bool {
	ctx, cancel := context.WithTimeout(l.gateway.ctx, leaseCallTimeout)
	defer cancel()
	sentAt := l.gateway.now()
	spec, revision, err := l.gateway.ports.Store.Lease(ctx)
	now := l.gateway.now()
	l.gateway.metrics.observeStoreCall(leaseKind, callRead, l.gateway.since(sentAt))
	var unreadable *UnreadableError
	switch {
	case errors.Is(err, ErrNotFound):
		l.candidate.Observe(now, lease.Observation{Revision: revision})
	case errors.As(err, &unreadable):
		l.observeUnreadableLease(now, revision, unreadable)
	case err != nil:
		l.scheduleRetry(err)
		return false
	default:
		l.candidate.Observe(now, lease.Observation{Exists: true, Revision: revision, Spec: spec})
	}
	return true
}

// unknownHolder is the holder of a lease that cannot be read. No node has that name.
const unknownHolder = "?"

// observeUnreadableLease records a lease that another program has overwritten. The router that held it may still do so, so it is
// replaced like that of another router.
func (l *leader) observeUnreadableLease(now time.Time, revision storerev.Revision, unreadable *UnreadableError) {
	if revision != l.candidate.LastObservation().Revision {
		l.gateway.unreadable.record(leaseKind, "", unreadable.Fault, events.Fields{"revision": revision.Number()})
	}
	l.candidate.Observe(now, lease.Observation{Exists: true, Revision: revision, Spec: v1.LeaseSpec{Holder: unknownHolder}})
}

func (l *leader) writeLease(action lease.Action) {
	ctx, cancel := context.WithTimeout(l.gateway.ctx, leaseCallTimeout)
	defer cancel()
	proposal := l.candidate.Proposal(action)
	sentAt := l.gateway.now()
	observed := l.candidate.LastObservation()
	written, err := l.gateway.ports.Store.WriteLease(ctx, proposal, observed.Exists, observed.Revision)
	l.gateway.metrics.observeStoreCall(leaseKind, callWrite, l.gateway.since(sentAt))
	if err != nil {
		// The answer was lost or the write was rejected. The next read shows the current lease.
		l.scheduleRetry(err)
		return
	}
	l.candidate.RecordWrite(sentAt, l.gateway.now(), action, written, proposal)
}

func (l *leader) scheduleRetry(err error) {
	g := l.gateway
	g.metrics.storeFailures.WithLabelValues(leaseKind).Inc()
	l.nextReadAt = l.gateway.now().Add(g.jitter(leaseRetryDelay))
	g.log.Log(events.LeaseCallFailed, events.Fields{"error": err.Error(), "seen": l.candidate.LastObservation().Revision.Number(), "holder": l.candidate.LastObservation().Spec.Holder})
}

func (l *leader) setHoldsLease(token storerev.Revision, held bool) {
	if held == l.holdsLease {
		return
	}
	l.holdsLease = held
	l.gateway.leaseToken.Store(uint64(token))
	if held {
		l.heldSince = l.gateway.now()
		l.gateway.log.Log(events.LeaseAcquired, events.Fields{"token": token, "era": token.Era()})
		return
	}
	l.gateway.log.Log(events.LeaseLost, events.Fields{"holder": l.candidate.LastObservation().Spec.Holder})
}
