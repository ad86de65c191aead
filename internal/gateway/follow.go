package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/routing"
)

// Times of following the store.
const (
	// configWait is how long a watch of the configuration waits: each answer,
	// empty or not, proves the configuration anew.
	configWait = 1500 * time.Millisecond
	// directoryWait is the same for runners and weights, which need no proof.
	directoryWait = 6 * time.Second
	// callSlack is how much longer than its wait a call may take.
	callSlack = 700 * time.Millisecond
	listTime  = 1500 * time.Millisecond
	// slowest bounds the time-outs that grow while the store is slow.
	slowestFactor = 6
	// firstRetry and lastRetry bound the pause after a failed call.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 400 * time.Millisecond
)

// follower keeps the gateway's copy of one kind of objects equal to the store.
type follower struct {
	gateway *Gateway
	kind    ObjectKind
	wait    time.Duration
	// revision is the store's revision up to which the copy is complete.
	revision uint64
	listed   bool
	failures int
	// lost is true after the store was reported as lost.
	lost bool
}

func newFollower(g *Gateway, kind ObjectKind) *follower {
	f := &follower{gateway: g, kind: kind, wait: directoryWait}
	if kind == ConfigObjects {
		f.wait = configWait
	}
	return f
}

func (f *follower) run() {
	for f.gateway.ctx.Err() == nil {
		if err := f.step(); err != nil {
			f.failed(err)
			continue
		}
		f.succeeded()
	}
}

// step makes one call and applies its answer.
func (f *follower) step() error {
	if !f.listed {
		return f.list()
	}
	return f.watch()
}

// patience grows with failures in a row, for a store that is slow.
func (f *follower) patience(base time.Duration) time.Duration {
	return base * time.Duration(min(1+f.failures, slowestFactor))
}

func (f *follower) list() error {
	ctx, cancel := context.WithTimeout(f.gateway.ctx, f.patience(listTime))
	defer cancel()
	sent := time.Now()
	objects, revision, err := f.gateway.ports.Store.List(ctx, f.kind)
	if err != nil {
		return err
	}
	f.listed = true
	f.revision = max(revision, f.revision)
	f.gateway.applyList(f.kind, objects, sent)
	f.gateway.log.Log(events.StoreListed, events.Fields{"kind": f.kind.String(), "objects": len(objects), "revision": revision})
	return nil
}

func (f *follower) watch() error {
	ctx, cancel := context.WithTimeout(f.gateway.ctx, f.wait+f.patience(callSlack))
	defer cancel()
	sent := time.Now()
	objects, at, err := f.gateway.ports.Store.Watch(ctx, f.kind, f.revision, f.wait)
	if err != nil {
		return err
	}
	f.gateway.applyChanges(f.kind, objects, sent)
	f.revision = max(f.revision, at)
	return nil
}

func (f *follower) failed(err error) {
	g := f.gateway
	if g.ctx.Err() != nil {
		return
	}
	if errors.Is(err, ErrHistoryGone) {
		f.listed = false
		g.log.Log(events.StoreHistoryGone, events.Fields{"kind": f.kind.String(), "revision": f.revision})
		return
	}
	f.failures++
	g.metrics.storeFailures.WithLabelValues(f.kind.String()).Inc()
	if f.failures == 1 || !f.lost {
		f.lost = true
		g.log.Log(events.StoreLost, events.Fields{"kind": f.kind.String(), "revision": f.revision, "error": err.Error()})
	}
	g.pause(g.jitter(min(firstRetry<<min(f.failures-1, 4), lastRetry)))
}

func (f *follower) succeeded() {
	if f.lost {
		f.lost = false
		f.gateway.log.Log(events.StoreRegained, events.Fields{"kind": f.kind.String(), "revision": f.revision, "failures": f.failures})
	}
	f.failures = 0
}

// applyList replaces what is known of a kind by a list that was asked for at sent.
func (g *Gateway) applyList(kind ObjectKind, objects []Object, sent time.Time) {
	if kind == RunnerObjects {
		g.retainRunners(objects)
	}
	g.applyChanges(kind, objects, sent)
}

