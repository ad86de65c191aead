// Package experiment runs the emulator over policies, deployments and seeds and
// reports medians, spreads and ratios to the oracle.
package experiment

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/emulator"
)

// Settings of an experiment.
type Settings struct {
	Seeds    int
	Duration time.Duration
	// Load is the offered load as a share of what the oracle's engines can do.
	Load float64
	// PlotDirectory is where plots are written; "" for none.
	PlotDirectory string
}

// DefaultSettings returns the settings of `make experiment`.
func DefaultSettings() Settings {
	return Settings{Seeds: 10, Duration: 60 * time.Second, Load: 0.85}
}

// reportSeed is the first seed of reported figures; calibration uses other ones.
const (
	reportSeed    = 1000
	calibrateSeed = 1
)

// variant is one line of the report.
type variant struct {
	name   string
	policy emulator.Policy
	stride int
}

func variants() []variant {
	var all []variant
	for _, policy := range emulator.Policies() {
		all = append(all, variant{string(policy), policy, 1})
	}
	return append(all, variant{"product, stride 4", emulator.Product, 4}, variant{"product, stride 16", emulator.Product, 16})
}

func baseSettings(deployment emulator.Deployment, duration time.Duration) emulator.Settings {
	return emulator.Settings{
		Deployment: deployment, Engine: emulator.EngineSettings(), Duration: duration, Routers: 3, AnchorStride: 1, Faults: emulator.AllFaults(),
	}
}

// The search for the saturation tries as many rates at once as there are steps,
// first over the whole range, then between the two neighbours.
const (
	saturationSteps  = 8
	highestPerRunner = 80.0
	lowestPerRunner  = 2.0
	saturatedP95     = 1000.0
	saturationTime   = 20 * time.Second
)

// Saturation finds the rate at which the oracle's fleet keeps up no longer: the
// highest at which its p95 first token stays below one second, without faults.
func Saturation(deployment emulator.Deployment) float64 {
	low, high := lowestPerRunner*float64(deployment.Runners), highestPerRunner*float64(deployment.Runners)
	for range 2 {
		low, high = narrow(deployment, low, high)
	}
	return low
}

func narrow(deployment emulator.Deployment, low, high float64) (float64, float64) {
	width := (high - low) / saturationSteps
	keepsUp := make([]bool, saturationSteps)
	var jobs []func()
	for i := range saturationSteps {
		jobs = append(jobs, func() {
			settings := baseSettings(deployment, saturationTime)
			settings.Faults = emulator.Faults{EventLag: settings.Faults.EventLag, LoadLag: settings.Faults.LoadLag}
			settings.Policy, settings.RequestsPerSecond, settings.Seed = emulator.Oracle, low+width*float64(i+1), calibrateSeed
			result := emulator.Run(settings)
			keepsUp[i] = result.Completed > 0 && emulator.PercentileMillis(result.FirstTokenOverall, 95) < saturatedP95
		})
	}
	parallel(jobs)
	for i, fine := range keepsUp {
		if !fine {
			return low + width*float64(i), low + width*float64(i+1)
		}
	}
	return high, high
}

// parallel runs the jobs on all processors.
func parallel(jobs []func()) {
	var group sync.WaitGroup
	slots := make(chan struct{}, runtime.NumCPU())
	for _, job := range jobs {
		group.Add(1)
		slots <- struct{}{}
		go func() {
			defer group.Done()
			job()
			<-slots
		}()
	}
	group.Wait()
}

// Spread is a median with the least and greatest value.
type Spread struct{ Median, Least, Greatest float64 }

func spreadOf(values []float64) Spread {
	sorted := slices.Sorted(slices.Values(values))
	return Spread{sorted[len(sorted)/2], sorted[0], sorted[len(sorted)-1]}
}

// Measures are one variant's figures on one deployment.
type Measures struct {
	Variant               string
	HitRate, Recomputed   Spread
	P50, P95, P99, TopP99 Spread
	Messages              Spread
}

