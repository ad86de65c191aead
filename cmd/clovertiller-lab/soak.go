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
	program, olderProgram, logRoot := "", "", "out"
	poison, suspensions, signals, restores, lateOperator, rollouts, regions, partitions, brokenAnswers, versions, returns, badParts, skews := false, false, false, false, false, false, false, false, false, false, false, false, false
	seed, duration := uint64(0), time.Minute
	gateways, engines := 0, 0
	subcommand.String(&program, "", "program", "Path of the gateway program. Without it, this program's own gateway is run.")
	subcommand.String(&olderProgram, "", "older", "Path of an older gateway program, which every second gateway runs.")
	subcommand.Bool(&poison, "", "poison", "Send requests that crash every runner that processes them.")
	subcommand.Bool(&badParts, "", "bad-parts", "Send requests with prompt parts that crash every runner that begins to answer.")
	subcommand.Bool(&skews, "", "skews", "Send most new connections to one gateway for some seconds.")
	subcommand.Bool(&suspensions, "", "suspensions", "Suspend machines; requires this program's own gateway.")
	subcommand.Bool(&signals, "", "signals", "Have runners signal shutdown, rate limits and backoff.")
	subcommand.Bool(&restores, "", "restores", "Restore the store from backups.")
	subcommand.Bool(&lateOperator, "", "late-operator", "Delay the operator's rewrite of objects that a restored store has lost.")
	subcommand.Bool(&rollouts, "", "rollouts", "Move a service to good and bad software versions.")
	subcommand.Bool(&partitions, "", "partitions", "Cut gateways off all runners, make runners brittle and silence them.")
	subcommand.Bool(&regions, "", "regions", "Put gateways and runners into two or three regions and cut borders between regions.")
	subcommand.Bool(&brokenAnswers, "", "broken-answers", "Have runners answer without length and chunks and break off answers, and callers speak HTTP/1.0.")
	subcommand.Bool(&versions, "", "versions", "Have runners of several software versions in one service, replaced one after the other, and callers that take streams up at other gateways.")
	subcommand.Bool(&returns, "", "returns", "Kill all gateways at once, half of them, all but the seeds, or the seeds, also in the middle of their return.")
	subcommand.String(&logRoot, "", "folder", "Folder for settings and logs.")
	subcommand.UInt64(&seed, "", "seed", "Random seed of the faults; 0 chooses one.")
	subcommand.Duration(&duration, "", "duration", "Duration of fault injection.")
	subcommand.Int(&gateways, "", "gateways", "Number of gateways; 0 for the default.")
	subcommand.Int(&engines, "", "engines", "Number of runners with a model; 0 for the default.")
	return command{subcommand, func(ctx context.Context) error {
		if seed == 0 {
			seed = uint64(time.Now().UnixNano() % 1e9)
		}
		commandLine := []string{program}
		if program == "" {
			executable, err := os.Executable()
			if err != nil {
				return err
			}
			commandLine = []string{executable, gatewayCommandName}
		}
		fmt.Println("seed", seed)
		report, err := soak.Run(ctx, soak.Settings{
			Program: commandLine, OlderProgram: olderProgram, Poison: poison, BadParts: badParts, Skews: skews, Suspensions: suspensions, Signals: signals, Restores: restores, LateOperator: lateOperator, Rollouts: rollouts, Regions: regions, Partitions: partitions, BrokenAnswers: brokenAnswers, Versions: versions, Returns: returns,
			Seed: seed, FaultDuration: duration, Folder: soak.LogFolder(logRoot, seed), Out: os.Stdout, Gateways: gateways, Engines: engines,
		})
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: %d calls, %d served, %d faults, %d promises broken\n", seed, report.Calls, report.Served, report.Faults, len(report.Failures))
		if len(report.Failures) > 0 {
			return fmt.Errorf("seed %d: %d promises broken, logs in %s", seed, len(report.Failures), soak.LogFolder(logRoot, seed))
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
