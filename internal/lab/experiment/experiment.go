// Package experiment runs the emulator with each combination of policy, deployment and seed. It
// reports medians with minimum and maximum, and the product's results relative to the oracle's.
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

// Settings configures an experiment.
type Settings struct {
	SeedCount int
	// Duration is the virtual time of each run.
	Duration time.Duration
	// Load is the offered load as a share of the saturation rate of the Oracle policy.
	Load float64
	// PlotDirectory is the directory for plots. If it is empty, no plots are written.
	PlotDirectory string
}

// DefaultSettings returns the settings of `make experiment`.
func DefaultSettings() Settings {
	return Settings{SeedCount: 10, Duration: 60 * time.Second, Load: 0.85}
}

// Seeds of runs. The search for the saturation rate uses another seed than the reported runs.
const (
	// firstReportSeed is the first seed of the reported runs.
	firstReportSeed = 1000
	calibrationSeed = 1
)

// variant is a policy with its settings, which is a row of the report.
type variant struct {
	name         string
	policy       emulator.Policy
	anchorStride int
}

// allVariants returns every policy with all blocks indexed, and the product with wider strides.
func allVariants() []variant {
	var variants []variant
	for _, policy := range emulator.Policies() {
		variants = append(variants, variant{string(policy), policy, 1})
	}
	return append(variants, variant{"product, stride 4", emulator.Product, 4}, variant{"product, stride 16", emulator.Product, 16})
}

// baseSettings returns the settings that all runs on a deployment start from.
func baseSettings(deployment emulator.Deployment, duration time.Duration) emulator.Settings {
	return emulator.Settings{
		Deployment: deployment, Engine: emulator.EngineSettings(), Duration: duration, Routers: 3, AnchorStride: 1, Faults: emulator.AllFaults(),
	}
}

// Parameters of the search for the saturation rate.
const (
	// saturationSteps is the number of rates that narrowRange tries in parallel.
	saturationSteps = 8
	// maxRatePerRunner and minRatePerRunner limit the search, in requests per second and runner.
	maxRatePerRunner = 80.0
	minRatePerRunner = 2.0
	// saturatedP95Millis is the 95th percentile of the time to the first token from which a
	// fleet counts as saturated, in milliseconds.
	saturatedP95Millis = 1000.0
	saturationDuration = 20 * time.Second
)

// FindSaturationRate returns the highest tried rate, in requests per second, at which the 95th
// percentile of the time to the first token stays below one second with the Oracle policy and no
// faults other than lag. It searches the whole range in steps and then refines the step in which
// the fleet becomes saturated.
func FindSaturationRate(deployment emulator.Deployment) float64 {
	low, high := minRatePerRunner*float64(deployment.Runners), maxRatePerRunner*float64(deployment.Runners)
	for range 2 {
		low, high = narrowRange(deployment, low, high)
	}
	return low
}

// narrowRange returns the step between low and high in which the fleet becomes saturated, or an
// empty range at high if it doesn't.
func narrowRange(deployment emulator.Deployment, low, high float64) (float64, float64) {
	stepSize := (high - low) / saturationSteps
	withinLimit := make([]bool, saturationSteps)
	var tasks []func()
	for i := range saturationSteps {
		tasks = append(tasks, func() {
			settings := baseSettings(deployment, saturationDuration)
			settings.Faults = emulator.Faults{EventLag: settings.Faults.EventLag, LoadLag: settings.Faults.LoadLag}
			settings.Policy, settings.RequestsPerSecond, settings.Seed = emulator.Oracle, low+stepSize*float64(i+1), calibrationSeed
			result := emulator.Run(settings)
			withinLimit[i] = result.Completed > 0 && emulator.PercentileMillis(result.FirstTokenOverall, 95) < saturatedP95Millis
		})
	}
	runParallel(tasks)
	for i, ok := range withinLimit {
		if !ok {
			return low + stepSize*float64(i), low + stepSize*float64(i+1)
		}
	}
	return high, high
}

// runParallel runs the tasks, as many at once as there are CPUs, and waits for all of them.
func runParallel(tasks []func()) {
	var group sync.WaitGroup
	slots := make(chan struct{}, runtime.NumCPU())
	for _, task := range tasks {
		group.Add(1)
		slots <- struct{}{}
		go func() {
			defer group.Done()
			task()
			<-slots
		}()
	}
	group.Wait()
}

// Spread is the median of the values of all seeds with their minimum and maximum.
type Spread struct{ Median, Min, Max float64 }

func newSpread(values []float64) Spread {
	sorted := slices.Sorted(slices.Values(values))
	return Spread{sorted[len(sorted)/2], sorted[0], sorted[len(sorted)-1]}
}

// VariantStats are the results of a variant on a deployment. P50 to TopTierP99 are percentiles of
// the time to the first token in milliseconds.
type VariantStats struct {
	Variant                       string
	HitRate, RecomputedPerRequest Spread
	P50, P95, P99, TopTierP99     Spread
	MessagesPerRequest            Spread
}

