// Package explain reads the logs of one or several routers. It finds the events of a request
// together with the state of the routers and runners at that time, and groups failed requests
// by cause.
//
// A line may have any text before its JSON object, such as a machine name added by a log
// collector. Lines that are not log events are skipped and counted.
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/events"
)

// Line is one log event.
type Line struct {
	Time time.Time
	// Node is the name of the router that logged the event.
	Node string
	// Event is the number of the event, as in package events.
	Event   int
	Message string
	// Fields are all other fields except the level.
	Fields map[string]any
}

// StringField returns the value of a field, or "" if it is missing or not a string.
func (l Line) StringField(name string) string {
	value, _ := l.Fields[name].(string)
	return value
}

// NumberField returns the value of a field, or 0 if it is missing or not a number.
func (l Line) NumberField(name string) float64 {
	value, _ := l.Fields[name].(float64)
	return value
}

// Log is the merged log of one or several routers, sorted by time.
type Log struct {
	Lines []Line
	// Skipped is the number of lines that were not log events.
	Skipped int
}

// maxLineBytes is the maximum length of one log line.
const maxLineBytes = 1 << 20

// Read parses log lines and sorts them by time. Lines with the same time keep their order.
func Read(reader io.Reader) (*Log, error) {
	log := &Log{}
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		line, ok := parseLine(scanner.Bytes())
		if !ok {
			log.Skipped++
			continue
		}
		log.Lines = append(log.Lines, line)
	}
	slices.SortStableFunc(log.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return log, scanner.Err()
}

// eventHeader holds the fields that every event has.
type eventHeader struct {
	Event   int       `json:"event"`
	Node    string    `json:"node"`
	Message string    `json:"msg"`
	Time    time.Time `json:"time"`
}

// parseLine returns false if the text is not a log event.
func parseLine(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var header eventHeader
	if json.Unmarshal(text[start:], &header) != nil || header.Event == 0 {
		return Line{}, false
	}
	line := Line{Time: header.Time, Node: header.Node, Event: header.Event, Message: header.Message}
	if json.Unmarshal(text[start:], &line.Fields) != nil {
		return Line{}, false
	}
	for _, name := range []string{"event", "node", "msg", "time", "level"} {
		delete(line.Fields, name)
	}
	return line, true
}

// RequestHistory holds the log lines that explain the outcome of one request.
type RequestHistory struct {
	Request string
	// Lines are the events of the request, in order.
	Lines []Line
	// StateChanges are the events up to the last event of the request that changed the
	// state of the request's routers and runners: the latest of each kind.
	StateChanges []Line
}

// routerStateEvents are the events that change the state of a router as a whole.
var routerStateEvents = eventNumbers(
	events.GatewayStarted, events.StartStageReached, events.GatewayDraining, events.ConfigInForce, events.ConfigStale, events.ConfigProven, events.StoreUnavailable, events.StoreRecovered,
	events.SourceChanged, events.WeightsNamed, events.CacheStoreAvailabilityChanged, events.LeaseAcquired, events.LeaseLost, events.PathStateChanged,
)

// runnerStateEvents are the events that change a router's view of one runner. They are
// relevant only if logged by a router of the request.
var runnerStateEvents = eventNumbers(events.RunnerAdded, events.RunnerChanged, events.RunnerRemoved)

// globalRunnerEvents are the events about a runner that are relevant whichever router logs
// them.
var globalRunnerEvents = eventNumbers(events.RunnerWeightsChanged, events.OrderSent, events.RunnerReportFailed)

// eventNumbers returns the set of the events' numbers.
func eventNumbers(list ...events.Event) map[int]bool {
	numbers := map[int]bool{}
	for _, event := range list {
		numbers[event.Number] = true
	}
	return numbers
}

