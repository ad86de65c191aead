package scale

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"

	"github.com/gravitational/trace"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Settings of a scale run.
type Settings struct {
	// Sizes are numbers of nodes.
	Sizes         []int
	PlotDirectory string
}

// DefaultSettings returns the settings of `make scale`.
func DefaultSettings() Settings { return Settings{Sizes: []int{25, 50, 100, 200}} }

// targetNodes is the number of nodes in two years.
const targetNodes = 400

// line is a fitted straight line.
type line struct{ intercept, slope float64 }

func fit(points []Point, value func(Point) float64) line {
	var xs, ys []float64
	for _, point := range points {
		xs = append(xs, float64(point.Size.Nodes))
		ys = append(ys, value(point))
	}
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	return line{intercept, slope}
}

func (l line) at(nodes float64) float64 { return l.intercept + l.slope*nodes }

// Run measures all sizes, prints the table and the fitted slopes, and last the
// extrapolation to the target.
func Run(out io.Writer, settings Settings) error {
	var points []Point
	for _, nodes := range settings.Sizes {
		point := Measure(SizeOf(nodes), func(format string, args ...any) { fmt.Fprintf(out, format, args...) })
		points = append(points, point)
		fmt.Fprintf(out, "%d nodes: measured in %.1f s\n", nodes, point.Took.Seconds())
	}
	printTable(out, points)
	measures := []struct {
		name, unit string
		value      func(Point) float64
	}{
		{"control bytes sent a node", "B/s", func(p Point) float64 { return p.BytesPerSecond }},
		{"control bytes sent, busiest node", "B/s", func(p Point) float64 { return p.WorstBytes }},
		{"processor time a node", "% of a core", func(p Point) float64 { return p.CorePercent }},
		{"processor time, busiest node", "% of a core", func(p Point) float64 { return p.WorstCorePercent }},
		{"heap a node", "MB", func(p Point) float64 { return p.HeapMB }},
		{"change in force everywhere, worst", "s", func(p Point) float64 { return p.ConfigWorst.Seconds() }},
		{"agreed that a node has left", "s", func(p Point) float64 { return p.Left.Seconds() }},
		{"lists after a start of all", "calls", func(p Point) float64 { return float64(p.Lists) }},
	}
	fmt.Fprintln(out)
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(table, "measure\tintercept\tslope a node\tat %d nodes\tunit\n", targetNodes)
	at := map[string]float64{}
	for _, measure := range measures {
		l := fit(points, measure.value)
		at[measure.name] = l.at(targetNodes)
		fmt.Fprintf(table, "%s\t%.3f\t%.5f\t%.2f\t%s\n", measure.name, l.intercept, l.slope, l.at(targetNodes), measure.unit)
	}
	table.Flush()
	if settings.PlotDirectory != "" {
		if err := plotPoints(settings.PlotDirectory, points); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "scale: control %.2f%% core, %.1f MB, %.2f KB/s, config %.1f s at %d nodes\n",
		at["processor time a node"], at["heap a node"], at["control bytes sent a node"]/1000, at["change in force everywhere, worst"], targetNodes)
	return nil
}

func printTable(out io.Writer, points []Point) {
	fmt.Fprintln(out)
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "nodes\trunners\ttenants\tB/s a node (busiest)\t% core (busiest)\theap MB\tconfig p50, worst\tleft\tleaving\track lost\tzone cut, healed\tregion healed\tstart\tlists")
	for _, p := range points {
		fmt.Fprintf(table, "%d\t%d\t%d\t%.0f (%.0f)\t%.3f (%.3f)\t%.2f\t%s, %s\t%s\t%s\t%s\t%s, %s\t%s\t%s\t%d\n", p.Size.Nodes, p.Size.Runners, p.Size.Tenants,
			p.BytesPerSecond, p.WorstBytes, p.CorePercent, p.WorstCorePercent, p.HeapMB, p.ConfigP50, p.ConfigWorst, p.Left, p.Leaving, p.RackLost, p.ZoneCut, p.ZoneHealed, p.RegionHealed, p.Start, p.Lists)
	}
	table.Flush()
	for _, p := range points {
		fmt.Fprintf(out, "%d nodes, B/s by kind: %s\n", p.Size.Nodes, p.kinds())
	}
}

func plotPoints(directory string, points []Point) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return trace.ConvertSystemError(err)
	}
	chart := plot.New()
	chart.Title.Text = "control plane per node"
	chart.X.Label.Text = "nodes"
	chart.Y.Label.Text = "B/s sent; milli-percent of a core"
	var bytes, core plotter.XYs
	for _, p := range points {
		bytes = append(bytes, plotter.XY{X: float64(p.Size.Nodes), Y: p.BytesPerSecond})
		core = append(core, plotter.XY{X: float64(p.Size.Nodes), Y: p.CorePercent * 1000})
	}
	if err := plotutil.AddLinePoints(chart, "B/s", bytes, "milli-percent of a core", core); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(chart.Save(7*vg.Inch, 4*vg.Inch, filepath.Join(directory, "scale.png")))
}
