package experiment

import (
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// plotAll writes one bar chart a deployment and measure.
func plotAll(directory string, outcomes []Outcome) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return trace.ConvertSystemError(err)
	}
	for _, outcome := range outcomes {
		charts := []struct {
			name, title string
			value       func(Measures) float64
		}{
			{"hit-rate", "prefix hit rate", func(m Measures) float64 { return m.HitRate.Median }},
			{"first-token-p99", "p99 first token, ms", func(m Measures) float64 { return m.P99.Median }},
			{"recomputed", "recomputed tokens a request", func(m Measures) float64 { return m.Recomputed.Median }},
		}
		for _, chart := range charts {
			path := filepath.Join(directory, outcome.Deployment.Name+"-"+chart.name+".png")
			if err := plotBars(path, outcome.Deployment.Name+": "+chart.title, outcome.Lines, chart.value); err != nil {
				return err
			}
		}
	}
	return nil
}

const (
	chartWidth  = 8 * vg.Inch
	chartHeight = 4 * vg.Inch
	barWidth    = 28
)

func plotBars(path, title string, lines []Measures, value func(Measures) float64) error {
	chart := plot.New()
	chart.Title.Text = title
	var values plotter.Values
	var names []string
	for _, line := range lines {
		values = append(values, value(line))
		names = append(names, line.Variant)
	}
	bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
	if err != nil {
		return trace.Wrap(err)
	}
	chart.Add(bars)
	chart.NominalX(names...)
	chart.Y.Min = 0
	return trace.Wrap(chart.Save(chartWidth, chartHeight, path))
}
