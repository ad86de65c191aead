package cli

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
)

// Guards against a status in which an operator cannot see which scheduler of a region is silent.
func TestRegionTableShowsWhichSchedulersAnswer(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	statuses := []*gateway.Status{
		{Node: "r1", Region: "near", Schedulers: []gateway.SchedulerStatus{{Address: "a:1", Answers: true}, {Address: "b:1"}}},
		{Node: "s1", Region: "far", Schedulers: []gateway.SchedulerStatus{{Address: "s:1", Seed: true, Answers: true}}, SchedulersByRegion: map[string]int{"near": 2, "far": 1}},
		{Node: "r2", Region: "near", Schedulers: []gateway.SchedulerStatus{{Address: "a:1", Answers: true}, {Address: "b:1", Answers: true}}},
	}
	printRegionTable(&Env{Out: &out}, statuses)
	g.Expect(out.String()).To(Equal(`
schedulers
REGION  SCHEDULER  KIND     ANSWERS
far     s:1        seed     1 of 1 routers
near    a:1        standby  2 of 2 routers
near    b:1        standby  1 of 2 routers

schedulers by region at s1: far=1 near=2
`))
	out.Reset()
	printRegionTable(&Env{Out: &out}, []*gateway.Status{{Node: "r1"}})
	g.Expect(out.String()).To(BeEmpty(), "without regions")
}
