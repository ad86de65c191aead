package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/rolloutdriver"
	"github.com/clovertiller/clovertiller/internal/routing"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

// storeTimeout is the timeout of one list request to the store.
const storeTimeout = 5 * time.Second

// CheckGateway prints all faults of a gateway's settings.
func CheckGateway(env *Env, settings gateway.Settings) int {
	faults := settings.Check()
	for _, fault := range faults {
		env.printError("settings: %s", fault)
	}
	if len(faults) > 0 {
		return ExitInvalid
	}
	fmt.Fprintln(env.Out, "the settings are valid")
	return ExitOK
}

// CheckStore prints all faults of the objects in the store: objects that cannot be decoded
// and inconsistent configurations. It also prints the number of objects and faults of each kind.
func CheckStore(ctx context.Context, env *Env, ports gateway.Ports) int {
	code := ExitOK
	for _, kind := range []gateway.ObjectKind{gateway.ConfigObjects, gateway.RunnerObjects, gateway.WeightObjects} {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		objects, revision, err := ports.Store.List(ctx, kind, false)
		cancel()
		if err != nil {
			env.printError("%s: %v", kind, err)
			return ExitUnavailable
		}
		faultCount := 0
		for _, stored := range objects {
			for _, fault := range objectFaults(ports.Decode(kind, stored)) {
				env.printError("%s %s at revision %d: %s", kind, stored.Name, storerev.Revision(stored.Version).Number(), fault)
				faultCount++
			}
		}
		fmt.Fprintf(env.Out, "%s: %d objects at revision %d, %d faults\n", kind, len(objects), revision.Number(), faultCount)
		if faultCount > 0 {
			code = ExitInvalid
		}
	}
	return code
}

// objectFaults returns the decoding fault of an object, or the faults of the configuration
// that it contains.
func objectFaults(object gateway.Object) []string {
	switch {
	case object.Fault != "":
		return []string{object.Fault}
	case object.Config != nil:
		return routing.Check(object.Config)
	}
	return nil
}

// GatewayStatus prints one line for each gateway, and the runners as the first gateway that
// responds sees them. The exit code is ExitUnavailable if a gateway does not respond.
func GatewayStatus(ctx context.Context, env *Env, addresses []string) int {
	code := ExitOK
	var statuses []*gateway.Status
	for _, address := range addresses {
		status, err := fetchJSON[gateway.Status](ctx, "http://"+address+gateway.StatusPath)
		if err != nil {
			env.printError("status of %s: %v", address, err)
			code = ExitUnavailable
			continue
		}
		statuses = append(statuses, status)
	}
	if env.Format == FormatJSON {
		encoder := json.NewEncoder(env.Out)
		encoder.SetIndent("", "  ")
		encoder.Encode(statuses)
		return code
	}
	if len(statuses) > 0 {
		printGatewayTable(env, statuses)
		printRegionTable(env, statuses)
		printRolloutTable(env, statuses)
		printQuarantineTable(env, statuses)
		printRunnerTable(env, statuses[0])
	}
	return code
}

func printGatewayTable(env *Env, statuses []*gateway.Status) {
	table := tabwriter.NewWriter(env.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "ROUTER\tZONE\tSTATE\tCONFIG\tPROOF\tDIRECTORY\tLEARNS FROM\tLEASE\tWEIGHTS")
	for _, status := range statuses {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%d\t%s\t%s\t%s\n", status.Node, status.Zone, gatewayState(status), status.ConfigVersion,
			formatProofAge(status), status.DirectoryRevision, formatSource(status), formatLease(status), formatWeightVersions(status.Weights))
	}
	table.Flush()
}

// gatewayState returns "refusing keys" for a gateway that refuses requests with a key because
// its configuration is not proven to be current, and "forwarding" with the services for one that sends
// their requests through other gateways.
func gatewayState(status *gateway.Status) string {
	switch {
	case status.Draining:
		return "draining"
	case !status.Proven:
		return "refusing keys"
	case len(status.ImpairedPaths) > 0:
		return "forwarding " + formatPaths(status.ImpairedPaths)
	}
	return "serving"
}

// formatPaths returns "service (state)" for each service whose runners the gateway cannot reach.
func formatPaths(paths []gateway.PathStatus) string {
	parts := make([]string, 0, len(paths))
	for _, path := range paths {
		parts = append(parts, fmt.Sprintf("%s (%s)", path.Service, path.State))
	}
	return strings.Join(parts, ", ")
}

