package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/clovertiller/clovertiller/internal/gateway"
)

// maxReasonBytes bounds the reason that is read from a failure response.
const maxReasonBytes = 1 << 10

// LiftQuarantine makes the gateway at the IP:port, and through it all others, send again what is
// quarantined.
func LiftQuarantine(ctx context.Context, env *Env, address string, lift gateway.LiftRequest) int {
	body, err := json.Marshal(lift)
	if err != nil {
		env.printError("%v", err)
		return ExitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+gateway.LiftPath, bytes.NewReader(body))
	if err != nil {
		env.printError("%v", err)
		return ExitUsage
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		env.printError("gateway %s: %v", address, err)
		return ExitUnavailable
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNoContent {
		fmt.Fprintln(env.Out, "lifted")
		return ExitOK
	}
	// The status decides; the reason is only printed.
	reason, _ := io.ReadAll(io.LimitReader(response.Body, maxReasonBytes))
	env.printError("gateway %s: %s", address, strings.TrimSpace(string(reason)))
	if response.StatusCode == http.StatusNotFound {
		return ExitNotFound
	}
	return ExitInvalid
}
