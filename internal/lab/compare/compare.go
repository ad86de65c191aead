// Package compare plays the same days with two builds of the gateway and tells by how much
// they differ: paired, with the standard error of the mean difference.
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

// Settings say what is played.
type Settings struct {
	// Before and After are the folders of the two builds' sources.
	Before, After string
	// Sites are paths of site files, Days names of days or paths of day files.
	Sites, Days []string
	// Seeds are played of each day; 0 is the day's own.
	Seeds []uint64
	// Jobs is how many plays run at once.
	Jobs int
}

// Check tells what is missing.
func (s *Settings) Check() error {
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

// Play is one day to be played with one build.
type Play struct {
	Folder string
	Site   string
	Day    string
	Seed   uint64
}

// Player plays a day.
type Player interface {
	Play(ctx context.Context, play Play) (*ledger.Report, error)
}

// Pair is one day played with both builds.
type Pair struct {
	Site, Day     string
	Seed          uint64
	Before, After *ledger.Report
}

// Run plays all days with both builds. It ends at the first play that fails.
func Run(ctx context.Context, settings Settings, player Player) ([]Pair, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var group sync.WaitGroup
	pairs := settings.pairs()
	places := make(chan struct{}, settings.Jobs)
	play := func(folder string, pair *Pair, report **ledger.Report) {
		defer group.Done()
		places <- struct{}{}
		defer func() { <-places }()
		if ctx.Err() != nil {
			return
		}
		played, err := player.Play(ctx, Play{folder, pair.Site, pair.Day, pair.Seed})
		if err != nil {
			cancel(trace.Wrap(err, "%s %s seed %d in %s", pair.Site, pair.Day, pair.Seed, folder))
			return
		}
		*report = played
	}
	for i := range pairs {
		group.Add(2)
		go play(settings.Before, &pairs[i], &pairs[i].Before)
		go play(settings.After, &pairs[i], &pairs[i].After)
	}
	group.Wait()
	return pairs, context.Cause(ctx)
}

func (s *Settings) pairs() []Pair {
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

// Difference is a mean over pairs.
type Difference struct {
	Site string
	// Measure is "worth", or "earned by" and a kind of request.
	Measure       string
	Pairs         int
	Before, After float64
	// Mean is of After less Before, and Error its standard error, not a number for one pair.
	Mean, Error float64
}

// worthMeasure names the worth of a whole day.
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
		d.Mean, d.Error = mean, deviation/math.Sqrt(float64(d.Pairs))
		list = append(list, d)
	}
	return list
}

// Write writes pairs and mean differences.
func Write(out io.Writer, pairs []Pair) {
	for _, pair := range pairs {
		fmt.Fprintf(out, "%s %s seed %d: %.4f to %.4f\n", siteName(pair.Site), pair.Day, pair.Seed, pair.Before.Worth, pair.After.Worth)
	}
	for _, d := range Differences(pairs) {
		fmt.Fprintf(out, "%s, %s: %.4f to %.4f, %+.4f +- %.4f (%d pairs)\n", siteName(d.Site), d.Measure, d.Before, d.After, d.Mean, d.Error, d.Pairs)
	}
}

func siteName(path string) string { return strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)) }
