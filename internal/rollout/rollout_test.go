package rollout

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/clovertiller/clovertiller/internal/engineapi"
	"github.com/clovertiller/clovertiller/internal/fleet"
	"github.com/clovertiller/clovertiller/internal/lab/testkit"
)

var desiredModels = []Model{{Name: "m", WeightVersion: "v2", Source: "s2"}}

// drawRunners draws runners in random states.
func drawRunners(t *rapid.T) []Runner {
	runners := make([]Runner, rapid.IntRange(1, 12).Draw(t, "runners"))
	for i := range runners {
		report := fleet.Report{Connected: rapid.IntRange(0, 4).Draw(t, "connected") > 0, Role: "serve"}
		report.State = rapid.SampledFrom([]fleet.State{fleet.Serving, fleet.Serving, fleet.Loading, fleet.Draining}).Draw(t, "state")
		report.Model = rapid.SampledFrom([]string{"", "m"}).Draw(t, "model")
		report.WeightVersion = rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")
		runners[i] = Runner{Name: fmt.Sprintf("r%d", i), Role: "serve", Report: report, Leaving: rapid.IntRange(0, 5).Draw(t, "leaving") == 0}
	}
	return runners
}

// TestPlanRespectsLimits checks both limits on random fleets.
func TestPlanRespectsLimits(t *testing.T) {
	testkit.SetRapidDefaults(20000)
	rapid.Check(t, func(t *rapid.T) {
		runners := drawRunners(t)
		limits := Limits{MaxLoading: rapid.IntRange(1, 4).Draw(t, "max"), MinServingPercent: rapid.IntRange(0, 99).Draw(t, "percent")}
		loading, serving, total := 0, 0, 0
		runnersByName := map[string]Runner{}
		for _, runner := range runners {
			runnersByName[runner.Name] = runner
			if !runner.Report.Connected || runner.Leaving {
				continue
			}
			total++
			if runner.Report.State == fleet.Loading {
				loading++
			}
			if runner.Report.State == fleet.Serving && runner.Report.Model != "" {
				serving++
			}
		}
		initiallyLoading := loading
		unloading := 0
		for _, order := range Plan(limits, desiredModels, runners) {
			runner := runnersByName[order.Runner]
			if order.Order.Kind != engineapi.OrderLoadWeights {
				continue
			}
			if runner.Report.WeightVersion == "v2" && runner.Report.Model == "m" {
				t.Fatalf("%s already has the desired weights", order.Runner)
			}
			loading++
			if runner.Report.Model != "" {
				unloading++
			}
		}
		if loading > limits.MaxLoading && loading > initiallyLoading {
			t.Fatalf("%d runners load at the same time, %d allowed", loading, limits.MaxLoading)
		}
		if unloading > 0 && (serving-unloading)*100 < total*limits.MinServingPercent {
			t.Fatalf("%d of %d runners still serve, %d%% required", serving-unloading, total, limits.MinServingPercent)
		}
	})
}

// TestPlanConverges checks that repeated plans update all runners in as few rounds
// as MaxLoading allows.
func TestPlanConverges(t *testing.T) {
	g := NewWithT(t)
	runners := make([]Runner, 7)
	for i := range runners {
		runners[i] = Runner{Name: fmt.Sprintf("r%d", i), Role: "serve", Report: fleet.Report{Connected: true, State: fleet.Serving, Model: "m", WeightVersion: "v1", Role: "serve"}}
	}
	rounds := 0
	for ; rounds < 20; rounds++ {
		orders := Plan(Limits{MaxLoading: 2, MinServingPercent: 50}, desiredModels, runners)
		if len(orders) == 0 {
			break
		}
		for _, order := range orders {
			for i := range runners {
				if runners[i].Name == order.Runner {
					runners[i].Report.WeightVersion = order.Order.WeightVersion
				}
			}
		}
	}
	g.Expect(rounds).To(Equal(4), "seven runners, two at a time, take four rounds")
}

func TestAdapterAndRoleOrders(t *testing.T) {
	g := NewWithT(t)
	models := []Model{{Name: "m", WeightVersion: "v1", Adapters: []string{"a"}}}
	runner := Runner{Name: "r", Role: "standby", Report: fleet.Report{Connected: true, State: fleet.Serving, Model: "m", WeightVersion: "v1", Role: "serve"}}
	orders := Plan(Limits{MaxLoading: 1}, models, []Runner{runner})
	g.Expect(orders).To(HaveLen(2))
	g.Expect(orders[0].Order.Kind).To(Equal(engineapi.OrderLoadAdapter))
	g.Expect(orders[1].Order.Kind).To(Equal(engineapi.OrderSetRole))
}
