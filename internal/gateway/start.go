package gateway

import (
	"context"
	"sync"
	"time"
)

// startupPeriod is the time after the start of a router during which it lets calls wait until
// it can serve them. A router that knows nothing after this time cannot reach any source.
const startupPeriod = time.Second

// startup signals that a newly started router knows enough to serve calls.
type startup struct {
	once sync.Once
	// ready is closed when configuration and runners are known.
	ready chan struct{}
}

func newStartup() *startup { return &startup{ready: make(chan struct{})} }

func (s *startup) markReady() { s.once.Do(func() { close(s.ready) }) }

// waitForStartup makes a call wait while the router has just started and does not yet know
// configuration and runners. After the loss of all routers, callers retry at once, and many may
// retry only once, so a refusal would be their final response.
func (g *Gateway) waitForStartup(ctx context.Context, arrived time.Time) {
	remaining := min(g.settings.StartWait, g.startedAt.Add(startupPeriod).Sub(arrived))
	if remaining <= 0 {
		return
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-g.startup.ready:
	case <-timer.C:
	case <-ctx.Done():
	}
}
