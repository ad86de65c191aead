package explain

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/events"
)

// subjectKey identifies a content or prompt part of a tenant's requests.
type subjectKey struct{ tenant, content, part string }

// addSubjects adds the content and the prompt parts of a request, as one of its lines names them.
func addSubjects(subjects map[subjectKey]bool, line Line) {
	tenant := line.StringField("tenant")
	if content := line.StringField("content"); content != "" {
		subjects[subjectKey{tenant: tenant, content: content}] = true
	}
	parts, _ := line.Fields["parts"].([]any)
	for _, part := range parts {
		if id, isString := part.(string); isString {
			subjects[subjectKey{tenant: tenant, part: id}] = true
		}
	}
}

// quarantineEvents are the events at which the quarantine of a content or prompt part begins or ends.
var quarantineEvents = eventNumbers(events.ContentQuarantined, events.QuarantineLifted, events.QuarantineLiftedByOperator)

// quarantineChanges returns, up to the given time, the first line at which any router began or ended each
// quarantine of the subjects, and the crashes that led to it.
func (l *Log) quarantineChanges(until time.Time, subjects map[subjectKey]bool) (changes []Line) {
	crashed := map[string]bool{}
	// last is the event of the latest line of each subject. Other routers log the same event soon after.
	last := map[subjectKey]int{}
	for _, line := range l.Lines {
		if line.Time.After(until) {
			break
		}
		key := subjectKey{line.StringField("tenant"), line.StringField("content"), line.StringField("part")}
		if !quarantineEvents[line.Event] || !subjects[key] || last[key] == line.Event {
			continue
		}
		last[key] = line.Event
		changes = append(changes, line)
		runners, _ := line.Fields["runners"].([]any)
		for _, runner := range runners {
			if id, isString := runner.(string); isString {
				crashed[id] = true
			}
		}
	}
	for _, line := range l.Lines {
		if runner := line.StringField("runner"); line.Event == events.RunnerEndDetected.Number && crashed[runner] && !line.Time.After(until) {
			changes = append(changes, line)
			delete(crashed, runner)
		}
	}
	return changes
}
