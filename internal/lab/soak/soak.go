// Package soak runs gateways as separate processes against a simulated store and simulated runners,
// injects random faults, and checks what callers and runners observe against the promises of the
// product.
//
// The faults and calls of a run are determined by its seed. Their timing depends on the real clock,
// so a seed reproduces the faults but not every interleaving.
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

	"github.com/gravitational/trace"

	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
	"github.com/clovertiller/clovertiller/platform"
)

// Settings are the settings of a run.
type Settings struct {
	// Program is the command line of the gateway.
	Program []string
	// OlderProgram is the path of an earlier version, which every second gateway runs. If it is
	// empty, all gateways run Program.
	OlderProgram string
	// Poison makes callers send requests that crash each runner that processes them, and
	// Suspensions suspends machines. With Suspensions the program must use SuspendableClock.
	Poison      bool
	Suspensions bool
	// BadParts makes callers send requests with prompt parts that crash runners, two parts at a time, some of
	// which are sound at first.
	BadParts bool
	// Skews makes most new connections go to one gateway for some seconds. With an even seed, there are no other
	// faults of gateways and links, so that the calls served can be compared.
	Skews bool
	// Signals makes runners announce that they are leaving, set rate limits or ask for backoff.
	Signals bool
	// Restores restores the store from backups.
	Restores bool
	// LateOperator makes the operator write later after a restore, so that what the store lost is
	// missing for longer.
	LateOperator bool
	// Rollouts makes the operator move a service to good and bad software versions.
	Rollouts bool
	// Partitions cuts gateways off all runners, makes runners brittle, and silences runners for a second.
	Partitions bool
	// MassCuts makes partitions cut most gateways at a time, off all runners, a service or some runners of it. No runner
	// is brittle.
	MassCuts bool
	// Regions puts gateways and runners into two or three regions, and cuts the borders of regions.
	Regions bool
	// BrokenAnswers makes runners answer without length and chunks and break off their answers, and some callers
	// speak HTTP/1.0.
	BrokenAnswers bool
	// Versions adds a service whose runners have several software versions and are replaced one after the other, and
	// callers that take streams up at other gateways.
	Versions bool
	// Returns kills many gateways at once and checks how they return. With an even seed, there are no other faults of
	// gateways and links, so that the time of a return can be checked.
	Returns bool
	// ConfigChanges changes routes, services, tenants and limits in quick succession while sound runners are silent for
	// a second or two, and checks that each request which was sent whole is answered or refused.
	ConfigChanges bool
	// Weights names new weights in quick succession while engines cache prompt parts and fetch them from each other, and checks
	// that no request runs on parts of other weights.
	Weights bool
	// StaleGateways cuts gateways off all others, the store or both, or pauses them, while runners of new software versions
	// join, and has callers take streams up there. The number of seeds depends on the random seed.
	StaleGateways bool
	// Refusals makes runners refuse calls in several ways and send responses twice.
	Refusals bool
	Seed     uint64
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	// Folder is where settings files and logs are written.
	Folder string
	Out    io.Writer
	// Gateways and Engines are the numbers of gateways and engines, 0 for the defaults.
	Gateways int
	Engines  int
}

// gatewayCount returns the number of gateways.
func (s Settings) gatewayCount() int {
	if s.Regions || s.Partitions {
		return cmp.Or(s.Gateways, regionGateways)
	}
	if s.StaleGateways {
		return cmp.Or(s.Gateways, staleRunGateways)
	}
	return cmp.Or(s.Gateways, defaultGateways)
}

// seedCount returns the number of gateways that are seeds, which read the store for all. These are the first ones.
func (s Settings) seedCount() int {
	if s.StaleGateways {
		return 1 + int(s.Seed%maxStaleRunSeeds)
	}
	return defaultSeedGateways
}

// engineCount returns the number of engines. With bad parts there are more, because two of these crash as many
// engines within a second as there are by default.
func (s Settings) engineCount() int {
	if s.BadParts {
		return cmp.Or(s.Engines, badPartEngines)
	}
	if s.Weights {
		return cmp.Or(s.Engines, weightEngines)
	}
	return cmp.Or(s.Engines, defaultEngines)
}

// callerCount returns the number of callers.
func (s Settings) callerCount() int {
	if s.Refusals {
		return refusalCallers
	}
	return callers
}

// gracePeriod returns the time from SIGTERM to the end of a gateway.
func (s Settings) gracePeriod() time.Duration {
	if s.ConfigChanges {
		return longGracePeriod
	}
	return usualGracePeriod
}

