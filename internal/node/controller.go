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

// Parameters of the controller.
const (
	controllerInterval = 250 * time.Millisecond
	leaseDuration      = 3 * time.Second
	// maxLeaseCandidates is the number of nodes that compete for the controller lease. The other
	// nodes do not read it.
	maxLeaseCandidates = 2
)

var (
	leaseKey = v1.Key{Kind: v1.KindLease, Name: "controller"}
	// leaseCandidatesKey is the rendezvous hash key by which the lease candidates are chosen.
	leaseCandidatesKey = rendezvous.KeyOf("duty/controller")
)

// controller sends orders to runners and writes the status of resources while its node holds the
// controller lease.
type controller struct {
	node          *Node
	candidate     *lease.Candidate
	nextLeaseRead time.Time
	leaseHeld     bool
	// writtenStatuses holds the statuses written since the lease was acquired.
	writtenStatuses map[v1.Key]v1.Status
}

// controllerLoop maintains the controller lease. While this node holds it, the loop sends orders to
// runners and writes the status of resources.
func (n *Node) controllerLoop() {
	c := &controller{node: n, candidate: lease.NewCandidate(n.settings.Node, leaseDuration), writtenStatuses: map[v1.Key]v1.Status{}}
	for n.sleep(controllerInterval) {
		if n.Revision() == 0 {
			continue
		}
		token, held := c.maintainLease()
		if held != c.leaseHeld {
			c.leaseHeld = held
			c.handleLeaseChange(token, held)
		}
		if held {
			c.sendOrders(token)
			c.writeStatuses()
		}
	}
}

// handleLeaseChange logs that the lease was acquired or lost. A new holder writes all statuses
// again.
func (c *controller) handleLeaseChange(token uint64, held bool) {
	if held {
		c.node.log.Log(events.LeaseAcquired, events.Fields{"token": token})
		c.writtenStatuses = map[v1.Key]v1.Status{}
		return
	}
	c.node.log.Log(events.LeaseLost, events.Fields{})
}

// isCandidate reports whether this node competes for the lease.
func (c *controller) isCandidate() bool {
	n := c.node
	if n.draining.Load() {
		return false
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return slices.Contains(rendezvous.Ranked(n.control.UsableNodes(), leaseCandidatesKey, maxLeaseCandidates), n.settings.Node)
}

// maintainLease acquires, renews or observes the lease if this node is a candidate. It returns
// the fencing token, and whether this node holds the lease.
func (c *controller) maintainLease() (uint64, bool) {
	if c.isCandidate() {
		c.acquireOrRenewLease()
	}
	token, held := c.candidate.Token(time.Now())
	return uint64(token), held
}

// acquireOrRenewLease reads the lease when a read is due, and writes it if the candidate's next
// action is to acquire or renew it.
func (c *controller) acquireOrRenewLease() {
	now := time.Now()
	if now.After(c.nextLeaseRead) {
		c.nextLeaseRead = now.Add(leaseDuration / 4)
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
		// The write was refused or its outcome is unknown. Read the lease before the next write.
		c.nextLeaseRead = time.Time{}
		return
	}
	c.candidate.RecordWrite(sent, time.Now(), action, storerev.Revision(stored.Version), proposal)
}

// readLease passes the stored lease to the candidate. It returns false if the lease could not be
// read.
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

// sendOrders sends the orders that bring the runners of all pools to their configured weights,
// adapters and roles.
func (c *controller) sendOrders(token uint64) {
	snapshot := c.node.snapshot.Load()
	for name, pool := range snapshot.Pools {
		limits := rollout.Limits{MaxLoading: pool.MaxLoading, MinServingPercent: pool.MinServingPercent}
		for _, order := range rollout.Plan(limits, poolModels(snapshot, name), c.poolRunners(snapshot, name)) {
			c.sendOrder(snapshot, token, order)
		}
	}
}

// poolModels returns the models of a pool with their configured weights and adapters.
func poolModels(snapshot *config.Snapshot, pool string) []rollout.Model {
	var models []rollout.Model
	for name, model := range snapshot.Models {
		if model.Pool != pool {
			continue
		}
		desired := rollout.Model{Name: name, WeightVersion: model.WeightVersion}
		if weights := snapshot.WeightVersions[model.WeightVersion]; weights != nil {
			desired.Source = weights.Source
		}
		for adapter, spec := range snapshot.Adapters {
			if spec.Model == name {
				desired.Adapters = append(desired.Adapters, adapter)
			}
		}
		sort.Strings(desired.Adapters)
		models = append(models, desired)
	}
	return models
}

// poolRunners returns the runners of a pool with their latest reports.
func (c *controller) poolRunners(snapshot *config.Snapshot, pool string) []rollout.Runner {
	n := c.node
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var runners []rollout.Runner
	for _, runner := range snapshot.RunnersByPool[pool] {
		report, _ := n.control.Fleet().Get(runner.Name)
		runners = append(runners, rollout.Runner{Name: runner.Name, Role: string(runner.Spec.Role), Leaving: runner.Leaving, Report: report})
	}
	return runners
}

// sendOrder sends one order with the fencing token. A failed order is logged and planned again in
// the next round.
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
	c.markLoading(order)
}

