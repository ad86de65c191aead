package ledger

import (
	"cmp"
	"encoding/csv"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// shownRows is how many rows of a dimension the table shows: the rest is in the CSV.
const shownRows = 8

// WriteTable writes causes, costs and the places where most was lost. The report may be nil.
func (l *Ledger) WriteTable(out io.Writer, report *Report) {
	fmt.Fprintf(out, "%d requests\n", l.Requests)
	for _, cause := range l.sortedCauses() {
		fmt.Fprintf(out, "%7d  %.4f  %s\n", l.Causes[cause], float64(l.Causes[cause])/float64(l.Requests), cause)
	}
	if report != nil {
		report.writeTable(out)
	}
	for _, dimension := range Dimensions {
		fmt.Fprintf(out, "\nby %s\n", dimension)
		shown := 0
		for _, row := range l.Rows {
			if row.Dimension == dimension && shown < shownRows {
				fmt.Fprintf(out, "%7d  %-24s %s\n", row.Count, row.Key, row.Cause)
				shown++
			}
		}
	}
}

func (r *Report) writeTable(out io.Writer) {
	fmt.Fprintf(out, "\nworth %.4f\n", r.Worth)
	for _, part := range r.Parts {
		fmt.Fprintf(out, "%7.4f  lost of %.2f: %s\n", part.Amount*(1-part.Worth), part.Amount, part.Name)
	}
	costs := slices.DeleteFunc(slices.Clone(r.Prices), func(p Price) bool { return p.Worth <= 0 })
	slices.SortFunc(costs, func(a, b Price) int { return cmp.Compare(b.Worth, a.Worth) })
	for _, price := range costs {
		fmt.Fprintf(out, "%7.4f  %.1f %s\n", price.Worth, price.Amount, price.Name)
	}
	for _, class := range r.Classes {
		fmt.Fprintf(out, "%-20s %6d asked, %6d in time, %5d late, %5d refused, %5d failed, earned %.3f\n",
			class.Name, class.Count, class.InTime, class.Late, class.Refused, class.Failed, class.Earned)
	}
}

func (l *Ledger) sortedCauses() []string {
	return slices.SortedFunc(maps.Keys(l.Causes), func(a, b string) int {
		return cmp.Or(cmp.Compare(l.Causes[b], l.Causes[a]), cmp.Compare(a, b))
	})
}

// WriteCSV writes all rows.
func (l *Ledger) WriteCSV(out io.Writer) error {
	writer := csv.NewWriter(out)
	rows := [][]string{{"dimension", "key", "cause", "count"}}
	for _, row := range l.Rows {
		rows = append(rows, []string{string(row.Dimension), row.Key, row.Cause, strconv.Itoa(row.Count)})
	}
	return trace.Wrap(writer.WriteAll(rows))
}

const (
	chartWidth  = 8 * vg.Inch
	chartHeight = 4 * vg.Inch
	// shownCauses bounds the lines of the plot, so that they can be told apart.
	shownCauses = 6
)

// Plot draws the lost requests of the largest causes over time, as SVG or by the path's
// extension.
func (l *Ledger) Plot(path string) error {
	chart := plot.New()
	chart.Title.Text, chart.X.Label.Text, chart.Y.Label.Text = "lost requests", "s", "requests"
	causes := l.sortedCauses()
	for i, cause := range causes[:min(len(causes), shownCauses)] {
		var points plotter.XYs
		for _, row := range l.Rows {
			if second, err := strconv.Atoi(row.Key); row.Dimension == ByWindow && row.Cause == cause && err == nil {
				points = append(points, plotter.XY{X: float64(second), Y: float64(row.Count)})
			}
		}
		slices.SortFunc(points, func(a, b plotter.XY) int { return cmp.Compare(a.X, b.X) })
		line, err := plotter.NewLine(points)
		if err != nil {
			return trace.Wrap(err)
		}
		line.Dashes = []vg.Length{vg.Points(float64(1 + 2*i)), vg.Points(float64(i))}
		chart.Add(line)
		chart.Legend.Add(cause, line)
	}
	return trace.Wrap(chart.Save(chartWidth, chartHeight, path))
}
