package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// firstTokenBuckets are the histogram buckets of the time to the first token in seconds. They are
// dense around the target of 0.47 s.
var firstTokenBuckets = []float64{.002, .005, .01, .02, .05, .1, .2, .3, .4, .47, .6, .8, 1, 2, 5, 10}

// metrics holds the router's Prometheus metrics.
type metrics struct {
	registry       *prometheus.Registry
	outcomes       *prometheus.CounterVec
	firstTokens    *prometheus.HistogramVec
	promptTokens   prometheus.Counter
	cachedTokens   prometheus.Counter
	relayedTokens  prometheus.Counter
	attempts       prometheus.Counter
	droppedFrames  prometheus.Counter
	placeFallbacks prometheus.Counter
	claims         *prometheus.CounterVec
}

func newMetrics(n *Node) *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: "clovertiller", Name: name, Help: help})
	}
	m := &metrics{
		registry: prometheus.NewRegistry(),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "clovertiller", Name: "requests_total", Help: "Requests by outcome and run state."}, []string{"outcome", "run_state"}),
		firstTokens: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "clovertiller", Name: "first_token_seconds", Help: "Time from a request's arrival to its first token.", Buckets: firstTokenBuckets,
		}, []string{"tier"}),
		promptTokens:   counter("prompt_tokens_total", "Prompt tokens of started attempts."),
		cachedTokens:   counter("cached_tokens_total", "Prompt tokens that engines had cached."),
		relayedTokens:  counter("relayed_tokens_total", "Output tokens relayed."),
		attempts:       counter("attempts_total", "Attempts sent to engines."),
		droppedFrames:  counter("dropped_frames_total", "Frames of another attempt or offset."),
		placeFallbacks: counter("place_fallbacks_total", "Placements without the index."),
		claims:         prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "clovertiller", Name: "claims_total", Help: "Claims of unrepeatable requests by last verdict."}, []string{"verdict"}),
	}
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "clovertiller", Name: name, Help: help}, value)
	}
	m.registry.MustRegister(m.outcomes, m.firstTokens, m.promptTokens, m.cachedTokens, m.relayedTokens, m.attempts, m.droppedFrames, m.placeFallbacks, m.claims,
		gauge("config_revision", "Configuration revision in force.", func() float64 { return float64(n.Revision()) }),
		gauge("peer_bytes_sent", "Bytes sent to other routers.", func() float64 { return float64(n.transport.Counters().BytesSent.Load()) }),
		gauge("peer_frames_dropped", "Frames dropped because a peer's queue was full.", func() float64 { return float64(n.transport.Counters().FramesDropped.Load()) }),
		gauge("peer_frames_malformed", "Malformed frames received.", func() float64 { return float64(n.transport.Counters().MalformedFrames.Load()) }),
		gauge("peer_connections_silent", "Connections to other routers closed since they answered nothing.", func() float64 { return float64(n.transport.Counters().SilentConnections.Load()) }),
	)
	return m
}

// countRequest counts a finished request by outcome, which is "complete" or an error code, and by
// run state.
func (m *metrics) countRequest(outcome, runState string) {
	m.outcomes.WithLabelValues(outcome, runState).Inc()
}

// observeFirstToken records the time from a request's arrival to its first token.
func (m *metrics) observeFirstToken(tier string, elapsed time.Duration) {
	m.firstTokens.WithLabelValues(tier).Observe(elapsed.Seconds())
}

// countPromptTokens counts the prompt tokens of a started attempt, and how many of them were cached.
func (m *metrics) countPromptTokens(tokens, cached int) {
	m.promptTokens.Add(float64(tokens))
	m.cachedTokens.Add(float64(cached))
}