// Sizes of the deployment.
const (
	defaultGateways     = 4
	defaultSeedGateways = 2
	plainRunners        = 3
	defaultEngines      = 4
	badPartEngines      = 12
	callers             = 8
	streamEvents        = 8
)

// Bounds that the gateways are configured with and that the checks use.
const (
	maxRevokeDelay = 5 * time.Second
	leaseDuration  = 3 * time.Second
	// maxOldWeightsTime is how long old weights may be used after new ones were requested. It is
	// short, so that weights change several times in a run.
	maxOldWeightsTime = 5 * time.Second
	// settleTime is how long after a disturbance a gateway is not held to time bounds.
	settleTime = 3 * time.Second
	// maxDrainDelay is the time after which no more requests may reach a draining runner.
	maxDrainDelay    = 2 * time.Second
	usualGracePeriod = 4 * time.Second
	// longGracePeriod lets streams end that are longer than a silence.
	longGracePeriod = 8 * time.Second
	// maxRecoveryTime is the time after the last fault within which everything must have recovered.
	maxRecoveryTime = 6 * time.Second
)

// Soak is a run.
type Soak struct {
	settings  Settings
	random    *rand.Rand
	store     *storestand.Store
	processes []*process
	// olderGateways holds the names of the gateways that run OlderProgram.
	olderGateways map[string]bool
	runners       *fleet
	config        *configuration
	calls         *callLog
	// disturbances records what the faults affect.
	disturbances *disturbances
	// poisons sends the contents that crash runners.
	poisons *poisonInjector
	// badParts sends requests with parts that crash runners, and skews chooses which gateway gets most
	// connections; skews is nil without Skews.
	badParts *badPartInjector
	skews    *skewInjector
	// signals makes runners send signals.
	signals *signalInjector
	// topology holds the zones, and borders cuts the borders of regions.
	topology *topology
	borders  *borderInjector
	// rollouts orders rollouts.
	rollouts *rolloutInjector
	// senders holds the gateways that sent the calls which others forwarded to them, by request ID.
	senders map[string]string
	// versions replaces runners, and streams sends streams to them; nil without Versions.
	versions *versionInjector
	streams  *streamCallerPool
	// families are the families of prompts that callers ask for, with Weights.
	families promptFamilies
	// partitions cuts gateways off runners; nil without Partitions.
	partitions *partitionInjector
	// changes changes the configuration and silences runners, and wholeCalls sends and judges the calls that must be
	// answered or refused; nil without ConfigChanges.
	changes    *changeInjector
	wholeCalls *wholeCallerPool
	// staleGateways makes gateways stale; nil without StaleGateways.
	staleGateways *staleGatewayInjector
	mutex         sync.Mutex
	failures      []string
}

// Report is the result of a run. Failures lists the broken promises.
type Report struct {
	Calls    int
	Served   int
	Faults   int
	Failures []string
}

