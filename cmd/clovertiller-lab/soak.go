package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/clovertiller/clovertiller/internal/gatewaymain"
	"github.com/clovertiller/clovertiller/internal/lab/soak"
)

// soakCommand runs gateways as processes under random faults.
func soakCommand() command {
	subcommand := newSubcommand("soak", "Run gateways under random faults from outside and check the promises.")
	program, older, root := "", "", "out"
	poison, suspensions, signals, restores, lateOperator := false, false, false, false, false
	seed, duration := uint64(0), time.Minute
	gateways, engines := 0, 0
	subcommand.String(&program, "", "program", "Path of the gateway; empty for the one in this program.")
	subcommand.String(&older, "", "older", "Path of an earlier version, which every second gateway runs.")
	subcommand.Bool(&poison, "", "poison", "Ask what ends each runner that runs it.")
	subcommand.Bool(&suspensions, "", "suspensions", "Suspend machines; needs the gateway in this program.")
	subcommand.Bool(&signals, "", "signals", "Have runners say that they leave, limit requests or want a rest.")
	subcommand.Bool(&restores, "", "restores", "Have the store come back from copies.")
	subcommand.Bool(&lateOperator, "", "late-operator", "Have the operator write again late what such a store lost.")
	subcommand.String(&root, "", "folder", "Where settings and logs go.")
	subcommand.UInt64(&seed, "", "seed", "Seed of the faults; 0 draws one.")
	subcommand.Duration(&duration, "", "duration", "How long faults are injected.")
	subcommand.Int(&gateways, "", "gateways", "How many gateways; 0 for the usual number.")
	subcommand.Int(&engines, "", "engines", "How many runners with a model; 0 for the usual number.")
	return command{subcommand, func(ctx context.Context) error {
		if seed == 0 {
			seed = uint64(time.Now().UnixNano() % 1e9)
		}
		command := []string{program}
		if program == "" {
			itself, err := os.Executable()
			if err != nil {
				return err
			}
			command = []string{itself, gatewayCommandName}
		}
		fmt.Println("seed", seed)
		report, err := soak.Run(ctx, soak.Settings{
			Program: command, OlderProgram: older, Poison: poison, Suspensions: suspensions, Signals: signals, Restores: restores, LateOperator: lateOperator,
			Seed: seed, FaultDuration: duration, Folder: soak.LogFolder(root, seed), Out: os.Stdout, Gateways: gateways, Engines: engines,
		})
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: %d calls, %d served, %d faults, %d promises broken\n", seed, report.Calls, report.Served, report.Faults, len(report.Failures))
		if len(report.Failures) > 0 {
			return fmt.Errorf("seed %d: %d promises broken, logs in %s", seed, len(report.Failures), soak.LogFolder(root, seed))
		}
		return nil
	}}
}

// gatewayCommandName is the subcommand that runs a gateway.
const gatewayCommandName = "gateway"

// gatewayCommand runs a gateway whose machine the soak may suspend.
func gatewayCommand() command {
	subcommand := newSubcommand(gatewayCommandName, "Run a gateway whose clock the soak may hold up.")
	return command{subcommand, func(context.Context) error {
		if code := gatewaymain.Run(soak.SuspendableClock(os.Getenv(soak.SuspendedFileEnvVar))); code != 0 {
			return fmt.Errorf("the gateway ended with %d", code)
		}
		return nil
	}}
}
