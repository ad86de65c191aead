// Command clovertiller-gateway runs a router on the users' platform. It reads its settings
// from the platform's settings file.
package main

import (
	"os"

	"github.com/clovertiller/clovertiller/internal/clock"
	"github.com/clovertiller/clovertiller/internal/gatewaymain"
)

func main() { os.Exit(gatewaymain.Run(clock.New())) }
