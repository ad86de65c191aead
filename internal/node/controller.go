package node

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sort"
	"time"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/config"
	"github.com/clovertiller/clovertiller/internal/engineapi"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/fleet"
	"github.com/clovertiller/clovertiller/internal/lease"
	"github.com/clovertiller/clovertiller/internal/platform"
	"github.com/clovertiller/clovertiller/internal/rendezvous"
	"github.com/clovertiller/clovertiller/internal/rollout"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

// Times and sizes of the controller.
const (
	controllerInterval = 250 * time.Millisecond
	leaseDuration      = 3 * time.Second
	// controllerCandidates is how many nodes read the lease at all.
	controllerCandidates = 2
)

var (
	leaseKey      = v1.Key{Kind: v1.KindLease, Name: "controller"}
	controllerKey = rendezvous.KeyOf("duty/controller")
)

// controller is the duty of the lease holder: orders to runners and status of
// resources.
type controller struct {
	node      *Node
	candidate *lease.Candidate
	nextRead  time.Time
	held      bool
	reported  map[v1.Key]v1.Status
}

func (n *Node) controllerLoop() {
	c := &controller{node: n, candidate: lease.NewCandidate(n.settings.Node, leaseDuration), reported: map[v1.Key]v1.Status{}}
	for n.pause(controllerInterval) {
		if n.Revision() == 0 {
			continue
		}
		token, held := c.keepLease()
		if held != c.held {
			c.held = held
			c.logLease(token, held)
		}
		if held {
			c.giveOrders(token)
			c.writeStatus()
		}
	}
}

func (c *controller) logLease(token uint64, held bool) {
	if held {
		c.node.log.Log(events.LeaseAcquired, events.Fields{"token": token})
		c.reported = map[v1.Key]v1.Status{}
		return
	}
	c.node.log.Log(events.LeaseLost, events.Fields{})
}