// Run performs a run. It returns an error if the run could not be performed; broken promises
// are only reported.
func Run(ctx context.Context, settings Settings) (Report, error) {
	if err := settings.checkDescriptors(); err != nil {
		return Report{}, err
	}
	s := &Soak{
		settings: settings, random: rand.New(rand.NewPCG(settings.Seed, settings.Seed)),
		olderGateways: map[string]bool{}, store: storestand.New(), calls: newCallLog(), disturbances: newDisturbances(),
	}
	s.badParts = newBadPartInjector(s)
	if settings.Skews {
		s.skews = newSkewInjector(s)
	}
	s.poisons, s.signals, s.rollouts = newPoisonInjector(s), newSignalInjector(s), newRolloutInjector(s)
	s.topology = newSingleZone()
	if settings.Partitions {
		s.topology = newPartitionTopology(s.failf)
		s.partitions = newPartitionInjector(s)
	}
	if settings.Regions {
		random := rand.New(rand.NewPCG(settings.Seed, settings.Seed+7))
		s.topology = newRegionTopology(random, s.failf)
		s.borders = newBorderInjector(s, random)
	}
	if settings.Versions {
		s.versions, s.streams = newVersionInjector(s), &streamCallerPool{soak: s}
	}
	if settings.StaleGateways {
		if settings.Regions {
			return Report{}, trace.BadParameter("stale gateways and regions cannot be combined")
		}
		s.topology.failf, s.topology.cutsPeers = s.failf, true
		s.staleGateways = newStaleGatewayInjector(s)
	}
	if settings.ConfigChanges {
		s.changes, s.wholeCalls = newChangeInjector(s), &wholeCallerPool{soak: s}
	}
	defer s.close()
	if err := s.start(); err != nil {
		return Report{}, err
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() { s.watchDescriptors(loadCtx) })
	for i := range settings.callerCount() {
		group.Add(1)
		go func() { defer group.Done(); s.sendCalls(loadCtx, rand.New(rand.NewPCG(settings.Seed, uint64(i)))) }()
	}
	if settings.Weights {
		for range weightCallers {
			group.Go(func() { s.families.sendCalls(loadCtx, s) })
		}
	}
	if settings.Versions {
		for i := range s.streams.callerCount() {
			group.Go(func() { s.streams.run(loadCtx, i) })
		}
	}
	if settings.ConfigChanges {
		for i := range settings.wholeCallerCount() {
			group.Go(func() { s.wholeCalls.run(loadCtx, i) })
		}
	}
	faults := s.injectFaults(ctx)
	s.poisons.stop()
	s.clearFaults()
	s.checkRecovery(ctx)
	stopLoad()
	group.Wait()
	s.findSenders()
	s.checkRuns()
	s.checkOrders()
	s.checkUpdates()
	s.checkConfigUpdates()
	s.badParts.group.Wait()
	if settings.Poison || settings.BadParts {
		s.poisons.checkQuarantines()
	}
	if settings.Refusals {
		s.logRefusals()
	}
	if settings.Weights {
		s.checkStaleParts()
	}
	if settings.Skews {
		s.skews.check()
	}
	if settings.Signals {
		s.signals.checkSignals()
	}
	s.rollouts.checkExposures()
	if settings.Partitions {
		s.partitions.check()
	}
	if settings.Versions {
		s.streams.check()
	}
	if settings.ConfigChanges {
		s.wholeCalls.check()
	}
	if settings.StaleGateways {
		s.staleGateways.check()
		s.checkExits()
	}
	calls, served := s.calls.totals()
	return Report{Calls: calls, Served: served, Faults: faults, Failures: s.failures}, ctx.Err()
}

// failf records and logs a broken promise.
func (s *Soak) failf(format string, args ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	text := fmt.Sprintf(format, args...)
	s.failures = append(s.failures, text)
	fmt.Fprintf(s.settings.Out, "%s BROKEN %s\n", time.Now().Format("15:04:05.000"), text)
}

