package gateway

import (
	"context"
	"sync"
	"time"
)

// startTime is how long after its start a router lets calls wait until it can
// serve them. One that knows nothing by then does not reach anybody.
const startTime = time.Second

// startup tells when a started router knows enough to serve.
type startup struct {
	once sync.Once
	// done is closed when configuration and runners are known.
	done chan struct{}
}

func newStartup() *startup { return &startup{done: make(chan struct{})} }

func (s *startup) finish() { s.once.Do(func() { close(s.done) }) }

// awaitStart lets a call wait while the router has just started and knows
// neither configuration nor runners yet. After the loss of all routers callers
// come back at once, and many may do so only once: a refusal is their last answer.
func (g *Gateway) awaitStart(ctx context.Context, arrived time.Time) {
	left := min(g.settings.StartWait, g.started.Add(startTime).Sub(arrived))
	if left <= 0 {
		return
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-g.startup.done:
	case <-timer.C:
	case <-ctx.Done():
	}
}
