// Package rollout plans which orders bring runners to the configured weights,
// adapters and roles, within the pool's limits. It is level-triggered: each
// plan compares desired with observed and needs no memory of earlier ones.
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

// Model is one model of the pool with its desired weights.
type Model struct {
	Name          string
	WeightVersion string
	Source        string
	Adapters      []string
}

// Runner is one runner of the pool, as configured and as observed.
type Runner struct {
	Name    string
	Role    string
	Leaving bool
	Report  fleet.Report
}

// Limits are the pool's rollout limits.
type Limits struct {
	// MaxLoading bounds the runners that load weights at once.
	MaxLoading int
	// MinServingPercent is the share of the pool's runners that must keep serving.
	MinServingPercent int
}

// Order is an order for one runner.
type Order struct {
	Runner string
	Order  engineapi.Order
}

// AssignModels divides the pool's runners evenly over its models, by a ranking
// that does not change when other runners come or go.
func AssignModels(models []Model, runners []Runner) map[string]Model {
	assigned := map[string]Model{}
	if len(models) == 0 {
		return assigned
	}
	ordered := slices.Clone(runners)
	sort.Slice(ordered, func(i, j int) bool {
		return rendezvous.KeyOf(ordered[i].Name) < rendezvous.KeyOf(ordered[j].Name)
	})
	byName := slices.Clone(models)
	sort.Slice(byName, func(i, j int) bool { return byName[i].Name < byName[j].Name })
	for i, runner := range ordered {
		assigned[runner.Name] = byName[i%len(byName)]
	}
	return assigned
}

// Plan returns the orders to give now.
//
// Invariants: with these orders carried out, at most MaxLoading runners load
// at once, and no order takes a serving runner out when that would leave fewer
// than MinServingPercent of the runners serving.
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
	floor := (total*limits.MinServingPercent + 99) / 100
	var orders []Order
	for _, runner := range runners {
		model, has := assigned[runner.Name]
		if !has || !runner.Report.Connected || runner.Leaving || runner.Report.State != fleet.Serving {
			continue
		}
		orders = append(orders, sideOrders(runner, model)...)
		if runner.Report.Model == model.Name && runner.Report.WeightVersion == model.WeightVersion {
			continue
		}
		empty := runner.Report.Model == ""
		if loading >= limits.MaxLoading || (!empty && serving-1 < floor) {
			continue
		}
		loading++
		if !empty {
			serving--
		}
		orders = append(orders, Order{Runner: runner.Name, Order: engineapi.Order{
			Kind: engineapi.OrderLoadWeights, Model: model.Name, WeightVersion: model.WeightVersion, Source: model.Source,
		}})
	}
	return orders
}

// sideOrders returns the orders that take no capacity out.
func sideOrders(runner Runner, model Model) []Order {
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
