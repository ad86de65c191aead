package soak

import (
	"strings"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/platform"
)

// Faults that delay updates by muting connections or abandoning watches.
const (
	// maxSilences is the maximum number of such faults in a row. Gateways learn of an abandoned
	// watch through another watch, which a second fault also interrupts.
	maxSilences = 4
	// maxSilenceInterval is the maximum time between two of them. An abandoned watch is noticed
	// within about 2 s, and several faults are meant to fall into that time.
	maxSilenceInterval = 700 * time.Millisecond
	// maxUpdateDelay is the maximum time between a fault and the update.
	maxUpdateDelay = time.Second
	// minDrainTime is the minimum time for which a runner drains. It exceeds the time in which
	// gateways need not know of the drain.
	minDrainTime = maxDrainDelay + settleTime + time.Second
)

// delayedStep is a part of a fault that runs after a delay. The name is shown in logs.
type delayedStep struct {
	name  string
	delay time.Duration
	run   func()
}

// updatesDuringSilence mutes connections or abandons watches one or more times in a row. Shortly
// after each time, a runner starts draining or new weights are requested.
func (s *Soak) updatesDuringSilence(time.Duration) (string, func()) {
	var group sync.WaitGroup
	var names []string
	delay := time.Duration(0)
	for range 1 + s.random.IntN(maxSilences) {
		silence, update := s.randomSilence(), s.randomUpdate()
		silence.delay = delay
		update.delay = delay + time.Duration(s.random.Int64N(int64(maxUpdateDelay)))
		delay += time.Duration(s.random.Int64N(int64(maxSilenceInterval)))
		for _, next := range []delayedStep{silence, update} {
			names = append(names, next.name)
			group.Go(func() { time.Sleep(next.delay); next.run() })
		}
	}
	return strings.Join(names, ", "), group.Wait
}

// randomSilence returns a step that permanently mutes random connections or abandons random
// watches.
func (s *Soak) randomSilence() delayedStep {
	p, runner := s.randomProcess(), s.randomRunner()
	kinds := []string{platform.KindRunners, platform.KindWeightVersions}
	kind := kinds[s.random.IntN(len(kinds))]
	silences := []delayedStep{
		{name: "open connections to the store of " + p.name + " are muted", run: func() { s.muteStoreConnections(p) }},
		{name: "all open connections to the store are muted", run: func() { s.muteStoreConnections(s.processes...) }},
		{name: "open connections to runner " + runner.ID + " are muted", run: func() { s.muteRunnerConnections(runner.ID) }},
		{name: "watches of " + kind + " of " + p.name + " are abandoned", run: func() { s.abandonWatches(kind, p) }},
		{name: "all watches of " + kind + " are abandoned", run: func() { s.abandonWatches(kind, s.processes...) }},
	}
	return silences[s.random.IntN(len(silences))]
}

// randomUpdate returns a step that makes a random update, which gateways have to learn.
func (s *Soak) randomUpdate() delayedStep {
	updates := []delayedStep{s.drainStep(s.randomRunner()), {name: "new weights", run: s.config.bumpWeights}}
	return updates[s.random.IntN(len(updates))]
}

// drainStep returns a step that drains the runner for minDrainTime.
func (s *Soak) drainStep(runner *runnerstand.Runner) delayedStep {
	return delayedStep{name: "runner " + runner.ID + " drains", run: func() {
		stopDraining := s.runners.startDraining(runner)
		time.Sleep(minDrainTime)
		stopDraining()
	}}
}

// muteStoreConnections permanently mutes the open connections of the processes to the store. It is
// recorded as a disturbance for all gateways, because others learn from these.
func (s *Soak) muteStoreConnections(processes ...*process) {
	defer s.disturbances.begin(storeSubject)()
	for _, p := range processes {
		p.storeProxy.SetMode(faultproxy.MuteExisting)
	}
}

// muteRunnerConnections permanently mutes the open connections to the runner.
func (s *Soak) muteRunnerConnections(id string) {
	defer s.disturbances.begin(runnerPathSubject(id))()
	s.runners.proxy(id).SetMode(faultproxy.MuteExisting)
}

// abandonWatches leaves the pending watches of the processes without a response. It is recorded as a
// disturbance of the store.
func (s *Soak) abandonWatches(kind string, processes ...*process) {
	defer s.disturbances.begin(storeSubject)()
	for _, p := range processes {
		p.storeEndpoint.AbandonWatches(kind)
	}
}
