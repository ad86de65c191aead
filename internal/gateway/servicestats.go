package gateway

import (
	"github.com/prometheus/client_golang/prometheus"
)

// serviceStatsCollector reports the measured statistics of each service's runners when metrics
// are collected.
type serviceStatsCollector struct{ gateway *Gateway }

var (
	prefillRateDesc      = prometheus.NewDesc(namespace+"_read_tokens_per_second", "Learned speed at which the runners of a service read prompts.", []string{"service"}, nil)
	longPrefillShareDesc = prometheus.NewDesc(namespace+"_long_read_runner_share", "Share of the runners of a service that are preferred for long prompts, 0 while nothing is kept apart.", []string{"service"}, nil)
)

// Describe implements prometheus.Collector.
func (c *serviceStatsCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- prefillRateDesc
	ch <- longPrefillShareDesc
}

// Collect implements prometheus.Collector.
func (c *serviceStatsCollector) Collect(ch chan<- prometheus.Metric) {
	c.gateway.mutex.Lock()
	allStats := c.gateway.runners.Stats(c.gateway.now())
	c.gateway.mutex.Unlock()
	for _, stats := range allStats {
		ch <- prometheus.MustNewConstMetric(prefillRateDesc, prometheus.GaugeValue, stats.PrefillRate, stats.Service)
		ch <- prometheus.MustNewConstMetric(longPrefillShareDesc, prometheus.GaugeValue, stats.LongShare, stats.Service)
	}
}
