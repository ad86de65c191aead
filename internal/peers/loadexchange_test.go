package peers

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against loads of a standby scheduler that stay unknown to the seeds, and against reports to
// routers that place nothing.
func TestSeedReportsToSeedsAndActiveStandbys(t *testing.T) {
	g := NewWithT(t)
	e := NewLoadExchange("s1", "a")
	seeds := []string{"s2", "s3", "old"}
	e.RecordReport(start, "s2", "a")
	e.RecordReport(start, "s3", "b")
	e.RecordReport(start, "x", "a")
	e.RecordReport(start, "y", "c")
	e.RecordReport(start, "old", "")
	near, far := e.Targets(start, seeds, nil, true)
	g.Expect(near).To(ConsistOf("s2", "old", "x"), "a seed of a version without regions gets loads as before")
	g.Expect(far).To(ConsistOf("s3", "y"))
	near, far = e.Targets(start.Add(activityTimeout), seeds, nil, true)
	g.Expect(near).To(ConsistOf("s2", "old"))
	g.Expect(far).To(ConsistOf("s3"), "its region is still known")
}

func TestStandbyReportsToSeedsAndSchedulersOfItsRegion(t *testing.T) {
	g := NewWithT(t)
	e := NewLoadExchange("x", "a")
	e.RecordReport(start, "y", "b")
	near, far := e.Targets(start, []string{"s1", "s2"}, []string{"s1", "z", "x"}, false)
	g.Expect(near).To(ConsistOf("s1", "z"))
	g.Expect(far).To(ConsistOf("s2"))
}

func TestStandbyIsActiveWhileItIsAsked(t *testing.T) {
	g := NewWithT(t)
	e := NewLoadExchange("x", "a")
	g.Expect(e.IsActive(start)).To(BeFalse())
	g.Expect(e.RecordAsked(start)).To(BeTrue())
	g.Expect(e.RecordAsked(start.Add(activityTimeout - 1))).To(BeFalse())
	g.Expect(e.IsActive(start.Add(2*activityTimeout - 2))).To(BeTrue())
	g.Expect(e.IsActive(start.Add(2*activityTimeout - 1))).To(BeFalse())
}
