package backpressure

import "time"

// A limit bounds what a runner gets from all routers together. It is cut into equal parts, one
// for each router that places requests for others, and a send to the runner needs a permit from
// one part. A part belongs to its router for good: nobody takes over that of one that is
// silent, so routers that do not reach each other never grant more than the limit together,
// and nothing has to be agreed on. The price is that the runner gets the remaining parts only
// while one of them is lost. A router that reaches nobody who grants sends nothing there.
const (
	// permitTime is how long after it was asked for a permit allows a send. Grants of a time
	// are sends of the same time and this one.
	permitTime = time.Second
	// earlyTime is by how much a permit may come before its moment, so that requests that
	// come at random moments find the runner free.
	earlyTime = 250 * time.Millisecond
	// handoverTime is after how long a change of the number of parts has reached all who
	// grant, with the time of the permits granted before.
	handoverTime = 5 * time.Second
	// leastRate is what a runner gets at least, in requests a second: only its answers tell
	// that a limit has ended.
	leastRate = 0.1
	// unusedTime is how long a permit may stay unused before the next request of the service
	// is to use it: only an answer tells whether the runner still names its limit.
	unusedTime = 2 * time.Second
	// askAgainTime is told by a router that grants nothing: it does not know when there is room,
	// and the next question to a scheduler tells.
	askAgainTime = 250 * time.Millisecond
	// longestPromise bounds the time told to a refused caller.
	longestPromise = 10 * time.Second
)

// Permit allows one send to a runner that limits requests. The zero permit allows none.
type Permit struct{ until time.Time }

// PermitAskedAt returns a granted permit that was asked for at the moment.
func PermitAskedAt(moment time.Time) Permit { return Permit{until: moment.Add(permitTime)} }

// Valid tells whether the permit allows a send now.
func (p Permit) Valid(now time.Time) bool { return now.Before(p.until) }

// Permits is this router's part of all limits. It is not safe for concurrent use.
type Permits struct {
	// parts is into how many parts limits are cut, 0 while this router grants nothing.
	parts int
	// fewer takes the place of parts at the moment, 0 when none is to.
	fewer   int
	fewerAt time.Time
	// from is when this router begins to grant.
	from  time.Time
	paces map[Runner]*pace
	// promised is the moment up to which callers of each service were told to come back.
	promised map[string]time.Time
}

// pace is when the next permit for a runner is due.
type pace struct {
	rate float64
	next time.Time
}

// NewPermits returns a part that grants nothing yet.
func NewPermits() *Permits {
	return &Permits{paces: map[Runner]*pace{}, promised: map[string]time.Time{}}
}

// SetAlone has this router grant all of every limit: there are no others.
func (p *Permits) SetAlone() { p.parts, p.fewer, p.from = 1, 0, time.Time{} }

// SetParts takes the number of routers that place requests, 0 if this is none of them. A new
// one waits until those before it have ceased to grant, and a larger part counts once the
// others have heard that theirs are larger, too.
func (p *Permits) SetParts(now time.Time, parts int) {
	switch {
	case parts == 0:
		p.parts, p.fewer = 0, 0
	case p.parts == 0:
		p.parts, p.fewer, p.from = parts, 0, now.Add(handoverTime)
	case parts >= p.parts:
		p.parts, p.fewer = parts, 0
	case parts != p.fewer:
		p.fewer, p.fewerAt = parts, now.Add(handoverTime)
	}
}

// current is the number of parts by now.
func (p *Permits) current(now time.Time) int {
	if p.fewer > 0 && !now.Before(p.fewerAt) {
		p.parts, p.fewer = p.fewer, 0
	}
	return p.parts
}

// Share is this router's part of the rate, in requests a second.
func (p *Permits) Share(now time.Time, rate float64) float64 {
	parts := p.current(now)
	if parts == 0 {
		return 0
	}
	return max(rate, leastRate) / float64(parts)
}

// Wait returns how long the runner with the limit gets no further request by this router's
// leave, 0 if it gets one now.
func (p *Permits) Wait(now time.Time, runner Runner, rate float64) time.Duration {
	share := p.Share(now, rate)
	if share == 0 {
		return askAgainTime
	}
	due := p.from
	if known := p.paces[runner]; known != nil {
		due = later(due, known.due(now, rate, share))
	}
	wait := due.Sub(now)
	if wait <= earlyTime && !now.Before(p.from) {
		return 0
	}
	return max(wait, 0)
}

// Unused tells whether a permit for the runner has been free for long.
func (p *Permits) Unused(now time.Time, runner Runner) bool {
	due := p.from
	if known := p.paces[runner]; known != nil {
		due = later(due, known.next)
	}
	return p.current(now) > 0 && now.Sub(due) >= unusedTime
}

// due is when the next permit is due. A limit that was raised is not kept to its former pace.
func (c *pace) due(now time.Time, rate, share float64) time.Time {
	if latest := now.Add(interval(share)); rate > c.rate && latest.Before(c.next) {
		c.next = latest
	}
	c.rate = rate
	return c.next
}

// Take grants one send to the runner with the limit; Wait has returned 0.
func (p *Permits) Take(now time.Time, runner Runner, rate float64) Permit {
	known := p.paces[runner]
	if known == nil {
		known = &pace{rate: rate}
		p.paces[runner] = known
	}
	known.next = later(known.next, now).Add(interval(p.Share(now, rate)))
	return PermitAskedAt(now)
}

// interval is the time between two permits.
func interval(share float64) time.Duration {
	return time.Duration(min(1/share, time.Hour.Seconds()) * float64(time.Second))
}

// Promise returns when a refused caller of the service finds room: when a runner takes a
// request again, and after those that were refused before it, as many a second as the share.
func (p *Permits) Promise(now time.Time, service string, wait time.Duration, share float64) time.Duration {
	if share == 0 {
		return wait
	}
	room := later(now.Add(wait), p.promised[service])
	next := room.Add(interval(share))
	if latest := now.Add(longestPromise); next.After(latest) {
		next = latest
	}
	p.promised[service] = next
	return min(room.Sub(now), longestPromise)
}

// Forget drops what is remembered of a runner that is gone.
func (p *Permits) Forget(runner Runner) { delete(p.paces, runner) }