func measure(name string, results []*emulator.Result) Measures {
	collect := func(value func(*emulator.Result) float64) Spread {
		values := make([]float64, len(results))
		for i, result := range results {
			values[i] = value(result)
		}
		return spreadOf(values)
	}
	offered := func(r *emulator.Result) float64 {
		return float64(max(r.Offered[0]+r.Offered[1]+r.Offered[2], 1))
	}
	return Measures{
		Variant:    name,
		HitRate:    collect(func(r *emulator.Result) float64 { return r.HitRate() }),
		Recomputed: collect(func(r *emulator.Result) float64 { return r.RecomputedPerRequest() }),
		P50:        collect(func(r *emulator.Result) float64 { return emulator.PercentileMillis(r.FirstTokenOverall, 50) }),
		P95:        collect(func(r *emulator.Result) float64 { return emulator.PercentileMillis(r.FirstTokenOverall, 95) }),
		P99:        collect(func(r *emulator.Result) float64 { return emulator.PercentileMillis(r.FirstTokenOverall, 99) }),
		TopP99:     collect(func(r *emulator.Result) float64 { return emulator.PercentileMillis(r.FirstTokenByTier[0], 99) }),
		Messages:   collect(func(r *emulator.Result) float64 { return float64(r.Messages+r.Lookups) / offered(r) }),
	}
}

// Outcome is the whole report of one deployment.
type Outcome struct {
	Deployment emulator.Deployment
	Rate       float64
	Lines      []Measures
	Overload   Overload
}

func (o Outcome) line(name string) Measures {
	for _, line := range o.Lines {
		if line.Variant == name {
			return line
		}
	}
	return Measures{}
}

// Run carries out the experiment and prints its report. Its last line gives
// the product's figures as ratios to the oracle's.
func Run(out io.Writer, settings Settings) error {
	var outcomes []Outcome
	for _, deployment := range emulator.Deployments() {
		saturation := Saturation(deployment)
		outcome := compare(deployment, saturation*settings.Load, settings)
		outcome.Overload = overload(deployment, saturation, settings)
		outcome.print(out, settings)
		outcomes = append(outcomes, outcome)
	}
	if settings.PlotDirectory != "" {
		if err := plotAll(settings.PlotDirectory, outcomes); err != nil {
			return err
		}
	}
	fmt.Fprint(out, "experiment:")
	for _, outcome := range outcomes {
		product, oracle := outcome.line(string(emulator.Product)), outcome.line(string(emulator.Oracle))
		fmt.Fprintf(out, " %s hit rate %.3f, recomputed %.3f, p99 %.3f of the oracle's;", outcome.Deployment.Name,
			product.HitRate.Median/oracle.HitRate.Median, product.Recomputed.Median/oracle.Recomputed.Median, product.P99.Median/oracle.P99.Median)
	}
	fmt.Fprintln(out)
	return nil
}

func compare(deployment emulator.Deployment, rate float64, settings Settings) Outcome {
	outcome := Outcome{Deployment: deployment, Rate: rate}
	all := variants()
	results := make([][]*emulator.Result, len(all))
	var jobs []func()
	for i, v := range all {
		results[i] = make([]*emulator.Result, settings.Seeds)
		for seed := range settings.Seeds {
			jobs = append(jobs, func() {
				run := baseSettings(deployment, settings.Duration)
				run.Policy, run.AnchorStride, run.RequestsPerSecond, run.Seed = v.policy, v.stride, rate, uint64(reportSeed+seed)
				results[i][seed] = emulator.Run(run)
			})
		}
	}
	parallel(jobs)
	for i, v := range all {
		outcome.Lines = append(outcome.Lines, measure(v.name, results[i]))
	}
	return outcome
}

func (o Outcome) print(out io.Writer, settings Settings) {
	fmt.Fprintf(out, "%s: %d runners, %.0f requests/s (%.0f%% of the oracle's saturation), all faults, %d seeds of %s; median (least to greatest)\n",
		o.Deployment.Name, o.Deployment.Runners, o.Rate, settings.Load*100, settings.Seeds, settings.Duration)
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "policy\thit rate\trecomputed tokens a request\tp50 ms\tp95 ms\tp99 ms\ttop tier p99 ms\tmessages a request")
	for _, line := range o.Lines {
		fmt.Fprintf(table, "%s\t%.3f (%.3f to %.3f)\t%.0f (%.0f to %.0f)\t%.0f\t%.0f (%.0f to %.0f)\t%.0f (%.0f to %.0f)\t%.0f\t%.1f\n", line.Variant,
			line.HitRate.Median, line.HitRate.Least, line.HitRate.Greatest, line.Recomputed.Median, line.Recomputed.Least, line.Recomputed.Greatest,
			line.P50.Median, line.P95.Median, line.P95.Least, line.P95.Greatest, line.P99.Median, line.P99.Least, line.P99.Greatest, line.TopP99.Median, line.Messages.Median)
	}
	table.Flush()
	o.Overload.print(out)
	fmt.Fprintln(out)
}
