package ledger

import (
	"encoding/json"
	"io"
	"math"

	"github.com/gravitational/trace"
)

// ReportRow is a row of Report.Parts or Report.Costs.
type ReportRow struct {
	Name string
	// Amount is the attainable worth of a part, or the size of a cost in the unit that its name
	// gives.
	Amount float64
	// Share is the share of Amount that a part achieved, or the share of the day's worth that a
	// cost took.
	Share float64
}

// Class holds the results of the requests of one class.
type Class struct {
	Name    string  `json:"name"`
	Count   int     `json:"n"`
	InTime  int     `json:"in_aim"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Earned  float64 `json:"worth"`
}

// Report is the report of the bench about one day. Worth is the score of the day, Parts are the
// parts that make up the score, and Costs are the deductions by cause.
type Report struct {
	Worth        float64
	RequestCount int
	Parts        []ReportRow
	Costs        []ReportRow
	Classes      []Class
}

// ReadReport reads the report that the users' bench writes for one day. It returns a
// trace.BadParameter error for a malformed report and for one without requests.
func ReadReport(reader io.Reader) (*Report, error) {
	var raw struct {
		Worth   *float64            `json:"G"`
		Tries   int                 `json:"tries"`
		Parts   [][]json.RawMessage `json:"parts"`
		Prices  [][]json.RawMessage `json:"prices"`
		Classes []Class             `json:"classes"`
	}
	if err := json.NewDecoder(reader).Decode(&raw); err != nil {
		return nil, trace.BadParameter("report: %v", err)
	}
	if raw.Worth == nil || raw.Tries == 0 {
		return nil, trace.BadParameter("report: the bench ran no day")
	}
	report := &Report{Worth: *raw.Worth, RequestCount: raw.Tries, Classes: raw.Classes}
	var err error
	if report.Parts, err = parseRows(raw.Parts); err != nil {
		return nil, err
	}
	if report.Costs, err = parseRows(raw.Prices); err != nil {
		return nil, err
	}
	return report, nil
}

// parseRows parses rows of a name and two numbers.
func parseRows(rows [][]json.RawMessage) ([]ReportRow, error) {
	var list []ReportRow
	for _, row := range rows {
		if len(row) != 3 {
			return nil, trace.BadParameter("report: a row has %d columns instead of 3", len(row))
		}
		var parsed ReportRow
		for i, field := range []any{&parsed.Name, &parsed.Amount, &parsed.Share} {
			if err := json.Unmarshal(row[i], field); err != nil {
				return nil, trace.BadParameter("report: column %d: %v", i, err)
			}
		}
		list = append(list, parsed)
	}
	return list, nil
}

// maxRequestCountDeviation is the maximum deviation, as a share, between the numbers of requests in
// a log and in the report of the same day. Requests whose router was killed leave no log line, and
// tests of the configuration leave lines that the report does not count.
const maxRequestCountDeviation = 0.3

// CheckMatches returns an error if the numbers of requests show that log and report are of
// different days.
func (r *Report) CheckMatches(ledger *Ledger) error {
	if math.Abs(float64(ledger.Requests-r.RequestCount)) > maxRequestCountDeviation*float64(r.RequestCount) {
		return trace.BadParameter("the log has %d requests and the report %d: they are of different days", ledger.Requests, r.RequestCount)
	}
	return nil
}
