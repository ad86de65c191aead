// Package ledger attributes the lost requests of a day to causes. A day is one run of the users'
// bench. The package counts the lost requests in the logs of the routers by cause, route, tenant,
// router, runner and time, and reads from the report of the bench what each cause cost.
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

// windowDuration is the length of the time windows in which lost requests are counted. It is short
// enough to separate a burst from what follows it.
const windowDuration = 2 * time.Second

// Dimension is a property of requests by which lost requests are counted.
type Dimension string

// Dimensions of lost requests.
const (
	ByRoute  Dimension = "route"
	ByTenant Dimension = "tenant"
	ByRouter Dimension = "router"
	ByRunner Dimension = "runner"
	ByWindow Dimension = "second"
)

// Dimensions lists all dimensions in the order in which they are shown.
var Dimensions = []Dimension{ByRoute, ByTenant, ByRouter, ByRunner, ByWindow}

// Row is the number of requests that were lost to one cause, for one key of a dimension.
type Row struct {
	Dimension Dimension
	// Key is the name of the route, tenant, router or runner, or the start of the time window in
	// seconds after the first request.
	Key   string
	Cause string
	Count int
}

// Ledger holds the counts of the lost requests in a log.
type Ledger struct {
	// Requests is the number of requests that ended or were refused, lost or not.
	Requests int
	// Causes is the number of lost requests by cause.
	Causes map[string]int
	// Rows are the counts by dimension and key, with the largest first within a dimension.
	Rows []Row
}

// rowKey identifies a Row.
type rowKey struct {
	dimension Dimension
	key       string
	cause     string
}

// FromLog counts the lost requests in a log. It returns a trace.BadParameter error if the log
// contains no requests.
func FromLog(log *explain.Log) (*Ledger, error) {
	ledger := &Ledger{Causes: map[string]int{}}
	counts := map[rowKey]int{}
	var start time.Time
	for _, line := range log.Lines {
		cause, isRequest := lossCause(line)
		if !isRequest {
			continue
		}
		if ledger.Requests == 0 {
			start = line.Time
		}
		ledger.Requests++
		if cause == "" {
			continue
		}
		ledger.Causes[cause]++
		for dimension, key := range dimensionKeys(line, start) {
			counts[rowKey{dimension, key, cause}]++
		}
	}
	if ledger.Requests == 0 {
		return nil, trace.BadParameter("the log has no request that ended or was refused (%d lines, %d others skipped)", len(log.Lines), log.Skipped)
	}
	ledger.Rows = sortedRows(counts)
	return ledger, nil
}

// lossCause returns the cause by which a request was lost, empty if it was answered in time.
// isRequest is false if the line does not report the end of a request.
func lossCause(line explain.Line) (cause string, isRequest bool) {
	switch line.Event {
	case events.RequestRefused.Number:
		return "refused: " + line.StringField("reason"), true
	case events.RequestEnded.Number:
		if outcome := line.StringField("outcome"); outcome != "complete" {
			return "not served: " + outcome, true
		}
		if lateCause := line.StringField("late_by"); lateCause != "" {
			return "late: " + lateCause, true
		}
		return "", true
	}
	return "", false
}

// dimensionKeys returns the keys under which a lost request is counted. Fields that are missing in
// the line have no key.
func dimensionKeys(line explain.Line, start time.Time) map[Dimension]string {
	second := int(line.Time.Sub(start).Truncate(windowDuration).Seconds())
	keys := map[Dimension]string{
		ByRoute: line.StringField("route"), ByTenant: line.StringField("tenant"), ByRouter: line.Node,
		ByRunner: line.StringField("runner"), ByWindow: strconv.Itoa(second),
	}
	maps.DeleteFunc(keys, func(_ Dimension, key string) bool { return key == "" })
	return keys
}

func sortedRows(counts map[rowKey]int) []Row {
	rows := make([]Row, 0, len(counts))
	for group, count := range counts {
		rows = append(rows, Row{group.dimension, group.key, group.cause, count})
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(
			cmp.Compare(slices.Index(Dimensions, a.Dimension), slices.Index(Dimensions, b.Dimension)),
			cmp.Compare(b.Count, a.Count), cmp.Compare(a.Key, b.Key), cmp.Compare(a.Cause, b.Cause))
	})
	return rows
}
