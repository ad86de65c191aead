package gateway

import "time"

// waitForNextPull waits until the next pull is due. The wait is shorter if changes are missing or
// nothing is known yet.
func (r *peerRouters) waitForNextPull() {
	interval := max(r.pullInterval(), r.idlePullInterval())
	switch {
	case !r.gateway.knowsConfigState():
		r.mutex.Lock()
		interval = r.schedule.Interval()
		r.mutex.Unlock()
	case r.gateway.copies.revision(RunnerObjects) == 0:
		interval = r.pages.pullInterval()
	}
	timer := time.NewTimer(r.limitPause(r.gateway.now(), r.gateway.jitter(interval)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.pullNow:
	case <-r.gateway.ctx.Done():
	}
}

// limitPause shortens the pause so that the next pull happens as soon as a copy becomes too old for
// the last source to be relied on. A full pause on top of that would delay changes too long.
func (r *peerRouters) limitPause(now time.Time, pause time.Duration) time.Duration {
	r.mutex.Lock()
	maxAge := r.proofAgeLimit(r.lastSource())
	r.mutex.Unlock()
	for _, kind := range r.gateway.copies.kinds {
		limit := maxAge
		if kind != ConfigObjects {
			limit += copyProofMargin
		}
		// Copies that are already too old gain nothing from an earlier pull. The added delay makes
		// sure that the answer shows the excessive age, because reported ages are rounded and take
		// time to arrive.
		if age, known := r.gateway.copies.age(now, kind); known && age < limit {
			pause = min(pause, limit-age+nextPullDelay)
		}
	}
	return pause
}

// proofAgeLimit returns the maximum age at which a proof from the router counts as recent. The
// mutex must be held.
func (r *peerRouters) proofAgeLimit(address string) time.Duration {
	if address != "" && address == r.selector.Relay() {
		return maxRelayedProofAge
	}
	return maxProofAge
}

// pullInterval returns the interval between two pulls. It is the one requested by the last source,
// or, if that is of a version that requests none, one that fits the number of seeds.
func (r *peerRouters) pullInterval() time.Duration {
	r.mutex.Lock()
	requested, seeds := r.requestedInterval, max(r.selector.SeedCount(), 1)
	r.mutex.Unlock()
	if requested > 0 {
		return min(max(requested, minPullInterval), maxPullInterval)
	}
	return pullIntervalFor(int(r.gateway.knownRouters.Load()) / seeds)
}

// pullIntervalFor returns the interval between two pulls of each follower. It is shorter when there
// are few followers.
func pullIntervalFor(followers int) time.Duration {
	return min(max(time.Duration(followers)*time.Second/targetPullRate, minPullInterval), maxPullInterval)
}

// targetIdlePullRate is the number of pulls per second that all routers of a fleet should make while
// pulls bring no changes. Short intervals find silent connections sooner, but wake each machine.
const targetIdlePullRate = 2000

// idlePullInterval returns the minimum interval between pulls, which is 0 unless the last pull brought
// no changes.
func (r *peerRouters) idlePullInterval() time.Duration {
	if !r.lastPullIdle.Load() {
		return 0
	}
	return idlePullIntervalFor(int(r.gateway.knownRouters.Load()))
}

// idlePullIntervalFor returns the minimum interval between pulls that bring no changes in a fleet of
// the given size.
func idlePullIntervalFor(routers int) time.Duration {
	return min(time.Duration(routers)*time.Second/targetIdlePullRate, maxPullInterval)
}
