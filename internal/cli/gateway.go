package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/routing"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

// storeTimeout bounds one call to the store.
const storeTimeout = 5 * time.Second

// CheckGateway reports every fault of a gateway's settings.
func CheckGateway(env *Env, settings gateway.Settings) int {
	faults := settings.Check()
	for _, fault := range faults {
		env.complain("settings: %s", fault)
	}
	if len(faults) > 0 {
		return ExitInvalid
	}
	fmt.Fprintln(env.Out, "the settings are valid")
	return ExitOK
}

// CheckStored reports every fault of what the store holds: objects that cannot
// be read, and a configuration that contradicts itself.
func CheckStored(ctx context.Context, env *Env, ports gateway.Ports) int {
	code := ExitOK
	for _, kind := range []gateway.ObjectKind{gateway.ConfigObjects, gateway.RunnerObjects, gateway.WeightObjects} {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		objects, revision, err := ports.Store.List(ctx, kind, false)
		cancel()
		if err != nil {
			env.complain("%s: %v", kind, err)
			return ExitUnavailable
		}
		faults := 0
		for _, stored := range objects {
			for _, fault := range faultsOf(ports.Decode(kind, stored)) {
				env.complain("%s %s at revision %d: %s", kind, stored.Name, storerev.Revision(stored.Version).Number(), fault)
				faults++
			}
		}
		fmt.Fprintf(env.Out, "%s: %d objects at revision %d, %d faults\n", kind, len(objects), revision.Number(), faults)
		if faults > 0 {
			code = ExitInvalid
		}
	}
	return code
}

func faultsOf(object gateway.Object) []string {
	switch {
	case object.Fault != "":
		return []string{object.Fault}
	case object.Config != nil:
		return routing.Check(object.Config)
	}
	return nil
}

// GatewayStatus prints what gateways believe, one line each, and the runners as
// the first of them that answers sees them.
func GatewayStatus(ctx context.Context, env *Env, addresses []string) int {
	code := ExitOK
	var found []*gateway.Status
	for _, address := range addresses {
		status, err := fetchJSON[gateway.Status](ctx, "http://"+address+gateway.StatusPath)
		if err != nil {
			env.complain("status of %s: %v", address, err)
			code = ExitUnavailable
			continue
		}
		found = append(found, status)
	}
	if env.Format == FormatJSON {
		encoder := json.NewEncoder(env.Out)
		encoder.SetIndent("", "  ")
		encoder.Encode(found)
		return code
	}
	if len(found) > 0 {
		printGateways(env, found)
		printRunners(env, found[0])
	}
	return code
}

func printGateways(env *Env, found []*gateway.Status) {
	table := tabwriter.NewWriter(env.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "ROUTER\tZONE\tSTATE\tCONFIG\tPROOF\tDIRECTORY\tLEARNS FROM\tLEASE\tWEIGHTS")
	for _, status := range found {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%d\t%s\t%s\t%s\n", status.Node, status.Zone, gatewayState(status), status.ConfigVersion,
			proofAge(status), status.DirectoryRevision, sourceOf(status), leaseOf(status), versionsOf(status.Weights))
	}
	table.Flush()
}

func gatewayState(status *gateway.Status) string {
	switch {
	case status.Draining:
		return "draining"
	case !status.Proven:
		return "refusing keys"
	}
	return "serving"
}

func proofAge(status *gateway.Status) string {
	if status.ProofAgeMillis < 0 {
		return "none"
	}
	return (time.Duration(status.ProofAgeMillis) * time.Millisecond).String()
}

func sourceOf(status *gateway.Status) string {
	switch {
	case status.ReadsStore:
		return "store"
	case status.Source == "":
		return "nobody"
	}
	return status.Source
}

func leaseOf(status *gateway.Status) string {
	if status.LeaseToken == 0 {
		return "-"
	}
	return fmt.Sprintf("holds %d", status.LeaseToken)
}

func versionsOf(weights map[string]uint64) string {
	parts := make([]string, 0, len(weights))
	for model, version := range weights {
		parts = append(parts, fmt.Sprintf("%s=%d", model, version))
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}

func printRunners(env *Env, status *gateway.Status) {
	fmt.Fprintf(env.Out, "\nrunners as %s sees them\n", status.Node)
	table := tabwriter.NewWriter(env.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "SERVICE\tRUNNER\tADDRESS\tZONE\tSTATE\tWEIGHTS\tIN FLIGHT\tFAILING")
	for _, runner := range status.Runners {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%.0f%%\n", runner.Service, runner.ID, runner.Address, runner.Zone, runner.State,
			versionsOf(runner.Weights), runner.InFlight, runner.FailureShare*100)
	}
	table.Flush()
}
