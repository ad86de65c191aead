package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/clovertiller/clovertiller/internal/node"
)

// statusTimeout is the timeout of one status request.
const statusTimeout = 5 * time.Second

// Status prints a router's view of itself, of the other routers and of the runners.
func Status(ctx context.Context, env *Env, router string) int {
	status, err := FetchStatus(ctx, router)
	if err != nil {
		env.printError("status of %s: %v", router, err)
		return ExitUnavailable
	}
	if env.Format == FormatJSON {
		encoder := json.NewEncoder(env.Out)
		encoder.SetIndent("", "  ")
		encoder.Encode(status)
		return ExitOK
	}
	fmt.Fprintf(env.Out, "router %s, revision %d, claim assignment %d (granting %t)\n\n", status.Node, status.Revision, status.Assignment, status.Granting)
	table := tabwriter.NewWriter(env.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "ROUTER\tZONE\tSTATE\tREVISION")
	for _, member := range status.Members {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\n", member.Node, member.Zone, member.State, member.Revision)
	}
	fmt.Fprintln(table, "\t\t\t\nRUNNER\tSTATE\tWEIGHTS\tHOME")
	for _, runner := range status.Runners {
		state := runner.State
		if !runner.Connected {
			state = "not connected"
		}
		fmt.Fprintf(table, "%s\t%s\t%s %s\t%s\n", runner.Runner, state, runner.Model, runner.WeightVersion, runner.Home)
	}
	table.Flush()
	return ExitOK
}

// FetchStatus requests the status of the router at the given IP:port.
func FetchStatus(ctx context.Context, router string) (*node.Status, error) {
	return fetchJSON[node.Status](ctx, "http://"+router+node.PathStatus)
}

// fetchJSON requests a JSON document and decodes it.
func fetchJSON[T any](ctx context.Context, url string) (*T, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("unexpected status %s", response.Status)
	}
	document := new(T)
	return document, json.NewDecoder(response.Body).Decode(document)
}
