// Package gatewaymain runs a router process on the users' platform. The caller provides the
// clock: production uses the kernel's, and tests may use another one.
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
	exitInvalidSettings
)

// gcPercent keeps the heap small, as memory costs more than the CPU time of more frequent
// garbage collections.
const gcPercent = 30

// heapShare is the share of the memory above which garbage is collected more often. The rest is for what the limit of the runtime
// does not count, and for what is allocated until a collection has ended.
const heapShare = 0.75

// Run runs a router with the settings from the platform's settings file until the process
// receives a stop signal, and returns the exit code. SIGHUP reloads the settings.
func Run(clock gateway.Clock) int {
	debug.SetGCPercent(gcPercent)
	path := os.Getenv(platform.SettingsEnvVar)
	settings, err := platform.LoadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalidSettings
	}
	if faults := settings.Check(); len(faults) > 0 {
		for _, fault := range faults {
			fmt.Fprintln(os.Stderr, "settings:", fault)
		}
		return exitInvalidSettings
	}
	settings.SetDefaults()
	debug.SetMemoryLimit(int64(heapShare * float64(settings.MemoryBytes)))
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	output := events.NewAsyncWriter(os.Stdout)
	defer output.Flush()
	router, err := gateway.Start(settings, newPorts(settings, clock, output), events.NewLogger(output, settings.Node, logrus.InfoLevel))
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

func newPorts(settings gateway.Settings, clock gateway.Clock, output *events.AsyncWriter) gateway.Ports {
	callPool := httpconn.NewPool(httpconn.DefaultDialTimeout)
	return gateway.Ports{
		Protocol:     platform.Protocol{},
		Decode:       platform.Decode,
		Store:        &platform.StoreClient{Address: settings.StoreAddress, Pool: callPool},
		Runners:      &platform.RunnerClient{Pool: callPool},
		Caches:       &platform.CacheClient{Pool: callPool},
		ReadyPath:    platform.PathReadiness,
		DroppedLines: output.Dropped,
		ControlPool:  callPool,
		RunnerPool:   httpconn.NewPool(httpconn.DefaultDialTimeout),
		Clock:        clock,
	}
}

// reload reads the settings file again and applies it. If the file cannot be read, nothing
// changes.
func reload(router *gateway.Gateway, path string) {
	settings, err := platform.LoadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	router.Reload(settings)
}
