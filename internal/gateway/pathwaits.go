package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/egress"
)

// pathWait is a send that waits for its response.
type pathWait struct {
	*egress.Wait
	runner backend.Runner
	// heardAt is when another response of the runner last arrived.
	heardAt time.Time
	// release releases what a scheduler reserved for the send, and cancel ends it.
	release func()
	cancel  context.CancelCauseFunc
	// repeatable is set if the request may be sent again although it may have run, and sent once its first byte is about to
	// be written. canceled is set once cancel was called.
	repeatable, sent, canceled bool
}

// errPathLost is the cause for canceling a send because its runner cannot be reached.
var errPathLost = errors.New("the path to the runner is lost")

// beginWait records that a send to the runner waits for its response.
func (p *runnerPaths) beginWait(runner backend.Runner, wait *pathWait) {
	now := p.gateway.now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	wait.Wait = p.paths.BeginWait(now, runner.Service, runner.ID)
	p.waits[wait] = struct{}{}
}

// markSent records that the first byte of the send is about to be written. It reports whether that is still allowed.
func (p *runnerPaths) markSent(wait *pathWait) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	wait.sent = !wait.canceled
	return wait.sent
}

func (p *runnerPaths) endWait(wait *pathWait) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.paths.EndWait(wait.Wait)
	delete(p.waits, wait)
}

// leaveCutLinks ends the sends to runners of the service that have not been written, and releases what schedulers reserved for
// the others. Their requests are more likely lost than queued, and would count as a queue until their deadlines.
func (p *runnerPaths) leaveCutLinks(service string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.leaveLinks(func(wait *pathWait) bool { return wait.Service() == service })
}

// leaveLinks does so for the sends over the links that are lost. The mutex must be held.
func (p *runnerPaths) leaveLinks(isLost func(*pathWait) bool) {
	for wait := range p.waits {
		if !isLost(wait) {
			continue
		}
		if !wait.sent {
			wait.end()
		} else if release := wait.release; release != nil {
			wait.release = nil
			p.gateway.spawn(release)
		}
	}
}

// repeatLostSends ends the sends to runners of a cut service that may be repeated. It is called when another router has reached
// the service: its runners are then not just silent.
func (p *runnerPaths) repeatLostSends(service string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.paths.State(service) != egress.Cut {
		return
	}
	for wait := range p.waits {
		if wait.Service() == service && wait.repeatable && wait.IsUnanswered(p.gateway.now()) {
			wait.end()
		}
	}
}

func (w *pathWait) end() {
	w.canceled = true
	w.cancel(errPathLost)
}
