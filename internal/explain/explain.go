// Package explain reads log lines of one or several routers and tells what
// became of a request and what each router believed then.
//
// Lines may have anything before their JSON object, such as the name of the
// machine that a collector puts there. Lines that are no log events are skipped
// and counted.
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
	Time   time.Time
	Node   string
	Event  int
	Text   string
	Fields map[string]any
}

// Field returns a field as text, or "".
func (l Line) Field(name string) string {
	text, _ := l.Fields[name].(string)
	return text
}

// Number returns a field as a number, or 0.
func (l Line) Number(name string) float64 {
	number, _ := l.Fields[name].(float64)
	return number
}

// Log is a set of lines in order of time.
type Log struct {
	Lines []Line
	// Skipped counts lines that are no log events.
	Skipped int
}

// maxLineBytes bounds one log line.
const maxLineBytes = 1 << 20

// Read reads log lines.
func Read(reader io.Reader) (*Log, error) {
	log := &Log{}
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		if !ok {
			log.Skipped++
			continue
		}
		log.Lines = append(log.Lines, line)
	}
	slices.SortStableFunc(log.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return log, scanner.Err()
}

// envelope is the part of a line that every event has.
type envelope struct {
	Event int       `json:"event"`
	Node  string    `json:"node"`
	Text  string    `json:"msg"`
	Time  time.Time `json:"time"`
}

func parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var common envelope
	if json.Unmarshal(text[start:], &common) != nil || common.Event == 0 {
		return Line{}, false
	}
	line := Line{Time: common.Time, Node: common.Node, Event: common.Event, Text: common.Text}
	if json.Unmarshal(text[start:], &line.Fields) != nil {
		return Line{}, false
	}
	for _, name := range []string{"event", "node", "msg", "time", "level"} {
		delete(line.Fields, name)
	}
	return line, true
}

// Story is what the log says of one request.
type Story struct {
	Request string
	// Lines are the request's own, in order.
	Lines []Line
	// Beliefs are the last lines before the request's first one, or during it, in
	// which its routers changed what they believed, of each kind the newest.
	Beliefs []Line
}

// beliefEvents are the events that change what a router believes of everything.
var beliefEvents = numbers(
	events.GatewayStarted, events.GatewayDraining, events.ConfigInForce, events.ConfigStale, events.ConfigProven, events.StoreUnavailable, events.StoreRecovered,
	events.SourceChanged, events.WeightsNamed, events.CacheStoreAvailabilityChanged, events.LeaseAcquired, events.LeaseLost,
)

// runnerEvents are the events that change what a router believes of one runner.
var runnerEvents = numbers(events.RunnerAdded, events.RunnerChanged, events.RunnerRemoved)

// orderEvents concern a runner whichever router they happen at.
var orderEvents = numbers(events.RunnerWeightsChanged, events.OrderSent, events.RunnerReportFailed)

func numbers(list ...events.Event) map[int]bool {
	set := map[int]bool{}
	for _, event := range list {
		set[event.Number] = true
	}
	return set
}

// Request returns the story of a request, or false when the log does not have it.
func (l *Log) Request(id string) (Story, bool) {
	story := Story{Request: id}
	nodes, runners := map[string]bool{}, map[string]bool{}
	for _, line := range l.Lines {
		if line.Field("request") != id {
			continue
		}
		story.Lines = append(story.Lines, line)
		nodes[line.Node] = true
		if runner := line.Field("runner"); runner != "" {
			runners[runner] = true
		}
	}
	if len(story.Lines) == 0 {
		return story, false
	}
	story.Beliefs = l.beliefs(story.Lines[len(story.Lines)-1].Time, nodes, runners)
	return story, true
}

// belief names what a line is about; a newer line about the same replaces it.
type belief struct {
	node   string
	event  int
	runner string
	kind   string
}

func (l *Log) beliefs(until time.Time, nodes, runners map[string]bool) []Line {
	newest := map[belief]Line{}
	for _, line := range l.Lines {
		if line.Time.After(until) {
			break
		}
		general := beliefEvents[line.Event] && nodes[line.Node]
		ofRunner := runners[line.Field("runner")] && (orderEvents[line.Event] || runnerEvents[line.Event] && nodes[line.Node])
		if general || ofRunner {
			newest[belief{line.Node, line.Event, line.Field("runner"), line.Field("kind")}] = line
		}
	}
	var lines []Line
	for _, line := range newest {
		lines = append(lines, line)
	}
	slices.SortFunc(lines, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Node, b.Node), cmp.Compare(a.Event, b.Event))
	})
	return lines
}

// Cause is a group of requests that ended alike.
type Cause struct {
	Outcome string
	Reason  string
	Count   int
	// Examples are a few of the requests.
	Examples []string
}

// maxExamples bounds the examples of a cause.
const maxExamples = 3

// Failures groups the requests that were refused, failed or late by cause, the
// most frequent first.
func (l *Log) Failures() []Cause {
	lastReason := map[string]string{}
	causes := map[[2]string]*Cause{}
	for _, line := range l.Lines {
		id := line.Field("request")
		switch line.Event {
		case events.RequestAttemptFailed.Number:
			lastReason[id] = line.Field("outcome") + ": " + line.Field("cause")
		case events.StreamCut.Number:
			lastReason[id] = line.Field("reason") + "; " + lastReason[id]
		case events.RequestRefused.Number:
			count(causes, "refused", line.Field("reason"), id)
		case events.RequestEnded.Number:
			if outcome := endOf(line); outcome != "" {
				count(causes, outcome, lastReason[id], id)
			}
		}
	}
	var ordered []Cause
	for _, cause := range causes {
		ordered = append(ordered, *cause)
	}
	slices.SortFunc(ordered, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Reason, b.Reason))
	})
	return ordered
}

// endOf returns how a request ended if it did not end well, or "".
func endOf(line Line) string {
	outcome := line.Field("outcome")
	late, _ := line.Fields["late"].(bool)
	switch {
	case outcome != "complete":
		return outcome
	case late:
		return "late"
	}
	return ""
}

func count(causes map[[2]string]*Cause, outcome, reason, id string) {
	key := [2]string{outcome, reason}
	if causes[key] == nil {
		causes[key] = &Cause{Outcome: outcome, Reason: reason}
	}
	causes[key].Count++
	if len(causes[key].Examples) < maxExamples {
		causes[key].Examples = append(causes[key].Examples, id)
	}
}
