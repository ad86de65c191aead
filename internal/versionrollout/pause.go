package versionrollout

import "time"

const (
	// longestPause bounds the time in which a version that answers badly during the promotion is compared with
	// the old one, and shortestPause is the time below which the comparison isn't worth while.
	longestPause  = 2 * time.Second
	shortestPause = 200 * time.Millisecond
	// pauseAnswers is the number of answers of the old version that end the comparison.
	pauseAnswers = 50
)

// pause is the time after bad answers during a promotion, in which all requests go to the old version. During
// the promotion the old version got hardly any, so whether both versions fail, as when a dependency of
// both does, shows only now.
type pause struct {
	until time.Time
	// start holds the counts at its start, and reason why the target version is to be rolled back.
	start  counts
	reason string
}

// isPaused starts a pause if the reason came up in a promotion, and reports whether one goes on.
func (c *Controller) isPaused(now time.Time, total counts, reason string) bool {
	if c.pause == nil && !c.promotedAt.IsZero() {
		length := min(longestPause, c.endAt().Sub(now)/2)
		if length < shortestPause {
			return false
		}
		c.pause = &pause{until: now.Add(length), start: total.clone(), reason: reason}
		c.promotedAt = time.Time{}
		c.account.forgetPromoted()
	}
	return c.pause != nil && c.pause.goesOn(now, total)
}

func (p *pause) goesOn(now time.Time, total counts) bool {
	return now.Before(p.until) && p.old(total).Answers < pauseAnswers
}

// old returns the answers of the old version since the start of the pause.
func (p *pause) old(total counts) Tally { return total.sum.minus(p.start.sum).Old }

// pauseResult returns the pause's reason while it goes on and if the old version answers better than the target
// version did in the promotion. Otherwise both fail, and the judgement starts anew at the start of the pause.
func (c *Controller) pauseResult(now time.Time, total counts) string {
	p := c.pause
	if p.goesOn(now, total) {
		return p.reason
	}
	old, target := p.old(total), total.sum.minus(c.promotedTotal.sum).Target
	if old.Bad < minBadAnswers || target.exceeds(old.raisedShare(total.sum.Old)+toleratedShare, finalStrength) {
		return p.reason
	}
	c.pause = nil
	answerTime := c.history.answerTime
	c.history = newHistory(c.config.Order.Duration, p.start, p.start)
	c.history.answerTime = answerTime
	return ""
}
