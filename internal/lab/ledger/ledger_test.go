package ledger

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/explain"
)

const recordedLog = `
0.1 front-1 {"event":510,"msg":"request ended","node":"front-1","time":"2026-01-01T00:00:00.100Z","route":"ask","tenant":"a","runner":"i-1","outcome":"complete","late":false,"late_by":""}
1.9 front-1 {"event":510,"msg":"request ended","node":"front-1","time":"2026-01-01T00:00:01.900Z","route":"ask","tenant":"a","runner":"i-1","outcome":"complete","late":true,"late_by":"pause"}
2.2 front-2 {"event":511,"msg":"request refused","node":"front-2","time":"2026-01-01T00:00:02.200Z","route":"bulk","tenant":"b","status":503,"reason":"expected wait is above the tier's limit"}
2.3 front-2 {"event":511,"msg":"request refused","node":"front-2","time":"2026-01-01T00:00:02.300Z","route":"bulk","tenant":"b","status":503,"reason":"expected wait is above the tier's limit"}
2.4 front-2 {"event":830,"msg":"runner added","node":"front-2","time":"2026-01-01T00:00:02.400Z"}
2.5 front-2 {"event":510,"msg":"request ended","node":"front-2","time":"2026-01-01T00:00:02.500Z","route":"ask","tenant":"b","runner":"i-2","outcome":"cut"}
`

func ledgerFromText(t *testing.T, text string) (*Ledger, error) {
	t.Helper()
	log, err := explain.Read(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return FromLog(log)
}

func TestLostRequestsAreCountedByCauseAndDimension(t *testing.T) {
	g := NewWithT(t)
	ledger, err := ledgerFromText(t, recordedLog)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ledger.Requests).To(Equal(5))
	g.Expect(ledger.Causes).To(Equal(map[string]int{"late: pause": 1, "refused: expected wait is above the tier's limit": 2, "not served: cut": 1}))
	g.Expect(ledger.Rows).To(ContainElements(
		Row{ByRoute, "bulk", "refused: expected wait is above the tier's limit", 2},
		Row{ByTenant, "b", "not served: cut", 1}, Row{ByRunner, "i-1", "late: pause", 1},
		Row{ByWindow, "2", "refused: expected wait is above the tier's limit", 2}, Row{ByWindow, "0", "late: pause", 1}))
	g.Expect(ledger.Rows[0].Count).To(Equal(2), "the largest loss comes first")
	var table, rows bytes.Buffer
	ledger.WriteTable(&table, nil)
	g.Expect(table.String()).To(ContainSubstring("late: pause"))
	g.Expect(ledger.WriteCSV(&rows)).To(Succeed())
	g.Expect(strings.Count(rows.String(), "\n")).To(Equal(len(ledger.Rows) + 1))
	g.Expect(ledger.Plot(filepath.Join(t.TempDir(), "lost.svg"))).To(Succeed())
}

func TestLogWithoutRequestsIsAnError(t *testing.T) {
	_, err := ledgerFromText(t, "nothing here\n")
	NewWithT(t).Expect(err).To(MatchError(ContainSubstring("no request")))
}

func TestReportsAreValidated(t *testing.T) {
	g := NewWithT(t)
	const dayReport = `{"G":0.5,"tries":5,"parts":[["whole day",0.7,0.8]],"prices":[["orders",3,0.01]],"classes":[{"name":"ask","n":3,"in_aim":1}]}`
	report, err := ReadReport(strings.NewReader(dayReport))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(report.Costs).To(Equal([]ReportRow{{"orders", 3, 0.01}}))
	ledger, err := ledgerFromText(t, recordedLog)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(report.CheckMatches(ledger)).To(Succeed())
	var table bytes.Buffer
	ledger.WriteTable(&table, report)
	g.Expect(table.String()).To(ContainSubstring("0.1400  lost of 0.70: whole day"))

	report.RequestCount = 500
	g.Expect(report.CheckMatches(ledger)).To(MatchError(ContainSubstring("different days")))
	for _, invalid := range []string{"", "{}", `{"G":0.5,"tries":5,"prices":[["orders",3]]}`, `{"G":0.5,"tries":5,"parts":[["whole day","x",1]]}`} {
		_, err := ReadReport(strings.NewReader(invalid))
		g.Expect(err).To(HaveOccurred(), invalid)
	}
}
