package coldstart_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/coldstart"
)

func TestProgressKeepsTheFirstTimeOfEachStage(t *testing.T) {
	g, started := NewWithT(t), time.Now()
	progress := coldstart.NewProgress(started)
	g.Expect(progress.Has(coldstart.Serving)).To(BeFalse())
	g.Expect(progress.Reach(started.Add(time.Second), coldstart.Serving)).To(BeTrue())
	g.Expect(progress.Reach(started.Add(2*time.Second), coldstart.Serving)).To(BeFalse())
	after, reached := progress.After(coldstart.Serving)
	g.Expect(reached).To(BeTrue())
	g.Expect(after).To(Equal(time.Second))
	_, reached = progress.After(coldstart.DirectoryComplete)
	g.Expect(reached).To(BeFalse())
}

func TestStagesHaveDistinctNames(t *testing.T) {
	g, names := NewWithT(t), map[string]bool{}
	for _, stage := range coldstart.Stages() {
		names[stage.String()] = true
	}
	g.Expect(names).To(HaveLen(len(coldstart.Stages())))
}
