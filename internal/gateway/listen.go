package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/clovertiller/clovertiller/internal/accept"
	"github.com/clovertiller/clovertiller/internal/events"
)

func (g *Gateway) listen() error {
	if err := g.peerRouters.listen(); err != nil {
		return err
	}
	callerListener, err := g.listenTCP(g.settings.CallerAddress)
	if err != nil {
		g.peerRouters.close()
		return err
	}
	readinessListener, err := g.listenTCP(g.settings.ReadyAddress)
	if err != nil {
		g.peerRouters.close()
		callerListener.Close()
		return err
	}
	g.egress.listen()
	g.callerServer = g.newCallServer("callers", http.HandlerFunc(g.serveCall))
	mux := http.NewServeMux()
	mux.HandleFunc(g.ports.ReadyPath, g.serveReadiness)
	g.readinessServer = g.newCallServer("readiness", mux)
	g.callerServer.serve(callerListener)
	g.readinessServer.serve(readinessListener)
	g.listenMetrics()
	return nil
}

// listenTCP listens on the address. While there is no free file descriptor, idle connections to runners are
// closed so that the router keeps taking connections.
func (g *Gateway) listenTCP(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return accept.Wrap(listener, g.releaseDescriptors), nil
}

// releaseDescriptors closes the idle connections to runners.
func (g *Gateway) releaseDescriptors() {
	closed := g.ports.RunnerPool.CloseAllIdle()
	g.metrics.descriptorsExhausted.Inc()
	g.log.Log(events.DescriptorsExhausted, events.Fields{"closed": closed})
}

// listenMetrics serves metrics and status. If they cannot be served, the router still serves
// requests.
func (g *Gateway) listenMetrics() {
	if g.settings.MetricsAddress == "" {
		return
	}
	listener, err := g.listenTCP(g.settings.MetricsAddress)
	if err != nil {
		g.log.Log(events.MetricsUnavailable, events.Fields{"address": g.settings.MetricsAddress, "error": err.Error()})
		return
	}
	mux := http.NewServeMux()
	mux.Handle(MetricsPath, g.metrics.handler())
	mux.HandleFunc(StatusPath, g.serveStatus)
	mux.HandleFunc(LiftPath, g.serveLift)
	g.metricsServer = g.newCallServer("metrics", mux)
	g.metricsServer.serve(listener)
}

// MetricsPath is the path of the metrics.
const MetricsPath = "/metrics"

// Limits of the HTTP servers.
const (
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is longer than any caller keeps an idle connection.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes is above the limit that configurations set for callers.
	maxHeaderBytes = 128 << 10
)

func (g *Gateway) serveReadiness(writer http.ResponseWriter, _ *http.Request) {
	if !g.isReady() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// isReady reports whether this router can serve calls: it isn't stopping, and knows a proven configuration and
// runners of each routed service.
func (g *Gateway) isReady() bool {
	return !g.draining.Load() && g.configIsProven(g.now()) && g.copies.canServe()
}
