package gateway_test

import (
	"io"
	"maps"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/internal/wire"
	"github.com/clovertiller/clovertiller/platform"
)

// Guards against a call that can't be repeated and is refused as not run, although it has run: the runner rejects it for newer
// weights, and repeats that rejection when the router has sent it the call again over the same connection.
func TestRepeatedRejectionIsNoResponseToTheNextAttempt(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	engine := f.engine("e1", 1)
	engine.SetSurplus(runnerstand.Surplus{Share: 1})
	r := f.servingRouter("r1", nil)
	version := engine.WeightVersion()
	refused, refusedAndRan, resent := 0, 0, 0
	for range 60 {
		version++
		engine.SetWeightVersion(version)
		before, arrived := len(engine.Runs()), engine.ArrivalCount()
		got := r.call("/once/x", nil)
		ran := len(engine.Runs()) > before
		if engine.ArrivalCount() > arrived+1 {
			resent++
		}
		if promisesNotRun(got.status) {
			refused++
			if ran {
				refusedAndRan++
			}
		}
	}
	t.Logf("%d refused, %d of them ran, %d reached the engine twice", refused, refusedAndRan, resent)
	f.g.Expect(resent).NotTo(BeZero(), "a call that has not run is sent again")
	f.g.Expect(refusedAndRan).To(BeZero())
}

// Guards against the same after a runner has started again with another ID at its address: it rejects the call that is meant for
// the runner before it, which is still listed, and repeats that rejection when it gets the call under its own ID.
func TestRepeatedRejectionOfRestartedRunnerIsNoResponseToTheNextAttempt(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runner := f.runner("p2", "plain")
	f.store.Put(platform.KindRunners, "p1", runner.DirectoryEntry("ready"))
	runner.SetSurplus(runnerstand.Surplus{Share: 1})
	r := f.servingRouter("r1", func(settings *gateway.Settings) { settings.RetryReserve = 50 })
	r.awaitRunners(2)
	served, refusedAndRan := 0, 0
	for range 60 {
		before := len(runner.Runs())
		got := r.call("/unsafe/x", nil)
		if got.status == http.StatusOK {
			served++
		}
		if promisesNotRun(got.status) && len(runner.Runs()) > before {
			refusedAndRan++
		}
	}
	t.Logf("%d served, %d refused and run", served, refusedAndRan)
	f.g.Expect(r.log.String()).To(ContainSubstring(`"attempt":2`), "a call that has not run is sent again")
	f.g.Expect(served).NotTo(BeZero())
	f.g.Expect(refusedAndRan).To(BeZero())
}

// Guards against a promise that rests on the word of an egress router of an earlier version, which may take a rejection of an
// earlier attempt for one of the last.
func TestRefusalOfOlderEgressRouterIsNoProof(t *testing.T) {
	for name, c := range map[string]struct {
		header http.Header
		want   int
	}{
		"refused by an older version":             {http.Header{"Clovertiller-Forward": {"refused"}}, http.StatusBadGateway},
		"declined by an older version":            {http.Header{"Clovertiller-Forward": {"declined"}, "Clovertiller-Forward-Reason": {"paths lost"}}, http.StatusBadGateway},
		"declined at once by an older version":    {http.Header{"Clovertiller-Forward": {"declined"}, "Clovertiller-Forward-Reason": {"no path"}}, http.StatusServiceUnavailable},
		"refused with a proof":                    {http.Header{"Clovertiller-Forward": {"refused"}, "Clovertiller-Forward-Proof": {"1 p1 new connection: rejected"}}, http.StatusServiceUnavailable},
		"a runner's status without its response":  {http.Header{"Clovertiller-Forward": {"response"}}, http.StatusBadGateway},
		"a response that no router has described": {http.Header{}, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.configure(1, defaultRoutes(), validKey)
			f.runner("p1", "plain")
			cut, healthy := newCutRouter(f, 1)
			cut.awaitCut("/safe/x")
			healthy[0].awaitCut("/safe/x")
			healthy[1].Kill()
			var served atomic.Int32
			startOlderRouter(f, healthy[1].peerAddress, func(writer http.ResponseWriter) {
				served.Add(1)
				maps.Copy(writer.Header(), c.header)
				writer.WriteHeader(http.StatusServiceUnavailable)
			})
			for before := served.Load(); served.Load() == before; {
				got := cut.call("/unsafe/x", nil)
				if served.Load() > before {
					f.g.Expect(got.status).To(Equal(c.want))
				}
			}
		})
	}
}

// startOlderRouter answers forwarded calls at the address. The response has the ID of the call.
func startOlderRouter(f *fleet, address string, respond func(http.ResponseWriter)) {
	listener, err := net.Listen("tcp", address)
	f.g.Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(request.Body)
		message := &wire.ForwardedCall{}
		if err != nil || proto.Unmarshal(body, message) != nil {
			return
		}
		for _, field := range message.GetHeaders() {
			if field.GetName() == platform.HeaderRequestID {
				writer.Header().Set(platform.HeaderRequestID, string(field.GetValues()[0]))
			}
		}
		respond(writer)
	})}
	go server.Serve(listener)
	f.t.Cleanup(func() { server.Close() })
}

// promisesNotRun reports whether callers infer from the status that the call has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
