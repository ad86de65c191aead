package ledger

import (
	"encoding/json"
	"io"
	"math"

	"github.com/gravitational/trace"
)

// Price is what one cause cost.
type Price struct {
	Name string
	// Amount is in the unit that the name tells.
	Amount float64
	// Worth is the share of the day's worth that it took.
	Worth float64
}

// Class is how the requests of one kind fared.
type Class struct {
	Name    string  `json:"name"`
	Count   int     `json:"n"`
	InTime  int     `json:"in_aim"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Earned  float64 `json:"worth"`
}

// Report is what a play of a day reported.
type Report struct {
	Worth   float64
	Tries   int
	Parts   []Price
	Prices  []Price
	Classes []Class
}

// ReadReport reads the report that the bench of the users writes for one day.
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
		return nil, trace.BadParameter("report: no day was played")
	}
	report := &Report{Worth: *raw.Worth, Tries: raw.Tries, Classes: raw.Classes}
	var err error
	if report.Parts, err = prices(raw.Parts); err != nil {
		return nil, err
	}
	if report.Prices, err = prices(raw.Prices); err != nil {
		return nil, err
	}
	return report, nil
}

func prices(rows [][]json.RawMessage) ([]Price, error) {
	var list []Price
	for _, row := range rows {
		if len(row) != 3 {
			return nil, trace.BadParameter("report: a row has %d columns instead of 3", len(row))
		}
		var p Price
		for i, field := range []any{&p.Name, &p.Amount, &p.Worth} {
			if err := json.Unmarshal(row[i], field); err != nil {
				return nil, trace.BadParameter("report: column %d: %v", i, err)
			}
		}
		list = append(list, p)
	}
	return list, nil
}

// sameDayShare is how far the requests in a log may differ from those in a report of the
// same day: requests whose router was killed leave no line, and tests of the configuration
// leave lines that the report does not count.
const sameDayShare = 0.3

// Matches tells whether the log may be that of the report's day.
func (r *Report) Matches(ledger *Ledger) error {
	if math.Abs(float64(ledger.Requests-r.Tries)) > sameDayShare*float64(r.Tries) {
		return trace.BadParameter("the log has %d requests and the report %d: they are of different days", ledger.Requests, r.Tries)
	}
	return nil
}
