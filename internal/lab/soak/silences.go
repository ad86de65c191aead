package soak

import (
	"strings"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/platform"
)

// Silences and the news that they are to hold up.
const (
	// silencesMost is how many follow each other at most: gateways learn of a lost watch
	// from another one, which a second silence ends too.
	silencesMost = 4
	// silenceGapMost is the longest time between two of them: a lost watch is noticed
	// within about 2 s, and several are to fall into that.
	silenceGapMost = 700 * time.Millisecond
	// newsDelayMost is how long after a silence the news comes at most.
	newsDelayMost = time.Second
	// leaveLeast is how long a runner leaves at least, so that it does so beyond the
	// time in which gateways are not held to it.
	leaveLeast = drainTime + contactTime + time.Second
)

// step is something that a fault does later, with what it is called.
type step struct {
	name string
	wait time.Duration
	do   func()
}

// lateNews silences connections or watches some times in a row. Each time a runner leaves
// or newer weights are named within a moment.
func (s *Soak) lateNews(time.Duration) (string, func()) {
	var group sync.WaitGroup
	var names []string
	wait := time.Duration(0)
	for range 1 + s.random.IntN(silencesMost) {
		silence, news := s.drawSilence(), s.drawNews()
		silence.wait = wait
		news.wait = wait + time.Duration(s.random.Int64N(int64(newsDelayMost)))
		wait += time.Duration(s.random.Int64N(int64(silenceGapMost)))
		for _, next := range []step{silence, news} {
			names = append(names, next.name)
			group.Go(func() { time.Sleep(next.wait); next.do() })
		}
	}
	return strings.Join(names, ", "), group.Wait
}

// drawSilence draws what falls silent for good.
func (s *Soak) drawSilence() step {
	p, runner := s.anyProcess(), s.anyRunner()
	kinds := []string{platform.KindRunners, platform.KindWeightVersions}
	kind := kinds[s.random.IntN(len(kinds))]
	silences := []step{
		{name: "open connections to the store of " + p.name + " fall silent", do: func() { s.muteStore(p) }},
		{name: "all open connections to the store fall silent", do: func() { s.muteStore(s.processes...) }},
		{name: "open connections to runner " + runner.ID + " fall silent", do: func() { s.muteRunner(runner.ID) }},
		{name: "watches of " + kind + " of " + p.name + " are lost", do: func() { s.loseWatches(kind, p) }},
		{name: "all watches of " + kind + " are lost", do: func() { s.loseWatches(kind, s.processes...) }},
	}
	return silences[s.random.IntN(len(silences))]
}

// drawNews draws what gateways have to learn.
func (s *Soak) drawNews() step {
	news := []step{s.leaving(s.anyRunner()), {name: "new weights", do: s.config.bump}}
	return news[s.random.IntN(len(news))]
}

// leaving has the runner leave for a while.
func (s *Soak) leaving(runner *runnerstand.Runner) step {
	return step{name: "runner " + runner.ID + " leaves", do: func() {
		comeBack := s.runners.leave(runner)
		time.Sleep(leaveLeast)
		comeBack()
	}}
}

// muteStore silences what is open to the store for good. As others learn from these
// gateways, it counts as a disturbance of all.
func (s *Soak) muteStore(processes ...*process) {
	defer s.disturbances.begin(storeForEach)()
	for _, p := range processes {
		p.proxy.SetMode(faultproxy.MuteExisting)
	}
}

func (s *Soak) muteRunner(id string) {
	defer s.disturbances.begin(pathTo(id))()
	s.runners.proxy(id).SetMode(faultproxy.MuteExisting)
}

// loseWatches has the store not answer watches that wait, which disturbs the store.
func (s *Soak) loseWatches(kind string, processes ...*process) {
	defer s.disturbances.begin(storeForEach)()
	for _, p := range processes {
		p.door.AbandonWatches(kind)
	}
}
