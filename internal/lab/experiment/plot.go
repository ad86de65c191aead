package experiment

import (
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// writePlots writes a bar chart per deployment and statistic to the directory, which it creates
// if necessary.
func writePlots(directory string, reports []DeploymentReport) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return trace.ConvertSystemError(err)
	}
	for _, report := range reports {
		charts := []struct {
			name, title string
			value       func(VariantStats) float64
		}{
			{"hit-rate", "prefix hit rate", func(stats VariantStats) float64 { return stats.HitRate.Median }},
			{"first-token-p99", "p99 first token, ms", func(stats VariantStats) float64 { return stats.P99.Median }},
			{"recomputed", "recomputed tokens a request", func(stats VariantStats) float64 { return stats.RecomputedPerRequest.Median }},
		}
		for _, chart := range charts {
			path := filepath.Join(directory, report.Deployment.Name+"-"+chart.name+".png")
			if err := writeBarChart(path, report.Deployment.Name+": "+chart.title, report.Variants, chart.value); err != nil {
				return err
			}
		}
	}
	return nil
}

// Sizes of a bar chart.
const (
	chartWidth     = 8 * vg.Inch
	chartHeight    = 4 * vg.Inch
	barWidthPoints = 28
)

// writeBarChart writes a PNG file with a bar for each variant.
func writeBarChart(path, title string, variants []VariantStats, value func(VariantStats) float64) error {
	chart := plot.New()
	chart.Title.Text = title
	var values plotter.Values
	var names []string
	for _, stats := range variants {
		values = append(values, value(stats))
		names = append(names, stats.Variant)
	}
	bars, err := plotter.NewBarChart(values, vg.Points(barWidthPoints))
	if err != nil {
		return trace.Wrap(err)
	}
	chart.Add(bars)
	chart.NominalX(names...)
	chart.Y.Min = 0
	return trace.Wrap(chart.Save(chartWidth, chartHeight, path))
}
