// Command clovertiller is the router and its operators' command line.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/cli"
	"github.com/clovertiller/clovertiller/internal/node"
)

// version is set at build time.
var version = "development"

// flags are the values of the command line.
type flags struct {
	platform string
	router   string
	format   string
	files    []string
	kind     string
	name     string
	version  string
	settings string
	static   node.Settings
}

func main() { os.Exit(run()) }

func run() int {
	f := &flags{platform: "127.0.0.1:7700", router: "127.0.0.1:7800", format: cli.FormatTable}
	parser := flaggy.NewParser("clovertiller")
	parser.Description = "Router for language-model traffic with long shared prompts."
	parser.Version = version
	parser.ShowHelpOnUnexpected = true
	commands := newCommands(parser, f)
	if err := parser.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cli.ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for _, command := range commands {
		if command.subcommand.Used {
			return command.run(ctx)
		}
	}
	parser.ShowHelp()
	return cli.ExitUsage
}

// command is one subcommand with what it does.
type command struct {
	subcommand *flaggy.Subcommand
	run        func(context.Context) int
}

func newCommands(parser *flaggy.Parser, f *flags) []command {
	env := func() *cli.Env {
		return &cli.Env{Out: os.Stdout, ErrOut: os.Stderr, Platform: f.platform, Format: f.format}
	}
	add := func(name, description string, run func(context.Context) int) command {
		subcommand := flaggy.NewSubcommand(name)
		subcommand.Description = description
		parser.AttachSubcommand(subcommand, 1)
		return command{subcommand, run}
	}
	withKind := func(run func(context.Context, v1.Kind) int) func(context.Context) int {
		return func(ctx context.Context) int {
			kind, known := cli.ParseKind(f.kind)
			if !known && f.kind != "" {
				fmt.Fprintf(os.Stderr, "unknown kind %q\n", f.kind)
				return cli.ExitUsage
			}
			return run(ctx, kind)
		}
	}
	router := add("router", "Run a router.", func(ctx context.Context) int { return runRouter(ctx, f) })
	router.subcommand.String(&f.settings, "s", "settings", "Settings file; flags go before it.")
	router.subcommand.String(&f.static.Node, "n", "node", "Name of this router.")
	router.subcommand.String(&f.static.Zone, "z", "zone", "Zone of this router.")
	router.subcommand.String(&f.static.HTTPAddress, "a", "http", "IP:port for callers.")
	router.subcommand.String(&f.static.PeerAddress, "p", "peer", "IP:port for other routers.")
	router.subcommand.String(&f.static.Platform, "", "platform", "IP:port of the platform's object API.")
	router.subcommand.StringSlice(&f.static.Seeds, "", "seed", "Peer address of another router; may be given more than once.")
	router.subcommand.Bool(&f.static.FaultEndpoint, "", "fault-endpoint", "Open the fault endpoint for tests.")

	apply := add("apply", "Validate manifests as a whole and write them.", func(ctx context.Context) int { return cli.Apply(ctx, env(), f.files) })
	get := add("get", "Print resources of a kind.", withKind(func(ctx context.Context, kind v1.Kind) int { return cli.Get(ctx, env(), kind, f.name) }))
	describe := add("describe", "Print a resource with its conditions.", withKind(func(ctx context.Context, kind v1.Kind) int { return cli.Describe(ctx, env(), kind, f.name) }))
	remove := add("delete", "Delete a resource.", withKind(func(ctx context.Context, kind v1.Kind) int { return cli.Delete(ctx, env(), kind, f.name, f.version) }))
	watch := add("watch", "Print changes as they are accepted.", withKind(func(ctx context.Context, kind v1.Kind) int { return cli.Watch(ctx, env(), kind) }))
	status := add("status", "Print what a router knows of routers and runners.", func(ctx context.Context) int { return cli.Status(ctx, env(), f.router) })
	config := add("config", "Work on manifests without the platform.", nil)
	check := flaggy.NewSubcommand("check")
	check.Description = "Report every fault of the manifests."
	config.subcommand.AttachSubcommand(check, 1)
	config.run = func(context.Context) int {
		if !check.Used {
			fmt.Fprintln(os.Stderr, "usage: clovertiller config check -f FILE")
			return cli.ExitUsage
		}
		return cli.Check(env(), f.files)
	}
	explain := add("explain", "Tell from logs what became of a request, or of all that failed.", func(context.Context) int {
		return cli.Explain(env(), f.name, f.files)
	})
	explain.subcommand.AddPositionalValue(&f.name, "request", 1, false, "Id of the request; without it failures are grouped by cause.")
	explain.subcommand.StringSlice(&f.files, "f", "file", "Log file; may be given more than once. Standard input without it.")
	gateways := newGatewayCommand(add("gateway", "Look after gateways on the users' platform.", nil), f, env)
	print := add("version", "Print the version.", func(context.Context) int {
		fmt.Println("clovertiller", version)
		return cli.ExitOK
	})

	for _, subcommand := range []*flaggy.Subcommand{apply.subcommand, check} {
		subcommand.StringSlice(&f.files, "f", "file", "Manifest file or directory; may be given more than once.")
	}
	for _, c := range []command{apply, get, describe, remove, watch} {
		c.subcommand.String(&f.platform, "", "platform", "IP:port of the platform's object API.")
	}
	for _, c := range []command{get, status} {
		c.subcommand.String(&f.format, "o", "output", "table, json or yaml.")
	}
	for _, c := range []command{get, describe, remove, watch} {
		c.subcommand.AddPositionalValue(&f.kind, "kind", 1, c.subcommand != watch.subcommand, "Kind of resource.")
	}
	get.subcommand.AddPositionalValue(&f.name, "name", 2, false, "Name of the resource.")
	describe.subcommand.AddPositionalValue(&f.name, "name", 2, false, "Name of the resource; all of the kind without it.")
	remove.subcommand.AddPositionalValue(&f.name, "name", 2, true, "Name of the resource.")
	remove.subcommand.String(&f.version, "", "version", "Delete only at this version.")
	status.subcommand.String(&f.router, "r", "router", "IP:port of a router.")
	return []command{router, apply, get, describe, remove, watch, status, config, gateways, explain, print}
}

