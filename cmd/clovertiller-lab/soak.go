package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/soak"
)

// soakCommand runs gateways as processes under random faults.
func soakCommand() command {
	subcommand := newSubcommand("soak", "Run gateways under random faults from outside and check the promises.")
	program, root := "bin/clovertiller-gateway", "out"
	seed, duration := uint64(0), time.Minute
	gateways, engines := 0, 0
	subcommand.String(&program, "", "program", "Path of the gateway.")
	subcommand.String(&root, "", "folder", "Where settings and logs go.")
	subcommand.UInt64(&seed, "", "seed", "Seed of the faults; 0 draws one.")
	subcommand.Duration(&duration, "", "duration", "How long faults are injected.")
	subcommand.Int(&gateways, "", "gateways", "How many gateways; 0 for the usual number.")
	subcommand.Int(&engines, "", "engines", "How many runners with a model; 0 for the usual number.")
	return command{subcommand, func(ctx context.Context) error {
		if seed == 0 {
			seed = uint64(time.Now().UnixNano() % 1e9)
		}
		fmt.Println("seed", seed)
		report, err := soak.Run(ctx, soak.Settings{
			Program: program, Seed: seed, Duration: duration, Folder: soak.LogFolder(root, seed), Out: os.Stdout,
			Gateways: gateways, Engines: engines,
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
