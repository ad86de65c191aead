package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/coldstart"
	"github.com/clovertiller/clovertiller/internal/events"
)

// startupPeriod is the time after the start of a router during which it lets calls wait until
// it can serve them. A router that knows nothing after this time cannot reach any source.
const startupPeriod = time.Second

// startup signals that a newly started router knows enough to serve calls, and records the stages of
// its start. It is safe for concurrent use.
type startup struct {
	gateway *Gateway
	once    sync.Once
	// ready is closed when configuration and runners are known.
	ready    chan struct{}
	mutex    sync.Mutex
	progress *coldstart.Progress
}

func newStartup(g *Gateway) *startup {
	return &startup{gateway: g, ready: make(chan struct{}), progress: coldstart.NewProgress(g.startedAt)}
}

func (s *startup) markReady() {
	s.once.Do(func() { close(s.ready) })
	s.reach(coldstart.Serving, nil)
}

// reach records that the start has reached the stage, and logs it the first time with the fields.
func (s *startup) reach(stage coldstart.Stage, fields events.Fields) {
	s.mutex.Lock()
	first := s.progress.Reach(s.gateway.now(), stage)
	after, _ := s.progress.After(stage)
	s.mutex.Unlock()
	if !first {
		return
	}
	logged := events.Fields{"stage": stage.String(), "after_ms": after.Milliseconds(), "source": s.gateway.peerRouters.lastSource(), "store": s.gateway.directReads.isEnabled()}
	for name, value := range fields {
		logged[name] = value
	}
	s.gateway.metrics.startStages.WithLabelValues(stage.String()).Set(after.Seconds())
	s.gateway.log.Log(events.StartStageReached, logged)
}

// has reports whether the start has reached the stage.
func (s *startup) has(stage coldstart.Stage) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.progress.Has(stage)
}

// StartStage is a stage that a router has reached after its start.
type StartStage struct {
	Stage       string `json:"stage"`
	AfterMillis int64  `json:"afterMillis"`
}

// summary returns the reached stages.
func (s *startup) summary() (reached []StartStage) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, stage := range coldstart.Stages() {
		if after, ok := s.progress.After(stage); ok {
			reached = append(reached, StartStage{stage.String(), after.Milliseconds()})
		}
	}
	return reached
}

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