// runRouter runs a router until it is told to stop, and then drains it.
func runRouter(ctx context.Context, f *flags) int {
	settings, err := routerSettings(f)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cli.ExitUsage
	}
	if faults := settings.Check(); len(faults) > 0 {
		for _, fault := range faults {
			fmt.Fprintln(os.Stderr, "settings:", fault)
		}
		return cli.ExitInvalid
	}
	listeners, err := node.Listen(settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cli.ExitFailure
	}
	router, err := node.Start(settings, listeners, os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cli.ExitFailure
	}
	<-ctx.Done()
	// A second signal ends the drain.
	drain, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	router.Stop(drain)
	return cli.ExitOK
}

// routerSettings reads the settings file, if any; flags go before it.
func routerSettings(f *flags) (node.Settings, error) {
	settings := node.Settings{}
	if f.settings != "" {
		loaded, err := node.LoadSettings(f.settings)
		if err != nil {
			return settings, err
		}
		settings = loaded
	}
	override := func(field *string, value string) {
		if value != "" {
			*field = value
		}
	}
	override(&settings.Node, f.static.Node)
	override(&settings.Zone, f.static.Zone)
	override(&settings.HTTPAddress, f.static.HTTPAddress)
	override(&settings.PeerAddress, f.static.PeerAddress)
	override(&settings.Platform, f.static.Platform)
	if len(f.static.Seeds) > 0 {
		settings.Seeds = f.static.Seeds
	}
	settings.FaultEndpoint = settings.FaultEndpoint || f.static.FaultEndpoint
	settings.SetDefaults()
	return settings, nil
}
