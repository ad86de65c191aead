package backend

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/placement"
)

// newTwoVersions returns a set with two runners of v1 and three of v2.
func newTwoVersions() *Set {
	set := NewSet("z")
	for i := range 5 {
		r := runner(fmt.Sprint("r", i), "z")
		r.SoftwareVersion = "v1"
		if i >= 2 {
			r.SoftwareVersion = "v2"
		}
		set.Put(r)
	}
	return set
}

// penalties returns the separation penalties of the candidates by name.
func penalties(set *Set, query Query) map[string]int {
	_, candidates := set.Candidates(start, query)
	found := map[string]int{}
	for _, candidate := range candidates {
		found[candidate.Name] = candidate.SeparationPenaltyTokens
	}
	return found
}

// Guards against streams that are placed on, or continue at, another software version than the one that began them.
func TestBoundRequestHasOnlyRunnersOfItsVersion(t *testing.T) {
	g := NewWithT(t)
	set := newTwoVersions()
	query := Query{Service: "s", Model: "m", BoundVersion: "v1"}
	_, candidates := set.Candidates(start, query)
	g.Expect(candidates).To(HaveLen(2))
	names := func(candidate placement.Candidate) string { return candidate.Name }
	g.Expect(candidates).To(ConsistOf(WithTransform(names, Equal("r0")), WithTransform(names, Equal("r1"))))
	set.SetVersionRules(map[string]VersionRule{"s": {Only: "v2"}}, 0.1)
	_, candidates = set.Candidates(start, query)
	g.Expect(candidates).To(BeEmpty(), "the service's rule holds as well")
}

// Guards against streams that are refused because routers without an order disagree on which version serves.
func TestBoundRequestIgnoresTheRuleWithoutAnOrder(t *testing.T) {
	g := NewWithT(t)
	set := newTwoVersions()
	set.SetVersionRules(map[string]VersionRule{"s": {Only: "v2", WithoutOrder: true}}, 0.1)
	_, candidates := set.Candidates(start, Query{Service: "s", Model: "m", BoundVersion: "v1"})
	g.Expect(candidates).To(HaveLen(2))
	_, candidates = set.Candidates(start, Query{Service: "s", Model: "m"})
	g.Expect(candidates).To(HaveLen(3), "new streams go to the version of the rule")
}

// Guards against new streams that take the last room of a version's runners, so that streams which are bound to the
// version find none.
func TestNewStreamsLeaveRoomForBoundOnes(t *testing.T) {
	g := NewWithT(t)
	set := newTwoVersions()
	query := Query{Service: "s", Model: "m"}
	before := penalties(set, query)
	for _, id := range []string{"r0", "r1"} {
		for range set.entries[id].Slots {
			set.Begin(start, id, 10)
		}
	}
	after := penalties(set, query)
	g.Expect(after["r0"] - before["r0"]).To(Equal(crowdedVersionCost))
	g.Expect(after["r2"]).To(Equal(before["r2"]))
	query.BoundVersion = "v1"
	g.Expect(penalties(set, query)["r0"]).To(BeNumerically("<", crowdedVersionCost))
	query.BoundVersion = ""
	for _, id := range []string{"r2", "r3", "r4"} {
		for range set.entries[id].Slots {
			set.Begin(start, id, 10)
		}
	}
	g.Expect(penalties(set, query)["r0"]).To(BeNumerically("<", crowdedVersionCost), "no version has room to spare")
}

// Guards against listed versions that are counted wrongly when runners come, change and go.
func TestListedVersionsFollowTheDirectory(t *testing.T) {
	g := NewWithT(t)
	set := newTwoVersions()
	g.Expect(set.ListedVersions()).To(Equal(map[string][]string{"s": {"v1", "v2"}}))
	changes := set.VersionChanges()
	set.Remove("r0")
	g.Expect(set.VersionChanges()).To(Equal(changes), "another runner of v1 is listed")
	changed := runner("r1", "z")
	changed.SoftwareVersion = "v3"
	set.Put(changed)
	g.Expect(set.ListedVersions()).To(Equal(map[string][]string{"s": {"v2", "v3"}}))
	g.Expect(set.VersionChanges()).To(BeNumerically(">", changes))
	set.Remove("r1")
	g.Expect(set.ListedVersions()).To(Equal(map[string][]string{"s": {"v2"}}))
}
