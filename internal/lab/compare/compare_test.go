package compare

import (
	"bytes"
	"context"
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/ledger"
)

// fakePlayer earns more with the second build, and fails on one day.
type fakePlayer struct{ failing string }

func (p fakePlayer) Play(_ context.Context, play Play) (*ledger.Report, error) {
	if play.Day == p.failing {
		return nil, errors.New("given up")
	}
	worth := 0.5 + float64(play.Seed)/100
	if play.Folder == "after" {
		worth += 0.02 * float64(play.Seed)
	}
	return &ledger.Report{Worth: worth, Classes: []ledger.Class{{Name: "ask", Earned: worth / 2}}}, nil
}

var settings = Settings{Before: "before", After: "after", Sites: []string{"sites/a.toml"}, Days: []string{"quiet-1"}, Seeds: []uint64{1, 2, 3}, Jobs: 2}

func TestBuildsAreComparedOnTheSameDays(t *testing.T) {
	g := NewWithT(t)
	pairs, err := Run(context.Background(), settings, fakePlayer{})
	g.Expect(err).NotTo(HaveOccurred())
	differences := Differences(pairs)
	g.Expect(differences).To(HaveLen(2))
	g.Expect(differences[0].Measure).To(Equal("worth"))
	g.Expect(differences[0].Mean).To(BeNumerically("~", 0.04, 1e-9))
	// 0.02, 0.04, 0.06: a deviation of 0.02 over the root of three.
	g.Expect(differences[0].Error).To(BeNumerically("~", 0.011547, 1e-6))
	g.Expect(differences[1].Measure).To(Equal("earned by ask"))
	var out bytes.Buffer
	Write(&out, pairs)
	g.Expect(out.String()).To(ContainSubstring("a, worth: 0.5200 to 0.5600, +0.0400 +- 0.0115 (3 pairs)"))
}

func TestFailedPlayEndsTheComparison(t *testing.T) {
	failing := settings
	failing.Days = []string{"quiet-1", "scale-1"}
	_, err := Run(context.Background(), failing, fakePlayer{failing: "scale-1"})
	NewWithT(t).Expect(err).To(MatchError(ContainSubstring("given up")))
}

func TestSettingsAreChecked(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"no build":    func(s *Settings) { s.After = "" },
		"same builds": func(s *Settings) { s.After = s.Before },
		"no days":     func(s *Settings) { s.Days = nil },
		"no seeds":    func(s *Settings) { s.Seeds = nil },
		"no jobs":     func(s *Settings) { s.Jobs = 0 },
	} {
		spoilt := settings
		spoil(&spoilt)
		NewWithT(t).Expect(spoilt.Check()).To(HaveOccurred(), name)
	}
}
