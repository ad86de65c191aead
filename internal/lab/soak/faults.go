package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
)

// Times of faults.
const (
	meanFaultInterval = 900 * time.Millisecond
	maxFaultDuration  = 4 * time.Second
	// startupTime is the maximum time between the start of a process and its readiness.
	startupTime = 2 * time.Second
)

// startFault starts a fault that lasts for the duration. It returns the description of the fault
// and a function that ends it. Parameters of the fault are drawn from the run's random source.
type startFault func(duration time.Duration) (name string, undo func())

// injectFaults injects faults for the configured duration and returns their number. The last faults
// delay updates when no later fault hides their effect.
func (s *Soak) injectFaults(ctx context.Context) int {
	faults := []startFault{
		s.freeze, s.restart(syscall.SIGKILL), s.restart(syscall.SIGTERM), s.reload, s.killAll,
		s.storeFaultForAll, s.storeFaultForOne, s.storePathFault, s.runnerPathFault, s.misbehaveRunner, s.drainRunner,
		s.compactStoreHistory, s.changeConfig, s.revokeKey, s.bumpWeights,
		// Listed three times so that a run of 20 s has more than one of them.
		s.updatesDuringSilence, s.updatesDuringSilence, s.updatesDuringSilence,
	}
	if s.settings.Partitions && s.settings.Seed%2 == 0 {
		// Faults of the store disturb all gateways, so that few calls can be compared.
		faults = []startFault{s.restart(syscall.SIGKILL), s.restart(syscall.SIGTERM), s.reload, s.drainRunner, s.changeConfig, s.revokeKey, s.bumpWeights}
	}
	if s.hasFewFaults() {
		faults = []startFault{s.reload, s.drainRunner, s.changeConfig, s.revokeKey, s.bumpWeights}
	}
	if s.settings.ConfigChanges {
		faults = s.changeFaults()
	}
	deadline := time.Now().Add(s.settings.FaultDuration)
	var group sync.WaitGroup
	peerFaults, peerFaultCount := newPeerFaultInjector(s), 0
	if !s.hasFewFaults() {
		group.Go(func() { peerFaultCount = peerFaults.run(ctx, deadline) })
	}
	lossCount := 0
	if s.settings.Returns {
		group.Go(func() { lossCount = newReturnInjector(s).run(ctx, deadline) })
	}
	namingCount := 0
	if s.settings.Weights {
		group.Go(func() { namingCount = newWeightInjector(s).run(ctx, deadline) })
	}
	suspensionCount := 0
	if s.settings.Poison {
		group.Go(func() { s.poisons.run(ctx, deadline) })
	}
	if s.settings.BadParts {
		group.Go(func() { s.badParts.run(ctx, deadline) })
	}
	skewCount := 0
	if s.settings.Skews {
		group.Go(func() { skewCount = s.skews.run(ctx, deadline) })
	}
	if s.settings.Suspensions {
		group.Go(func() { suspensionCount = newSuspensionInjector(s).run(ctx, deadline) })
	}
	signalCount := 0
	if s.settings.Signals {
		group.Go(func() { signalCount = s.signals.run(ctx, deadline) })
	}
	restoreCount := 0
	if s.settings.Restores {
		group.Go(func() { restoreCount = newRestoreInjector(s).run(ctx, deadline) })
	}
	rolloutCount := 0
	if s.settings.Rollouts {
		group.Go(func() { rolloutCount = s.rollouts.run(ctx, deadline) })
	}
	borderCutCount := 0
	if s.settings.Regions {
		group.Go(func() { borderCutCount = s.borders.run(ctx, deadline) })
	}
	partitionCount := 0
	if s.settings.Partitions {
		group.Go(func() { partitionCount = s.partitions.run(ctx, deadline) })
	}
	replacementCount := 0
	if s.settings.Versions {
		group.Go(func() { replacementCount = s.versions.run(ctx, deadline) })
	}
	brokenAnswerCount := 0
	if s.settings.BrokenAnswers {
		group.Go(func() { brokenAnswerCount = newBrokenAnswerInjector(s).run(ctx, deadline) })
	}
	refusalCount := 0
	if s.settings.Refusals {
		group.Go(func() { refusalCount = newRefusalInjector(s).run(ctx, deadline) })
	}
	staleCount := 0
	if s.settings.StaleGateways {
		group.Go(func() { staleCount = s.staleGateways.run(ctx, deadline) })
	}
	changeCount := 0
	if s.settings.ConfigChanges {
		group.Go(func() { changeCount = s.changes.run(ctx, deadline) })
	}
	count := 1
	for time.Now().Before(deadline) && ctx.Err() == nil {
		s.inject(faults[s.random.IntN(len(faults))], &group)
		count++
		time.Sleep(meanFaultInterval/2 + time.Duration(s.random.Int64N(int64(meanFaultInterval))))
		s.runners.writeEngineEntries()
	}
	s.inject(faults[len(faults)-1], &group)
	group.Wait()
	if !s.hasFewFaults() {
		peerFaults.injectLastCutOff()
	}
	return lossCount + count + skewCount + peerFaultCount + suspensionCount + signalCount + restoreCount + rolloutCount + borderCutCount + partitionCount + brokenAnswerCount + replacementCount + changeCount + refusalCount + namingCount + staleCount + 1
}

