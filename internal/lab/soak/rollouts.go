package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/platform"
)

// Rollouts of the software version of the service "plain".
const (
	// minRolloutDuration and maxRolloutDuration bound the time from an order to its deadline. Two
	// rollouts fit into a run of 20 s.
	minRolloutDuration, maxRolloutDuration = 6 * time.Second, 12 * time.Second
	// statusInterval is the interval at which the operator reads the status of the rollout.
	statusInterval = 20 * time.Millisecond
	// maxStatusDelay is how long after the last fault the operator waits for the end of a rollout
	// whose deadline has passed.
	maxStatusDelay = 10 * time.Second
	// maxRollbackDrainDelay is the maximum time between rolled_back and the drain of the runners of
	// the target version.
	maxRollbackDrainDelay = 4 * time.Second
)

// Bounds of rollouts that the gateways are configured with and that the check uses.
const (
	exposeShare     = 0.1
	exposeSlack     = 50
	maxRollbackTime = 5 * time.Second
)

// versionQuality is how a target version behaves.
type versionQuality uint8

const (
	goodVersion versionQuality = iota
	// badVersion fails all calls.
	badVersion
	// badLaterVersion fails all calls from a random moment of the rollout on.
	badLaterVersion
	// slowVersion answers all calls, but many times slower than the old version.
	slowVersion
)

// versionQualities lists the qualities from which one is drawn for each rollout. Versions that turn
// bad late are the ones that can exceed the bound after their promotion.
var versionQualities = []versionQuality{goodVersion, badVersion, badLaterVersion, badLaterVersion, badLaterVersion, slowVersion}

// String returns the name of the quality in logs.
func (q versionQuality) String() string {
	return [...]string{"good", "bad", "bad later", "slow"}[q]
}

// rollout is one order of the operator.
type rollout struct {
	target    string
	quality   versionQuality
	orderedAt time.Time
	duration  time.Duration
	// badFrom is the time from the order until a badLaterVersion turns bad.
	badFrom time.Duration
	// targets are the runners of the target version.
	targets []*runnerstand.Runner
	// finalState is the final state that the operator read, empty if there was none.
	finalState string
	endedAt    time.Time
}

func (r *rollout) deadline() time.Time { return r.orderedAt.Add(r.duration) }

func (r *rollout) String() string {
	text := fmt.Sprintf("%s version %s for %v", r.quality, r.target, r.duration.Round(time.Millisecond))
	if r.quality == badLaterVersion {
		text += fmt.Sprintf(", bad from %.2f of the duration on", r.badFrom.Seconds()/r.duration.Seconds())
	}
	return text
}

// rolloutInjector orders rollouts like the operator: it starts runners of the target version
// beside the old ones, and stops those that the status makes obsolete. It has its own random source,
// so that the other faults of a seed do not change.
type rolloutInjector struct {
	soak   *Soak
	random *rand.Rand
	// group holds the pending drains of target versions.
	group sync.WaitGroup
	// mutex guards rollouts, to which the restore of the store has access too.
	mutex    sync.Mutex
	rollouts []*rollout
	// current are the runners of the version that the service has.
	current []*runnerstand.Runner
}

func newRolloutInjector(s *Soak) *rolloutInjector {
	return &rolloutInjector{soak: s, random: rand.New(rand.NewPCG(s.settings.Seed, s.settings.Seed+6))}
}

// run orders one rollout after the other until the deadline, waits for their ends and returns their
// number. A rollout begins only if its deadline is before that of the run.
func (f *rolloutInjector) run(ctx context.Context, deadline time.Time) int {
	defer f.group.Wait()
	f.current = f.soak.runners.ofService(plainService)
	for ctx.Err() == nil {
		next := f.draw()
		if time.Now().Add(next.duration).After(deadline) {
			break
		}
		f.perform(ctx, next, deadline.Add(maxStatusDelay))
	}
	return len(f.rollouts)
}

// draw returns the next rollout, which is not ordered yet.
func (f *rolloutInjector) draw() *rollout {
	duration := minRolloutDuration + time.Duration(f.random.Int64N(int64(maxRolloutDuration-minRolloutDuration)))
	return &rollout{
		// The first version is v1.
		target: fmt.Sprintf("v%d", len(f.rollouts)+2), quality: versionQualities[f.random.IntN(len(versionQualities))],
		duration: duration, badFrom: time.Duration(f.random.Int64N(int64(duration))),
	}
}

// perform orders the rollout and returns when its deadline has passed and it has a final state, or
// at the given time.
func (f *rolloutInjector) perform(ctx context.Context, r *rollout, until time.Time) {
	f.order(r)
	if r.quality == badLaterVersion {
		turnsBad := time.AfterFunc(r.badFrom, func() {
			f.soak.logf("rollout: version %s turns bad", r.target)
			f.setBehaviour(r, runnerstand.Fails)
		})
		defer turnsBad.Stop()
	}
	for r.finalState == "" && ctx.Err() == nil && time.Now().Before(until) {
		time.Sleep(statusInterval)
		r.finalState = f.readFinalState(r)
	}
	r.endedAt = time.Now()
	f.soak.logf("rollout: %s is %q after %v", r, r.finalState, r.endedAt.Sub(r.orderedAt).Round(time.Millisecond))
	switch r.finalState {
	case stateSucceeded:
		for _, runner := range f.current {
			f.soak.runners.stop(runner)
		}
		f.current = r.targets
	case stateRolledBack:
		delay := time.Duration(f.random.Int64N(int64(maxRollbackDrainDelay)))
		f.group.Go(func() { f.drainTargets(r, delay) })
	}
	// All requests until the deadline count, and a version may still turn bad.
	for time.Now().Before(r.deadline()) && ctx.Err() == nil {
		time.Sleep(statusInterval)
	}
	if r.finalState == stateSucceeded {
		// The next target version would be no worse than a bad one that succeeded.
		f.setBehaviour(r, runnerstand.Normal)
	}
}

