// Package compare runs the same bench days with two builds of the gateway and reports the mean
// paired difference with its standard error.
package compare

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/gravitational/trace"
	"gonum.org/v1/gonum/stat"

	"github.com/clovertiller/clovertiller/internal/lab/ledger"
)

// Settings select the builds and the days to run.
type Settings struct {
	// Before and After are the source folders of the two builds.
	Before, After string
	// Sites are paths of site files. Days are names of days or paths of day files.
	Sites, Days []string
	// Seeds are the seeds with which each day is run. 0 selects the day's own seed.
	Seeds []uint64
	// Jobs is the maximum number of concurrent runs.
	Jobs int
}

// Validate returns a trace.BadParameter error if a setting is missing or invalid.
func (s *Settings) Validate() error {
	switch {
	case s.Before == "" || s.After == "":
		return trace.BadParameter("two builds are needed: before and after")
	case s.Before == s.After:
		return trace.BadParameter("before and after are the same folder %s", s.Before)
	case len(s.Sites) == 0 || len(s.Days) == 0 || len(s.Seeds) == 0:
		return trace.BadParameter("sites, days and seeds are needed")
	case s.Jobs < 1:
		return trace.BadParameter("jobs must be at least 1, not %d", s.Jobs)
	}
	return nil
}

// BenchRun is a run of the bench: one day with one build. Folder is the source folder of the build.
type BenchRun struct {
	Folder string
	Site   string
	Day    string
	Seed   uint64
}

// BenchRunner runs days with the bench.
type BenchRunner interface {
	RunDay(ctx context.Context, run BenchRun) (*ledger.Report, error)
}

// Pair holds the reports of one day with both builds.
type Pair struct {
	Site, Day     string
	Seed          uint64
	Before, After *ledger.Report
}

// Run runs all days with both builds. It stops at the first run that fails and returns its error.
func Run(ctx context.Context, settings Settings, bench BenchRunner) ([]Pair, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var group sync.WaitGroup
	pairs := settings.emptyPairs()
	semaphore := make(chan struct{}, settings.Jobs)
	runDay := func(folder string, pair *Pair, report **ledger.Report) {
		defer group.Done()
		semaphore <- struct{}{}
		defer func() { <-semaphore }()
		if ctx.Err() != nil {
			return
		}
		completed, err := bench.RunDay(ctx, BenchRun{folder, pair.Site, pair.Day, pair.Seed})
		if err != nil {
			cancel(trace.Wrap(err, "%s %s seed %d in %s", pair.Site, pair.Day, pair.Seed, folder))
			return
		}
		*report = completed
	}
	for i := range pairs {
		group.Add(2)
		go runDay(settings.Before, &pairs[i], &pairs[i].Before)
		go runDay(settings.After, &pairs[i], &pairs[i].After)
	}
	group.Wait()
	return pairs, context.Cause(ctx)
}

// emptyPairs returns a pair without reports for each site, day and seed.
func (s *Settings) emptyPairs() []Pair {
	var pairs []Pair
	for _, site := range s.Sites {
		for _, day := range s.Days {
			for _, seed := range s.Seeds {
				pairs = append(pairs, Pair{Site: site, Day: day, Seed: seed})
			}
		}
	}
	return pairs
}

// Difference is the mean difference of a measure over the pairs of a site.
type Difference struct {
	Site string
	// Measure is "worth", or "earned by" followed by a request class.
	Measure       string
	Pairs         int
	Before, After float64
	// MeanDifference is the mean of After minus Before, and StandardError its standard error, which
	// is NaN for a single pair.
	MeanDifference, StandardError float64
}

// worthMeasure is the measure of the score of a whole day.
const worthMeasure = "worth"

// Differences returns the mean differences by site and measure.
func Differences(pairs []Pair) []Difference {
	type key struct{ site, measure string }
	before, after := map[key][]float64{}, map[key][]float64{}
	var order []key
	add := func(k key, b, a float64) {
		if len(before[k]) == 0 {
			order = append(order, k)
		}
		before[k], after[k] = append(before[k], b), append(after[k], a)
	}
	for _, pair := range pairs {
		add(key{pair.Site, worthMeasure}, pair.Before.Worth, pair.After.Worth)
		for i, class := range pair.Before.Classes {
			if i < len(pair.After.Classes) && pair.After.Classes[i].Name == class.Name {
				add(key{pair.Site, "earned by " + class.Name}, class.Earned, pair.After.Classes[i].Earned)
			}
		}
	}
	slices.SortStableFunc(order, func(a, b key) int { return cmp.Compare(a.site, b.site) })
	var list []Difference
	for _, k := range order {
		d := Difference{Site: k.site, Measure: k.measure, Pairs: len(before[k]), Before: stat.Mean(before[k], nil), After: stat.Mean(after[k], nil)}
		differences := make([]float64, d.Pairs)
		for i := range differences {
			differences[i] = after[k][i] - before[k][i]
		}
		mean, deviation := stat.MeanStdDev(differences, nil)
		d.MeanDifference, d.StandardError = mean, deviation/math.Sqrt(float64(d.Pairs))
		list = append(list, d)
	}
	return list
}

// Write writes the scores of all pairs, and then the mean differences.
func Write(out io.Writer, pairs []Pair) {
	for _, pair := range pairs {
		fmt.Fprintf(out, "%s %s seed %d: %.4f to %.4f\n", siteName(pair.Site), pair.Day, pair.Seed, pair.Before.Worth, pair.After.Worth)
	}
	for _, d := range Differences(pairs) {
		fmt.Fprintf(out, "%s, %s: %.4f to %.4f, %+.4f +- %.4f (%d pairs)\n", siteName(d.Site), d.Measure, d.Before, d.After, d.MeanDifference, d.StandardError, d.Pairs)
	}
}

// siteName returns the name of a site file without folder and extension.
func siteName(path string) string { return strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)) }
