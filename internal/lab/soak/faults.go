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
	faultGap  = 900 * time.Millisecond
	faultMost = 4 * time.Second
	// startTime is how long a started process may take to serve.
	startTime = 2 * time.Second
)

// fault harms something for a while. It is called with the run's random source
// and returns what it does and how it is undone.
type fault func(duration time.Duration) (name string, undo func())

// harm injects faults until the time is over and returns how many. The last ones hold up
// news while nothing new covers their effect.
func (s *Soak) harm(ctx context.Context) int {
	faults := []fault{
		s.freeze, s.restart(syscall.SIGKILL), s.restart(syscall.SIGTERM), s.reload, s.killAll,
		s.storeForAll, s.storeForOne, s.storePath, s.runnerPath, s.runnerFault, s.drain,
		s.forget, s.changeConfig, s.revoke, s.bump,
		// More than one in a run of 20 s.
		s.lateNews, s.lateNews, s.lateNews,
	}
	deadline := time.Now().Add(s.settings.Duration)
	var group sync.WaitGroup
	peers, peerCount := newPeerFaults(s), 0
	group.Go(func() { peerCount = peers.run(ctx, deadline) })
	others := 0
	if s.settings.Poison {
		group.Go(func() { s.poisons.run(ctx, deadline) })
	}
	if s.settings.Suspensions {
		group.Go(func() { others = newSuspensions(s).run(ctx, deadline) })
	}
	spoken := 0
	if s.settings.Signals {
		group.Go(func() { spoken = s.signals.run(ctx, deadline) })
	}
	restored := 0
	if s.settings.Restores {
		group.Go(func() { restored = newRestores(s).run(ctx, deadline) })
	}
	count := 1
	for time.Now().Before(deadline) && ctx.Err() == nil {
		s.inject(faults[s.random.IntN(len(faults))], &group)
		count++
		time.Sleep(faultGap/2 + time.Duration(s.random.Int64N(int64(faultGap))))
		s.runners.refresh()
	}
	s.inject(s.lateNews, &group)
	group.Wait()
	peers.last()
	return count + peerCount + others + spoken + restored + 1
}

// inject begins the fault, which ends in the group.
func (s *Soak) inject(begin fault, group *sync.WaitGroup) {
	duration := time.Duration(s.random.Int64N(int64(faultMost)))
	name, undo := begin(duration)
	s.say("fault: %s for %v", name, duration.Round(time.Millisecond))
	group.Go(func() {
		time.Sleep(duration)
		undo()
	})
}

// heal undoes what may be left.
func (s *Soak) heal() {
	for _, p := range s.processes {
		p.door.SetFault(storestand.Healthy)
		p.proxy.SetMode(faultproxy.Pass)
		p.signal(syscall.SIGCONT)
	}
	for _, runner := range s.runners.living() {
		runner.SetBehaviour(runnerstand.Normal)
		s.runners.proxy(runner.ID).SetMode(faultproxy.Pass)
		s.runners.list(runner)
	}
}

func (s *Soak) anyProcess() *process { return s.processes[s.random.IntN(len(s.processes))] }

func (s *Soak) anyRunner() *runnerstand.Runner {
	living := s.runners.living()
	return living[s.random.IntN(len(living))]
}

func (s *Soak) freeze(duration time.Duration) (string, func()) {
	p := s.anyProcess()
	p.harm(duration + startTime)
	calm := s.disturbances.begin(p.name)
	p.signal(syscall.SIGSTOP)
	return "freeze " + p.name, func() { p.signal(syscall.SIGCONT); calm() }
}

func (s *Soak) restart(signal syscall.Signal) fault {
	return func(duration time.Duration) (string, func()) {
		p := s.anyProcess()
		p.harm(duration + graceTime + startTime)
		calm := s.disturbances.begin(p.name)
		ended := p.end(signal)
		return signal.String() + " " + p.name, func() { s.startAgain(p, ended); calm() }
	}
}

func (s *Soak) killAll(duration time.Duration) (string, func()) {
	var ended []<-chan struct{}
	var calm []func()
	for _, p := range s.processes {
		p.harm(duration + startTime)
		calm = append(calm, s.disturbances.begin(p.name))
		ended = append(ended, p.end(syscall.SIGKILL))
	}
	return "kill all", func() {
		for i, p := range s.processes {
			s.startAgain(p, ended[i])
			calm[i]()
		}
	}
}