// summarize returns the statistics of a variant's results, one per seed.
func summarize(name string, results []*emulator.Result) VariantStats {
	collect := func(value func(*emulator.Result) float64) Spread {
		values := make([]float64, len(results))
		for i, result := range results {
			values[i] = value(result)
		}
		return newSpread(values)
	}
	offeredRequests := func(r *emulator.Result) float64 {
		return float64(max(r.Offered[0]+r.Offered[1]+r.Offered[2], 1))
	}
	return VariantStats{
		Variant:              name,
		HitRate:              collect(func(r *emulator.Result) float64 { return r.HitRate() }),
		RecomputedPerRequest: collect(func(r *emulator.Result) float64 { return r.RecomputedPerRequest() }),
		P50:                  collect(func(r *emulator.Result) float64 { return emulator.PercentileMillis(r.FirstTokenOverall, 50) }),
		P95:                  collect(func(r *emulator.Result) float64 { return emulator.PercentileMillis(r.FirstTokenOverall, 95) }),
		P99:                  collect(func(r *emulator.Result) float64 { return emulator.PercentileMillis(r.FirstTokenOverall, 99) }),
		TopTierP99:           collect(func(r *emulator.Result) float64 { return emulator.PercentileMillis(r.FirstTokenByTier[0], 99) }),
		MessagesPerRequest:   collect(func(r *emulator.Result) float64 { return float64(r.Messages+r.Lookups) / offeredRequests(r) }),
	}
}

// DeploymentReport holds all results for a deployment.
type DeploymentReport struct {
	Deployment emulator.Deployment
	// RequestsPerSecond is the offered load of the variants' runs.
	RequestsPerSecond float64
	Variants          []VariantStats
	Overload          Overload
}

func (r DeploymentReport) variantStats(name string) VariantStats {
	for _, stats := range r.Variants {
		if stats.Variant == name {
			return stats
		}
	}
	return VariantStats{}
}

// Run runs the experiment and prints its report. The last line holds the product's results
// relative to the oracle's.
func Run(out io.Writer, settings Settings) error {
	var reports []DeploymentReport
	for _, deployment := range emulator.Deployments() {
		saturationRate := FindSaturationRate(deployment)
		report := compareVariants(deployment, saturationRate*settings.Load, settings)
		report.Overload = runOverload(deployment, saturationRate, settings)
		report.print(out, settings)
		reports = append(reports, report)
	}
	if settings.PlotDirectory != "" {
		if err := writePlots(settings.PlotDirectory, reports); err != nil {
			return err
		}
	}
	fmt.Fprint(out, "experiment:")
	for _, report := range reports {
		product, oracle := report.variantStats(string(emulator.Product)), report.variantStats(string(emulator.Oracle))
		fmt.Fprintf(out, " %s hit rate %.3f, recomputed %.3f, p99 %.3f of the oracle's;", report.Deployment.Name,
			product.HitRate.Median/oracle.HitRate.Median, product.RecomputedPerRequest.Median/oracle.RecomputedPerRequest.Median, product.P99.Median/oracle.P99.Median)
	}
	fmt.Fprintln(out)
	return nil
}

// compareVariants runs every variant with every seed at the given load.
func compareVariants(deployment emulator.Deployment, requestsPerSecond float64, settings Settings) DeploymentReport {
	report := DeploymentReport{Deployment: deployment, RequestsPerSecond: requestsPerSecond}
	variants := allVariants()
	results := make([][]*emulator.Result, len(variants))
	var tasks []func()
	for i, v := range variants {
		results[i] = make([]*emulator.Result, settings.SeedCount)
		for seed := range settings.SeedCount {
			tasks = append(tasks, func() {
				runSettings := baseSettings(deployment, settings.Duration)
				runSettings.Policy, runSettings.AnchorStride, runSettings.RequestsPerSecond, runSettings.Seed = v.policy, v.anchorStride, requestsPerSecond, uint64(firstReportSeed+seed)
				results[i][seed] = emulator.Run(runSettings)
			})
		}
	}
	runParallel(tasks)
	for i, v := range variants {
		report.Variants = append(report.Variants, summarize(v.name, results[i]))
	}
	return report
}

func (r DeploymentReport) print(out io.Writer, settings Settings) {
	fmt.Fprintf(out, "%s: %d runners, %.0f requests/s (%.0f%% of the oracle's saturation), all faults, %d seeds of %s; median (least to greatest)\n",
		r.Deployment.Name, r.Deployment.Runners, r.RequestsPerSecond, settings.Load*100, settings.SeedCount, settings.Duration)
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "policy\thit rate\trecomputed tokens a request\tp50 ms\tp95 ms\tp99 ms\ttop tier p99 ms\tmessages a request")
	for _, stats := range r.Variants {
		fmt.Fprintf(table, "%s\t%.3f (%.3f to %.3f)\t%.0f (%.0f to %.0f)\t%.0f\t%.0f (%.0f to %.0f)\t%.0f (%.0f to %.0f)\t%.0f\t%.1f\n", stats.Variant,
			stats.HitRate.Median, stats.HitRate.Min, stats.HitRate.Max, stats.RecomputedPerRequest.Median, stats.RecomputedPerRequest.Min, stats.RecomputedPerRequest.Max,
			stats.P50.Median, stats.P95.Median, stats.P95.Min, stats.P95.Max, stats.P99.Median, stats.P99.Min, stats.P99.Max, stats.TopTierP99.Median, stats.MessagesPerRequest.Median)
	}
	table.Flush()
	r.Overload.print(out)
	fmt.Fprintln(out)
}
