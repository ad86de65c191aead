package gateway

import (
	"context"
	"time"

	"github.com/clovertiller/clovertiller/internal/events"
)

// Times of a planned stop.
const (
	// lingerTime is how long new requests are still taken after the signal, so
	// that the platform notices that this router is no longer ready.
	lingerTime = 3 * time.Second
	// stopMargin is left of the grace when open requests are cut.
	stopMargin = 150 * time.Millisecond
)

// Stop ends the gateway as planned: it is not ready any more, serves what
// comes for a while, finishes all open requests and returns.
func (g *Gateway) Stop() {
	began := time.Now()
	g.draining.Store(true)
	g.log.Log(events.GatewayDraining, events.Fields{"grace_ms": g.settings.DrainGrace.Milliseconds()})
	time.Sleep(min(lingerTime, g.settings.DrainGrace/2))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(g.settings.DrainGrace-stopMargin))
	defer cancel()
	err := g.callers.Shutdown(ctx)
	g.end()
	g.log.Log(events.GatewayStopped, events.Fields{"after_ms": time.Since(began).Milliseconds(), "cut": err != nil})
}

// Kill ends the gateway at once, as a crash would.
func (g *Gateway) Kill() {
	g.end()
	g.group.Wait()
}

// end stops the loops and closes everything that listens.
func (g *Gateway) end() {
	g.cancel()
	g.callers.Close()
	g.readiness.Close()
	g.relays.close()
	if g.figures != nil {
		g.figures.Close()
	}
}