// logf logs a line with the time of day.
func (s *Soak) logf(format string, args ...any) {
	fmt.Fprintf(s.settings.Out, "%s %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// start starts the runners, writes the configuration and starts the gateways.
func (s *Soak) start() error {
	if err := os.MkdirAll(s.settings.Folder, 0o755); err != nil {
		return err
	}
	s.runners = newFleet(s.store, s.topology)
	if s.settings.Weights {
		s.runners.prefillTime, s.runners.loadTime = prefillTime, loadTime
	}
	if s.settings.Partitions {
		s.runners.capacity = partitionCapacity
	}
	for i := range plainRunners {
		if err := s.runners.add(fmt.Sprintf("p%d", i), plainService, 0, runnerstand.Poison{}); err != nil {
			return err
		}
	}
	for i := range s.settings.engineCount() {
		if err := s.runners.add(fmt.Sprintf("e%d", i), "engines", 1, s.poisons.newPoison()); err != nil {
			return err
		}
	}
	s.config = newConfiguration(s.store)
	if s.settings.Returns {
		s.addIdleRunners()
	}
	if s.settings.Versions {
		s.config.addMixedService()
		if err := s.versions.start(); err != nil {
			return err
		}
	}
	if s.settings.StaleGateways {
		if err := s.staleGateways.start(); err != nil {
			return err
		}
	}
	if s.settings.ConfigChanges {
		s.config.addChangingConfig()
		if err := s.changes.startRunners(); err != nil {
			return err
		}
	}
	return s.startProcesses()
}

// startProcesses starts the gateways, each with its own store endpoint and proxies.
func (s *Soak) startProcesses() error {
	var addresses []processAddresses
	var peerProxies []*faultproxy.Proxy
	var seeds []string
	for i := range s.settings.gatewayCount() {
		free := freeAddresses()
		proxy, err := s.topology.startPeerProxy(free.PeerAddress, s.topology.zone(i))
		if err != nil {
			return err
		}
		addresses, peerProxies = append(addresses, free), append(peerProxies, proxy)
		if len(seeds) < s.settings.seedCount() {
			seeds = append(seeds, proxy.Address)
		}
	}
	for i, free := range addresses {
		program := s.settings.Program
		if s.settings.OlderProgram != "" && i%2 == 1 {
			program = []string{s.settings.OlderProgram}
			s.olderGateways[gatewayName(i)] = true
		}
		endpoint, err := s.store.OpenEndpoint()
		if err != nil {
			return err
		}
		proxy, err := faultproxy.Start(endpoint.Address)
		if err != nil {
			return err
		}
		p := &process{name: gatewayName(i), zone: s.topology.zone(i), topology: s.topology, program: program, folder: s.settings.Folder, addresses: free, seeds: seeds, hasRollouts: s.settings.Rollouts, bootstraps: s.settings.Versions || s.settings.StaleGateways, gracePeriod: s.settings.gracePeriod(), storeEndpoint: endpoint, storeProxy: proxy, peerProxy: peerProxies[i]}
		// Known before its first connection.
		s.topology.addGateway(p)
		if err := p.start(); err != nil {
			return err
		}
		s.processes = append(s.processes, p)
	}
	return nil
}

func gatewayName(number int) string { return fmt.Sprintf("gateway-%d", number) }

// close kills the gateways and stops all runners, proxies and store endpoints.
func (s *Soak) close() {
	for _, p := range s.processes {
		p.kill()
		p.storeProxy.Close()
		p.peerProxy.Close()
		p.storeEndpoint.Close()
	}
	if s.runners != nil {
		s.runners.close()
	}
}

// checkRecovery waits until every gateway is ready and all engines have the latest weights, and
// fails the run if that takes too long.
func (s *Soak) checkRecovery(ctx context.Context) {
	deadline := time.Now().Add(maxRecoveryTime + leaseDuration + maxOldWeightsTime)
	for _, p := range s.processes {
		if !p.waitReady(ctx, deadline) {
			s.failf("recovery: %s is not ready after the last fault", p.name)
		}
	}
	for _, engine := range s.runners.ofService("engines") {
		for engine.WeightVersion() < s.config.currentWeightVersion() && time.Now().Before(deadline) && ctx.Err() == nil {
			time.Sleep(50 * time.Millisecond)
		}
		if engine.WeightVersion() < s.config.currentWeightVersion() {
			s.failf("weights: %s has version %d of %d after the last fault", engine.ID, engine.WeightVersion(), s.config.currentWeightVersion())
		}
	}
	if ctx.Err() == nil {
		time.Sleep(maxRecoveryTime / 3)
	}
}

// checkExits fails the run if a gateway has ended by itself.
func (s *Soak) checkExits() {
	for _, p := range s.processes {
		if count := p.unexpectedExitCount(); count > 0 {
			s.failf("exits: %s has ended %d times by itself", p.name, count)
		}
	}
}

// checkRuns compares what callers were told with what runners processed.
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
			s.failf("at most once: %s (%s) at %s ran %d times", call.id, call.path, call.gatewayName, ran)
		}
		if !call.repeatable && call.wasRefusedUnprocessed() && ran > 0 {
			s.failf("not run: %s (%s) got status %d from %s and ran", call.id, call.path, call.status, call.gatewayName)
		}
		if call.usedRevokedKey && ran > 0 {
			s.failf("keys: %s ran %v after its key was revoked", call.id, call.sinceRevoked)
		}
	}
}

// checkRun checks that a run belongs to a call, with the same path, body and tenant.
func (s *Soak) checkRun(run runnerstand.Run) {
	call, known := s.calls.find(run.RequestID)
	if !known {
		s.failf("unasked: %s (%s) ran, but no caller sent it", run.RequestID, run.Path)
		return
	}
	if run.Path != call.path || run.Body != call.body {
		s.failf("unasked: %s ran with another path or body", run.RequestID)
	}
	if tenant := run.Header.Get(platform.HeaderTenant); tenant != call.tenant {
		s.failf("tenants: %s ran for %q instead of %q", run.RequestID, tenant, call.tenant)
	}
}

// checkOrders checks that orders of two different lease holders are at least leaseDuration apart.
func (s *Soak) checkOrders() {
	type holderOrder struct {
		holder string
		at     time.Time
	}
	var last holderOrder
	for _, order := range s.runners.ordersByTime() {
		if last.holder != "" && order.Holder != last.holder && order.ReceivedAt.Sub(last.at) < leaseDuration {
			s.failf("one holder: %s ordered %v after %s", order.Holder, order.ReceivedAt.Sub(last.at), last.holder)
		}
		last = holderOrder{order.Holder, order.ReceivedAt}
	}
}

// LogFolder returns the folder for the logs of a run with the seed.
func LogFolder(root string, seed uint64) string {
	return filepath.Join(root, fmt.Sprintf("soak-%d", seed))
}
