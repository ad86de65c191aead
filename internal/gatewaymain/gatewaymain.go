// Package gatewaymain is the process of a router on the users' platform, whatever clock it
// goes by: the program's is the kernel's.
package gatewaymain

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/sirupsen/logrus"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/httpconn"
	"github.com/clovertiller/clovertiller/platform"
)

// Exit codes.
const (
	exitOK = iota
	exitFailure
	exitSettings
)

// gcPercent keeps the heap small: memory is dearer than the processor time
// that more frequent collections take.
const gcPercent = 30

// Run runs a router until the process is told to stop, with the settings of the platform's
// settings file, and returns the exit code.
func Run(clock gateway.Clock) int {
	debug.SetGCPercent(gcPercent)
	path := os.Getenv(platform.SettingsEnvVar)
	settings, err := platform.LoadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if faults := settings.Check(); len(faults) > 0 {
		for _, fault := range faults {
			fmt.Fprintln(os.Stderr, "settings:", fault)
		}
		return exitSettings
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	output := events.NewAsyncWriter(os.Stdout)
	defer output.Flush()
	router, err := gateway.Start(settings, ports(settings, clock, output), events.NewLogger(output, settings.Node, logrus.InfoLevel))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	for received := range signals {
		if received != syscall.SIGHUP {
			break
		}
		reload(router, path)
	}
	router.Stop()
	return exitOK
}

func ports(settings gateway.Settings, clock gateway.Clock, output *events.AsyncWriter) gateway.Ports {
	calls := httpconn.NewPool(httpconn.DefaultDialTimeout)
	return gateway.Ports{
		Protocol:     platform.Protocol{},
		Decode:       platform.Decode,
		Store:        &platform.StoreClient{Address: settings.StoreAddress, Pool: calls},
		Runners:      &platform.RunnerClient{Pool: calls},
		Caches:       &platform.CacheClient{Pool: calls},
		ReadyPath:    platform.PathReadiness,
		DroppedLines: output.Dropped,
		RunnerPool:   httpconn.NewPool(httpconn.DefaultDialTimeout),
		Clock:        clock,
	}
}

// reload reads the settings again; a file that cannot be read changes nothing.
func reload(router *gateway.Gateway, path string) {
	settings, err := platform.LoadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	router.Reload(settings)
}
