package gateway_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
)

// Guards against streams that leave a silent runner for another that is silent as well: they have to wait for their own.
func TestStreamsDoNotMoveToSilentRunner(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, routesWithLongTimeout(), validKey)
	engines := []proxiedEngine{f.proxiedEngine("e0", "a")}
	r := f.servingRouter("r1", nil)
	responses := r.startStreams(4, engines)
	engines = append(engines, f.proxiedEngine("e1", "a"))
	r.awaitRunners(2)
	silence(engines, 5*time.Second)
	expectWhole(f.g, responses)
	f.g.Expect(runsOf(engines)).To(Equal(4), "each stream goes on at its runner")
}

// Guards against streams that leave a runner that is silent for good for another one that is silent, too, where they wait until their
// time is up although a third could finish them.
func TestStreamsLeaveForRunnerThatIsNotSilent(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, routesWithLongTimeout(), validKey)
	engines := []proxiedEngine{f.proxiedEngine("e0", "a")}
	r := f.servingRouter("r1", nil)
	responses := r.startStreams(4, engines)
	engines = append(engines, f.proxiedEngine("e1", "a"))
	f.proxiedEngine("e2", "a")
	r.awaitRunners(3)
	for _, engine := range engines {
		engine.proxy.SetMode(faultproxy.Blackhole)
	}
	expectWhole(f.g, responses)
}

// Guards against streams that are ended although the only other runner has no room for them.
func TestStreamsWaitWhileOtherRunnersAreFull(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, routesWithLongTimeout(), validKey)
	silent := f.proxiedEngine("e0", "a")
	r := f.servingRouter("r1", nil)
	responses := r.startStreams(4, []proxiedEngine{silent})
	f.startRunner(runnerstand.Config{
		ID: "e1", Service: "engines", Model: modelName, Version: 1, SoftwareVersion: "a", EventCount: 30, EventInterval: 300 * time.Millisecond,
		Capacity: runnerstand.Capacity{Slots: 1},
	})
	r.awaitRunners(2)
	silence([]proxiedEngine{silent}, 5*time.Second)
	expectWhole(f.g, responses)
}

// Guards against the loss of a run of which there is a copy, because the machine of the ended runner resets new connections instead of
// refusing them.
func TestStreamContinuesFromCopyWhenConnectionsAreReset(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, routesWithLongTimeout(), validKey)
	engines := []proxiedEngine{f.proxiedEngine("e0", "a"), f.proxiedEngine("e1", "a")}
	r := f.servingRouter("r1", enableRunCopies)
	r.awaitRunners(len(engines))
	responded := r.callWithLongTimeout("/once/x", withLongPrompt)
	f.g.Eventually(func() int { return runsOf(engines) }, 3*time.Second, 5*time.Millisecond).Should(Equal(1))
	time.Sleep(10 * proxiedEngineInterval)
	first, second := engines[0], engines[1]
	if len(second.Runs()) == 1 {
		first, second = second, first
	}
	first.proxy.SetMode(faultproxy.Reset)
	f.g.Eventually(responded, longTimeout).Should(Receive())
	f.g.Expect(second.ArrivalCount()).To(Equal(1), "the runner with the copy is asked to continue")
}