// History returns the history of a request, or false if the log does not mention the
// request. That of a request that takes a stream up includes the request that began the stream.
func (l *Log) History(id string) (RequestHistory, bool) {
	history := RequestHistory{Request: id}
	nodes, runners, requests := map[string]bool{}, map[string]bool{}, l.streamRequests(id)
	subjects := map[subjectKey]bool{}
	for _, line := range l.Lines {
		if !requests[line.StringField("request")] {
			continue
		}
		history.Lines = append(history.Lines, line)
		nodes[line.Node] = true
		if runner := line.StringField("runner"); runner != "" {
			runners[runner] = true
		}
		addSubjects(subjects, line)
	}
	if len(history.Lines) == 0 {
		return history, false
	}
	until := history.Lines[len(history.Lines)-1].Time
	history.StateChanges = append(l.stateChanges(until, nodes, runners), l.quarantineChanges(until, subjects)...)
	slices.SortStableFunc(history.StateChanges, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return history, true
}

// streamRequests returns the ID, and that of the request that began the stream which the request takes up.
func (l *Log) streamRequests(id string) map[string]bool {
	requests := map[string]bool{id: true}
	for _, line := range l.Lines {
		if resumed := line.StringField("resumes"); resumed != "" && line.StringField("request") == id {
			requests[resumed] = true
		}
	}
	return requests
}

// stateKey identifies the state that a line changes. A later line with the same key
// replaces an earlier one.
type stateKey struct {
	node   string
	event  int
	runner string
	kind   string
	stage  string
}

// stateChanges returns the latest line of each state key, up to the given time, that is about
// one of the nodes or runners.
func (l *Log) stateChanges(until time.Time, nodes, runners map[string]bool) []Line {
	latest := map[stateKey]Line{}
	for _, line := range l.Lines {
		if line.Time.After(until) {
			break
		}
		ofRouter := routerStateEvents[line.Event] && nodes[line.Node]
		ofRunner := runners[line.StringField("runner")] && (globalRunnerEvents[line.Event] || runnerStateEvents[line.Event] && nodes[line.Node])
		if ofRouter || ofRunner {
			latest[stateKey{line.Node, line.Event, line.StringField("runner"), line.StringField("kind"), line.StringField("stage")}] = line
		}
	}
	var lines []Line
	for _, line := range latest {
		lines = append(lines, line)
	}
	slices.SortFunc(lines, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Node, b.Node), cmp.Compare(a.Event, b.Event))
	})
	return lines
}

// FailureGroup is a group of requests that failed in the same way.
type FailureGroup struct {
	Outcome string
	Reason  string
	Count   int
	// Examples are the IDs of the first requests of the group, at most maxGroupExamples.
	Examples []string
}

// maxGroupExamples is the maximum number of examples in a group.
const maxGroupExamples = 3

// Failures groups the requests that were refused, failed or late by outcome and reason. The
// largest groups come first.
func (l *Log) Failures() []FailureGroup {
	lastReasons := map[string]string{}
	groups := map[[2]string]*FailureGroup{}
	for _, line := range l.Lines {
		id := line.StringField("request")
		if line.StringField("ingress") != "" {
			// The ingress router logs the outcome for the caller.
			continue
		}
		switch line.Event {
		case events.RequestAttemptFailed.Number:
			lastReasons[id] = line.StringField("outcome") + ": " + line.StringField("cause")
		case events.StreamCut.Number:
			lastReasons[id] = line.StringField("reason") + "; " + lastReasons[id]
		case events.RequestRefused.Number:
			addFailure(groups, "refused", line.StringField("reason"), id)
		case events.RequestEnded.Number:
			if outcome := failureOutcome(line); outcome != "" {
				addFailure(groups, outcome, lastReasons[id], id)
			}
		}
	}
	var ordered []FailureGroup
	for _, group := range groups {
		ordered = append(ordered, *group)
	}
	slices.SortFunc(ordered, func(a, b FailureGroup) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Reason, b.Reason))
	})
	return ordered
}

// failureOutcome returns the outcome of a request that did not complete, "late" for one that
// completed late, or "" for one that completed in time.
func failureOutcome(line Line) string {
	outcome := line.StringField("outcome")
	late, _ := line.Fields["late"].(bool)
	switch {
	case outcome != "complete":
		return outcome
	case late:
		return "late"
	}
	return ""
}

// addFailure adds a request to the group of its outcome and reason.
func addFailure(groups map[[2]string]*FailureGroup, outcome, reason, id string) {
	key := [2]string{outcome, reason}
	if groups[key] == nil {
		groups[key] = &FailureGroup{Outcome: outcome, Reason: reason}
	}
	groups[key].Count++
	if len(groups[key].Examples) < maxGroupExamples {
		groups[key].Examples = append(groups[key].Examples, id)
	}
}
