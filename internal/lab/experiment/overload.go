package experiment

import (
	"fmt"
	"io"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/emulator"
)

// overloadFactor is the offered load under overload, relative to the saturation rate.
const overloadFactor = 1.3

// maxWaitByTier holds the maximum expected wait of admitted requests by tier.
var maxWaitByTier = [emulator.Tiers]time.Duration{10 * time.Second, 2 * time.Second, 500 * time.Millisecond}

// Overload holds the results of the Product policy when the offered load exceeds the fleet's
// capacity.
type Overload struct {
	// TopTierP99Normal and TopTierP99Overloaded are the 99th percentiles of the top tier's time to
	// the first token at Settings.Load and under overload, in milliseconds.
	TopTierP99Normal, TopTierP99Overloaded Spread
	// RefusedShare is the share of requests that were refused, by tier.
	RefusedShare [emulator.Tiers]Spread
	// ServedOnRetry is the share of refused requests that were not refused again when they were
	// retried after the demanded delay.
	ServedOnRetry Spread
}

// runOverload runs the Product policy with every seed at Settings.Load and under overload.
func runOverload(deployment emulator.Deployment, saturationRate float64, settings Settings) Overload {
	normal, overloaded := make([]*emulator.Result, settings.SeedCount), make([]*emulator.Result, settings.SeedCount)
	var tasks []func()
	for seed := range settings.SeedCount {
		newTask := func(loadFactor float64, destination []*emulator.Result) func() {
			return func() {
				runSettings := baseSettings(deployment, settings.Duration)
				runSettings.Faults = emulator.Faults{EventLag: runSettings.Faults.EventLag, LoadLag: runSettings.Faults.LoadLag, EventLoss: runSettings.Faults.EventLoss}
				runSettings.Policy, runSettings.RequestsPerSecond, runSettings.Seed, runSettings.MaxWait = emulator.Product, saturationRate*loadFactor, uint64(firstReportSeed+seed), maxWaitByTier
				destination[seed] = emulator.Run(runSettings)
			}
		}
		tasks = append(tasks, newTask(settings.Load, normal), newTask(overloadFactor, overloaded))
	}
	runParallel(tasks)
	spread := func(results []*emulator.Result, value func(*emulator.Result) float64) Spread {
		values := make([]float64, len(results))
		for i, result := range results {
			values[i] = value(result)
		}
		return newSpread(values)
	}
	topTierP99 := func(r *emulator.Result) float64 { return emulator.PercentileMillis(r.FirstTokenByTier[0], 99) }
	overload := Overload{
		TopTierP99Normal: spread(normal, topTierP99), TopTierP99Overloaded: spread(overloaded, topTierP99),
		ServedOnRetry: spread(overloaded, func(r *emulator.Result) float64 {
			return 1 - float64(r.RefusedRetries)/float64(max(r.Retries, 1))
		}),
	}
	for tier := range overload.RefusedShare {
		overload.RefusedShare[tier] = spread(overloaded, func(r *emulator.Result) float64 {
			return float64(r.Refused[tier]) / float64(max(r.Offered[tier], 1))
		})
	}
	return overload
}

func (o Overload) print(out io.Writer) {
	fmt.Fprintf(out, "at %.0f%% load: top tier p99 %.0f ms (%.0f ms at the usual load, ratio %.2f); refused by tier %.3f, %.3f, %.3f; served on return %.3f (least %.3f)\n",
		overloadFactor*100, o.TopTierP99Overloaded.Median, o.TopTierP99Normal.Median, o.TopTierP99Overloaded.Median/o.TopTierP99Normal.Median,
		o.RefusedShare[0].Median, o.RefusedShare[1].Median, o.RefusedShare[2].Median, o.ServedOnRetry.Median, o.ServedOnRetry.Min)
}
