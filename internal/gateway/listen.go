package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/clovertiller/clovertiller/internal/events"
)

func (g *Gateway) listen() error {
	if err := g.relays.listen(); err != nil {
		return err
	}
	callers, err := net.Listen("tcp", g.settings.CallerAddress)
	if err != nil {
		g.relays.close()
		return trace.ConvertSystemError(err)
	}
	ready, err := net.Listen("tcp", g.settings.ReadyAddress)
	if err != nil {
		g.relays.close()
		callers.Close()
		return trace.ConvertSystemError(err)
	}
	g.callers = newCallerServer(http.HandlerFunc(g.serveCall))
	readiness := http.NewServeMux()
	readiness.HandleFunc(g.ports.ReadyPath, g.serveReadiness)
	g.readiness = &http.Server{Handler: readiness, ReadHeaderTimeout: headerTimeout}
	go g.callers.Serve(callers)
	go g.readiness.Serve(ready)
	g.listenFigures()
	return nil
}

// listenFigures serves the counters; a router whose figures cannot be served
// still serves requests.
func (g *Gateway) listenFigures() {
	if g.settings.MetricsAddress == "" {
		return
	}
	listener, err := net.Listen("tcp", g.settings.MetricsAddress)
	if err != nil {
		g.log.Log(events.MetricsUnavailable, events.Fields{"address": g.settings.MetricsAddress, "error": err.Error()})
		return
	}
	mux := http.NewServeMux()
	mux.Handle(MetricsPath, g.metrics.handler())
	mux.HandleFunc(StatusPath, g.serveStatus)
	g.figures = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	go g.figures.Serve(listener)
}

// MetricsPath is the path of the counters.
const MetricsPath = "/metrics"

// Times of the callers' server.
const (
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than any caller keeps an idle connection.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes is above what configurations allow callers.
	maxHeaderBytes = 128 << 10
)

func newCallerServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		DisableGeneralOptionsHandler: true, ConnContext: withConnection,
	}
}

func (g *Gateway) serveReadiness(writer http.ResponseWriter, _ *http.Request) {
	knowsRunners := g.copies.revision(RunnerObjects) > 0
	if g.draining.Load() || !knowsRunners || !g.proven(g.now()) {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}
