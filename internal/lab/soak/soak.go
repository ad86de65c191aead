// Package soak runs gateways as separate processes before stand-ins of the
// platform, injects random faults from outside, and checks what callers and
// runners see against the product's promises while it runs.
//
// The faults and calls of a run follow from its seed; their times follow the
// real clock, so a seed repeats the faults but not each interleaving.
package soak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
	"github.com/clovertiller/clovertiller/platform"
)

// Settings of a run.
type Settings struct {
	// Program is the gateway with its arguments.
	Program []string
	// Older is an earlier version of it, which every second gateway runs; empty for none.
	Older string
	// Poison has callers ask what ends each runner that runs it, and Suspensions machines
	// suspended; the program then has to go by SuspendableClock.
	Poison      bool
	Suspensions bool
	// Signals has runners say of themselves that they leave, limit requests or want a rest.
	Signals bool
	// Restores has the store come back from copies.
	Restores bool
	// LateOperator has what the operator wrote be lost for longer after a return.
	LateOperator bool
	Seed         uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// Folder takes settings files and logs.
	Folder string
	Out    io.Writer
	// Gateways and Engines are how many there are; 0 stands for the usual number.
	Gateways int
	Engines  int
}

// Sizes of the deployment.
const (
	gateways = 4
	// seedGateways are the first ones, which read the store for all.
	seedGateways = 2
	plainRunners = 3
	engines      = 4
	callers      = 8
	streamEvents = 8
)

// Bounds that the gateways are told and that the checks use.
const (
	revokeTime = 5 * time.Second
	leaseTime  = 3 * time.Second
	// versionTime is short, so that weights are named several times in a run.
	versionTime = 5 * time.Second
	// contactTime is how long after a disturbance a gateway is not held to bounds.
	contactTime = 3 * time.Second
	// drainTime is after how long no request reaches a runner that leaves.
	drainTime = 2 * time.Second
	graceTime = 4 * time.Second
	// settleTime is how long after the last fault everything must be well.
	settleTime = 6 * time.Second
)

// Soak is one run.
type Soak struct {
	settings  Settings
	random    *rand.Rand
	store     *storestand.Store
	processes []*process
	// older names the gateways that run an earlier version.
	older   map[string]bool
	runners *fleet
	config  *configuration
	calls   *callLog
	// disturbances are what the faults disturb.
	disturbances *disturbances
	// poisons are the contents that end runners.
	poisons *poisons
	// signals is what runners say of themselves.
	signals  *signals
	mutex    sync.Mutex
	failures []string
}

// Report is the outcome of a run.
type Report struct {
	Calls    int
	Served   int
	Faults   int
	Failures []string
}

// Run plays one soak.
func Run(ctx context.Context, settings Settings) (Report, error) {
	if err := settings.checkDescriptors(); err != nil {
		return Report{}, err
	}
	s := &Soak{
		settings: settings, random: rand.New(rand.NewPCG(settings.Seed, settings.Seed)),
		older: map[string]bool{}, store: storestand.New(), calls: newCallLog(), disturbances: newDisturbances(),
	}
	s.poisons, s.signals = newPoisons(s), newSignals(s)
	defer s.close()
	if err := s.start(); err != nil {
		return Report{}, err
	}
	load, stopLoad := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() { s.watchDescriptors(load) })
	for i := range callers {
		group.Add(1)
		go func() { defer group.Done(); s.call(load, rand.New(rand.NewPCG(settings.Seed, uint64(i)))) }()
	}
	faults := s.harm(ctx)
	s.poisons.stop()
	s.heal()
	s.checkRecovery(ctx)
	stopLoad()
	group.Wait()
	s.checkRuns()
	s.checkOrders()
	s.checkNews()
	s.checkInForce()
	if settings.Poison {
		s.poisons.check()
	}
	if settings.Signals {
		s.signals.check()
	}
	calls, served := s.calls.totals()
	return Report{Calls: calls, Served: served, Faults: faults, Failures: s.failures}, ctx.Err()
}

// fail notes a broken promise.
func (s *Soak) fail(format string, args ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	text := fmt.Sprintf(format, args...)
	s.failures = append(s.failures, text)
	fmt.Fprintf(s.settings.Out, "%s BROKEN %s\n", time.Now().Format("15:04:05.000"), text)
}