// formatProofAge returns how long ago the gateway's copy of the store was last proven to be
// current.
func formatProofAge(status *gateway.Status) string {
	if status.ProofAgeMillis < 0 {
		return "none"
	}
	return (time.Duration(status.ProofAgeMillis) * time.Millisecond).String()
}

// formatSource returns from where the gateway reads the store's contents.
func formatSource(status *gateway.Status) string {
	switch {
	case status.ReadsStore:
		return "store"
	case status.Source == "":
		return "nobody"
	}
	return status.Source
}

// formatLease returns the fencing token of the lease if the gateway holds it.
func formatLease(status *gateway.Status) string {
	if status.LeaseToken == 0 {
		return "-"
	}
	return fmt.Sprintf("holds %d", status.LeaseToken)
}

// formatWeightVersions returns "model=version" for each model, sorted by model.
func formatWeightVersions(weights map[string]uint64) string {
	parts := make([]string, 0, len(weights))
	for model, version := range weights {
		parts = append(parts, fmt.Sprintf("%s=%d", model, version))
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}

// printRolloutTable prints the moves of services to other software versions, as the gateway that
// leads them sees them, or else the first that knows them.
func printRolloutTable(env *Env, statuses []*gateway.Status) {
	rollouts := map[string]rolloutdriver.Summary{}
	for _, status := range statuses {
		for _, rollout := range status.Rollouts {
			if _, known := rollouts[rollout.Service]; !known || rollout.Leads {
				rollouts[rollout.Service] = rollout
			}
		}
	}
	if len(rollouts) == 0 {
		return
	}
	fmt.Fprintln(env.Out, "\nrollouts")
	table := tabwriter.NewWriter(env.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "SERVICE\tTARGET\tSTATE\tSHARE\tROUTE\tOLD ANSWERS\tBAD\tTARGET ANSWERS\tBAD\tREASON")
	for _, service := range slices.Sorted(maps.Keys(rollouts)) {
		rollout := rollouts[service]
		fmt.Fprintf(table, "%s\t%s\t%s\t%.1f%%\tall\t%d\t\t%d\t\t%s\n", service, rollout.Target, rollout.State, rollout.Share*100, rollout.Requests-min(rollout.Exposed, rollout.Requests), rollout.Exposed, rollout.Reason)
		for _, route := range rollout.Routes {
			fmt.Fprintf(table, "\t\t\t\t%s\t%d\t%d\t%d\t%d\t\n", route.Route, route.OldAnswers, route.OldBad, route.TargetAnswers, route.TargetBad)
		}
	}
	table.Flush()
}

// printQuarantineTable prints what the gateways do not send to runners, each once.
func printQuarantineTable(env *Env, statuses []*gateway.Status) {
	printed := map[[3]string]bool{}
	table := tabwriter.NewWriter(env.Out, 0, 4, 2, ' ', 0)
	for _, status := range statuses {
		for _, quarantined := range status.Quarantined {
			key := [3]string{quarantined.Tenant, quarantined.Part, quarantined.Content}
			if printed[key] {
				continue
			}
			if len(printed) == 0 {
				fmt.Fprintln(table, "\nquarantined\nTENANT\tPART\tCONTENT\tLEFT\tCRASHED RUNNERS")
			}
			printed[key] = true
			left := time.Duration(quarantined.RemainingMillis) * time.Millisecond
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", quarantined.Tenant, quarantined.Part, quarantined.Content, left, strings.Join(quarantined.Runners, " "))
		}
	}
	table.Flush()
}

func printRunnerTable(env *Env, status *gateway.Status) {
	fmt.Fprintf(env.Out, "\nrunners as %s sees them\n", status.Node)
	table := tabwriter.NewWriter(env.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "SERVICE\tRUNNER\tADDRESS\tZONE\tSTATE\tWEIGHTS\tIN FLIGHT\tFAILING")
	for _, runner := range status.Runners {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%.0f%%\n", runner.Service, runner.ID, runner.Address, runner.Zone, runner.State,
			formatWeightVersions(runner.Weights), runner.InFlight, runner.FailureShare*100)
	}
	table.Flush()
}
