package soak

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
)

// Silences between gateways.
const (
	// peerFaultGap is the mean time between two faults of connections between gateways.
	peerFaultGap = 2 * time.Second
	// cutOffShare is one in how many of them that cuts a gateway off the store, too.
	cutOffShare = 3
	// cutOffTime is how long that lasts: beyond the news and the times in which a gateway
	// need not know it.
	cutOffTime = cutOffNews + drainTime + contactTime
	// cutOffNews is how long after the silence the news comes at most: a gateway that
	// learns nothing uses what it knows for its configuration's time only.
	cutOffNews = 500 * time.Millisecond
)

// peerFaults silences open connections between gateways for good while new ones work.
// It draws from a random source of its own, so that a seed's other faults stay the same.
type peerFaults struct {
	soak   *Soak
	random *rand.Rand
	group  sync.WaitGroup
}

func newPeerFaults(s *Soak) *peerFaults {
	return &peerFaults{soak: s, random: rand.New(rand.NewPCG(s.settings.Seed, s.settings.Seed+1))}
}

// last cuts a gateway off when no other fault covers the effect, until that has ended.
func (f *peerFaults) last() {
	f.cutOff()
	f.group.Wait()
}

// run injects faults until the time is over and returns how many, once all have ended.
func (f *peerFaults) run(ctx context.Context, deadline time.Time) int {
	count := 0
	for {
		time.Sleep(peerFaultGap/2 + f.upTo(peerFaultGap))
		if !time.Now().Before(deadline) || ctx.Err() != nil {
			break
		}
		if f.random.IntN(cutOffShare) == 0 {
			f.cutOff()
		} else {
			f.silences()
		}
		count++
	}
	f.group.Wait()
	return count
}

func (f *peerFaults) upTo(most time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(most)))
}

func (f *peerFaults) anyProcess() *process {
	return f.soak.processes[f.random.IntN(len(f.soak.processes))]
}

// silences ends what is heard on open connections between gateways some times in a row.
func (f *peerFaults) silences() {
	var names []string
	wait := time.Duration(0)
	for range 1 + f.random.IntN(silencesMost) {
		silenced := f.soak.processes
		if f.random.IntN(2) == 0 {
			silenced = []*process{f.anyProcess()}
		}
		names = append(names, namesOf(silenced))
		f.later(wait, func() { mutePeers(silenced) })
		wait += f.upTo(silenceGapMost)
	}
	f.soak.say("fault: open connections from others fall silent: %s", strings.Join(names, ", then "))
}

// cutOff silences all open connections between gateways while one of them does not reach
// the store, and has a runner leave: that gateway can learn of it on new connections to
// the others only.
func (f *peerFaults) cutOff() {
	s, p := f.soak, f.anyProcess()
	runners := s.runners.living()
	next := s.leaving(runners[f.random.IntN(len(runners))])
	calm := s.disturbances.begin(storeOf(p.name))
	p.proxy.SetMode(faultproxy.Blackhole)
	mutePeers(s.processes)
	f.later(f.upTo(cutOffNews), next.do)
	f.later(cutOffTime, func() { p.proxy.SetMode(faultproxy.Pass); calm() })
	s.say("fault: %s is cut off the store and all open connections between gateways fall silent, %s", p.name, next.name)
}

func (f *peerFaults) later(wait time.Duration, do func()) {
	f.group.Go(func() { time.Sleep(wait); do() })
}

// mutePeers silences for good what is open to the gateways from others. It counts as no
// disturbance: others replace such connections within a fraction of a second.
func mutePeers(processes []*process) {
	for _, p := range processes {
		p.peerProxy.SetMode(faultproxy.MuteExisting)
	}
}

func namesOf(processes []*process) string {
	var names []string
	for _, p := range processes {
		names = append(names, p.name)
	}
	return strings.Join(names, " and ")
}
