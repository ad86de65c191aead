package soak

import (
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
)

// checkedWholeCall is a check of one whole call at testGateway, which was sent at the time of start and ended after
// a second.
type checkedWholeCall struct {
	*WithT
	*wholeCallCheck
	call  *wholeCall
	start time.Time
	// gateway is the one that had the call.
	gateway *process
}

func newCheckedWholeCall(t *testing.T) *checkedWholeCall {
	s, _ := newCheckedSoak(t)
	start := time.Now()
	s.changes = newChangeInjector(s)
	gateway := &process{name: testGateway, gracePeriod: longGracePeriod, lives: []life{{startedAt: start.Add(-time.Minute)}}}
	s.processes = []*process{gateway}
	s.config.changing = newChangingConfig()
	s.config.changing.record(start.Add(-time.Minute), start.Add(-time.Minute), nil)
	call := &wholeCall{
		callRecord: &callRecord{id: testRequest, gatewayName: testGateway, tenant: secondTenant, key: "second-key-0", sentAt: start, endedAt: start.Add(time.Second)},
		route:      "long-resumable", streams: true, timeout: 12 * time.Second, connectedAt: start.Add(-time.Second), sentWholeAt: start,
	}
	check := &wholeCallCheck{Soak: s, versions: s.config.versions(), runs: map[string][]runnerRun{}, arrivals: map[string]int{}, tallies: map[string]map[string]int{}}
	return &checkedWholeCall{NewWithT(t), check, call, start, gateway}
}

// Guards against calls that are lost without a broken promise.
func TestUnansweredCallHasNoExcuse(t *testing.T) {
	c := newCheckedWholeCall(t)
	c.Expect(c.excuse(c.call)).To(BeEmpty())
	c.Expect(c.checkEnd(c.call)).To(Equal("unanswered"))
	c.Expect(c.failures).To(HaveLen(1))
}

// Guards against an excuse for any end at a stopping gateway.
func TestOnlyUnreadCallsCrossTheClose(t *testing.T) {
	c := newCheckedWholeCall(t)
	c.gateway.lives[0].endedAt, c.gateway.lives[0].signal = c.start, syscall.SIGTERM
	c.Expect(c.excuse(c.call)).To(BeEmpty(), "ended later than closeSlack")
	c.call.endedAt = c.start.Add(closeSlack / 2)
	c.Expect(c.excuse(c.call)).To(Equal(crossedClose))
	c.call.endedAt = c.start.Add(longFreeze / 2)
	c.changes.freezes[testGateway] = []interval{{from: c.start.Add(-longFreeze / 4), to: c.call.endedAt.Add(-closeSlack / 2)}}
	c.Expect(c.excuse(c.call)).To(Equal(crossedClose), "was suspended")
	c.changes.freezes[testGateway][0].to = c.call.endedAt.Add(-2 * closeSlack)
	c.Expect(c.excuse(c.call)).To(BeEmpty(), "continued earlier than closeSlack")
	c.changes.freezes[testGateway], c.call.endedAt = nil, c.start.Add(closeSlack/2)
	c.arrivals[testRequest] = 1
	c.Expect(c.excuse(c.call)).To(BeEmpty(), "had reached a runner")
	c.arrivals[testRequest], c.call.hasBytes = 0, true
	c.Expect(c.excuse(c.call)).To(BeEmpty(), "had begun to be answered")
	c.call.hasBytes, c.gateway.lives[0].endedAt = false, time.Time{}
	c.Expect(c.excuse(c.call)).To(BeEmpty(), "the gateway was not stopping")
}

// Guards against an excuse for calls that a stopping gateway ends long before its grace period does, or takes too late.
func TestOnlyTheEndOfTheGracePeriodExcuses(t *testing.T) {
	c := newCheckedWholeCall(t)
	c.call.hasBytes = true
	sigterm := c.start.Add(-graceCallTime / 2)
	c.gateway.lives[0].endedAt, c.gateway.lives[0].signal = sigterm, syscall.SIGTERM
	runner := &runnerstand.Runner{Config: runnerstand.Config{ID: "r", EventCount: 10, EventInterval: time.Second}}
	c.runs[testRequest] = []runnerRun{{runnerstand.Run{StartedAt: c.start}, runner}}
	c.call.endedAt = sigterm.Add(longGracePeriod - stopMargin - time.Millisecond)
	c.Expect(c.excuse(c.call)).To(BeEmpty(), "ended too early")
	c.call.endedAt = sigterm.Add(longGracePeriod - stopMargin/2)
	c.Expect(c.excuse(c.call)).To(Equal("end of the grace period"))
	runner.EventCount = 1
	c.Expect(c.excuse(c.call)).To(BeEmpty(), "the runner was no longer at work")
	runner.EventCount, c.call.sentAt = 10, sigterm.Add(graceCallTime)
	c.Expect(c.excuse(c.call)).To(BeEmpty(), "sent too late")
}

