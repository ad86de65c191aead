package soak

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/platform"
)

const (
	// soundSilence is how long a sound runner may be silent without an effect on its streams.
	soundSilence = 2 * time.Second
	// closeSlack is how long after its last byte was sent the end of a call may cross the close of its connection.
	closeSlack = 200 * time.Millisecond
	// stopMargin is the part of the grace period that may be left when a stopping gateway ends open requests, so that
	// callers still get an answer. graceCallTime is the time after SIGTERM up to which requests may be sent that then end.
	stopMargin    = 500 * time.Millisecond
	graceCallTime = 3 * time.Second
	// maxAdmissionTime is the time after its sending in which an undisturbed gateway admits a call.
	maxAdmissionTime = time.Second
)

// Ends of calls for which a gateway need not log that they ended without a complete response.
const (
	unansweredPrefix = "unanswered, "
	notSentWhole     = "not sent whole"
	crossedClose     = "crossed the close"
	gatewayKilled    = "gateway killed"
	gatewaySuspended = "gateway suspended"
)

// runnerRun is a run at a runner.
type runnerRun struct {
	runnerstand.Run
	runner *runnerstand.Runner
}

// wholeCallCheck judges the calls of a wholeCallerPool after the end of the run.
type wholeCallCheck struct {
	*Soak
	versions []configVersion
	// runs and arrivals hold the runs and the numbers of arrivals at runners by request ID.
	runs     map[string][]runnerRun
	arrivals map[string]int
	// logged holds the numbers of log lines about requests without a complete response, by gateway and request ID.
	logged map[string]map[string]int
	// tallies counts calls by route and end.
	tallies map[string]map[string]int
}

