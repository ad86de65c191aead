package gateway

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/quarantine"
	"github.com/clovertiller/clovertiller/internal/rendezvous"
)

// reasonQuarantined is the reason told to callers whose requests are not sent.
const reasonQuarantined = "runners ended under requests with this content"

const (
	// checkPatience bounds the wait of a further attempt until it is known whether the runner
	// before has ended: its machine answers within some milliseconds, and what comes later is
	// no evidence yet.
	checkPatience = 300 * time.Millisecond
	// trialRetryAfter is told while another request is the trial of the same content: most
	// runs that end their runner do so within a second.
	trialRetryAfter = time.Second
)

// judgeContent says why the call may not be sent, nil if it may. It is asked before each
// send: the runner of the last one may have ended, or others have told of ends.
func (c *call) judgeContent() *refusal {
	c.awaitCheck()
	now := c.gateway.now()
	verdict := c.gateway.suspects.verdict(now, c.content)
	c.suspected = verdict.State != quarantine.Clear || c.brokeOff
	switch {
	case verdict.State == quarantine.Quarantined:
		return unavailable(reasonQuarantined, verdict.Until.Sub(now))
	case verdict.State == quarantine.OnTrial && c.gateway.endedRunners.atWork(c.content):
		return unavailable(reasonQuarantined, trialRetryAfter)
	}
	return nil
}

// quarantined tells whether the content may not be sent by now.
func (c *call) quarantined() bool {
	return c.gateway.suspects.verdict(c.gateway.now(), c.content).State == quarantine.Quarantined
}

// awaitCheck waits until it is known whether the runner of the last send has ended, if the
// content was suspected before: that end may be the one too many.
func (c *call) awaitCheck() {
	if c.checked == nil {
		return
	}
	checked := c.checked
	c.checked = nil
	if !c.suspected {
		return
	}
	timer := time.NewTimer(checkPatience)
	defer timer.Stop()
	select {
	case <-checked:
	case <-timer.C:
	case <-c.ctx.Done():
	}
}

// suspect names the content for placement if it may end its runner, 0 otherwise.
func (c *call) suspect() uint64 {
	if !c.suspected {
		return 0
	}
	return rendezvous.KeyOf(c.content.Tenant+"/"+c.content.String()) | 1
}

// noteRun notes how the run of a send ended.
func (c *call) noteRun(how quarantine.RunOutcome) {
	g, now := c.gateway, c.gateway.now()
	g.endedRunners.end(now, c.run, how)
	switch how {
	case quarantine.Survived:
		g.suspects.outlived(now, c.content)
	case quarantine.ConnectionLost:
		c.brokeOff, c.checked = true, g.endedRunners.check(c.runner)
	}
}