// markLoading marks a runner as loading weights after it has accepted the order. Without it, the
// next plan could exceed the limit on loading runners, because the runner's own report has not
// arrived yet.
func (c *controller) markLoading(order rollout.Order) {
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

// writeStatuses writes the status of each resource: whether it was accepted and whether its
// version is in force on every live router. Unchanged statuses are not written.
func (c *controller) writeStatuses() {
	n := c.node
	n.mutex.Lock()
	revision := n.minRevision()
	keys := n.control.Store().Versions()
	statuses := map[v1.Key]v1.Status{}
	for key, version := range keys {
		if slices.Contains(v1.OperatorKinds, key.Kind) {
			statuses[key] = n.resourceStatus(key, version, revision)
		}
	}
	n.mutex.Unlock()
	for key, status := range statuses {
		if statusEqual(c.writtenStatuses[key], status) {
			continue
		}
		if n.platform.PutStatus(n.ctx, key, status) != nil {
			return
		}
		c.writtenStatuses[key] = status
	}
}

// minRevision returns the lowest configuration revision that is in force on this or another usable
// router, as last reported by each. The caller must hold n.mutex.
func (n *Node) minRevision() uint64 {
	revision := uint64(n.control.Store().Revision())
	for _, id := range n.control.UsableNodes() {
		member, _ := n.control.Members().Member(id)
		revision = min(revision, member.Revision)
	}
	return revision
}

// resourceStatus returns the status of the resource at the given version; revision is the result
// of minRevision. The caller must hold n.mutex.
func (n *Node) resourceStatus(key v1.Key, version, revision uint64) v1.Status {
	accepted := v1.Condition{Type: v1.ConditionAccepted, State: v1.ConditionTrue}
	if fault := n.control.Store().InvalidReason(key); fault != "" {
		accepted = v1.Condition{Type: v1.ConditionAccepted, State: v1.ConditionFalse, Reason: "Invalid", Message: fault}
	}
	inForce := v1.Condition{Type: v1.ConditionInForce, State: v1.ConditionTrue, Reason: "AllRouters"}
	if revision < version {
		inForce = v1.Condition{Type: v1.ConditionInForce, State: v1.ConditionFalse, Reason: "Spreading"}
	}
	status := v1.Status{ObservedVersion: version, Conditions: []v1.Condition{accepted, inForce}}
	if key.Kind == v1.KindRunner {
		status.Conditions = append(status.Conditions, n.servingCondition(key.Name))
	}
	return status
}

// servingCondition returns the condition that tells whether the runner is connected and serves a
// model. The caller must hold n.mutex.
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

// cancelAttempt asks the engine in the background to stop an attempt whose output is not needed
// any more.
func (n *Node) cancelAttempt(address, request string, attempt uint32) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		// If the call fails, the engine only finishes work that nobody reads.
		_ = n.engines.Cancel(ctx, address, &engineapi.CancelRequest{Request: request, Attempt: attempt})
	}()
}