func (s *Soak) say(format string, args ...any) {
	fmt.Fprintf(s.settings.Out, "%s %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

func (s *Soak) start() error {
	if err := os.MkdirAll(s.settings.Folder, 0o755); err != nil {
		return err
	}
	s.runners = newFleet(s.store)
	for i := range plainRunners {
		if err := s.runners.add(fmt.Sprintf("p%d", i), "plain", 0, runnerstand.Poison{}); err != nil {
			return err
		}
	}
	for i := range cmp.Or(s.settings.Engines, engines) {
		if err := s.runners.add(fmt.Sprintf("e%d", i), "engines", 1, s.poisons.of()); err != nil {
			return err
		}
	}
	s.config = newConfiguration(s.store)
	return s.startProcesses()
}

func (s *Soak) startProcesses() error {
	var addresses []processAddresses
	var peerProxies []*faultproxy.Proxy
	var seeds []string
	for range cmp.Or(s.settings.Gateways, gateways) {
		free := freeAddresses()
		proxy, err := faultproxy.Start(free.Peer)
		if err != nil {
			return err
		}
		addresses, peerProxies = append(addresses, free), append(peerProxies, proxy)
		if len(seeds) < seedGateways {
			seeds = append(seeds, proxy.Address)
		}
	}
	for i, free := range addresses {
		program := s.settings.Program
		if s.settings.Older != "" && i%2 == 1 {
			program = []string{s.settings.Older}
			s.older[gatewayName(i)] = true
		}
		door, err := s.store.OpenEndpoint()
		if err != nil {
			return err
		}
		proxy, err := faultproxy.Start(door.Address)
		if err != nil {
			return err
		}
		p := &process{name: gatewayName(i), program: program, folder: s.settings.Folder, addresses: free, seeds: seeds, door: door, proxy: proxy, peerProxy: peerProxies[i]}
		if err := p.writeSettings(); err != nil {
			return err
		}
		if err := p.start(); err != nil {
			return err
		}
		s.processes = append(s.processes, p)
	}
	return nil
}

func gatewayName(number int) string { return fmt.Sprintf("gateway-%d", number) }

func (s *Soak) close() {
	for _, p := range s.processes {
		p.kill()
		p.proxy.Close()
		p.peerProxy.Close()
		p.door.Close()
	}
	if s.runners != nil {
		s.runners.close()
	}
}

// checkRecovery waits until every gateway serves the newest configuration and
// all engines have the newest weights.
func (s *Soak) checkRecovery(ctx context.Context) {
	deadline := time.Now().Add(settleTime + leaseTime + versionTime)
	for _, p := range s.processes {
		if !p.readyBy(ctx, deadline) {
			s.fail("recovery: %s is not ready after the last fault", p.name)
		}
	}
	for _, engine := range s.runners.ofService("engines") {
		for engine.WeightVersion() < s.config.weights() && time.Now().Before(deadline) && ctx.Err() == nil {
			time.Sleep(50 * time.Millisecond)
		}
		if engine.WeightVersion() < s.config.weights() {
			s.fail("weights: %s has version %d of %d after the last fault", engine.ID, engine.WeightVersion(), s.config.weights())
		}
	}
	if ctx.Err() == nil {
		time.Sleep(settleTime / 3)
	}
}

// checkRuns compares what callers were told with what runners ran.
func (s *Soak) checkRuns() {
	runs := map[string]int{}
	for _, runner := range s.runners.all() {
		for _, run := range runner.Runs() {
			runs[run.RequestID]++
			s.checkRun(run)
		}
	}
	for _, call := range s.calls.all() {
		ran := runs[call.id]
		if !call.repeatable && ran > 1 {
			s.fail("at most once: %s (%s) ran %d times", call.id, call.path, ran)
		}
		if !call.repeatable && call.promised() && ran > 0 {
			s.fail("not run: %s was told %d and ran", call.id, call.status)
		}
		if call.keyTaken && ran > 0 {
			s.fail("keys: %s ran %v after its key was taken away", call.id, call.sinceTaken)
		}
	}
}

func (s *Soak) checkRun(run runnerstand.Run) {
	call, known := s.calls.find(run.RequestID)
	if !known {
		s.fail("unasked: %s (%s) ran and nobody sent it", run.RequestID, run.Path)
		return
	}
	if run.Path != call.path || run.Body != call.body {
		s.fail("unasked: %s ran with another path or body", run.RequestID)
	}
	if tenant := run.Header.Get(platform.HeaderTenant); tenant != call.tenant {
		s.fail("tenants: %s ran for %q instead of %q", run.RequestID, tenant, call.tenant)
	}
}

// checkOrders checks that fencing tokens rise at each runner and that two
// holders keep their distance.
func (s *Soak) checkOrders() {
	type given struct {
		holder string
		at     time.Time
	}
	var last given
	for _, order := range s.runners.ordersInTime() {
		if last.holder != "" && order.Holder != last.holder && order.ReceivedAt.Sub(last.at) < leaseTime {
			s.fail("one holder: %s ordered %v after %s", order.Holder, order.ReceivedAt.Sub(last.at), last.holder)
		}
		last = given{order.Holder, order.ReceivedAt}
	}
}

// LogFolder returns where a run of the seed keeps its logs.
func LogFolder(root string, seed uint64) string {
	return filepath.Join(root, fmt.Sprintf("soak-%d", seed))
}
