package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/clovertiller/clovertiller/internal/events"
)

// Durations of the phases of a graceful stop.
const (
	// drainAcceptTime is how long new requests are still accepted after the stop signal, so
	// that the platform notices that this router is no longer ready.
	drainAcceptTime = 3 * time.Second
	// shutdownMargin is the part of the grace time that is left when the connections are closed.
	shutdownMargin = 150 * time.Millisecond
	// endCallsMargin is how long before that open calls are ended, so that their callers still get a response.
	endCallsMargin = 250 * time.Millisecond
	// logMargin limits how long calls whose connections were closed have to log their end.
	logMargin = 50 * time.Millisecond
	// openCallsPollInterval is how often the number of open calls is checked.
	openCallsPollInterval = 2 * time.Millisecond
)

const (
	// reasonStopping is the reason given to callers whose calls the router ends because it stops.
	reasonStopping = "the router is stopping"
	// stoppingRetryAfter is given to callers of a stopping router. They return over another connection.
	stoppingRetryAfter = 100 * time.Millisecond
)

// stopping returns the refusal of a call that the router cannot serve before it stops.
func stopping() *refusal { return unavailable(reasonStopping, stoppingRetryAfter) }

// Stop stops the gateway gracefully. It reports itself as not ready, accepts requests for a
// while, and then waits for open requests to finish. Shortly before the end of the grace time it ends
// those that are left, so that their callers get a response.
func (g *Gateway) Stop() {
	startedAt := time.Now()
	g.draining.Store(true)
	g.log.Log(events.GatewayDraining, events.Fields{"grace_ms": g.settings.DrainGrace.Milliseconds()})
	time.Sleep(min(drainAcceptTime, g.settings.DrainGrace/2))
	closeAt := startedAt.Add(g.settings.DrainGrace - shutdownMargin)
	ctx, cancel := context.WithDeadline(context.Background(), closeAt)
	defer cancel()
	endCallsAt := closeAt.Add(-endCallsMargin)
	g.callsEndAt.Store(&endCallsAt)
	timer := time.AfterFunc(time.Until(endCallsAt), g.endCalls)
	defer timer.Stop()
	err := errors.Join(g.callerServer.drain(ctx, g.callsCtx), g.egress.drain(ctx))
	g.shutDown()
	g.awaitCalls(logMargin)
	fields := events.Fields{"after_ms": time.Since(startedAt).Milliseconds(), "cut": g.cutCalls.Load() > 0, "open": g.openCalls.Load()}
	if err != nil {
		fields["error"] = err.Error()
	}
	g.log.Log(events.GatewayStopped, fields)
}

// awaitCalls waits until no call is open, at most for the timeout.
func (g *Gateway) awaitCalls(timeout time.Duration) {
	for end := time.Now().Add(timeout); g.openCalls.Load() > 0 && time.Now().Before(end); {
		time.Sleep(openCallsPollInterval)
	}
}

// isEndingCalls reports whether open calls are to be ended.
func (g *Gateway) isEndingCalls() bool { return g.callsCtx.Err() != nil }

// refuseLate returns a refusal of a call that has not been sent after the time for new requests, and that may take longer than the stopping
// router runs: it would be cut at the end, and could not be repeated elsewhere. A call that may have run goes on.
func (c *call) refuseLate() *refusal {
	endAt := c.gateway.callsEndAt.Load()
	if endAt == nil || time.Until(*endAt) >= c.gateway.until(c.deadline) || c.responseBegun || !c.attemptState.Promise().Holds() {
		return nil
	}
	return stopping()
}

// callContext returns a context that is canceled when the parent is, or when open calls are to be ended.
func (g *Gateway) callContext(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	stop := context.AfterFunc(g.callsCtx, cancel)
	return ctx, func() { stop(); cancel() }
}

// Kill stops the gateway at once, as a crash would.
func (g *Gateway) Kill() {
	g.shutDown()
	g.goroutines.Wait()
}

// shutDown stops the background tasks and closes all servers.
func (g *Gateway) shutDown() {
	g.cancel()
	g.serversClosed.Store(true)
	g.callerServer.Close()
	g.egress.close()
	g.readinessServer.Close()
	g.peerRouters.close()
	if g.metricsServer != nil {
		g.metricsServer.Close()
	}
	g.endCalls()
}