// retainRunners takes out runners that a whole list does not hold.
func (g *Gateway) retainRunners(objects []Object) {
	listed := map[string]bool{}
	for _, object := range objects {
		listed[object.Name] = true
	}
	g.mutex.Lock()
	removed := g.runners.Retain(listed)
	g.mutex.Unlock()
	for _, id := range removed {
		g.log.Log(events.RunnerRemoved, events.Fields{"runner": id, "cause": "not listed"})
	}
}

// applyChanges applies changed objects in order.
func (g *Gateway) applyChanges(kind ObjectKind, objects []Object, sent time.Time) {
	for _, object := range objects {
		if object.Fault != "" {
			g.log.Log(events.ObjectUnreadable, events.Fields{"kind": kind.String(), "name": object.Name, "revision": object.Revision, "fault": object.Fault})
			continue
		}
		switch {
		case object.Config != nil:
			g.applyConfig(object)
		case object.Runner != nil || (kind == RunnerObjects && object.Gone):
			g.applyRunner(object)
		case object.Weights != nil:
			g.applyWeights(object)
		}
	}
	if kind == ConfigObjects {
		g.prove(sent)
	}
}

// applyConfig puts a configuration in force. It never goes back to an older one.
func (g *Gateway) applyConfig(object Object) {
	current := g.view.Load()
	if current != nil && (object.Revision <= current.revision || object.Config.Version < current.table.Version) {
		return
	}
	next := &view{table: routing.NewTable(object.Config), revision: object.Revision}
	if current != nil {
		next.provenAt = current.provenAt
	}
	g.mutex.Lock()
	g.splitter.Retain(object.Config)
	g.mutex.Unlock()
	g.view.Store(next)
	g.log.Log(events.ConfigInForce, events.Fields{
		"version": object.Config.Version, "revision": object.Revision,
		"routes": len(object.Config.Routes), "services": len(object.Config.Services), "tenants": len(object.Config.Tenants),
	})
	if current == nil {
		g.log.Log(events.NodeServing, events.Fields{"after_ms": time.Since(g.started).Milliseconds()})
	}
}

// prove notes that the configuration was in force when the call was sent. Only
// the follower of the configuration calls it, so the view does not change in between.
func (g *Gateway) prove(sent time.Time) {
	current := g.view.Load()
	if current == nil || !sent.After(current.provenAt) {
		return
	}
	proven := *current
	proven.provenAt = sent
	g.view.Store(&proven)
}

func (g *Gateway) applyRunner(object Object) {
	if object.Gone {
		g.mutex.Lock()
		removed := g.runners.Remove(object.Name)
		g.mutex.Unlock()
		if removed {
			g.log.Log(events.RunnerRemoved, events.Fields{"runner": object.Name, "revision": object.Revision, "cause": "gone"})
		}
		return
	}
	runner := *object.Runner
	g.mutex.Lock()
	before, known := g.runners.Get(runner.ID)
	added := g.runners.Put(runner)
	g.mutex.Unlock()
	switch {
	case added:
		g.log.Log(events.RunnerAdded, events.Fields{"runner": runner.ID, "service": runner.Service, "address": runner.Address, "zone": runner.Zone, "draining": runner.Draining, "revision": object.Revision})
	case known && before.Draining != runner.Draining:
		g.log.Log(events.RunnerChanged, events.Fields{"runner": runner.ID, "draining": runner.Draining, "revision": object.Revision})
	}
}

// weightMargin is kept from the deadline of older weights.
const weightMargin = time.Second

func (g *Gateway) applyWeights(object Object) {
	now := time.Now()
	allowed := g.settings.WeightDeadline - min(weightMargin, g.settings.WeightDeadline/4)
	expired := now.Add(allowed)
	if settled := g.started.Add(g.settings.SettleTime); now.Before(settled) {
		// It may have been named long before this process started.
		expired = settled
	}
	g.mutex.Lock()
	news := g.runners.Weights().Name(object.Weights.Model, object.Weights.Version, expired)
	g.mutex.Unlock()
	if !news {
		return
	}
	g.log.Log(events.WeightsNamed, events.Fields{"model": object.Weights.Model, "version": object.Weights.Version, "revision": object.Revision, "older_until_ms": expired.Sub(now).Milliseconds()})
	select {
	case g.named <- struct{}{}:
	default:
	}
}
