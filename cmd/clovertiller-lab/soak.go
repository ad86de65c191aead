package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/clovertiller/clovertiller/internal/gatewaymain"
	"github.com/clovertiller/clovertiller/internal/lab/soak"
)

// soakCommand runs gateway processes under random faults.
func soakCommand() command {
	subcommand := newSubcommand("soak", "Run gateway processes, inject random faults from outside, and check the promises.")
	program, logRoot := "", "out"
	settings := soak.Settings{FaultDuration: time.Minute, Out: os.Stdout}
	subcommand.String(&program, "", "program", "Path of the gateway program. Without it, this program's own gateway is run.")
	subcommand.String(&settings.OlderProgram, "", "older", "Path of an older gateway program, which every second gateway runs.")
	subcommand.Bool(&settings.Poison, "", "poison", "Send requests that crash every runner that processes them.")
	subcommand.Bool(&settings.BadParts, "", "bad-parts", "Send requests with prompt parts that crash every runner that begins to answer.")
	subcommand.Bool(&settings.Skews, "", "skews", "Send most new connections to one gateway for some seconds.")
	subcommand.Bool(&settings.Suspensions, "", "suspensions", "Suspend machines; requires this program's own gateway.")
	subcommand.Bool(&settings.Signals, "", "signals", "Have runners signal shutdown, rate limits and backoff.")
	subcommand.Bool(&settings.Restores, "", "restores", "Restore the store from backups.")
	subcommand.Bool(&settings.LateOperator, "", "late-operator", "Delay the operator's rewrite of objects that a restored store has lost.")
	subcommand.Bool(&settings.Rollouts, "", "rollouts", "Move a service to good and bad software versions.")
	subcommand.Bool(&settings.MassCuts, "", "mass-cuts", "With partitions: cut most gateways at a time, off all runners, a service or some runners of it.")
	subcommand.Bool(&settings.Partitions, "", "partitions", "Cut gateways off all runners, make runners brittle and silence them.")
	subcommand.Bool(&settings.Regions, "", "regions", "Put gateways and runners into two or three regions and cut borders between regions.")
	subcommand.Bool(&settings.BrokenAnswers, "", "broken-answers", "Have runners answer without length and chunks and break off answers, and callers speak HTTP/1.0.")
	subcommand.Bool(&settings.Versions, "", "versions", "Have runners of several software versions in one service, replaced one after the other, and callers that take streams up at other gateways.")
	subcommand.Bool(&settings.Returns, "", "returns", "Kill all gateways at once, half of them, all but the seeds, or the seeds, also in the middle of their return.")
	subcommand.Bool(&settings.ConfigChanges, "", "config-changes", "Change routes, services, tenants and limits in quick succession while sound runners are silent, and check that each whole request is answered or refused.")
	subcommand.Bool(&settings.Weights, "", "weights", "Name new weights in quick succession while engines cache prompt parts and fetch them from each other, and check that no request runs on parts of other weights.")
	subcommand.Bool(&settings.StaleGateways, "", "stale-gateways", "Cut gateways off all others, the store or both, or pause them, while runners of new software versions join, and take streams up there.")
	subcommand.Bool(&settings.Refusals, "", "refusals", "Have runners refuse calls in several ways and send responses twice, and count refused calls that ran.")
	subcommand.String(&logRoot, "", "folder", "Folder for settings and logs.")
	subcommand.UInt64(&settings.Seed, "", "seed", "Random seed of the faults; 0 chooses one.")
	subcommand.Duration(&settings.FaultDuration, "", "duration", "Duration of fault injection.")
	subcommand.Int(&settings.Gateways, "", "gateways", "Number of gateways; 0 for the default.")
	subcommand.Int(&settings.Engines, "", "engines", "Number of runners with a model; 0 for the default.")
	return command{subcommand, func(ctx context.Context) error {
		if settings.Seed == 0 {
			settings.Seed = uint64(time.Now().UnixNano() % 1e9)
		}
		settings.Program = []string{program}
		if program == "" {
			executable, err := os.Executable()
			if err != nil {
				return err
			}
			settings.Program = []string{executable, gatewayCommandName}
		}
		settings.Folder = soak.LogFolder(logRoot, settings.Seed)
		fmt.Println("seed", settings.Seed)
		report, err := soak.Run(ctx, settings)
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: %d calls, %d served, %d faults, %d promises broken\n", settings.Seed, report.Calls, report.Served, report.Faults, len(report.Failures))
		if len(report.Failures) > 0 {
			return fmt.Errorf("seed %d: %d promises broken, logs in %s", settings.Seed, len(report.Failures), settings.Folder)
		}
		return nil
	}}
}

// gatewayCommandName is the subcommand by which the soak runs this program's own gateway.
const gatewayCommandName = "gateway"

// gatewayCommand runs a gateway with a clock that the soak controls to simulate suspensions
// of the machine.
func gatewayCommand() command {
	subcommand := newSubcommand(gatewayCommandName, "Run a gateway whose clock the soak can stop.")
	return command{subcommand, func(context.Context) error {
		if code := gatewaymain.Run(soak.SuspendableClock(os.Getenv(soak.SuspendedFileEnvVar))); code != 0 {
			return fmt.Errorf("the gateway exited with code %d", code)
		}
		return nil
	}}
}
