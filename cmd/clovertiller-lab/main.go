// Command clovertiller-lab runs simulated engines and a simulated platform, and the load tests
// and experiments of the project. It is not part of the product.
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

// command is a subcommand and the function that runs it.
type command struct {
	subcommand *flaggy.Subcommand
	run        func(context.Context) error
}

func run() int {
	parser := flaggy.NewParser("clovertiller-lab")
	parser.Description = "Simulators, load tests and experiments for clovertiller."
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
	subcommand := newSubcommand("platform", "Run a simulated platform.")
	listen := "127.0.0.1:7700"
	settings := platformserver.DefaultSettings()
	subcommand.String(&listen, "l", "listen", "IP:port to listen on.")
	subcommand.Duration(&settings.LoadTime, "", "load-time", "Duration of one load of weights.")
	subcommand.Int(&settings.ConcurrentLoads, "", "loads-at-once", "Maximum number of concurrent loads at full speed.")
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
	subcommand := newSubcommand("engine", "Run a simulated model engine.")
	listen := "127.0.0.1:0"
	settings := engineserver.Settings{Engine: enginemodel.DefaultSettings()}
	subcommand.String(&listen, "l", "listen", "IP:port to listen on.")
	subcommand.String(&settings.PlatformAddress, "", "platform", "IP:port of the simulated platform, from which weights are loaded.")
	subcommand.String(&settings.Model, "m", "model", "Model that is loaded at the start.")
	subcommand.String(&settings.WeightVersion, "w", "weights", "Weight version that is loaded at the start.")
	subcommand.Int(&settings.Engine.CacheBlocks, "", "blocks", "Cache size in blocks.")
	subcommand.Int(&settings.Faults.EventLagMillis, "", "event-lag", "Delay of cache events in milliseconds.")
	subcommand.Float64(&settings.Faults.EventLoss, "", "event-loss", "Fraction of cache events that are lost, 0 to 1.")
	return command{subcommand, func(ctx context.Context) error {
		listener, err := net.Listen("tcp", listen)
		if err != nil {
			return err
		}
		server := engineserver.Start(listener, settings)
		<-ctx.Done()
		// A second signal aborts the drain.
		drainCtx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		server.Drain(drainCtx)
		server.Close()
		return nil
	}}
}

func experimentCommand() command {
	subcommand := newSubcommand("experiment", "Compare placement with baselines and an oracle in virtual time.")
	settings := experiment.DefaultSettings()
	subcommand.Int(&settings.SeedCount, "", "seeds", "Number of seeds.")
	subcommand.Duration(&settings.Duration, "", "duration", "Virtual time of one run.")
	subcommand.Float64(&settings.Load, "", "load", "Offered load as a fraction of the load that saturates the oracle.")
	subcommand.String(&settings.PlotDirectory, "", "plots", "Directory for plots. Without it, no plots are written.")
	return command{subcommand, func(context.Context) error { return experiment.Run(os.Stdout, settings) }}
}

// errIncorrectAnswers is the error of a run with lost, duplicated or wrong responses.
var errIncorrectAnswers = errors.New("not every request was answered completely, exactly once and correctly")

func loadCommand() command {
	subcommand := newSubcommand("load", "Send requests of both workloads to routers and check every response.")
	settings := load.Settings{Requests: 600, Concurrency: 24, Seed: 1, Workload: workload.DefaultSettings()}
	routers, platform, summaryName := "127.0.0.1:7800", "", "load"
	smallPrompts := false
	subcommand.String(&routers, "r", "routers", "IP:port of the routers, separated by commas.")
	subcommand.String(&platform, "", "platform", "IP:port of the simulated platform, which counts how often each prompt was run.")
	subcommand.String(&summaryName, "", "name", "Name at the start of the summary line.")
	subcommand.Int(&settings.Requests, "n", "requests", "Number of requests.")
	subcommand.Int(&settings.Concurrency, "c", "concurrency", "Number of concurrent requests.")
	subcommand.Float64(&settings.RequestsPerSecond, "", "rate", "Requests per second; 0 sends the next request when a response arrives.")
	subcommand.UInt64(&settings.Seed, "", "seed", "Random seed of the workload.")
	subcommand.Bool(&smallPrompts, "", "small", "Use short prompts.")
	return command{subcommand, func(ctx context.Context) error {
		settings.Routers = strings.Split(routers, ",")
		if smallPrompts {
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
		fmt.Printf("%s: %d sent, %d complete, %d lost, %d duplicated, %d wrong\n", summaryName, report.Sent, report.Complete, lost, duplicated, report.Wrong)
		if lost+duplicated+report.Wrong > 0 || report.Sent != settings.Requests {
			return errIncorrectAnswers
		}
		return nil
	}}
}

// countDuplicated returns how many unrepeatable requests were run more than once, as counted by
// the simulated platform. Without the platform's address it returns 0.
func countDuplicated(report *load.Report, platform string) (int, error) {
	if platform == "" {
		return 0, nil
	}
	response, err := http.Get("http://" + platform + platformserver.PathRuns)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	runCounts := map[string]int{}
	if err := json.NewDecoder(response.Body).Decode(&runCounts); err != nil {
		return 0, err
	}
	return report.DuplicatedRuns(runCounts, engineserver.PromptDigest), nil
}
