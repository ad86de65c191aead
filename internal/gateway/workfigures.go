package gateway

import (
	"github.com/prometheus/client_golang/prometheus"
)

// serviceWork tells what is learned of the runners of each service when the figures are read.
type serviceWork struct{ gateway *Gateway }

var (
	readRateDescription  = prometheus.NewDesc(namespace+"_read_tokens_per_second", "Learned speed at which the runners of a service read prompts.", []string{"service"}, nil)
	longShareDescription = prometheus.NewDesc(namespace+"_long_read_runner_share", "Share of the runners of a service that are preferred for long prompts, 0 while nothing is kept apart.", []string{"service"}, nil)
)

// Describe implements prometheus.Collector.
func (w *serviceWork) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- readRateDescription
	descriptions <- longShareDescription
}

// Collect implements prometheus.Collector.
func (w *serviceWork) Collect(figures chan<- prometheus.Metric) {
	w.gateway.mutex.Lock()
	works := w.gateway.runners.Stats(w.gateway.now())
	w.gateway.mutex.Unlock()
	for _, work := range works {
		figures <- prometheus.MustNewConstMetric(readRateDescription, prometheus.GaugeValue, work.PrefillRate, work.Service)
		figures <- prometheus.MustNewConstMetric(longShareDescription, prometheus.GaugeValue, work.LongShare, work.Service)
	}
}