// Guards against an excuse by a suspension that is only a moment, or past.
func TestOnlyLongSuspensionsExcuse(t *testing.T) {
	c := newCheckedWholeCall(t)
	c.changes.freezes[testGateway] = []interval{{from: c.start, to: c.start.Add(longFreeze / 2)}}
	c.Expect(c.excuse(c.call)).To(BeEmpty())
	c.changes.freezes[testGateway][0].to = c.start.Add(longFreeze)
	c.Expect(c.excuse(c.call)).To(Equal(gatewaySuspended))
	c.call.endedAt = c.start.Add(longFreeze + 2*suspensionEffect)
	c.Expect(c.excuse(c.call)).To(BeEmpty(), "the gateway had continued long before")
}

// Guards against refusals that no configuration which may be in force explains.
func TestRefusalsNeedAConfiguration(t *testing.T) {
	c := newCheckedWholeCall(t)
	c.call.status = 404
	c.Expect(c.wrongStatus(c.call)).NotTo(BeEmpty())
	c.call.status = 401
	c.Expect(c.wrongStatus(c.call)).NotTo(BeEmpty())
	c.call.status = 200
	c.Expect(c.wrongStatus(c.call)).To(BeEmpty())
	changing := c.config.changing
	changing.route("long-resumable").present, changing.hasSecondTenant = false, false
	changing.record(c.start.Add(-time.Second), c.start.Add(-time.Second), nil)
	c.versions = c.config.versions()
	for _, status := range []int{200, 401, 404} {
		c.call.status = status
		c.Expect(c.wrongStatus(c.call)).To(BeEmpty(), "both versions may be in force")
	}
	c.versions[1].ackedAt = c.start.Add(-maxConfigDelay - time.Second)
	c.call.status = 200
	c.Expect(c.wrongStatus(c.call)).NotTo(BeEmpty(), "only an older version allows it")
}

// Guards against a broken promise for a long call that was admitted while the store was disturbed.
func TestDisturbanceAtTheAdmissionOfLongCalls(t *testing.T) {
	c := newCheckedWholeCall(t)
	changing := c.config.changing
	changing.route("long-resumable").present = false
	changing.record(c.start.Add(-maxConfigDelay-time.Second), c.start.Add(-maxConfigDelay-time.Second), nil)
	c.versions = c.config.versions()
	c.call.status, c.call.endedAt = 200, c.start.Add(2*settleTime)
	c.Expect(c.wrongStatus(c.call)).NotTo(BeEmpty(), "only an older version allows it")
	c.disturbances.addPast(c.start, storeSubject, 0)
	c.Expect(c.wrongStatus(c.call)).To(BeEmpty(), "the gateway did not have to know the newer version")
}

// Guards against gateways that end requests without a log line, or log ends that no caller saw.
func TestUnansweredCallIsLoggedOnce(t *testing.T) {
	for _, tc := range []struct {
		end      string
		answered bool
		arrivals int
		lines    int
		fails    bool
	}{
		{end: "unanswered", lines: 1},
		{end: "unanswered", fails: true},
		{end: "unanswered", lines: 2, fails: true},
		{end: unansweredPrefix + "time up", fails: true},
		{end: unansweredPrefix + crossedClose},
		{end: unansweredPrefix + crossedClose, lines: 1, fails: true},
		{end: unansweredPrefix + gatewayKilled},
		{end: unansweredPrefix + gatewaySuspended},
		{end: unansweredPrefix + gatewaySuspended, arrivals: 1, fails: true},
		{end: "200", answered: true},
		{end: "200", answered: true, lines: 1, fails: true},
	} {
		c := newCheckedWholeCall(t)
		c.call.answered, c.arrivals[testRequest] = tc.answered, tc.arrivals
		c.logged = map[string]map[string]int{testGateway: {testRequest: tc.lines}}
		c.checkLog(c.call, tc.end)
		c.Expect(len(c.failures) > 0).To(Equal(tc.fails), "%+v", tc)
	}
}
