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

// maxTableRows is the maximum number of rows of a dimension in the table. The CSV output has all
// rows.
const maxTableRows = 8

// WriteTable writes the causes, the costs and the largest counts of each dimension. The report may
// be nil.
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
			if row.Dimension == dimension && shown < maxTableRows {
				fmt.Fprintf(out, "%7d  %-24s %s\n", row.Count, row.Key, row.Cause)
				shown++
			}
		}
	}
}

func (r *Report) writeTable(out io.Writer) {
	fmt.Fprintf(out, "\nworth %.4f\n", r.Worth)
	for _, part := range r.Parts {
		fmt.Fprintf(out, "%7.4f  lost of %.2f: %s\n", part.Amount*(1-part.Share), part.Amount, part.Name)
	}
	costs := slices.DeleteFunc(slices.Clone(r.Costs), func(row ReportRow) bool { return row.Share <= 0 })
	slices.SortFunc(costs, func(a, b ReportRow) int { return cmp.Compare(b.Share, a.Share) })
	for _, cost := range costs {
		fmt.Fprintf(out, "%7.4f  %.1f %s\n", cost.Share, cost.Amount, cost.Name)
	}
	for _, class := range r.Classes {
		fmt.Fprintf(out, "%-20s %6d asked, %6d in time, %5d late, %5d refused, %5d failed, earned %.3f\n",
			class.Name, class.Count, class.InTime, class.Late, class.Refused, class.Failed, class.Earned)
	}
}

// sortedCauses returns the causes, the one with the most lost requests first.
func (l *Ledger) sortedCauses() []string {
	return slices.SortedFunc(maps.Keys(l.Causes), func(a, b string) int {
		return cmp.Or(cmp.Compare(l.Causes[b], l.Causes[a]), cmp.Compare(a, b))
	})
}

// WriteCSV writes all rows as CSV with a header.
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
	// maxPlottedCauses limits the number of lines in the plot so that they remain distinguishable.
	maxPlottedCauses = 6
)

// Plot writes a plot of the lost requests over time, for the most frequent causes. The extension of
// the path selects the format, for example .svg or .png.
func (l *Ledger) Plot(path string) error {
	chart := plot.New()
	chart.Title.Text, chart.X.Label.Text, chart.Y.Label.Text = "lost requests", "s", "requests"
	causes := l.sortedCauses()
	for i, cause := range causes[:min(len(causes), maxPlottedCauses)] {
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