// check fails the run for each call that was sent whole and neither answered nor refused, for each refusal that no
// configuration explains, and for each stream that a silence ended or moved.
func (p *wholeCallerPool) check() {
	c := &wholeCallCheck{Soak: p.soak, versions: p.soak.config.versions(), runs: map[string][]runnerRun{}, arrivals: map[string]int{}, tallies: map[string]map[string]int{}}
	c.readLogs()
	for _, runner := range p.soak.runners.all() {
		for _, run := range runner.Runs() {
			c.runs[run.RequestID] = append(c.runs[run.RequestID], runnerRun{run, runner})
		}
		for _, arrival := range runner.ArrivalLog() {
			c.arrivals[arrival.RequestID]++
		}
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, call := range p.calls {
		slices.SortFunc(c.runs[call.id], func(a, b runnerRun) int { return a.StartedAt.Compare(b.StartedAt) })
		end := c.checkEnd(call)
		c.tally(call, end)
		c.checkLog(call, end)
		c.checkRunners(call)
		c.checkMoves(call)
	}
	for _, route := range slices.Sorted(maps.Keys(c.tallies)) {
		var counts []string
		for _, end := range slices.Sorted(maps.Keys(c.tallies[route])) {
			counts = append(counts, fmt.Sprintf("%s %d", end, c.tallies[route][end]))
		}
		p.soak.logf("whole calls of %s: %s", route, strings.Join(counts, ", "))
	}
}

func (c *wholeCallCheck) tally(call *wholeCall, end string) {
	if c.tallies[call.route] == nil {
		c.tallies[call.route] = map[string]int{}
	}
	c.tallies[call.route][end]++
}

// checkEnd judges how the call ended and returns a name of the end.
func (c *wholeCallCheck) checkEnd(call *wholeCall) string {
	if !call.answered {
		return c.checkUnanswered(call)
	}
	if last := c.ownTime(call, slices.Max); call.endedAt.Sub(call.sentAt) > last+responseSlack && !c.wasSuspended(call) {
		c.failf("time: %s was answered after %v, its time was %v", c.describe(call), call.endedAt.Sub(call.sentAt), last)
	}
	if reason := c.wrongStatus(call); reason != "" {
		c.failf("answer: %s got status %d: %s", c.describe(call), call.status, reason)
		return "wrong answer"
	}
	return fmt.Sprint(call.status)
}

// checkUnanswered judges a call that ended without a whole answer.
func (c *wholeCallCheck) checkUnanswered(call *wholeCall) string {
	if call.sentWholeAt.IsZero() {
		return notSentWhole
	}
	if excuse := c.excuse(call); excuse != "" {
		c.logf("excused: %s ended without an answer after %v: %s, %s", c.describe(call), call.endedAt.Sub(call.sentAt), call.end, excuse)
		return unansweredPrefix + excuse
	}
	c.failf("whole: %s ended without an answer after %v: %s", c.describe(call), call.endedAt.Sub(call.sentAt), call.end)
	return "unanswered"
}

// readLogs reads from the logs which requests ended without a complete response.
func (c *wholeCallCheck) readLogs() {
	c.logged = map[string]map[string]int{}
	for _, p := range c.processes {
		c.logged[p.name] = map[string]int{}
		log, err := p.readLog()
		if err != nil {
			c.failf("soak: the log of %s cannot be read: %v", p.name, err)
			continue
		}
		for _, line := range log.Lines {
			// The folder may hold the logs of an earlier run.
			if line.Event == events.RequestUnanswered.Number && line.Time.After(c.versions[0].sentAt) {
				c.logged[p.name][line.StringField("request")]++
			}
		}
	}
}

// checkLog fails the run unless the call's gateway logged once that the call ended without a complete response, if it
// did. Older gateways do not log it.
func (c *wholeCallCheck) checkLog(call *wholeCall, end string) {
	if c.olderGateways[call.gatewayName] {
		return
	}
	lines := c.logged[call.gatewayName][call.id]
	switch {
	case end == notSentWhole || end == unansweredPrefix+gatewayKilled:
	case end == unansweredPrefix+gatewaySuspended && !call.hasBytes && c.arrivals[call.id] == 0:
		// The gateway may have closed the connection without reading the call.
	case call.answered || end == unansweredPrefix+crossedClose:
		if lines > 0 {
			c.failf("log: %s ended as %q, and its gateway logged %d times that it had no answer", c.describe(call), end, lines)
		}
	case lines != 1:
		c.failf("log: %s ended as %q, and its gateway logged %d times that it had no answer", c.describe(call), end, lines)
	}
}

// excuse returns why the call may end without an answer, empty if it may not.
func (c *wholeCallCheck) excuse(call *wholeCall) string {
	for _, name := range c.gatewaysOf(call.callRecord) {
		if excuse := c.stopExcuse(call, c.process(name)); excuse != "" {
			return excuse
		}
		if c.changes.wasSuspendedLong(name, call.sentAt, call.endedAt) {
			return gatewaySuspended
		}
	}
	if call.endedAt.Sub(call.sentAt) >= c.ownTime(call, slices.Min) {
		return "time up"
	}
	return ""
}

// stopExcuse returns why a stop of the gateway excuses the end of the call, empty if it does not.
func (c *wholeCallCheck) stopExcuse(call *wholeCall, gateway *process) string {
	stopped := gateway.lifeAt(call.connectedAt)
	if stopped.endedAt.IsZero() || stopped.endedAt.After(call.endedAt) {
		return ""
	}
	if stopped.signal == syscall.SIGKILL {
		return gatewayKilled
	}
	// A suspended gateway closes its connections when it continues.
	closeTime := closeSlack + c.changes.longestSuspension(gateway.name, call.sentWholeAt, call.endedAt)
	if call.gatewayName == gateway.name && !call.hasBytes && c.arrivals[call.id] == 0 && call.endedAt.Sub(call.sentWholeAt) <= closeTime {
		return crossedClose
	}
	graceEnd := stopped.endedAt.Add(gateway.gracePeriod)
	isLate := call.endedAt.After(graceEnd.Add(-stopMargin)) && call.sentAt.Before(stopped.endedAt.Add(graceCallTime))
	if isLate && c.workedUntil(call).After(graceEnd.Add(-gateway.gracePeriod/6)) {
		return "end of the grace period"
	}
	return ""
}

// workedUntil returns until when runners worked on the call or were silent with its answer.
func (c *wholeCallCheck) workedUntil(call *wholeCall) (until time.Time) {
	for _, run := range c.runs[call.id] {
		end := run.StartedAt.Add(time.Duration(run.runner.EventCount) * run.runner.EventInterval)
		for _, silence := range c.changes.silencesOf(run.runner.ID) {
			if silence.from.Before(end) && silence.to.After(end) {
				end = silence.to
			}
		}
		if end.After(until) {
			until = end
		}
	}
	return until
}

func (c *wholeCallCheck) process(name string) *process {
	return c.processes[slices.IndexFunc(c.processes, func(p *process) bool { return p.name == name })]
}

// wasSuspended reports whether the gateway was suspended, or a stop ended, while it had the call.
func (c *wholeCallCheck) wasSuspended(call *wholeCall) bool {
	return slices.ContainsFunc(c.gatewaysOf(call.callRecord), func(name string) bool { return c.process(name).wasUnavailableSince(call.sentAt) })
}

// inForce returns the versions of the configuration by which the call may have been admitted. Gateways that were
// disturbed may use any earlier version.
func (c *wholeCallCheck) inForce(call *wholeCall) (versions []configVersion) {
	undisturbed := c.wasUndisturbed(call.gatewayName, call.sentAt) && c.wasUndisturbed(call.gatewayName, call.endedAt)
	admittedBy := call.endedAt
	if undisturbed && call.sentAt.Add(maxAdmissionTime).Before(admittedBy) {
		admittedBy = call.sentAt.Add(maxAdmissionTime)
	}
	for i, version := range c.versions {
		isReplaced := i+1 < len(c.versions) && c.versions[i+1].ackedAt.Add(maxConfigDelay).Before(call.sentAt)
		if version.sentAt.After(admittedBy) || undisturbed && isReplaced {
			continue
		}
		versions = append(versions, version)
	}
	return versions
}

// wasUndisturbed reports whether the gateway is held to time bounds at the moment.
func (c *wholeCallCheck) wasUndisturbed(gateway string, moment time.Time) bool {
	return min(c.undisturbedFor(moment, storeSubject, gateway), c.informedFor(moment, gateway)) > settleTime
}

// ownTime returns the least or greatest time that the call may take.
func (c *wholeCallCheck) ownTime(call *wholeCall, choose func([]time.Duration) time.Duration) time.Duration {
	var times []time.Duration
	for _, version := range c.inForce(call) {
		if timeout, present := version.timeouts[call.route]; present {
			times = append(times, min(timeout, call.timeout))
		}
	}
	if len(times) == 0 {
		return call.timeout
	}
	return choose(times)
}

// wrongStatus returns why the call may not have the status, empty if it may.
func (c *wholeCallCheck) wrongStatus(call *wholeCall) string {
	versions := c.inForce(call)
	hasRoute := func(v configVersion) bool { _, present := v.timeouts[call.route]; return present }
	hasKey := func(v configVersion) bool { return v.keys[call.key] == call.tenant }
	fits := func(v configVersion) bool { return len(call.body) <= v.bodyLimit }
	switch call.status {
	case http.StatusOK:
		if !slices.ContainsFunc(versions, func(v configVersion) bool { return hasRoute(v) && hasKey(v) && fits(v) }) {
			return "no configuration that may be in force allows it"
		}
		return ""
	case http.StatusNotFound:
		return unlessAny(versions, hasRoute)
	case http.StatusUnauthorized:
		return unlessAny(versions, hasKey)
	case http.StatusRequestEntityTooLarge:
		return unlessAny(versions, fits)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if !call.repeatable && len(c.runs[call.id]) > 0 {
			return "it was refused and ran"
		}
		return ""
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		if c.excuse(call) != "" {
			return ""
		}
		return "no runner failed and its time was not up"
	}
	return "no sound runner and no configuration explains it"
}

// unlessAny returns a description if all versions allow the call.
func unlessAny(versions []configVersion, allows func(configVersion) bool) string {
	for _, version := range versions {
		if !allows(version) {
			return ""
		}
	}
	return "all configurations that may be in force allow it"
}

// checkRunners fails the run if a service had the call to which no configuration leads that may be in force.
func (c *wholeCallCheck) checkRunners(call *wholeCall) {
	for _, run := range c.runs[call.id] {
		if !slices.ContainsFunc(c.inForce(call), func(v configVersion) bool { return slices.Contains(v.services[call.route], run.runner.Service) }) {
			c.failf("route: %s ran at a runner of %s", c.describe(call), run.runner.Service)
		}
	}
}

// checkMoves fails the run if a stream ran twice although its runners were sound and silent for less than
// soundSilence.
func (c *wholeCallCheck) checkMoves(call *wholeCall) {
	runs := c.runs[call.id]
	if len(runs) < 2 {
		return
	}
	if !call.streams {
		c.tally(call, "ran twice")
		return
	}
	for _, run := range runs {
		if c.runners.wasDraining(run.runner.ID, run.StartedAt, call.endedAt) || c.wasSilentLong(run.runner.ID, run.StartedAt, call.endedAt) {
			return
		}
	}
	for _, name := range c.gatewaysOf(call.callRecord) {
		if c.changes.wasSuspendedLong(name, call.sentAt, runs[1].StartedAt) {
			return
		}
	}
	c.tally(call, "moved")
	c.failf("moved: %s ran %d times and no runner broke off, drained or was silent for %v", c.describe(call), len(runs), soundSilence)
}

// wasSilentLong reports whether the runner was silent for soundSilence or longer between the moments.
func (c *wholeCallCheck) wasSilentLong(runner string, from, to time.Time) bool {
	return slices.ContainsFunc(c.changes.silencesOf(runner), func(i interval) bool {
		return i.from.Before(to) && i.to.After(from) && i.to.Sub(i.from) >= soundSilence
	})
}

// describe returns the call with its gateway and times, its runs and the silences of their runners.
func (c *wholeCallCheck) describe(call *wholeCall) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s (%s) at %s from %s to %s", call.id, call.route, strings.Join(c.gatewaysOf(call.callRecord), " and "), formatTime(call.sentAt), formatTime(call.endedAt))
	for _, run := range c.runs[call.id] {
		fmt.Fprintf(&text, ", run at %s from %s after event %q", run.runner.ID, formatTime(run.StartedAt), run.Header.Get(platform.HeaderLastEventID))
		for _, silence := range c.changes.silencesOf(run.runner.ID) {
			if silence.from.Before(call.endedAt) && silence.to.After(call.sentAt) {
				fmt.Fprintf(&text, " (silent from %s to %s)", formatTime(silence.from), formatTime(silence.to))
			}
		}
	}
	return text.String()
}
