// Command clovertiller runs a router, and is the command line tool for operators.
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

// version is the version of the program. It is set at build time.
var version = "development"

// flags holds the values of flags and positional arguments.
type flags struct {
	platform     string
	router       string
	format       string
	files        []string
	kind         string
	name         string
	version      string
	settingsPath string
	// overrides are the router settings that are given by flags.
	overrides node.Settings
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

// command is a subcommand and the function that runs it, which returns an exit code.
type command struct {
	subcommand *flaggy.Subcommand
	run        func(context.Context) int
}

// newCommands adds all subcommands to the parser. The parser stores the values in f.
func newCommands(parser *flaggy.Parser, f *flags) []command {
	env := func() *cli.Env {
		return &cli.Env{Out: os.Stdout, ErrOut: os.Stderr, Platform: f.platform, Format: f.format}
	}
	addCommand := func(name, description string, run func(context.Context) int) command {
		subcommand := flaggy.NewSubcommand(name)
		subcommand.Description = description
		parser.AttachSubcommand(subcommand, 1)
		return command{subcommand, run}
	}
	// withKind returns a command function that parses the kind first. An omitted kind is "".
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
	router := addCommand("router", "Run a router.", func(ctx context.Context) int { return runRouter(ctx, f) })
	router.subcommand.String(&f.settingsPath, "s", "settings", "Settings file. Flags override its settings.")
	router.subcommand.String(&f.overrides.Node, "n", "node", "Name of this router.")
	router.subcommand.String(&f.overrides.Zone, "z", "zone", "Zone of this router.")
	router.subcommand.String(&f.overrides.HTTPAddress, "a", "http", "IP:port on which to serve callers.")
	router.subcommand.String(&f.overrides.PeerAddress, "p", "peer", "IP:port on which to serve other routers.")
	router.subcommand.String(&f.overrides.Platform, "", "platform", "IP:port of the platform's object API.")
	router.subcommand.StringSlice(&f.overrides.Seeds, "", "seed", "Peer address of another router; may be given more than once.")
	router.subcommand.Bool(&f.overrides.FaultEndpoint, "", "fault-endpoint", "Enable the endpoint that injects faults, for tests.")

	apply := addCommand("apply", "Validate manifests together and write them.", func(ctx context.Context) int { return cli.Apply(ctx, env(), f.files) })
	get := addCommand("get", "Print resources of a kind.", withKind(func(ctx context.Context, kind v1.Kind) int { return cli.Get(ctx, env(), kind, f.name) }))
	describe := addCommand("describe", "Print resources with their conditions.", withKind(func(ctx context.Context, kind v1.Kind) int { return cli.Describe(ctx, env(), kind, f.name) }))
	remove := addCommand("delete", "Delete a resource.", withKind(func(ctx context.Context, kind v1.Kind) int { return cli.Delete(ctx, env(), kind, f.name, f.version) }))
	watch := addCommand("watch", "Print changes as they are accepted.", withKind(func(ctx context.Context, kind v1.Kind) int { return cli.Watch(ctx, env(), kind) }))
	status := addCommand("status", "Print a router's view of the routers and runners.", func(ctx context.Context) int { return cli.Status(ctx, env(), f.router) })
	config := addCommand("config", "Process manifests without contacting the platform.", nil)
	check := flaggy.NewSubcommand("check")
	check.Description = "Print all faults of the manifests."
	config.subcommand.AttachSubcommand(check, 1)
	config.run = func(context.Context) int {
		if !check.Used {
			fmt.Fprintln(os.Stderr, "usage: clovertiller config check -f FILE")
			return cli.ExitUsage
		}
		return cli.Check(env(), f.files)
	}
	explain := addCommand("explain", "Print the logged history of a request, or the failed requests by cause.", func(context.Context) int {
		return cli.Explain(env(), f.name, f.files)
	})
	explain.subcommand.AddPositionalValue(&f.name, "request", 1, false, "ID of the request. Without it, failed requests are grouped by cause.")
	explain.subcommand.StringSlice(&f.files, "f", "file", "Log file; may be given more than once. Default: standard input.")
	gateways := newGatewayCommand(addCommand("gateway", "Check and inspect gateways on the users' platform.", nil), f, env)
	printVersion := addCommand("version", "Print the version.", func(context.Context) int {
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
	describe.subcommand.AddPositionalValue(&f.name, "name", 2, false, "Name of the resource. Without it, all resources of the kind are printed.")
	remove.subcommand.AddPositionalValue(&f.name, "name", 2, true, "Name of the resource.")
	remove.subcommand.String(&f.version, "", "version", "Delete the resource only if it has this version.")
	status.subcommand.String(&f.router, "r", "router", "IP:port of a router.")
	return []command{router, apply, get, describe, remove, watch, status, config, gateways, explain, printVersion}
}

// runRouter runs a router until ctx is canceled, and then drains it.
func runRouter(ctx context.Context, f *flags) int {
	settings, err := loadRouterSettings(f)
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
	// A second signal aborts the drain.
	drainCtx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	router.Stop(drainCtx)
	return cli.ExitOK
}

// loadRouterSettings reads the settings file, if one is given. Flags override its settings.
func loadRouterSettings(f *flags) (node.Settings, error) {
	settings := node.Settings{}
	if f.settingsPath != "" {
		fromFile, err := node.LoadSettings(f.settingsPath)
		if err != nil {
			return settings, err
		}
		settings = fromFile
	}
	overrideField := func(field *string, value string) {
		if value != "" {
			*field = value
		}
	}
	overrideField(&settings.Node, f.overrides.Node)
	overrideField(&settings.Zone, f.overrides.Zone)
	overrideField(&settings.HTTPAddress, f.overrides.HTTPAddress)
	overrideField(&settings.PeerAddress, f.overrides.PeerAddress)
	overrideField(&settings.Platform, f.overrides.Platform)
	if len(f.overrides.Seeds) > 0 {
		settings.Seeds = f.overrides.Seeds
	}
	settings.FaultEndpoint = settings.FaultEndpoint || f.overrides.FaultEndpoint
	settings.SetDefaults()
	return settings, nil
}
