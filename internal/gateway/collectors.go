package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/clovertiller/clovertiller/internal/wire"
)

// runnerStateCollector counts the runners of the directory by service and state when metrics
// are collected.
type runnerStateCollector struct{ gateway *Gateway }

var runnerStatesDesc = prometheus.NewDesc(namespace+"_runners", "Runners in the directory, by what this router thinks of them.", []string{"service", "state"}, nil)

// Describe implements prometheus.Collector.
func (c *runnerStateCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- runnerStatesDesc
}

// Collect implements prometheus.Collector.
func (c *runnerStateCollector) Collect(ch chan<- prometheus.Metric) {
	c.gateway.mutex.Lock()
	counts := c.gateway.runners.CountStates(c.gateway.now())
	c.gateway.mutex.Unlock()
	for group, count := range counts {
		ch <- prometheus.MustNewConstMetric(runnerStatesDesc, prometheus.GaugeValue, float64(count), group.Service, group.State.String())
	}
}

// copyAgeCollector reports the age of each kind's copy when metrics are collected.
type copyAgeCollector struct{ gateway *Gateway }

var copyAgeDesc = prometheus.NewDesc(namespace+"_copy_age_seconds", "Time since the copy of a kind of objects was known to lack nothing.", []string{"kind"}, nil)

// Describe implements prometheus.Collector.
func (c *copyAgeCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- copyAgeDesc
}

// Collect implements prometheus.Collector.
func (c *copyAgeCollector) Collect(ch chan<- prometheus.Metric) {
	for _, kind := range c.gateway.copies.kinds {
		if age, known := c.gateway.copies.age(c.gateway.now(), kind); known {
			ch <- prometheus.MustNewConstMetric(copyAgeDesc, prometheus.GaugeValue, age.Seconds(), kind.String())
		}
	}
}

// peerTrafficCollector reports what this router has sent to others when metrics are collected.
type peerTrafficCollector struct{ gateway *Gateway }

var (
	peerMessagesDesc = prometheus.NewDesc(namespace+"_peer_messages_sent_total", "Messages sent to other routers.", []string{"kind"}, nil)
	peerBytesDesc    = prometheus.NewDesc(namespace+"_peer_bytes_sent_total", "Bytes sent to other routers.", []string{"kind"}, nil)
)

// Describe implements prometheus.Collector.
func (c *peerTrafficCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- peerMessagesDesc
	ch <- peerBytesDesc
}

// Collect implements prometheus.Collector.
func (c *peerTrafficCollector) Collect(ch chan<- prometheus.Metric) {
	for _, count := range c.gateway.SentToPeers() {
		ch <- prometheus.MustNewConstMetric(peerMessagesDesc, prometheus.CounterValue, float64(count.Frames), count.Kind)
		ch <- prometheus.MustNewConstMetric(peerBytesDesc, prometheus.CounterValue, float64(count.Bytes), count.Kind)
	}
}

// SentToPeers returns what this router has sent to others, by kind of message.
func (g *Gateway) SentToPeers() []wire.KindCount {
	if g.peerRouters.transport == nil {
		return nil
	}
	return g.peerRouters.transport.Counters().SentByKind()
}

// contentStateCollector counts the contents that may crash runners, by state, when metrics are
// collected.
type contentStateCollector struct{ gateway *Gateway }

var contentStatesDesc = prometheus.NewDesc(namespace+"_contents", "Contents of requests under which runners have ended, by what follows for them.", []string{"state"}, nil)

var partStatesDesc = prometheus.NewDesc(namespace+"_prompt_parts", "Parts of prompts under which runners have ended, by what follows for them.", []string{"state"}, nil)

// Describe implements prometheus.Collector.
func (c *contentStateCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- contentStatesDesc
	ch <- partStatesDesc
}

// Collect implements prometheus.Collector.
func (c *contentStateCollector) Collect(ch chan<- prometheus.Metric) {
	counts := c.gateway.suspects.countByState()
	for state, count := range counts.Contents {
		ch <- prometheus.MustNewConstMetric(contentStatesDesc, prometheus.GaugeValue, float64(count), state.String())
	}
	for state, count := range counts.Parts {
		ch <- prometheus.MustNewConstMetric(partStatesDesc, prometheus.GaugeValue, float64(count), state.String())
	}
}

// rolloutCollector reports the account of each rollout that this router leads when metrics are
// collected.
type rolloutCollector struct{ gateway *Gateway }

var (
	rolloutRequestsDesc = prometheus.NewDesc(namespace+"_rollout_requests", "Requests of a service since its rollout was ordered, on the router that leads the rollout: reported, exposed to the target version, allowed there, reserved in the store, and the budget.", []string{"service", "kind"}, nil)
	rolloutPhaseDesc    = prometheus.NewDesc(namespace+"_rollout_phase", "1 for the phase of a service's rollout, on the router that leads it.", []string{"service", "phase"}, nil)
)

// Describe implements prometheus.Collector.
func (c *rolloutCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- rolloutRequestsDesc
	ch <- rolloutPhaseDesc
}

// Collect implements prometheus.Collector.
func (c *rolloutCollector) Collect(ch chan<- prometheus.Metric) {
	for _, rollout := range c.gateway.rolloutDriver.Summaries(c.gateway.now()) {
		if !rollout.Leads {
			continue
		}
		ch <- prometheus.MustNewConstMetric(rolloutPhaseDesc, prometheus.GaugeValue, 1, rollout.Service, rollout.Phase)
		for kind, count := range map[string]uint64{
			"reported": rollout.Requests, "exposed": rollout.Exposed, "allowed": rollout.Allowed, "reserved": rollout.Reserved, "budget": rollout.Budget,
		} {
			ch <- prometheus.MustNewConstMetric(rolloutRequestsDesc, prometheus.GaugeValue, float64(count), rollout.Service, kind)
		}
	}
}