// inject starts the fault and ends it in the group.
func (s *Soak) inject(start startFault, group *sync.WaitGroup) {
	duration := time.Duration(s.random.Int64N(int64(maxFaultDuration)))
	name, undo := start(duration)
	s.logf("fault: %s for %v", name, duration.Round(time.Millisecond))
	group.Go(func() {
		time.Sleep(duration)
		undo()
	})
}

// clearFaults ends faults that may still be active.
func (s *Soak) clearFaults() {
	for _, p := range s.processes {
		p.storeEndpoint.SetFault(storestand.Healthy)
		p.storeProxy.SetMode(faultproxy.Pass)
		p.signal(syscall.SIGCONT)
	}
	for _, runner := range s.runners.running() {
		s.runners.endMisbehaviour(runner)
		s.runners.proxy(runner.ID).SetMode(faultproxy.Pass)
		s.runners.writeEntry(runner)
	}
}

func (s *Soak) randomProcess() *process { return s.processes[s.random.IntN(len(s.processes))] }

func (s *Soak) randomRunner() *runnerstand.Runner {
	running := s.runners.running()
	return running[s.random.IntN(len(running))]
}

// freeze stops a random gateway by SIGSTOP and lets it continue at the end of the fault.
func (s *Soak) freeze(duration time.Duration) (string, func()) {
	p := s.randomProcess()
	p.markUnavailable(duration + startupTime)
	endDisturbance := s.disturbances.begin(p.name)
	p.signal(syscall.SIGSTOP)
	return "freeze " + p.name, func() { p.signal(syscall.SIGCONT); endDisturbance() }
}

// restart returns a fault that ends a random gateway by the signal and starts it again.
func (s *Soak) restart(signal syscall.Signal) startFault {
	return func(duration time.Duration) (string, func()) {
		p := s.randomProcess()
		p.markUnavailable(duration + p.gracePeriod + startupTime)
		endDisturbance := s.disturbances.begin(p.name)
		exited := p.terminate(signal)
		return signal.String() + " " + p.name, func() { s.restartExited(p, exited); endDisturbance() }
	}
}

// killAll kills all gateways at the same time and starts them again at the end of the fault.
func (s *Soak) killAll(duration time.Duration) (string, func()) {
	var exited []<-chan struct{}
	var endDisturbances []func()
	for _, p := range s.processes {
		p.markUnavailable(duration + startupTime)
		endDisturbances = append(endDisturbances, s.disturbances.begin(p.name))
		exited = append(exited, p.terminate(syscall.SIGKILL))
	}
	return "kill all", func() {
		for i, p := range s.processes {
			s.restartExited(p, exited[i])
			endDisturbances[i]()
		}
	}
}

// restartExited starts the process again after the previous one has exited. A process that exceeds
// its grace period fails the run and is killed.
func (s *Soak) restartExited(p *process, exited <-chan struct{}) {
	for waiting := true; waiting; {
		select {
		case <-exited:
			waiting = false
		case <-time.After(p.gracePeriod + startupTime + maxFaultDuration):
			s.failf("stop: %s did not exit within its grace period", p.name)
			p.kill()
		}
	}
	if err := p.start(); err != nil {
		s.failf("start: %s: %v", p.name, err)
	}
	p.markUnavailable(startupTime)
}

