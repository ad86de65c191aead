package gateway_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
)

// slowEngine starts an engine whose streams have an event each interval.
func (f *fleet) slowEngine(id string, events int, interval time.Duration) *runnerstand.Runner {
	return f.startRunner(runnerstand.Config{
		ID: id, Service: "engines", Model: modelName, Version: 1, SoftwareVersion: "a", EventCount: events, EventInterval: interval,
	})
}

// startSlowStreams starts streams on the resumable route and waits until all run at the engines.
func (r *router) startSlowStreams(count int, engines ...*runnerstand.Runner) (responses []<-chan callResponse) {
	for i := range count {
		responses = append(responses, r.callWithLongTimeout("/stream/x", withPrompt(fmt.Sprintf("shared%d:100,own%d:50", i, i))))
	}
	r.fleet.g.Eventually(func() (runs int) {
		for _, engine := range engines {
			runs += len(engine.Runs())
		}
		return runs
	}, 3*time.Second, 5*time.Millisecond).Should(Equal(count))
	return responses
}

// Guards against streams that are ended because probes of their runner fail, although it sends events meanwhile: a busy runner
// is slow to accept or to answer other requests.
func TestStreamsOutliveUnansweredProbesOfRunnerThatSends(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, routesWithLongTimeout(), validKey)
	first, second := f.slowEngine("e0", 6, 1100*time.Millisecond), f.slowEngine("e1", 6, 1100*time.Millisecond)
	r := f.servingRouter("r1", nil)
	r.awaitRunners(2)
	responses := r.startSlowStreams(4, first, second)
	first.SetReportDelay(5 * time.Second)
	second.SetReportDelay(5 * time.Second)
	expectWhole(f.g, responses)
	f.g.Expect(len(first.Runs())+len(second.Runs())).To(Equal(4), "each stream goes on at its runner")
}

// Guards against a probe, each of which is a new connection, for each of the streams of a runner that pause between their events.
func TestStreamsOfRunnerShareProbes(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, routesWithLongTimeout(), validKey)
	const streams, events, interval = 8, 4, 1500 * time.Millisecond
	engine := f.slowEngine("e0", events, interval)
	engine.SetBehaviour(runnerstand.Queues)
	r := f.servingRouter("r1", nil)
	var responses []<-chan callResponse
	for i := range streams {
		// The events of the streams come at different times.
		engine.SetQueueTime(time.Duration(i) * interval / streams)
		responses = append(responses, r.callWithLongTimeout("/stream/x", withPrompt(fmt.Sprintf("shared%d:100,own%d:50", i, i))))
		f.g.Eventually(engine.ArrivalCount, time.Second, time.Millisecond).Should(Equal(i + 1))
	}
	before, startedAt := engine.ReportCount(), time.Now()
	expectWhole(f.g, responses)
	probes, seconds := engine.ReportCount()-before, time.Since(startedAt).Seconds()
	t.Logf("%d reports in %.1f s", probes, seconds)
	f.g.Expect(float64(probes)/seconds).To(BeNumerically("<", 4), "%d probes in %.1f s", probes, seconds)
}
