// Command clovertiller-gateway is the router on the users' platform. Its
// settings come from the platform's settings file.
package main

import (
	"os"

	"github.com/clovertiller/clovertiller/internal/clock"
	"github.com/clovertiller/clovertiller/internal/gatewaymain"
)

func main() { os.Exit(gatewaymain.Run(clock.New())) }