func (s *Soak) reload(time.Duration) (string, func()) {
	p := s.randomProcess()
	if !p.isListening() {
		// SIGHUP terminates a process that has not yet installed its signal handler.
		return "reload " + p.name + ", which has not started", func() {}
	}
	p.signal(syscall.SIGHUP)
	return "reload " + p.name, func() {}
}

func (s *Soak) randomStoreFault() storestand.Fault {
	faults := []storestand.Fault{storestand.Busy, storestand.Throttled, storestand.Hangs, storestand.Reset, storestand.LosesResponses}
	return faults[s.random.IntN(len(faults))]
}

func (s *Soak) storeFaultForAll(time.Duration) (string, func()) {
	fault := s.randomStoreFault()
	endDisturbance := s.disturbances.begin(storeSubject)
	s.setStoreFault(fault)
	return "store " + fault.String() + " for all", func() { s.setStoreFault(storestand.Healthy); endDisturbance() }
}

// setStoreFault sets the fault of the store for all gateways.
func (s *Soak) setStoreFault(fault storestand.Fault) {
	for _, p := range s.processes {
		p.storeEndpoint.SetFault(fault)
	}
}

func (s *Soak) storeFaultForOne(time.Duration) (string, func()) {
	p, fault := s.randomProcess(), s.randomStoreFault()
	endDisturbance := s.disturbances.begin(gatewayStoreSubject(p.name))
	p.storeEndpoint.SetFault(fault)
	return "store " + fault.String() + " for " + p.name, func() { p.storeEndpoint.SetFault(storestand.Healthy); endDisturbance() }
}

func (s *Soak) randomProxyMode() faultproxy.Mode {
	modes := []faultproxy.Mode{faultproxy.Delay, faultproxy.Reset, faultproxy.DropResponses, faultproxy.Blackhole}
	return modes[s.random.IntN(len(modes))]
}

func (s *Soak) storePathFault(time.Duration) (string, func()) {
	p, mode := s.randomProcess(), s.randomProxyMode()
	endDisturbance := s.disturbances.begin(gatewayStoreSubject(p.name))
	p.storeProxy.SetMode(mode)
	return "path to the store of " + p.name + ": " + mode.String(), func() { p.storeProxy.SetMode(faultproxy.Pass); endDisturbance() }
}

func (s *Soak) runnerPathFault(time.Duration) (string, func()) {
	runner, mode := s.randomRunner(), s.randomProxyMode()
	proxy := s.runners.proxy(runner.ID)
	endDisturbance := s.disturbances.begin(runnerPathSubject(runner.ID))
	proxy.SetMode(mode)
	return "path to runner " + runner.ID + ": " + mode.String(), func() { proxy.SetMode(faultproxy.Pass); endDisturbance() }
}

func (s *Soak) misbehaveRunner(time.Duration) (string, func()) {
	behaviours := []runnerstand.Behaviour{
		runnerstand.Fails, runnerstand.Sheds, runnerstand.Drops, runnerstand.TruncatesResponse, runnerstand.Hangs,
		runnerstand.MismatchesRequestID, runnerstand.OmitsStamp, runnerstand.Delays, runnerstand.Queues, runnerstand.QueuesAfterHeaders,
	}
	runner, behaviour := s.randomRunner(), behaviours[s.random.IntN(len(behaviours))]
	runner.SetBehaviour(behaviour)
	return "runner " + runner.ID + " " + behaviour.String(), func() { s.runners.endMisbehaviour(runner) }
}

func (s *Soak) drainRunner(time.Duration) (string, func()) {
	runner := s.randomRunner()
	stopDraining := s.runners.startDraining(runner)
	return "drain " + runner.ID, func() {
		time.Sleep(minDrainTime)
		stopDraining()
	}
}

func (s *Soak) compactStoreHistory(time.Duration) (string, func()) {
	s.store.CompactHistory()
	return "compact the history of the store", func() {}
}

func (s *Soak) changeConfig(time.Duration) (string, func()) {
	s.config.update(false)
	return "new configuration", func() {}
}

func (s *Soak) revokeKey(time.Duration) (string, func()) {
	s.config.update(true)
	return "revoke an API key", func() {}
}

func (s *Soak) bumpWeights(time.Duration) (string, func()) {
	s.config.bumpWeights()
	return "new weights", func() {}
}
