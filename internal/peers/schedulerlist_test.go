package peers

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a router that replaces the schedulers of its region by those that a seed names from
// which it pulls only for a moment.
func TestListOfOtherSourceIsIgnoredWhileSourceAnswers(t *testing.T) {
	g := NewWithT(t)
	list := &SchedulerList{}
	g.Expect(list.Receive(start, "s1", true, 1, []string{"a", "b"}, false)).To(BeTrue())
	g.Expect(list.Receive(start, "s1", true, 1, []string{"a", "b"}, true)).To(BeFalse())
	list.RecordAnswer(start.Add(time.Second), "s1")
	list.RecordAnswer(start.Add(2*time.Second), "s2")
	almost := start.Add(time.Second + listSourceTimeout - 1)
	g.Expect(list.Receive(start.Add(time.Hour), "x", false, 4, []string{"d"}, true)).To(BeFalse(), "it may be older")
	g.Expect(list.Receive(almost, "s2", true, 2, []string{"c"}, true)).To(BeFalse())
	g.Expect(list.Addresses()).To(Equal([]string{"a", "b"}))
	g.Expect(list.Digest()).To(BeNumerically("==", 1))
	g.Expect(list.Receive(almost, "s1", true, 3, []string{"b", "a"}, true)).To(BeTrue(), "its own source")
	g.Expect(list.Receive(almost, "s2", true, 2, []string{"c"}, false)).To(BeTrue(), "all schedulers of the list are silent")
	g.Expect(list.Receive(almost.Add(listSourceTimeout), "s1", true, 1, []string{"a"}, true)).To(BeTrue(), "the source is lost")
}
