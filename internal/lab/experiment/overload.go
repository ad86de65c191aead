package experiment

import (
	"fmt"
	"io"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/emulator"
)

// overloadShare is the offered load of the overload experiment.
const overloadShare = 1.3

// tierWaits are the longest accepted waits by tier.
var tierWaits = [emulator.Tiers]time.Duration{10 * time.Second, 2 * time.Second, 500 * time.Millisecond}

// Overload is how the product fares when more is offered than the fleet can do.
type Overload struct {
	// TopCalm and TopLoaded are the top tier's p99 in milliseconds at the usual
	// load and under overload.
	TopCalm, TopLoaded Spread
	// RefusedShare is by tier.
	RefusedShare [emulator.Tiers]Spread
	// ServedOnReturn is the share of refused callers that were served when they
	// came back as told.
	ServedOnReturn Spread
}

func overload(deployment emulator.Deployment, saturation float64, settings Settings) Overload {
	calm, loaded := make([]*emulator.Result, settings.Seeds), make([]*emulator.Result, settings.Seeds)
	var jobs []func()
	for seed := range settings.Seeds {
		run := func(share float64, into []*emulator.Result) func() {
			return func() {
				one := baseSettings(deployment, settings.Duration)
				one.Faults = emulator.Faults{EventLag: one.Faults.EventLag, LoadLag: one.Faults.LoadLag, EventLoss: one.Faults.EventLoss}
				one.Policy, one.RequestsPerSecond, one.Seed, one.MaxWait = emulator.Product, saturation*share, uint64(reportSeed+seed), tierWaits
				into[seed] = emulator.Run(one)
			}
		}
		jobs = append(jobs, run(settings.Load, calm), run(overloadShare, loaded))
	}
	parallel(jobs)
	spread := func(results []*emulator.Result, value func(*emulator.Result) float64) Spread {
		values := make([]float64, len(results))
		for i, result := range results {
			values[i] = value(result)
		}
		return spreadOf(values)
	}
	top := func(r *emulator.Result) float64 { return emulator.PercentileMillis(r.FirstTokenByTier[0], 99) }
	o := Overload{
		TopCalm: spread(calm, top), TopLoaded: spread(loaded, top),
		ServedOnReturn: spread(loaded, func(r *emulator.Result) float64 {
			return 1 - float64(r.RefusedRetries)/float64(max(r.Retries, 1))
		}),
	}
	for tier := range o.RefusedShare {
		o.RefusedShare[tier] = spread(loaded, func(r *emulator.Result) float64 {
			return float64(r.Refused[tier]) / float64(max(r.Offered[tier], 1))
		})
	}
	return o
}

func (o Overload) print(out io.Writer) {
	fmt.Fprintf(out, "at %.0f%% load: top tier p99 %.0f ms (%.0f ms at the usual load, ratio %.2f); refused by tier %.3f, %.3f, %.3f; served on return %.3f (least %.3f)\n",
		overloadShare*100, o.TopLoaded.Median, o.TopCalm.Median, o.TopLoaded.Median/o.TopCalm.Median,
		o.RefusedShare[0].Median, o.RefusedShare[1].Median, o.RefusedShare[2].Median, o.ServedOnReturn.Median, o.ServedOnReturn.Least)
}
