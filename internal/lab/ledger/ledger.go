// Package ledger tells where requests of a day were lost, and to what: from the logs of the
// routers it counts lost requests by cause, route, tenant, router, runner and time, and from
// the report of a play it takes what each cause cost.
package ledger

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/explain"
)

// window is the span of time that lost requests are counted in: short enough to tell a burst
// from what follows it.
const window = 2 * time.Second

// Dimension is what lost requests are counted by.
type Dimension string

// The dimensions.
const (
	ByRoute  Dimension = "route"
	ByTenant Dimension = "tenant"
	ByRouter Dimension = "router"
	ByRunner Dimension = "runner"
	ByWindow Dimension = "second"
)

// Dimensions are all dimensions, in the order in which they are shown.
var Dimensions = []Dimension{ByRoute, ByTenant, ByRouter, ByRunner, ByWindow}

// Row counts the lost requests of one cause at one place.
type Row struct {
	Dimension Dimension
	// Key names the route, tenant, router or runner, or gives the first second of the window.
	Key   string
	Cause string
	Count int
}

// Ledger is the account of one log.
type Ledger struct {
	// Requests counts all that ended or were refused.
	Requests int
	// Causes counts lost requests by cause.
	Causes map[string]int
	// Rows are the counts by place, the largest first within a dimension.
	Rows []Row
}

// place is a key of a dimension with a cause.
type place struct {
	dimension Dimension
	key       string
	cause     string
}

// FromLog counts the lost requests of a log. A log without any request is an error.
func FromLog(log *explain.Log) (*Ledger, error) {
	ledger := &Ledger{Causes: map[string]int{}}
	counts := map[place]int{}
	var began time.Time
	for _, line := range log.Lines {
		cause, isRequest := causeOf(line)
		if !isRequest {
			continue
		}
		if ledger.Requests == 0 {
			began = line.Time
		}
		ledger.Requests++
		if cause == "" {
			continue
		}
		ledger.Causes[cause]++
		for dimension, key := range keysOf(line, began) {
			counts[place{dimension, key, cause}]++
		}
	}
	if ledger.Requests == 0 {
		return nil, trace.BadParameter("the log has no request that ended or was refused (%d lines, %d others skipped)", len(log.Lines), log.Skipped)
	}
	ledger.Rows = rowsOf(counts)
	return ledger, nil
}

// causeOf tells what a request was lost to, "" for one answered in time, and whether the
// line ends a request at all.
func causeOf(line explain.Line) (cause string, isRequest bool) {
	switch line.Event {
	case events.RequestRefused.Number:
		return "refused: " + line.StringField("reason"), true
	case events.RequestEnded.Number:
		if outcome := line.StringField("outcome"); outcome != "complete" {
			return "not served: " + outcome, true
		}
		if by := line.StringField("late_by"); by != "" {
			return "late: " + by, true
		}
		return "", true
	}
	return "", false
}

func keysOf(line explain.Line, began time.Time) map[Dimension]string {
	second := int(line.Time.Sub(began).Truncate(window).Seconds())
	keys := map[Dimension]string{
		ByRoute: line.StringField("route"), ByTenant: line.StringField("tenant"), ByRouter: line.Node,
		ByRunner: line.StringField("runner"), ByWindow: strconv.Itoa(second),
	}
	maps.DeleteFunc(keys, func(_ Dimension, key string) bool { return key == "" })
	return keys
}

func rowsOf(counts map[place]int) []Row {
	rows := make([]Row, 0, len(counts))
	for at, count := range counts {
		rows = append(rows, Row{at.dimension, at.key, at.cause, count})
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(
			cmp.Compare(slices.Index(Dimensions, a.Dimension), slices.Index(Dimensions, b.Dimension)),
			cmp.Compare(b.Count, a.Count), cmp.Compare(a.Key, b.Key), cmp.Compare(a.Cause, b.Cause))
	})
	return rows
}
