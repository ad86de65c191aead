package gateway

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/quarantine"
	"github.com/clovertiller/clovertiller/internal/rendezvous"
)

// Reasons given to callers whose requests are quarantined.
const (
	reasonQuarantined     = "runners ended under requests with this content"
	reasonPartQuarantined = "runners ended under requests with a part of this prompt"
)

const (
	// crashCheckTimeout limits how long a further attempt waits until it is known whether the
	// previous runner crashed. The runner's machine answers such a check within a few
	// milliseconds, and the lack of an answer until then does not show that the runner crashed.
	crashCheckTimeout = 300 * time.Millisecond
	// maxHold limits how long a request waits for the decision whether one of its subjects is
	// quarantined.
	maxHold = 750 * time.Millisecond
	// decisionPollInterval is how often a waiting request checks for the decision.
	decisionPollInterval = 20 * time.Millisecond
	// trialRetryAfter is the retry delay while another request with the same subject is on
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

// quarantineRequest returns what of the request may crash runners.
func (c *call) quarantineRequest() quarantine.Request {
	return quarantine.Request{Content: c.content, Parts: c.sharedParts, Credential: quarantine.CredentialHash(c.metadata.Key)}
}

// hasOpenRun reports whether a run of the subject, or of the same content under the caller's tenant, is open.
func (c *call) hasOpenRun(subject quarantine.Subject) bool {
	detector := c.gateway.crashDetector
	return detector.hasOpenRun(subject) || !subject.IsPart() && detector.hasOpenRun(c.content)
}

// recordedParts returns the IDs of the parts that the prompt may share with others. The last part belongs to the
// request itself.
func recordedParts(prompt []PromptPart) (ids []string) {
	for _, part := range prompt[:min(max(len(prompt)-1, 0), maxRecordedParts)] {
		if part.ID != "" && len(part.ID) <= maxRecordedPartBytes {
			ids = append(ids, part.ID)
		}
	}
	return ids
}

// checkQuarantine returns the reason for which the call may not be sent because of its content or a
// part of its prompt, nil if it may. It is called before each attempt, because the runner of the
// previous one may have crashed and other routers may have reported crashes in the meantime.
func (c *call) checkQuarantine() *refusal {
	c.awaitCrashCheck()
	c.verdict = c.awaitVerdict()
	c.suspected = c.verdict.State != quarantine.Clear || c.lostConnection
	reason := reasonQuarantined
	if c.verdict.Subject.IsPart() {
		reason = reasonPartQuarantined
	}
	switch {
	case c.verdict.State == quarantine.Quarantined:
		return unavailable(reason, c.gateway.until(c.verdict.Until))
	case c.verdict.State == quarantine.OnTrial && c.hasOpenRun(c.verdict.Subject):
		return unavailable(reason, trialRetryAfter)
	}
	return nil
}

// isQuarantined reports whether the content or a part of the prompt is quarantined now.
func (c *call) isQuarantined() bool {
	return c.gateway.suspects.verdict(c.gateway.now(), c.quarantineRequest()).State == quarantine.Quarantined
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

// awaitVerdict returns how the request is to be handled. If that is about to be decided, it waits, at most
// maxHold.
func (c *call) awaitVerdict() quarantine.Verdict {
	g, startedAt := c.gateway, c.gateway.now()
	for now := startedAt; ; now = g.now() {
		verdict, waited := g.suspects.verdict(now, c.quarantineRequest()), now.Sub(startedAt)
		if verdict.State != quarantine.Held || waited >= maxHold {
			if waited > decisionPollInterval {
				g.metrics.heldRequests.Observe(waited.Seconds())
			}
			return verdict
		}
		if !sleep(c.ctx, min(verdict.Until.Sub(now), decisionPollInterval)) {
			return verdict
		}
	}
}

// suspectHash returns a hash for placement if the request may crash its runner, 0 otherwise. Requests
// with the same suspected subject have the same one.
func (c *call) suspectHash() uint64 {
	if !c.suspected {
		return 0
	}
	subject := c.content
	if c.verdict.State != quarantine.Clear {
		subject = c.verdict.Subject
	}
	return rendezvous.KeyOf(subject.Tenant+"/"+subject.String()) | 1
}

// recordRunOutcome records the outcome of the current attempt's run for crash detection.
func (c *call) recordRunOutcome(outcome quarantine.RunOutcome) {
	g, now := c.gateway, c.gateway.now()
	g.crashDetector.end(now, c.run, outcome)
	switch outcome {
	case quarantine.Survived:
		g.suspects.runnerSurvived(now, c.run)
	case quarantine.ConnectionLost:
		c.lostConnection, c.crashChecked = true, g.crashDetector.check(c.runner)
	}
}