func (c *controller) mayHold() bool {
	n := c.node
	if n.draining.Load() {
		return false
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return slices.Contains(rendezvous.Ranked(n.control.UsableNodes(), controllerKey, controllerCandidates), n.settings.Node)
}

// keepLease takes, renews or watches the lease, and returns the fencing token
// while this node holds it.
func (c *controller) keepLease() (uint64, bool) {
	if c.mayHold() {
		c.stepLease()
	}
	token, held := c.candidate.Token(time.Now())
	return uint64(token), held
}

func (c *controller) stepLease() {
	now := time.Now()
	if now.After(c.nextRead) {
		c.nextRead = now.Add(leaseDuration / 4)
		if !c.readLease() {
			return
		}
	}
	action := c.candidate.Next(time.Now())
	if action != lease.Acquire && action != lease.Renew {
		return
	}
	proposal := c.candidate.Proposal(action)
	spec, _ := json.Marshal(proposal)
	sent := time.Now()
	stored, err := c.node.platform.Put(c.node.ctx, v1.Object{Kind: leaseKey.Kind, Name: leaseKey.Name, Version: uint64(c.candidate.LastObservation().Revision), Spec: spec})
	if err != nil {
		// Lost or refused: the next read shows what is in place.
		c.nextRead = time.Time{}
		return
	}
	c.candidate.RecordWrite(sent, time.Now(), action, storerev.Revision(stored.Version), proposal)
}

func (c *controller) readLease() bool {
	object, err := c.node.platform.Get(c.node.ctx, leaseKey)
	now := time.Now()
	switch {
	case errors.Is(err, platform.ErrNotFound):
		c.candidate.Observe(now, lease.Observation{})
		return true
	case err != nil:
		return false
	}
	observation := lease.Observation{Exists: true, Revision: storerev.Revision(object.Version)}
	if json.Unmarshal(object.Spec, &observation.Spec) != nil {
		return false
	}
	c.candidate.Observe(now, observation)
	return true
}

// giveOrders brings runners to the configured weights, adapters and roles.
func (c *controller) giveOrders(token uint64) {
	snapshot := c.node.snapshot.Load()
	for name, pool := range snapshot.Pools {
		limits := rollout.Limits{MaxLoading: pool.MaxLoading, MinServingPercent: pool.MinServingPercent}
		for _, order := range rollout.Plan(limits, poolModels(snapshot, name), c.poolRunners(snapshot, name)) {
			c.sendOrder(snapshot, token, order)
		}
	}
}

func poolModels(snapshot *config.Snapshot, pool string) []rollout.Model {
	var models []rollout.Model
	for name, model := range snapshot.Models {
		if model.Pool != pool {
			continue
		}
		wanted := rollout.Model{Name: name, WeightVersion: model.WeightVersion}
		if weights := snapshot.Weights[model.WeightVersion]; weights != nil {
			wanted.Source = weights.Source
		}
		for adapter, spec := range snapshot.Adapters {
			if spec.Model == name {
				wanted.Adapters = append(wanted.Adapters, adapter)
			}
		}
		sort.Strings(wanted.Adapters)
		models = append(models, wanted)
	}
	return models
}

func (c *controller) poolRunners(snapshot *config.Snapshot, pool string) []rollout.Runner {
	n := c.node
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var runners []rollout.Runner
	for _, runner := range snapshot.ByPool[pool] {
		report, _ := n.control.Fleet().Get(runner.Name)
		runners = append(runners, rollout.Runner{Name: runner.Name, Role: string(runner.Spec.Role), Leaving: runner.Leaving, Report: report})
	}
	return runners
}

func (c *controller) sendOrder(snapshot *config.Snapshot, token uint64, order rollout.Order) {
	runner := snapshot.Runners[order.Runner]
	if runner == nil {
		return
	}
	order.Order.Token = token
	fields := events.Fields{"runner": order.Runner, "order": order.Order.Kind, "weights": order.Order.WeightVersion, "token": token}
	if err := c.node.engines.Order(c.node.ctx, runner.Spec.Address, &order.Order); err != nil {
		fields["error"] = err.Error()
		c.node.log.Log(events.OrderRefused, fields)
		return
	}
	c.node.log.Log(events.OrderSent, fields)
	c.noteLoading(order)
}

// noteLoading keeps the plan from ordering a second runner to load before the
// first one's own report arrives.
func (c *controller) noteLoading(order rollout.Order) {
	if order.Order.Kind != engineapi.OrderLoadWeights {
		return
	}
	n := c.node
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if report, found := n.control.Fleet().Get(order.Runner); found {
		n.control.Fleet().MarkLoading(order.Runner, report.Incarnation)
	}
}

// writeStatus reports, for each resource, whether it was accepted and whether
// its version is in force on every live router. Unchanged status is not written.
func (c *controller) writeStatus() {
	n := c.node
	n.mutex.Lock()
	lowest := n.lowestRevision()
	keys := n.control.Store().Keys()
	statuses := map[v1.Key]v1.Status{}
	for key, version := range keys {
		if slices.Contains(v1.OperatorKinds, key.Kind) {
			statuses[key] = n.statusOf(key, version, lowest)
		}
	}
	n.mutex.Unlock()
	for key, status := range statuses {
		if statusEqual(c.reported[key], status) {
			continue
		}
		if n.platform.PutStatus(n.ctx, key, status) != nil {
			return
		}
		c.reported[key] = status
	}
}

// lowestRevision returns the lowest revision heard to be in force on a usable
// router. The mutex is held.
func (n *Node) lowestRevision() uint64 {
	lowest := uint64(n.control.Store().Revision())
	for _, id := range n.control.UsableNodes() {
		member, _ := n.control.Members().Member(id)
		lowest = min(lowest, member.Revision)
	}
	return lowest
}

func (n *Node) statusOf(key v1.Key, version, lowest uint64) v1.Status {
	accepted := v1.Condition{Type: v1.ConditionAccepted, State: v1.ConditionTrue}
	if fault := n.control.Store().Fault(key); fault != "" {
		accepted = v1.Condition{Type: v1.ConditionAccepted, State: v1.ConditionFalse, Reason: "Invalid", Message: fault}
	}
	inForce := v1.Condition{Type: v1.ConditionInForce, State: v1.ConditionTrue, Reason: "AllRouters"}
	if lowest < version {
		inForce = v1.Condition{Type: v1.ConditionInForce, State: v1.ConditionFalse, Reason: "Spreading"}
	}
	status := v1.Status{ObservedVersion: version, Conditions: []v1.Condition{accepted, inForce}}
	if key.Kind == v1.KindRunner {
		status.Conditions = append(status.Conditions, n.servingCondition(key.Name))
	}
	return status
}

func (n *Node) servingCondition(runner string) v1.Condition {
	condition := v1.Condition{Type: v1.ConditionServing, State: v1.ConditionUnknown, Reason: "NotHeardOf"}
	report, found := n.control.Fleet().Get(runner)
	if !found {
		return condition
	}
	condition.State, condition.Reason = v1.ConditionFalse, "NotConnected"
	if report.Connected {
		condition.Reason = report.State.String()
		condition.Message = report.Model + " " + report.WeightVersion
		if report.State == fleet.Serving && report.Model != "" {
			condition.State = v1.ConditionTrue
		}
	}
	return condition
}

func statusEqual(a, b v1.Status) bool {
	return a.ObservedVersion == b.ObservedVersion && slices.Equal(a.Conditions, b.Conditions)
}

// cancelAttempt stops an attempt that nobody awaits, without waiting for it.
func (n *Node) cancelAttempt(address, request string, attempt uint32) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		// If it cannot be told, the engine finishes work that nobody reads.
		_ = n.engines.Cancel(ctx, address, &engineapi.CancelRequest{Request: request, Attempt: attempt})
	}()
}
