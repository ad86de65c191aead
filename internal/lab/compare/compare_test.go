package compare

import (
	"bytes"
	"context"
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/ledger"
)

// simulatedBench earns more with the second build, and fails on failingDay.
type simulatedBench struct{ failingDay string }

func (b simulatedBench) RunDay(_ context.Context, run BenchRun) (*ledger.Report, error) {
	if run.Day == b.failingDay {
		return nil, errors.New("given up")
	}
	worth := 0.5 + float64(run.Seed)/100
	if run.Folder == "after" {
		worth += 0.02 * float64(run.Seed)
	}
	return &ledger.Report{Worth: worth, Classes: []ledger.Class{{Name: "ask", Earned: worth / 2}}}, nil
}

var settings = Settings{Before: "before", After: "after", Sites: []string{"sites/a.toml"}, Days: []string{"quiet-1"}, Seeds: []uint64{1, 2, 3}, Jobs: 2}

func TestBuildsAreComparedOnTheSameDays(t *testing.T) {
	g := NewWithT(t)
	pairs, err := Run(context.Background(), settings, simulatedBench{})
	g.Expect(err).NotTo(HaveOccurred())
	differences := Differences(pairs)
	g.Expect(differences).To(HaveLen(2))
	g.Expect(differences[0].Measure).To(Equal("worth"))
	g.Expect(differences[0].MeanDifference).To(BeNumerically("~", 0.04, 1e-9))
	// The differences 0.02, 0.04 and 0.06 have a standard deviation of 0.02, which is divided by
	// the square root of 3.
	g.Expect(differences[0].StandardError).To(BeNumerically("~", 0.011547, 1e-6))
	g.Expect(differences[1].Measure).To(Equal("earned by ask"))
	var out bytes.Buffer
	Write(&out, pairs)
	g.Expect(out.String()).To(ContainSubstring("a, worth: 0.5200 to 0.5600, +0.0400 +- 0.0115 (3 pairs)"))
}

func TestFailedRunStopsComparison(t *testing.T) {
	failing := settings
	failing.Days = []string{"quiet-1", "scale-1"}
	_, err := Run(context.Background(), failing, simulatedBench{failingDay: "scale-1"})
	NewWithT(t).Expect(err).To(MatchError(ContainSubstring("given up")))
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	for name, invalidate := range map[string]func(*Settings){
		"no build":    func(s *Settings) { s.After = "" },
		"same builds": func(s *Settings) { s.After = s.Before },
		"no days":     func(s *Settings) { s.Days = nil },
		"no seeds":    func(s *Settings) { s.Seeds = nil },
		"no jobs":     func(s *Settings) { s.Jobs = 0 },
	} {
		invalid := settings
		invalidate(&invalid)
		NewWithT(t).Expect(invalid.Validate()).To(HaveOccurred(), name)
	}
}
