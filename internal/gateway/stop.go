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
	// shutdownMargin is the part of the grace time that is left when open requests are aborted.
	shutdownMargin = 150 * time.Millisecond
)

// Stop stops the gateway gracefully. It reports itself as not ready, accepts requests for a
// while, and then waits for open requests to finish, up to the end of the grace time.
func (g *Gateway) Stop() {
	startedAt := time.Now()
	g.draining.Store(true)
	g.log.Log(events.GatewayDraining, events.Fields{"grace_ms": g.settings.DrainGrace.Milliseconds()})
	time.Sleep(min(drainAcceptTime, g.settings.DrainGrace/2))
	ctx, cancel := context.WithDeadline(context.Background(), startedAt.Add(g.settings.DrainGrace-shutdownMargin))
	defer cancel()
	err := errors.Join(g.callerServer.Shutdown(ctx), g.egress.shutdown(ctx))
	g.shutDown()
	g.log.Log(events.GatewayStopped, events.Fields{"after_ms": time.Since(startedAt).Milliseconds(), "cut": err != nil})
}

// Kill stops the gateway at once, as a crash would.
func (g *Gateway) Kill() {
	g.shutDown()
	g.goroutines.Wait()
}

// shutDown stops the background tasks and closes all servers.
func (g *Gateway) shutDown() {
	g.cancel()
	g.callerServer.Close()
	g.egress.close()
	g.readinessServer.Close()
	g.peerRouters.close()
	if g.metricsServer != nil {
		g.metricsServer.Close()
	}
}
