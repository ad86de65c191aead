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

// gatewayFlags are the values of the gateway's subcommands.
type gatewayFlags struct {
	settings  string
	store     bool
	addresses []string
}

// newGatewayCommand returns the subcommands for operators of gateways.
func newGatewayCommand(parent command, f *flags, env func() *cli.Env) command {
	values := &gatewayFlags{settings: os.Getenv(platform.SettingsEnvVar)}
	check := flaggy.NewSubcommand("check")
	check.Description = "Report every fault of a gateway's settings, and of what its store holds."
	check.String(&values.settings, "s", "settings", "Settings file; "+platform.SettingsEnvVar+" without it.")
	check.Bool(&values.store, "", "store", "Also check what the store of the settings holds.")
	status := flaggy.NewSubcommand("status")
	status.Description = "Print what gateways believe."
	status.StringSlice(&values.addresses, "r", "router", "IP:port of a gateway's figures; may be given more than once.")
	status.String(&f.format, "o", "output", "table or json.")
	parent.subcommand.AttachSubcommand(check, 1)
	parent.subcommand.AttachSubcommand(status, 1)
	parent.run = func(ctx context.Context) int {
		switch {
		case check.Used:
			return checkGateway(ctx, env(), values)
		case status.Used && len(values.addresses) > 0:
			return cli.GatewayStatus(ctx, env(), values.addresses)
		}
		fmt.Fprintln(os.Stderr, "usage: clovertiller gateway check [-s FILE] [--store] | clovertiller gateway status -r IP:PORT...")
		return cli.ExitUsage
	}
	return parent
}

func checkGateway(ctx context.Context, env *cli.Env, values *gatewayFlags) int {
	settings, err := platform.LoadSettings(values.settings)
	if err != nil {
		fmt.Fprintln(env.ErrOut, err)
		return cli.ExitUsage
	}
	if code := cli.CheckGateway(env, settings); code != cli.ExitOK || !values.store {
		return code
	}
	store := &platform.StoreClient{Address: settings.StoreAddress, Pool: httpconn.NewPool(httpconn.DefaultDialTimeout)}
	return cli.CheckStore(ctx, env, gateway.Ports{Store: store, Decode: platform.Decode})
}
