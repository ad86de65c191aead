// Package rollout plans the orders that bring the runners of a pool to their
// configured weights, adapters and roles, within the pool's rollout limits. It is
// level-triggered: each plan compares the desired with the observed state and
// doesn't depend on earlier plans.
//
// The package has no I/O and no clock.
package rollout

import (
	"slices"
	"sort"

	"github.com/clovertiller/clovertiller/internal/engineapi"
	"github.com/clovertiller/clovertiller/internal/fleet"
	"github.com/clovertiller/clovertiller/internal/rendezvous"
)

// Model is a model of the pool with its desired weights and adapters.
type Model struct {
	Name          string
	WeightVersion string
	Source        string
	Adapters      []string
}

// Runner is a runner of the pool in its desired and its observed state.
type Runner struct {
	Name string
	// Role is the configured role.
	Role string
	// Leaving runners get no orders and don't count towards the limits.
	Leaving bool
	// Report is the runner's last reported state.
	Report fleet.Report
}

// Limits are the rollout limits of a pool.
type Limits struct {
	// MaxLoading is the maximum number of runners that load weights at the same time.
	MaxLoading int
	// MinServingPercent is the minimum share of the pool's runners that must keep serving.
	MinServingPercent int
}

// Order is an order to one runner.
type Order struct {
	Runner string
	Order  engineapi.Order
}

// AssignModels distributes the pool's runners evenly over its models and returns
// the model of each runner by the runner's name. Runners are sorted by a hash of
// their names, so their relative order doesn't change when others come or go.
func AssignModels(models []Model, runners []Runner) map[string]Model {
	assigned := map[string]Model{}
	if len(models) == 0 {
		return assigned
	}
	sortedRunners := slices.Clone(runners)
	sort.Slice(sortedRunners, func(i, j int) bool {
		return rendezvous.KeyOf(sortedRunners[i].Name) < rendezvous.KeyOf(sortedRunners[j].Name)
	})
	sortedModels := slices.Clone(models)
	sort.Slice(sortedModels, func(i, j int) bool { return sortedModels[i].Name < sortedModels[j].Name })
	for i, runner := range sortedRunners {
		assigned[runner.Name] = sortedModels[i%len(sortedModels)]
	}
	return assigned
}

// Plan returns the orders to send now.
//
// Invariants: the orders raise the number of runners that load weights to
// MaxLoading at most, and no order makes a serving runner reload when that would
// leave fewer than MinServingPercent of the runners serving.
func Plan(limits Limits, models []Model, runners []Runner) []Order {
	assigned := AssignModels(models, runners)
	loading, serving, total := 0, 0, 0
	for _, runner := range runners {
		if !runner.Report.Connected || runner.Leaving {
			continue
		}
		total++
		switch runner.Report.State {
		case fleet.Loading:
			loading++
		case fleet.Serving:
			if runner.Report.Model != "" {
				serving++
			}
		}
	}
	minServing := (total*limits.MinServingPercent + 99) / 100
	var orders []Order
	for _, runner := range runners {
		model, found := assigned[runner.Name]
		if !found || !runner.Report.Connected || runner.Leaving || runner.Report.State != fleet.Serving {
			continue
		}
		orders = append(orders, adapterAndRoleOrders(runner, model)...)
		if runner.Report.Model == model.Name && runner.Report.WeightVersion == model.WeightVersion {
			continue
		}
		unloaded := runner.Report.Model == ""
		if loading >= limits.MaxLoading || (!unloaded && serving-1 < minServing) {
			continue
		}
		loading++
		if !unloaded {
			serving--
		}
		orders = append(orders, Order{Runner: runner.Name, Order: engineapi.Order{
			Kind: engineapi.OrderLoadWeights, Model: model.Name, WeightVersion: model.WeightVersion, Source: model.Source,
		}})
	}
	return orders
}

// adapterAndRoleOrders returns the runner's orders to load adapters and change its
// role. The limits don't apply to them, since the runner keeps serving meanwhile.
func adapterAndRoleOrders(runner Runner, model Model) []Order {
	var orders []Order
	for _, adapter := range model.Adapters {
		if !slices.Contains(runner.Report.Adapters, adapter) {
			orders = append(orders, Order{Runner: runner.Name, Order: engineapi.Order{Kind: engineapi.OrderLoadAdapter, Model: model.Name, Adapter: adapter}})
		}
	}
	if runner.Role != runner.Report.Role {
		orders = append(orders, Order{Runner: runner.Name, Order: engineapi.Order{Kind: engineapi.OrderSetRole, Role: runner.Role}})
	}
	return orders
}
