package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
)

const (
	// soundSilence is how long a sound runner may be silent.
	soundSilence = 1900 * time.Millisecond
	// proxiedEngineEvents and proxiedEngineInterval make streams that are longer than the silence.
	proxiedEngineEvents   = 30
	proxiedEngineInterval = 100 * time.Millisecond
)

// proxiedEngine is an engine that routers reach through a proxy, by which it can be silenced.
type proxiedEngine struct {
	*runnerstand.Runner
	proxy *faultproxy.Proxy
}

// proxiedEngine starts an engine of the software version behind a proxy.
func (f *fleet) proxiedEngine(id, softwareVersion string) proxiedEngine {
	runner := f.startRunner(runnerstand.Config{
		ID: id, Service: "engines", Model: modelName, Version: 1, SoftwareVersion: softwareVersion,
		EventCount: proxiedEngineEvents, EventInterval: proxiedEngineInterval,
	})
	return proxiedEngine{Runner: runner, proxy: f.listBehindProxy(runner)}
}

// silence makes the engines silent for the duration, without an end of their connections.
func silence(engines []proxiedEngine, duration time.Duration) {
	for _, engine := range engines {
		engine.proxy.SetMode(faultproxy.Stall)
	}
	time.Sleep(duration)
	for _, engine := range engines {
		engine.proxy.SetMode(faultproxy.Pass)
	}
}

// startStreams starts streams on the resumable route and waits until all run.
func (r *router) startStreams(count int, engines []proxiedEngine) (responses []<-chan callResponse) {
	for i := range count {
		responses = append(responses, r.callWithLongTimeout("/stream/x", withPrompt(fmt.Sprintf("shared%d:100,own%d:50", i, i))))
	}
	r.fleet.g.Eventually(func() int { return runsOf(engines) }, 2*time.Second, 5*time.Millisecond).Should(Equal(count))
	time.Sleep(2 * proxiedEngineInterval)
	return responses
}

func runsOf(engines []proxiedEngine) (runs int) {
	for _, engine := range engines {
		runs += len(engine.Runs())
	}
	return runs
}

// expectWhole expects that each response arrives and is whole.
func expectWhole(g *WithT, responses []<-chan callResponse) {
	cut := 0
	for _, responded := range responses {
		var response callResponse
		g.Eventually(responded, longTimeout).Should(Receive(&response))
		if response.truncated {
			cut++
			continue
		}
		g.Expect(response.status).To(Equal(http.StatusOK))
	}
	g.Expect(cut).To(BeZero(), "%d of %d streams ended without an end", cut, len(responses))
}

// Guards against streams that are ended, or sent to a second runner, because their sound runner was silent for less than two
// seconds.
func TestStreamsOutliveSilenceOfSoundRunners(t *testing.T) {
	for name, scenario := range map[string]struct {
		// versions are the software versions of the engines, the first silent of which are silenced.
		versions []string
		silent   int
	}{
		"the only engine":                 {[]string{"a"}, 1},
		"one of two engines":              {[]string{"a", "a"}, 1},
		"the only one of its version":     {[]string{"a", "b"}, 1},
		"all engines":                     {[]string{"a", "a", "a"}, 3},
		"one version of two, all engines": {[]string{"a", "a", "b", "b"}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.configure(1, routesWithLongTimeout(), validKey)
			var engines []proxiedEngine
			for i, version := range scenario.versions {
				engines = append(engines, f.proxiedEngine(fmt.Sprint("e", i), version))
			}
			r := f.servingRouter("r1", nil)
			r.awaitRunners(len(engines))
			const streams = 8
			responses := r.startStreams(streams, engines)
			silence(engines[:scenario.silent], soundSilence)
			expectWhole(f.g, responses)
			f.g.Expect(runsOf(engines)).To(Equal(streams), "each stream goes on at its runner")
		})
	}
}

// Guards against the loss of whole requests beside changes of the configuration: routes, services and keys go, and time-outs
// shrink, while streams run on an engine that is silent for less than two seconds.
func TestStreamsOutliveSilenceBesideConfigurationChanges(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, routesWithLongTimeout(), validKey)
	engines := []proxiedEngine{f.proxiedEngine("e0", "a")}
	r := f.servingRouter("r1", nil)
	responses := r.startStreams(8, engines)
	var changes sync.WaitGroup
	changes.Go(func() {
		for version := 2; version < 10; version++ {
			routes := routesWithLongTimeout()
			if version%2 == 0 {
				routes = defaultRoutes()[:3]
			}
			f.configure(version, routes, validKey, fmt.Sprint("key-", version))
			time.Sleep(300 * time.Millisecond)
		}
	})
	silence(engines, soundSilence)
	changes.Wait()
	expectWhole(f.g, responses)
	f.g.Expect(runsOf(engines)).To(Equal(8), "each stream goes on at its runner")
}

// Guards against streams that are ended although no other runner can take them: they wait for their runner until their time is up.
func TestStreamsWaitForTheOnlyRunnerThatCanFinishThem(t *testing.T) {
	t.Parallel()
	const longSilence = 5 * time.Second
	for name, scenario := range map[string]struct {
		versions []string
		settings func(*gateway.Settings)
	}{
		"the only engine":                   {[]string{"a"}, nil},
		"other engines run another version": {[]string{"a", "b"}, nil},
		"no retries left":                   {[]string{"a", "a"}, func(settings *gateway.Settings) { settings.RetryShare, settings.RetryReserve = 0.001, 0.5 }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.configure(1, routesWithLongTimeout(), validKey)
			var engines []proxiedEngine
			for i, version := range scenario.versions {
				engines = append(engines, f.proxiedEngine(fmt.Sprint("e", i), version))
			}
			r := f.servingRouter("r1", scenario.settings)
			r.awaitRunners(len(engines))
			responses := r.startStreams(4, engines)
			silence(engines[:1], longSilence)
			expectWhole(f.g, responses)
		})
	}
}

// Guards against streams that wait until their time is up for a runner that is silent for good, while another could finish them.
func TestStreamsLeaveRunnerThatIsSilentForGood(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, routesWithLongTimeout(), validKey)
	engines := []proxiedEngine{f.proxiedEngine("e0", "a"), f.proxiedEngine("e1", "a")}
	r := f.servingRouter("r1", nil)
	r.awaitRunners(len(engines))
	responses := r.startStreams(4, engines)
	engines[0].proxy.SetMode(faultproxy.Blackhole)
	expectWhole(f.g, responses)
}

// Guards against streams that are ended because their runner answers no probe although it is not silent: new connections are
// reset, as at a runner that has too many, while the stream pauses between its events.
func TestStreamsOutliveFailingProbes(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, routesWithLongTimeout(), validKey)
	engine := f.startRunner(runnerstand.Config{
		ID: "e0", Service: "engines", Model: modelName, Version: 1, EventCount: 4, EventInterval: 1100 * time.Millisecond,
	})
	proxy := f.listBehindProxy(engine)
	r := f.servingRouter("r1", nil)
	responses := r.startStreams(4, []proxiedEngine{{engine, proxy}})
	proxy.SetMode(faultproxy.RejectNew)
	expectWhole(f.g, responses)
	f.g.Expect(engine.Runs()).To(HaveLen(4), "each stream goes on at its runner")
}