// order writes the order and starts the runners of the target version.
func (f *rolloutInjector) order(r *rollout) {
	f.mutex.Lock()
	r.orderedAt = time.Now()
	f.rollouts = append(f.rollouts, r)
	f.writeOrder(r)
	f.mutex.Unlock()
	f.soak.logf("rollout: order of %s", r)
	behaviour := map[versionQuality]runnerstand.Behaviour{badVersion: runnerstand.Fails, slowVersion: runnerstand.Delays}[r.quality]
	for i := range plainRunners {
		runner, err := f.soak.runners.addVersion(fmt.Sprintf("p%d-%s", i, r.target), plainService, r.target, behaviour)
		if err != nil {
			f.soak.failf("start of a runner: %v", err)
			continue
		}
		r.targets = append(r.targets, runner)
	}
}

// writeOrder writes the order of the rollout. The mutex must be held.
func (f *rolloutInjector) writeOrder(r *rollout) {
	f.soak.store.Put(platform.KindRollouts, plainService, map[string]any{"service": plainService, "target_version": r.target, "duration_s": r.duration.Seconds()})
}

// rewrite writes the last order again, like an operator after the store has lost it.
func (f *rolloutInjector) rewrite() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.rollouts) > 0 {
		f.writeOrder(f.rollouts[len(f.rollouts)-1])
	}
}

// Final states in the status of a rollout.
const (
	stateSucceeded  = "succeeded"
	stateRolledBack = "rolled_back"
)

// readFinalState returns the final state of the rollout from its status, empty if there is none.
func (f *rolloutInjector) readFinalState(r *rollout) string {
	object, _ := f.soak.store.Get(platform.KindRollouts, plainService)
	var status struct {
		State         string `json:"state"`
		TargetVersion string `json:"target_version"`
	}
	if len(object.Status) == 0 {
		return ""
	}
	if err := json.Unmarshal(object.Status, &status); err != nil {
		f.soak.failf("rollout: status %s: %v", object.Status, err)
		return ""
	}
	if status.TargetVersion != r.target || (status.State != stateSucceeded && status.State != stateRolledBack) {
		return ""
	}
	return status.State
}

// setBehaviour sets the behaviour that the runners of the target version have without faults.
func (f *rolloutInjector) setBehaviour(r *rollout, behaviour runnerstand.Behaviour) {
	for _, runner := range r.targets {
		f.soak.runners.setUsualBehaviour(runner, behaviour)
	}
}

// drainTargets drains the runners of a version that was rolled back, and stops them afterwards.
func (f *rolloutInjector) drainTargets(r *rollout, delay time.Duration) {
	time.Sleep(delay)
	for _, runner := range r.targets {
		f.soak.runners.startFinalDrain(runner)
	}
	time.Sleep(usualGracePeriod)
	for _, runner := range r.targets {
		f.soak.runners.stop(runner)
	}
}

// checkExposures checks that no bad version got more requests until its deadline than the bound
// allows. A request counts for the total once, if it reached any runner of the service, and for the
// target version each time that it reached one of its runners.
func (f *rolloutInjector) checkExposures() {
	for _, r := range f.rollouts {
		exposed, total := f.countRequests(r)
		bound := exposeShare*float64(total) + exposeSlack
		f.soak.logf("rollout: %s: %q after %v, %d of %d requests, bound %.1f", r, r.finalState, r.endedAt.Sub(r.orderedAt).Round(time.Millisecond), exposed, total, bound)
		if r.quality != goodVersion && float64(exposed) > bound {
			f.soak.failf("exposure: %s got %d of %d requests until its deadline, more than %.1f", r, exposed, total, bound)
		}
	}
}

// countRequests returns how many requests reached the target version, and how many the service,
// between the order and its deadline.
func (f *rolloutInjector) countRequests(r *rollout) (exposed, total int) {
	isTarget := map[string]bool{}
	for _, runner := range r.targets {
		isTarget[runner.ID] = true
	}
	reached := map[string]bool{}
	for _, runner := range f.soak.runners.all() {
		if runner.Service != plainService {
			continue
		}
		for _, arrival := range runner.ArrivalLog() {
			if arrival.ReceivedAt.Before(r.orderedAt) || arrival.ReceivedAt.After(r.deadline()) {
				continue
			}
			reached[arrival.RequestID] = true
			if isTarget[runner.ID] {
				exposed++
			}
		}
	}
	return exposed, len(reached)
}