// startAgain starts a process once the one before has ended. One that takes
// longer than its grace breaks a promise and is killed.
func (s *Soak) startAgain(p *process, ended <-chan struct{}) {
	for waiting := true; waiting; {
		select {
		case <-ended:
			waiting = false
		case <-time.After(graceTime + startTime + faultMost):
			s.fail("stop: %s did not end within its grace", p.name)
			p.kill()
		}
	}
	if err := p.start(); err != nil {
		s.fail("start: %s: %v", p.name, err)
	}
	p.harm(startTime)
}

func (s *Soak) reload(time.Duration) (string, func()) {
	p := s.anyProcess()
	if !p.listens() {
		// A program that has not come to handle the signal yet is ended by it.
		return "reload " + p.name + ", which has not started", func() {}
	}
	p.signal(syscall.SIGHUP)
	return "reload " + p.name, func() {}
}

func (s *Soak) storeFault() storestand.Fault {
	faults := []storestand.Fault{storestand.Busy, storestand.Throttled, storestand.Hangs, storestand.Reset, storestand.LosesResponses}
	return faults[s.random.IntN(len(faults))]
}

func (s *Soak) storeForAll(time.Duration) (string, func()) {
	fault := s.storeFault()
	calm := s.disturbances.begin(storeForEach)
	for _, p := range s.processes {
		p.door.SetFault(fault)
	}
	return "store " + fault.String() + " for all", func() {
		for _, p := range s.processes {
			p.door.SetFault(storestand.Healthy)
		}
		calm()
	}
}

func (s *Soak) storeForOne(time.Duration) (string, func()) {
	p, fault := s.anyProcess(), s.storeFault()
	calm := s.disturbances.begin(storeOf(p.name))
	p.door.SetFault(fault)
	return "store " + fault.String() + " for " + p.name, func() { p.door.SetFault(storestand.Healthy); calm() }
}

func (s *Soak) pathMode() faultproxy.Mode {
	modes := []faultproxy.Mode{faultproxy.Delay, faultproxy.Reset, faultproxy.DropResponses, faultproxy.Blackhole}
	return modes[s.random.IntN(len(modes))]
}

func (s *Soak) storePath(time.Duration) (string, func()) {
	p, mode := s.anyProcess(), s.pathMode()
	calm := s.disturbances.begin(storeOf(p.name))
	p.proxy.SetMode(mode)
	return "path to the store of " + p.name + ": " + mode.String(), func() { p.proxy.SetMode(faultproxy.Pass); calm() }
}

func (s *Soak) runnerPath(time.Duration) (string, func()) {
	runner, mode := s.anyRunner(), s.pathMode()
	proxy := s.runners.proxy(runner.ID)
	calm := s.disturbances.begin(pathTo(runner.ID))
	proxy.SetMode(mode)
	return "path to runner " + runner.ID + ": " + mode.String(), func() { proxy.SetMode(faultproxy.Pass); calm() }
}

func (s *Soak) runnerFault(time.Duration) (string, func()) {
	behaviours := []runnerstand.Behaviour{
		runnerstand.Fails, runnerstand.Sheds, runnerstand.Drops, runnerstand.TruncatesResponse, runnerstand.Hangs,
		runnerstand.MismatchesRequestID, runnerstand.OmitsStamp, runnerstand.Delays, runnerstand.Queues, runnerstand.QueuesAfterHeaders,
	}
	runner, behaviour := s.anyRunner(), behaviours[s.random.IntN(len(behaviours))]
	runner.SetBehaviour(behaviour)
	return "runner " + runner.ID + " " + behaviour.String(), func() { runner.SetBehaviour(runnerstand.Normal) }
}

func (s *Soak) drain(time.Duration) (string, func()) {
	runner := s.anyRunner()
	comeBack := s.runners.leave(runner)
	return "drain " + runner.ID, func() {
		time.Sleep(leaveLeast)
		comeBack()
	}
}

func (s *Soak) forget(time.Duration) (string, func()) {
	s.store.CompactHistory()
	return "store forgets its history", func() {}
}

func (s *Soak) changeConfig(time.Duration) (string, func()) {
	s.config.change(false)
	return "new configuration", func() {}
}

func (s *Soak) revoke(time.Duration) (string, func()) {
	s.config.change(true)
	return "a key is taken away", func() {}
}

func (s *Soak) bump(time.Duration) (string, func()) {
	s.config.bump()
	return "new weights", func() {}
}
