package gateway

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/quarantine"
	"github.com/clovertiller/clovertiller/internal/rendezvous"
)

// reasonQuarantined is the reason given to callers whose requests are quarantined.
const reasonQuarantined = "runners ended under requests with this content"

const (
	// crashCheckTimeout limits how long a further attempt waits until it is known whether the
	// previous runner crashed. The runner's machine answers such a check within a few
	// milliseconds, and the lack of an answer until then does not show that the runner crashed.
	crashCheckTimeout = 300 * time.Millisecond
	// trialRetryAfter is the retry delay while another request with the same content is on
	// trial. Most requests that crash their runner do so within a second.
	trialRetryAfter = time.Second
)

// maxRecordedParts limits the prompt parts of one request that are recorded, and maxRecordedPartBytes the length
// of the ID of each. Prompts have a handful of parts with short IDs, but callers may name any number.
const (
	maxRecordedParts     = 8
	maxRecordedPartBytes = 64
)

// identifyContent sets what identifies the request's content.
func (c *call) identifyContent() {
	c.content = quarantine.NewContent(c.tenantName(), c.incoming.Host, requestTarget(c.incoming), c.body)
	c.sharedParts = recordedParts(c.metadata.Prompt)
}

// recordedParts returns the IDs of the parts that the prompt may share with others. The last part belongs to the
// request itself.
func recordedParts(prompt []PromptPart) (ids []string) {
	for _, part := range prompt[:min(max(len(prompt)-1, 0), maxRecordedParts)] {
		if len(part.ID) <= maxRecordedPartBytes {
			ids = append(ids, part.ID)
		}
	}
	return ids
}

// checkQuarantine returns the reason for which the call may not be sent because of its content,
// nil if it may. It is called before each attempt, because the runner of the previous one may
// have crashed and other routers may have reported crashes in the meantime.
func (c *call) checkQuarantine() *refusal {
	c.awaitCrashCheck()
	now := c.gateway.now()
	status := c.gateway.suspects.status(now, c.content)
	c.suspected = status.State != quarantine.Clear || c.lostConnection
	switch {
	case status.State == quarantine.Quarantined:
		return unavailable(reasonQuarantined, status.Until.Sub(now))
	case status.State == quarantine.OnTrial && c.gateway.crashDetector.hasOpenRun(c.content):
		return unavailable(reasonQuarantined, trialRetryAfter)
	}
	return nil
}

// isQuarantined reports whether the content is quarantined now.
func (c *call) isQuarantined() bool {
	return c.gateway.suspects.status(c.gateway.now(), c.content).State == quarantine.Quarantined
}

// awaitCrashCheck waits until it is known whether the runner of the previous attempt crashed, if
// the content was already suspected then: that crash may be the one that quarantines it.
func (c *call) awaitCrashCheck() {
	if c.crashChecked == nil {
		return
	}
	checked := c.crashChecked
	c.crashChecked = nil
	if !c.suspected {
		return
	}
	timer := time.NewTimer(crashCheckTimeout)
	defer timer.Stop()
	select {
	case <-checked:
	case <-timer.C:
	case <-c.ctx.Done():
	}
}

// suspectHash returns a hash of the content for placement if the content is suspected, 0
// otherwise.
func (c *call) suspectHash() uint64 {
	if !c.suspected {
		return 0
	}
	return rendezvous.KeyOf(c.content.Tenant+"/"+c.content.String()) | 1
}

// recordRunOutcome records the outcome of the current attempt's run for crash detection.
func (c *call) recordRunOutcome(outcome quarantine.RunOutcome) {
	g, now := c.gateway, c.gateway.now()
	g.crashDetector.end(now, c.run, outcome)
	switch outcome {
	case quarantine.Survived:
		g.suspects.runnerSurvived(now, c.content)
	case quarantine.ConnectionLost:
		c.lostConnection, c.crashChecked = true, g.crashDetector.check(c.runner)
	}
}
