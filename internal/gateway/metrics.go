package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// latencyBuckets are in seconds, dense around the targets.
var latencyBuckets = []float64{.005, .01, .02, .05, .1, .15, .2, .3, .47, .6, .8, 1, 2, 5, 10}

// metrics are the gateway's measurements. No label holds a tenant or a request.
type metrics struct {
	registry       *prometheus.Registry
	calls          *prometheus.CounterVec
	latencies      *prometheus.HistogramVec
	firstEvents    prometheus.Histogram
	refusals       *prometheus.CounterVec
	attempts       prometheus.Counter
	runnerFailures *prometheus.CounterVec
	storeFailures  *prometheus.CounterVec
	orders         *prometheus.CounterVec
	connections    prometheus.Counter
}

func newMetrics(g *Gateway) *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: "clovertiller", Name: name, Help: help})
	}
	counters := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "clovertiller", Name: name, Help: help}, labels)
	}
	m := &metrics{
		registry: prometheus.NewRegistry(),
		calls:    counters("calls_total", "Calls sent to a runner, by kind of route and outcome.", "kind", "outcome"),
		latencies: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "clovertiller", Name: "call_seconds", Help: "Time from a call's arrival to its end.", Buckets: latencyBuckets,
		}, []string{"kind"}),
		firstEvents: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "clovertiller", Name: "first_event_seconds", Help: "Time from a call's arrival to the first event of its stream.", Buckets: latencyBuckets,
		}),
		refusals:       counters("refusals_total", "Calls refused without having run, by status and reason.", "status", "reason"),
		attempts:       counter("attempts_total", "Sends of calls to runners."),
		runnerFailures: counters("runner_failures_total", "Sends that were not answered well, by outcome.", "outcome"),
		storeFailures:  counters("store_failures_total", "Calls to the store that failed, by kind of object.", "kind"),
		orders:         counters("orders_total", "Orders given to runners, by outcome.", "outcome"),
		connections:    counter("runner_connections_total", "Connections opened to runners."),
	}
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "clovertiller", Name: name, Help: help}, value)
	}
	m.registry.MustRegister(m.calls, m.latencies, m.firstEvents, m.refusals, m.attempts, m.runnerFailures, m.storeFailures, m.orders, m.connections,
		gauge("config_version", "Version of the configuration in force.", func() float64 {
			if current := g.view.Load(); current != nil {
				return float64(current.table.Version)
			}
			return 0
		}),
		gauge("config_proof_age_seconds", "Time since the configuration in force was proved.", func() float64 {
			if current := g.view.Load(); current != nil {
				return time.Since(current.provenAt).Seconds()
			}
			return -1
		}),
		gauge("log_lines_dropped", "Log lines dropped because the output did not take them.", func() float64 { return float64(g.droppedLines()) }),
		gauge("runners", "Runners in the directory.", func() float64 {
			g.mutex.Lock()
			defer g.mutex.Unlock()
			return float64(g.runners.Len())
		}),
	)
	return m
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func (m *metrics) ended(kind, outcome string, after time.Duration) {
	m.calls.WithLabelValues(kind, outcome).Inc()
	m.latencies.WithLabelValues(kind).Observe(after.Seconds())
}

func (m *metrics) firstEvent(after time.Duration) { m.firstEvents.Observe(after.Seconds()) }

func (m *metrics) refused(status int, reason string) {
	m.refusals.WithLabelValues(strconv.Itoa(status), reason).Inc()
}
