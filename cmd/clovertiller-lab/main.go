// Command clovertiller-lab runs the stand-ins of engines and platform, and the
// project's experiments. It is no part of the product.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/clovertiller/clovertiller/internal/lab/enginemodel"
	"github.com/clovertiller/clovertiller/internal/lab/engineserver"
	"github.com/clovertiller/clovertiller/internal/lab/experiment"
	"github.com/clovertiller/clovertiller/internal/lab/load"
	"github.com/clovertiller/clovertiller/internal/lab/platformserver"
	"github.com/clovertiller/clovertiller/internal/lab/workload"
)

func main() { os.Exit(run()) }

// command is one subcommand with what it does.
type command struct {
	subcommand *flaggy.Subcommand
	run        func(context.Context) error
}

func run() int {
	parser := flaggy.NewParser("clovertiller-lab")
	parser.Description = "Stand-ins and experiments of clovertiller."
	commands := []command{platformCommand(), engineCommand(), loadCommand(), experimentCommand(), soakCommand(), gatewayCommand(), ledgerCommand(), compareCommand()}
	for _, c := range commands {
		parser.AttachSubcommand(c.subcommand, 1)
	}
	if err := parser.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for _, c := range commands {
		if !c.subcommand.Used {
			continue
		}
		if err := c.run(ctx); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		return 0
	}
	parser.ShowHelp()
	return 2
}

func newSubcommand(name, description string) *flaggy.Subcommand {
	subcommand := flaggy.NewSubcommand(name)
	subcommand.Description = description
	return subcommand
}

func platformCommand() command {
	subcommand := newSubcommand("platform", "Run the stand-in of the platform.")
	listen := "127.0.0.1:7700"
	settings := platformserver.DefaultSettings()
	subcommand.String(&listen, "l", "listen", "IP:port to listen on.")
	subcommand.Duration(&settings.LoadTime, "", "load-time", "How long one load of weights takes.")
	subcommand.Int(&settings.ConcurrentLoads, "", "loads-at-once", "How many loads run at full speed.")
	return command{subcommand, func(ctx context.Context) error {
		listener, err := net.Listen("tcp", listen)
		if err != nil {
			return err
		}
		server := platformserver.Start(listener, settings)
		<-ctx.Done()
		server.Close()
		return nil
	}}
}

func engineCommand() command {
	subcommand := newSubcommand("engine", "Run the stand-in of a model engine.")
	listen := "127.0.0.1:0"
	settings := engineserver.Settings{Engine: enginemodel.DefaultSettings()}
	subcommand.String(&listen, "l", "listen", "IP:port to listen on.")
	subcommand.String(&settings.PlatformAddress, "", "platform", "IP:port of the platform stand-in, for weights.")
	subcommand.String(&settings.Model, "m", "model", "Model loaded from the start.")
	subcommand.String(&settings.WeightVersion, "w", "weights", "Weight version loaded from the start.")
	subcommand.Int(&settings.Engine.CacheBlocks, "", "blocks", "Size of the cache in blocks.")
	subcommand.Int(&settings.Faults.EventLagMillis, "", "event-lag", "Lag of cache events in milliseconds.")
	subcommand.Float64(&settings.Faults.EventLoss, "", "event-loss", "Share of cache events lost, 0 to 1.")
	return command{subcommand, func(ctx context.Context) error {
		listener, err := net.Listen("tcp", listen)
		if err != nil {
			return err
		}
		server := engineserver.Start(listener, settings)
		<-ctx.Done()
		// A second signal ends the drain.
		drain, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		server.Drain(drain)
		server.Close()
		return nil
	}}
}

func experimentCommand() command {
	subcommand := newSubcommand("experiment", "Compare placement with baselines and an oracle in emulated time.")
	settings := experiment.DefaultSettings()
	subcommand.Int(&settings.SeedCount, "", "seeds", "Number of seeds.")
	subcommand.Duration(&settings.Duration, "", "duration", "Emulated time of one run.")
	subcommand.Float64(&settings.Load, "", "load", "Offered load as a share of the oracle's saturation.")
	subcommand.String(&settings.PlotDirectory, "", "plots", "Directory for plots; none without it.")
	return command{subcommand, func(context.Context) error { return experiment.Run(os.Stdout, settings) }}
}

// errNotClean makes a run with a lost, doubled or wrong answer fail.
var errNotClean = errors.New("not every request was answered whole, once and right")

func loadCommand() command {
	subcommand := newSubcommand("load", "Send both workloads to routers and check every answer.")
	settings := load.Settings{Requests: 600, Concurrency: 24, Seed: 1, Workload: workload.DefaultSettings()}
	routers, platform, name := "127.0.0.1:7800", "", "load"
	small := false
	subcommand.String(&routers, "r", "routers", "IP:port of the routers, with commas between.")
	subcommand.String(&platform, "", "platform", "IP:port of the platform stand-in, for the count of runs.")
	subcommand.String(&name, "", "name", "Name on the last line.")
	subcommand.Int(&settings.Requests, "n", "requests", "Number of requests.")
	subcommand.Int(&settings.Concurrency, "c", "concurrency", "Requests open at once.")
	subcommand.Float64(&settings.RequestsPerSecond, "", "rate", "Requests a second; 0 for as fast as answers come.")
	subcommand.UInt64(&settings.Seed, "", "seed", "Seed of the workload.")
	subcommand.Bool(&small, "", "small", "Short prompts.")
	return command{subcommand, func(ctx context.Context) error {
		settings.Routers = strings.Split(routers, ",")
		if small {
			settings.Workload.Sizes = workload.SmallSizes()
		}
		settings.Progress = func(percent int) { fmt.Printf("progress %d\n", percent) }
		report := load.Run(ctx, settings)
		report.Print(os.Stdout)
		duplicated, err := countDuplicated(report, platform)
		if err != nil {
			return err
		}
		lost := report.Sent - report.Complete
		fmt.Printf("%s: %d sent, %d complete, %d lost, %d duplicated, %d wrong\n", name, report.Sent, report.Complete, lost, duplicated, report.Wrong)
		if lost+duplicated+report.Wrong > 0 || report.Sent != settings.Requests {
			return errNotClean
		}
		return nil
	}}
}

// countDuplicated asks the platform stand-in how often each prompt was run.
func countDuplicated(report *load.Report, platform string) (int, error) {
	if platform == "" {
		return 0, nil
	}
	response, err := http.Get("http://" + platform + platformserver.PathRuns)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	runs := map[string]int{}
	if err := json.NewDecoder(response.Body).Decode(&runs); err != nil {
		return 0, err
	}
	return report.DuplicatedRuns(runs, engineserver.PromptDigest), nil
}
