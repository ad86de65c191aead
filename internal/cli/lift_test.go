package cli

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
)

func TestLiftQuarantine(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		var lift gateway.LiftRequest
		g.Expect(json.NewDecoder(request.Body).Decode(&lift)).To(Succeed())
		if request.Method != http.MethodPost || request.URL.Path != gateway.LiftPath || lift.Part != "5c1e" {
			http.Error(writer, "no crashes are recorded for it", http.StatusNotFound)
			return
		}
		writer.WriteHeader(http.StatusNoContent)
	}))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	env, out, _ := newEnv()
	g.Expect(LiftQuarantine(context.Background(), env, address, gateway.LiftRequest{Tenant: "t", Part: "5c1e"})).To(Equal(ExitOK))
	g.Expect(out.String()).To(ContainSubstring("lifted"))
	env, _, errOut := newEnv()
	g.Expect(LiftQuarantine(context.Background(), env, address, gateway.LiftRequest{Tenant: "t", Part: "other"})).To(Equal(ExitNotFound))
	g.Expect(errOut.String()).To(ContainSubstring("no crashes are recorded"))
	g.Expect(LiftQuarantine(context.Background(), env, "127.0.0.1:1", gateway.LiftRequest{})).To(Equal(ExitUnavailable))
}
