package explain

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const sampleLog = `
starting up
  1.2 n1 {"event":810,"node":"n1","msg":"configuration in force","time":"2026-01-01T00:00:01.000Z","version":3,"level":"info"}
n2 {"event":810,"node":"n2","msg":"configuration in force","time":"2026-01-01T00:00:01.500Z","version":4}
{"event":830,"node":"n1","msg":"runner added","time":"2026-01-01T00:00:02.000Z","runner":"i-1","address":"a"}
{"event":830,"node":"n1","msg":"runner added","time":"2026-01-01T00:00:02.100Z","runner":"i-2","address":"b"}
{"event":810,"node":"n1","msg":"configuration in force","time":"2026-01-01T00:00:03.000Z","version":5}
{"event":513,"node":"n1","msg":"bad","time":"2026-01-01T00:00:05.000Z","request":"r1","runner":"i-1","outcome":"unreachable","cause":"reset"}
{"event":512,"node":"n1","msg":"sent","time":"2026-01-01T00:00:04.000Z","request":"r1","runner":"i-1"}
{"event":702,"node":"n3","msg":"order","time":"2026-01-01T00:00:04.500Z","runner":"i-1","version":9}
{"event":510,"node":"n1","msg":"request ended","time":"2026-01-01T00:00:05.100Z","request":"r1","runner":"i-1","outcome":"unknown","late":false}
{"event":510,"node":"n1","msg":"request ended","time":"2026-01-01T00:00:06.000Z","request":"r2","outcome":"complete","late":true}
{"event":510,"node":"n1","msg":"request ended","time":"2026-01-01T00:00:06.000Z","request":"r3","outcome":"complete","late":false}
{"event":511,"node":"n1","msg":"request refused","time":"2026-01-01T00:00:07.000Z","request":"r4","reason":"no route"}
{"event":511,"node":"n1","msg":"request refused","time":"2026-01-01T00:00:08.000Z","request":"r5","reason":"no route"}
{"event":810,"node":"n1","msg":"configuration in force","time":"2026-01-01T00:00:09.000Z","version":6}
{"event": "odd"}
`

func TestRequestHistory(t *testing.T) {
	g := NewWithT(t)
	log, err := Read(strings.NewReader(sampleLog))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(log.Skipped).To(Equal(3))
	history, found := log.History("r1")
	g.Expect(found).To(BeTrue())
	var order []int
	for _, line := range history.Lines {
		order = append(order, line.Event)
	}
	g.Expect(order).To(Equal([]int{512, 513, 510}))
	var stateChanges []string
	for _, line := range history.StateChanges {
		stateChanges = append(stateChanges, line.Node+" "+line.Message)
	}
	g.Expect(stateChanges).To(Equal([]string{"n1 runner added", "n1 configuration in force", "n3 order"}))
	g.Expect(history.StateChanges[1].NumberField("version")).To(Equal(5.0), "the latest value before the end of the request")
	_, found = log.History("r9")
	g.Expect(found).To(BeFalse())
}

func TestFailures(t *testing.T) {
	g := NewWithT(t)
	log, err := Read(strings.NewReader(sampleLog))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(log.Failures()).To(Equal([]FailureGroup{
		{Outcome: "refused", Reason: "no route", Count: 2, Examples: []string{"r4", "r5"}},
		{Outcome: "late", Count: 1, Examples: []string{"r2"}},
		{Outcome: "unknown", Reason: "unreachable: reset", Count: 1, Examples: []string{"r1"}},
	}))
}

// Guards against histories that show that a stream did not go on, and not where it began.
func TestHistoryOfTakenUpStreamIncludesItsBegin(t *testing.T) {
	g := NewWithT(t)
	log, err := Read(strings.NewReader(`
{"event":512,"node":"n1","msg":"sent","time":"2026-01-01T00:00:01.000Z","request":"first","runner":"i-1","software":"v1"}
{"event":510,"node":"n1","msg":"request ended","time":"2026-01-01T00:00:02.000Z","request":"first","outcome":"cut"}
{"event":526,"node":"n2","msg":"caller takes a stream up","time":"2026-01-01T00:00:03.000Z","request":"second","resumes":"first"}
{"event":511,"node":"n2","msg":"request refused","time":"2026-01-01T00:00:03.100Z","request":"second","reason":"no runner"}
{"event":510,"node":"n2","msg":"request ended","time":"2026-01-01T00:00:03.200Z","request":"other","outcome":"complete"}
`))
	g.Expect(err).NotTo(HaveOccurred())
	history, found := log.History("second")
	g.Expect(found).To(BeTrue())
	var order []int
	for _, line := range history.Lines {
		order = append(order, line.Event)
	}
	g.Expect(order).To(Equal([]int{512, 510, 526, 511}))
}

// Guards against a history that says that a request was refused for a part of its prompt, and not which
// crashes led to that.
func TestHistoryOfQuarantinedRequestIncludesCrashes(t *testing.T) {
	g := NewWithT(t)
	log, err := Read(strings.NewReader(`
{"event":520,"node":"n1","msg":"runner ended","time":"2026-01-01T00:00:01.000Z","runner":"e1","parts":{"aa":2,"bb":1}}
{"event":520,"node":"n2","msg":"runner ended","time":"2026-01-01T00:00:01.100Z","runner":"e2","parts":{"bb":1}}
{"event":520,"node":"n2","msg":"runner ended","time":"2026-01-01T00:00:01.200Z","runner":"e9","parts":{"cc":1}}
{"event":521,"node":"n2","msg":"not sent any more","time":"2026-01-01T00:00:01.300Z","tenant":"t","part":"bb","runners":["e1","e2"]}
{"event":521,"node":"n1","msg":"not sent any more","time":"2026-01-01T00:00:01.310Z","tenant":"t","part":"bb","runners":["e1","e2"]}
{"event":521,"node":"n1","msg":"not sent any more","time":"2026-01-01T00:00:01.320Z","tenant":"other","part":"bb","runners":["e9"]}
{"event":511,"node":"n1","msg":"request refused","time":"2026-01-01T00:00:02.000Z","request":"r1","tenant":"t","content":"4f1c","parts":["aa","bb"],"reason":"runners ended"}
{"event":529,"node":"n1","msg":"lifted","time":"2026-01-01T00:00:03.000Z","tenant":"t","part":"bb"}
`))
	g.Expect(err).NotTo(HaveOccurred())
	history, found := log.History("r1")
	g.Expect(found).To(BeTrue())
	var changes []string
	for _, line := range history.StateChanges {
		changes = append(changes, line.Node+" "+line.Message+" "+line.StringField("runner")+line.StringField("part"))
	}
	g.Expect(changes).To(Equal([]string{"n1 runner ended e1", "n2 runner ended e2", "n2 not sent any more bb"}))
}
