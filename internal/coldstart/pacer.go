package coldstart

import "time"

// paceBurst is for how long ahead answers may use the link and the processor of a source. It is shorter than
// silentTimeout, so that an answer without data still arrives in time behind them.
const paceBurst = 20 * time.Millisecond

// maxGranted bounds the number of routers that were notified and have not asked again yet.
const maxGranted = 4096

// Pacer spreads the first answers of a source over time when many routers without data ask at once. Without
// it, answers would arrive after the timeouts of their requests, and the routers would ask again. A router
// that has to wait gets an answer without data, and a notification when it is its turn. A Pacer is not safe
// for concurrent use.
type Pacer struct {
	// cost is the time that one answer takes.
	cost      time.Duration
	busyUntil time.Time
	// queue holds the waiting routers in the order of their requests, and waiting the same ones.
	queue   []string
	waiting map[string]bool
	// granted holds the notified routers, whose answers are accounted for.
	granted map[string]bool
}

// NewPacer returns a pacer without waiting routers.
func NewPacer() *Pacer { return &Pacer{waiting: map[string]bool{}, granted: map[string]bool{}} }

// SetCost sets the time that one answer takes.
func (p *Pacer) SetCost(cost time.Duration) { p.cost = cost }

// Admit reports whether the router gets an answer with data now. Otherwise it waits for its turn, unless it
// waits at another source already.
func (p *Pacer) Admit(now time.Time, router string, waitsElsewhere bool) bool {
	if p.granted[router] {
		delete(p.granted, router)
		return true
	}
	if len(p.queue) == 0 && p.isFree(now) {
		p.occupy(now)
		return true
	}
	if !waitsElsewhere {
		p.Enqueue(router)
	}
	return false
}

// Enqueue makes the router wait for its turn.
func (p *Pacer) Enqueue(router string) {
	if router != "" && !p.waiting[router] {
		p.waiting[router] = true
		p.queue = append(p.queue, router)
	}
}

// Next returns the next router to notify, and false if none waits. If wait is positive, there is no turn for
// any router before that time.
func (p *Pacer) Next(now time.Time) (router string, wait time.Duration, found bool) {
	if len(p.queue) == 0 {
		return "", 0, false
	}
	if !p.isFree(now) {
		return "", p.busyUntil.Sub(now) - paceBurst, true
	}
	router = p.queue[0]
	p.queue = p.queue[1:]
	delete(p.waiting, router)
	if len(p.granted) >= maxGranted {
		clear(p.granted)
	}
	p.granted[router] = true
	p.occupy(now)
	return router, 0, true
}

// Len returns the number of waiting routers.
func (p *Pacer) Len() int { return len(p.queue) }

func (p *Pacer) isFree(now time.Time) bool { return p.busyUntil.Sub(now) <= paceBurst }

func (p *Pacer) occupy(now time.Time) {
	if p.busyUntil.Before(now) {
		p.busyUntil = now
	}
	p.busyUntil = p.busyUntil.Add(p.cost)
}
