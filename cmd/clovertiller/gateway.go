package main

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/clovertiller/clovertiller/internal/cli"
	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/httpconn"
	"github.com/clovertiller/clovertiller/platform"
)

// gatewayFlags holds the values of the flags of the subcommands of "gateway".
type gatewayFlags struct {
	settingsPath string
	checkStore   bool
	addresses    []string
	lift         gateway.LiftRequest
}

// newGatewayCommand adds the subcommands "check", "status" and "lift" to the command "gateway".
func newGatewayCommand(parent command, f *flags, env func() *cli.Env) command {
	flagValues := &gatewayFlags{settingsPath: os.Getenv(platform.SettingsEnvVar)}
	check := flaggy.NewSubcommand("check")
	check.Description = "Print all faults of a gateway's settings and of the objects in its store."
	check.String(&flagValues.settingsPath, "s", "settings", "Settings file. Default: the value of "+platform.SettingsEnvVar+".")
	check.Bool(&flagValues.checkStore, "", "store", "Also check the objects in the store.")
	status := flaggy.NewSubcommand("status")
	status.Description = "Print the status of gateways and of the runners as they see them."
	status.StringSlice(&flagValues.addresses, "r", "router", "IP:port of a gateway's metrics server; may be given more than once.")
	status.String(&f.format, "o", "output", "table or json.")
	lift := flaggy.NewSubcommand("lift")
	lift.Description = "Send again what is quarantined, at all gateways that the given one reaches."
	lift.StringSlice(&flagValues.addresses, "r", "router", "IP:port of a gateway's metrics server.")
	lift.String(&flagValues.lift.Tenant, "t", "tenant", "Tenant of the requests.")
	lift.String(&flagValues.lift.Part, "p", "part", "ID of the prompt part.")
	lift.String(&flagValues.lift.Content, "c", "content", "Content of the requests, as the status lists it.")
	parent.subcommand.AttachSubcommand(lift, 1)
	parent.subcommand.AttachSubcommand(check, 1)
	parent.subcommand.AttachSubcommand(status, 1)
	parent.run = func(ctx context.Context) int {
		switch {
		case check.Used:
			return checkGateway(ctx, env(), flagValues)
		case status.Used && len(flagValues.addresses) > 0:
			return cli.GatewayStatus(ctx, env(), flagValues.addresses)
		case lift.Used && len(flagValues.addresses) == 1:
			return cli.LiftQuarantine(ctx, env(), flagValues.addresses[0], flagValues.lift)
		}
		fmt.Fprintln(os.Stderr, "usage: clovertiller gateway check [-s FILE] [--store] | clovertiller gateway status -r IP:PORT... | clovertiller gateway lift -r IP:PORT -t TENANT (-p PART | -c CONTENT)")
		return cli.ExitUsage
	}
	return parent
}

// checkGateway checks the settings and, if they are valid and the flag is set, the store.
func checkGateway(ctx context.Context, env *cli.Env, flagValues *gatewayFlags) int {
	settings, err := platform.LoadSettings(flagValues.settingsPath)
	if err != nil {
		fmt.Fprintln(env.ErrOut, err)
		return cli.ExitUsage
	}
	if code := cli.CheckGateway(env, settings); code != cli.ExitOK || !flagValues.checkStore {
		return code
	}
	store := &platform.StoreClient{Address: settings.StoreAddress, Pool: httpconn.NewPool(httpconn.DefaultDialTimeout)}
	return cli.CheckStore(ctx, env, gateway.Ports{Store: store, Decode: platform.Decode})
}
