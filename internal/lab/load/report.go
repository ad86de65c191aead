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

// Result is the outcome of a request.
type Result struct {
	Request    workload.Request
	Completion Completion
	Complete   bool
	// WrongText means that the received text is not the text, or the start of the text, that the
	// engine must produce.
	WrongText bool
	// Refusals is the number of attempts that failed with a retryable error.
	Refusals int
	// Failure describes the last error, or is empty.
	Failure string
	// Elapsed is the time from the first attempt to the end of the last.
	Elapsed time.Duration
}

func (r *Result) setCompletion(completion Completion) {
	r.Completion = completion
	r.Failure = completion.ErrorCode
	r.Complete = completion.Done && completion.ErrorCode == ""
	expected := ExpectedText(r.Request, completion.WeightVersion)
	if r.Complete {
		r.WrongText = completion.Text != expected
		return
	}
	// The text received before a stream broke must be a prefix of the expected text.
	r.WrongText = len(completion.Text) > len(expected) || expected[:len(completion.Text)] != completion.Text
}

// Range of the histograms of the time to the first token, in microseconds.
const (
	minMicros = 1
	maxMicros = 600_000_000
)

// ClassStats are the statistics of one class of requests, which is a row of the report.
type ClassStats struct {
	// Sent and Complete count requests, Refused the attempts that failed with a retryable error.
	Sent, Complete, Refused int
	PromptTokens            int
	CachedTokens            int
	TimeToFirstToken        *hdrhistogram.Histogram
}

// Report is the outcome of a run.
type Report struct {
	// Classes holds the statistics by class, which is the name of the workload and the class of
	// its requests.
	Classes map[string]*ClassStats
	// Sent, Complete and Wrong count requests; the wrong ones are those with WrongText.
	Sent     int
	Complete int
	Wrong    int
	// Failures counts the incomplete requests by their Result.Failure.
	Failures map[string]int
	// Results holds the results of all requests, for comparison with the engines' run counts.
	Results []Result
}

func newReport() *Report {
	return &Report{Classes: map[string]*ClassStats{}, Failures: map[string]int{}}
}

func (r *Report) add(result Result) {
	class := string(result.Request.Workload) + " " + result.Request.Class
	stats := r.Classes[class]
	if stats == nil {
		stats = &ClassStats{TimeToFirstToken: hdrhistogram.New(minMicros, maxMicros, 3)}
		r.Classes[class] = stats
	}
	r.Sent++
	stats.Sent++
	stats.Refused += result.Refusals
	if result.WrongText {
		r.Wrong++
	}
	r.Results = append(r.Results, result)
	if !result.Complete {
		r.Failures[result.Failure]++
		return
	}
	r.Complete++
	stats.Complete++
	stats.PromptTokens += result.Completion.PromptTokens
	stats.CachedTokens += result.Completion.CachedTokens
	// The error can be ignored: no request takes longer than the histogram's range of 10 minutes.
	_ = stats.TimeToFirstToken.RecordValue(max(result.Completion.TimeToFirstToken.Microseconds(), minMicros))
}

// DuplicatedRuns returns the number of unrepeatable requests that ran more than once, according
// to the engines' run counts by prompt digest.
func (r *Report) DuplicatedRuns(runCounts map[string]int, promptDigest func(string) string) int {
	count := 0
	for _, result := range r.Results {
		if result.Request.Unrepeatable && runCounts[promptDigest(result.Request.Prompt())] > 1 {
			count++
		}
	}
	return count
}

// Print writes the statistics of each class as a table, and the failures.
func (r *Report) Print(out io.Writer) {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "class\tsent\tcomplete\trefusals\thit rate\trecomputed tokens\tfirst token p50\tp95\tp99\t")
	classes := make([]string, 0, len(r.Classes))
	for class := range r.Classes {
		classes = append(classes, class)
	}
	sort.Strings(classes)
	for _, class := range classes {
		stats := r.Classes[class]
		percentile := func(percent float64) string {
			return (time.Duration(stats.TimeToFirstToken.ValueAtQuantile(percent)) * time.Microsecond).Round(100 * time.Microsecond).String()
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%.3f\t%d\t%s\t%s\t%s\t\n", class, stats.Sent, stats.Complete, stats.Refused,
			float64(stats.CachedTokens)/float64(max(stats.PromptTokens, 1)), stats.PromptTokens-stats.CachedTokens, percentile(50), percentile(95), percentile(99))
	}
	table.Flush()
	for failure, count := range r.Failures {
		fmt.Fprintf(out, "not complete: %d x %s\n", count, failure)
	}
}
