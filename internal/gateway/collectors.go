package gateway

import (
	"github.com/prometheus/client_golang/prometheus"
)

// runnerStates counts the runners of the directory by service and state when
// the figures are read.
type runnerStates struct{ gateway *Gateway }

var runnerStatesDescription = prometheus.NewDesc(namespace+"_runners", "Runners in the directory, by what this router thinks of them.", []string{"service", "state"}, nil)

// Describe implements prometheus.Collector.
func (s *runnerStates) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- runnerStatesDescription
}

// Collect implements prometheus.Collector.
func (s *runnerStates) Collect(figures chan<- prometheus.Metric) {
	s.gateway.mutex.Lock()
	counts := s.gateway.runners.CountStates(s.gateway.now())
	s.gateway.mutex.Unlock()
	for key, count := range counts {
		figures <- prometheus.MustNewConstMetric(runnerStatesDescription, prometheus.GaugeValue, float64(count), key.Service, key.State.String())
	}
}

// copyAges tells the age of the copy of each kind when the figures are read.
type copyAges struct{ gateway *Gateway }

var copyAgeDescription = prometheus.NewDesc(namespace+"_copy_age_seconds", "Time since the copy of a kind of objects was known to lack nothing.", []string{"kind"}, nil)

// Describe implements prometheus.Collector.
func (a *copyAges) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- copyAgeDescription
}

// Collect implements prometheus.Collector.
func (a *copyAges) Collect(figures chan<- prometheus.Metric) {
	for _, kind := range objectKinds {
		if age, known := a.gateway.copies.age(a.gateway.now(), kind); known {
			figures <- prometheus.MustNewConstMetric(copyAgeDescription, prometheus.GaugeValue, age.Seconds(), kind.String())
		}
	}
}

// contentStates counts the contents that may end runners when the figures are read.
type contentStates struct{ gateway *Gateway }

var contentStatesDescription = prometheus.NewDesc(namespace+"_contents", "Contents of requests under which runners have ended, by what follows for them.", []string{"state"}, nil)

// Describe implements prometheus.Collector.
func (s *contentStates) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- contentStatesDescription
}

// Collect implements prometheus.Collector.
func (s *contentStates) Collect(figures chan<- prometheus.Metric) {
	for state, count := range s.gateway.suspects.countByState() {
		figures <- prometheus.MustNewConstMetric(contentStatesDescription, prometheus.GaugeValue, float64(count), state.String())
	}
}
