package quarantine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The cost of a loss of 2,000 runners with 16 requests each, of which a router learns while it serves requests.

const (
	lostRunners       = 2000
	requestsPerRunner = 16
	recordsPerMessage = 256
	// maxLossTime is far above the time on a busy machine, and far below that of a search of all records for each part.
	maxLossTime = 10 * time.Second
)

// lossRecords returns the records of the loss, in messages as routers send them.
func lossRecords(runTime time.Duration) (messages [][]Record) {
	records := map[Subject]Record{}
	var order []Subject
	for runner := range lostRunners {
		at := atSeconds(float64(runner) / lostRunners)
		for request := range requestsPerRunner {
			content := Subject{Tenant: "t", Digest: uint64(1 + runner*requestsPerRunner + request)}
			crash := Crash{Runner: testRunner(runner), Content: content.Digest, SentAt: at.Add(-100 * time.Millisecond), DetectedAt: at}
			for _, subject := range []Subject{content, NewPart("t", fmt.Sprint("first-", request%4)), NewPart("t", fmt.Sprint("second-", (runner+request)%500))} {
				if _, known := records[subject]; !known {
					order = append(order, subject)
				}
				merged, _ := records[subject].Merge(Record{Subject: subject, Service: "s", Crashes: []Crash{crash}, RunTime: runTime})
				merged.Subject = subject
				records[subject] = merged
			}
		}
	}
	for len(order) > 0 {
		var message []Record
		for _, subject := range order[:min(len(order), recordsPerMessage)] {
			message = append(message, records[subject])
		}
		order = order[len(message):]
		messages = append(messages, message)
	}
	return messages
}

// Guards against routers that spend their processor on records while many runners are lost: a request is
// evaluated after each message, when nothing that follows from the records is cached.
func TestEvaluationIsCheapDuringMassLoss(t *testing.T) {
	for name, runTime := range map[string]time.Duration{"parts that were sound before": 200 * time.Millisecond, "new parts": 0} {
		t.Run(name, func(t *testing.T) { evaluateDuringMassLoss(t, runTime) })
	}
}

func evaluateDuringMassLoss(t *testing.T, runTime time.Duration) {
	g, d := NewWithT(t), NewDetector(Config{})
	var merging, evaluating time.Duration
	evaluations := 0
	for _, message := range lossRecords(runTime) {
		startedAt := time.Now()
		d.Merge(atSeconds(1), message)
		merging += time.Since(startedAt)
		for i := range 8 {
			startedAt = time.Now()
			d.EvaluateRequest(atSeconds(1), Request{Content: Subject{Tenant: "t", Digest: uint64(i)}, Parts: []string{fmt.Sprint("first-", i%4), fmt.Sprint("second-", i)}})
			evaluating += time.Since(startedAt)
			evaluations++
		}
	}
	t.Logf("merging took %v, %d evaluations took %v, %d records", merging, evaluations, evaluating, len(d.records))
	g.Expect(len(d.records)).To(BeNumerically("<=", maxRecords))
	g.Expect(merging + evaluating).To(BeNumerically("<", maxLossTime))
}
