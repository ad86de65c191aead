package load

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/clovertiller/clovertiller/internal/lab/workload"
)

// Result is the outcome of one request.
type Result struct {
	Request  workload.Request
	Answer   Answer
	Complete bool
	// Wrong is true when the text is not what the engine must produce.
	Wrong    bool
	Refusals int
	Failure  string
	Total    time.Duration
}

func (r *Result) take(answer Answer) {
	r.Answer = answer
	r.Failure = answer.ErrorCode
	r.Complete = answer.Done && answer.ErrorCode == ""
	expected := Expected(r.Request, answer.WeightVersion)
	if r.Complete {
		r.Wrong = answer.Text != expected
		return
	}
	// What arrived of a broken stream must still be the start of the answer.
	r.Wrong = len(answer.Text) > len(expected) || expected[:len(answer.Text)] != answer.Text
}

// Range of the first-token histograms, in microseconds.
const (
	lowestMicros  = 1
	highestMicros = 600_000_000
)

// Line is the measures of one class of requests.
type Line struct {
	Sent, Complete, Refused int
	PromptTokens            int
	CachedTokens            int
	FirstToken              *hdrhistogram.Histogram
}

// Report is the outcome of a run.
type Report struct {
	Lines    map[string]*Line
	Sent     int
	Complete int
	Wrong    int
	Failures map[string]int
	// Results are all results, for checks against the engines' own counts.
	Results []Result
}

func newReport() *Report {
	return &Report{Lines: map[string]*Line{}, Failures: map[string]int{}}
}

func (r *Report) add(result Result) {
	class := string(result.Request.Workload) + " " + result.Request.Class
	line := r.Lines[class]
	if line == nil {
		line = &Line{FirstToken: hdrhistogram.New(lowestMicros, highestMicros, 3)}
		r.Lines[class] = line
	}
	r.Sent++
	line.Sent++
	line.Refused += result.Refusals
	if result.Wrong {
		r.Wrong++
	}
	r.Results = append(r.Results, result)
	if !result.Complete {
		r.Failures[result.Failure]++
		return
	}
	r.Complete++
	line.Complete++
	line.PromptTokens += result.Answer.PromptTokens
	line.CachedTokens += result.Answer.CachedTokens
	// A value outside the histogram's range cannot occur within its bounds of time.
	_ = line.FirstToken.RecordValue(max(result.Answer.FirstToken.Microseconds(), lowestMicros))
}

// Duplicated returns how many unrepeatable requests ran more than once and how
// many complete requests never ran, by the engines' counts of prompts.
func (r *Report) Duplicated(runs map[string]int, digest func(string) string) int {
	duplicated := 0
	for _, result := range r.Results {
		if result.Request.Unrepeatable && runs[digest(result.Request.Prompt())] > 1 {
			duplicated++
		}
	}
	return duplicated
}

// Print writes the table of measures.
func (r *Report) Print(out io.Writer) {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "class\tsent\tcomplete\trefusals\thit rate\trecomputed tokens\tfirst token p50\tp95\tp99\t")
	classes := make([]string, 0, len(r.Lines))
	for class := range r.Lines {
		classes = append(classes, class)
	}
	sort.Strings(classes)
	for _, class := range classes {
		line := r.Lines[class]
		quantile := func(q float64) string {
			return (time.Duration(line.FirstToken.ValueAtQuantile(q)) * time.Microsecond).Round(100 * time.Microsecond).String()
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%.3f\t%d\t%s\t%s\t%s\t\n", class, line.Sent, line.Complete, line.Refused,
			float64(line.CachedTokens)/float64(max(line.PromptTokens, 1)), line.PromptTokens-line.CachedTokens, quantile(50), quantile(95), quantile(99))
	}
	table.Flush()
	for failure, count := range r.Failures {
		fmt.Fprintf(out, "not complete: %d x %s\n", count, failure)
	}
}
