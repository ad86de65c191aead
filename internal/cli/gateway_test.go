package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/httpconn"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
	"github.com/clovertiller/clovertiller/internal/rolloutdriver"
	"github.com/clovertiller/clovertiller/platform"
)

func newEnv() (env *Env, out, errOut *bytes.Buffer) {
	out, errOut = &bytes.Buffer{}, &bytes.Buffer{}
	return &Env{Out: out, ErrOut: errOut, Format: FormatTable}, out, errOut
}

func TestCheckGateway(t *testing.T) {
	g := NewWithT(t)
	env, _, errOut := newEnv()
	g.Expect(CheckGateway(env, gateway.Settings{Node: "n", CallerAddress: "here", RetryShare: 2})).To(Equal(ExitInvalid))
	g.Expect(strings.Count(errOut.String(), "settings: ")).To(Equal(4), "number of reported faults: %s", errOut)
	env, out, _ := newEnv()
	validSettings := gateway.Settings{Node: "n", CallerAddress: "127.0.0.1:1", ReadyAddress: "127.0.0.1:2", StoreAddress: "127.0.0.1:3"}
	g.Expect(CheckGateway(env, validSettings)).To(Equal(ExitOK))
	g.Expect(out.String()).To(ContainSubstring("valid"))
}

func TestCheckStore(t *testing.T) {
	g := NewWithT(t)
	store := storestand.New()
	endpoint, err := store.OpenEndpoint()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(endpoint.Close)
	ports := gateway.Ports{Store: &platform.StoreClient{Address: endpoint.Address, Pool: httpconn.NewPool(httpconn.DefaultDialTimeout)}, Decode: platform.Decode}
	route := map[string]any{"name": "a", "host": "h", "path_prefix": "/", "kind": "safe", "service": "s", "timeout_ms": 1000, "target_latency_ms": 100, "max_attempts": 1}
	config := map[string]any{"version": 1, "routes": []any{route}, "services": []any{map[string]any{"name": "s"}}}
	store.Put(platform.KindConfig, "main", config)
	env, out, _ := newEnv()
	g.Expect(CheckStore(context.Background(), env, ports)).To(Equal(ExitOK))
	g.Expect(out.String()).To(ContainSubstring("configuration: 1 objects"))

	config["services"] = []any{}
	store.Put(platform.KindConfig, "main", config)
	env, _, errOut := newEnv()
	g.Expect(CheckStore(context.Background(), env, ports)).To(Equal(ExitInvalid))
	g.Expect(errOut.String()).To(ContainSubstring(`service "s" does not exist`))

	endpoint.SetFault(storestand.Busy)
	env, _, _ = newEnv()
	g.Expect(CheckStore(context.Background(), env, ports)).To(Equal(ExitUnavailable))
}

func TestGatewayStatus(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		g.Expect(request.URL.Path).To(Equal(gateway.StatusPath))
		json.NewEncoder(writer).Encode(gateway.Status{
			Node: "r1", Zone: "z", ConfigVersion: 7, ProofAgeMillis: 1200, Proven: true, Source: "10.0.0.1:1", LeaseToken: 44,
			Rollouts:    []rolloutdriver.Summary{{Service: "s", Target: "v2", State: "rolled back", Reason: "route a: bad", Requests: 500, Exposed: 41, Routes: []rolloutdriver.RouteSummary{{Route: "a", TargetAnswers: 40, TargetBad: 17}}}},
			Quarantined: []gateway.QuarantinedContent{{Tenant: "t1", Part: "5c1e07a2", Runners: []string{"e7", "e8"}, RemainingMillis: 90_000}},
			Weights:     map[string]uint64{"m": 3}, Runners: []backend.RunnerSummary{{ID: "e1", Service: "s", State: "set aside", Weights: map[string]uint64{"m": 2}, FailureShare: 0.5}},
		})
	}))
	t.Cleanup(server.Close)
	env, out, errOut := newEnv()
	address := strings.TrimPrefix(server.URL, "http://")
	g.Expect(GatewayStatus(context.Background(), env, []string{address, "127.0.0.1:1"})).To(Equal(ExitUnavailable))
	for _, word := range []string{"r1", "serving", "1.2s", "10.0.0.1:1", "holds 44", "m=3", "set aside", "m=2", "50%", "v2", "rolled back", "route a: bad", "459", "41", "17", "5c1e07a2", "1m30s", "e7 e8"} {
		g.Expect(out.String()).To(ContainSubstring(word))
	}
	g.Expect(errOut.String()).To(ContainSubstring("127.0.0.1:1"))
}
