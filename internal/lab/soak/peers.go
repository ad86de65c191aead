package soak

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
)

// Faults of connections between gateways.
const (
	// meanPeerFaultInterval is the mean interval between two faults of connections between
	// gateways.
	meanPeerFaultInterval = 2 * time.Second
	// faultsPerCutOff is the mean number of these faults of which one also cuts a gateway off the
	// store.
	faultsPerCutOff = 3
	// cutOffDuration is how long a gateway stays cut off. It exceeds the delay of the update plus
	// the time in which the gateway need not know it.
	cutOffDuration = maxCutOffUpdateDelay + maxDrainDelay + settleTime
	// maxCutOffUpdateDelay is the maximum time between the cut-off and the update. It is short
	// because a gateway that receives no updates uses its state only until the configuration
	// expires.
	maxCutOffUpdateDelay = 500 * time.Millisecond
)

// peerFaultInjector permanently mutes open connections between gateways, while new ones work. It
// has its own random source, so that the other faults of a seed do not change.
type peerFaultInjector struct {
	soak   *Soak
	random *rand.Rand
	group  sync.WaitGroup
}

func newPeerFaultInjector(s *Soak) *peerFaultInjector {
	return &peerFaultInjector{soak: s, random: rand.New(rand.NewPCG(s.settings.Seed, s.settings.Seed+1))}
}

// injectLastCutOff cuts a gateway off at the end of a run, when no other fault hides the effect,
// and waits for the end of the fault.
func (f *peerFaultInjector) injectLastCutOff() {
	f.cutOff()
	f.group.Wait()
}

// run injects faults until the deadline, waits for their end and returns their number.
func (f *peerFaultInjector) run(ctx context.Context, deadline time.Time) int {
	count := 0
	for {
		time.Sleep(meanPeerFaultInterval/2 + f.randomDuration(meanPeerFaultInterval))
		if !time.Now().Before(deadline) || ctx.Err() != nil {
			break
		}
		if f.random.IntN(faultsPerCutOff) == 0 {
			f.cutOff()
		} else {
			f.mutePeersRepeatedly()
		}
		count++
	}
	f.group.Wait()
	return count
}

// randomDuration returns a random duration in [0, limit).
func (f *peerFaultInjector) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(limit)))
}

func (f *peerFaultInjector) randomProcess() *process {
	return f.soak.processes[f.random.IntN(len(f.soak.processes))]
}

// mutePeersRepeatedly mutes the open connections between gateways one or more times in a row.
func (f *peerFaultInjector) mutePeersRepeatedly() {
	var names []string
	delay := time.Duration(0)
	for range 1 + f.random.IntN(maxSilences) {
		muted := f.soak.processes
		if f.random.IntN(2) == 0 {
			muted = []*process{f.randomProcess()}
		}
		names = append(names, joinNames(muted))
		f.runAfter(delay, func() { mutePeers(muted) })
		delay += f.randomDuration(maxSilenceInterval)
	}
	f.soak.logf("fault: open connections from other gateways are muted: %s", strings.Join(names, ", then "))
}

// cutOff mutes all open connections between gateways, cuts one gateway off the store and drains a
// runner. That gateway can learn of the drain only over new connections to the others.
func (f *peerFaultInjector) cutOff() {
	s, p := f.soak, f.randomProcess()
	runners := s.runners.running()
	drain := s.drainStep(runners[f.random.IntN(len(runners))])
	endDisturbance := s.disturbances.begin(gatewayStoreSubject(p.name))
	p.storeProxy.SetMode(faultproxy.Blackhole)
	mutePeers(s.processes)
	f.runAfter(f.randomDuration(maxCutOffUpdateDelay), drain.run)
	f.runAfter(cutOffDuration, func() { p.storeProxy.SetMode(faultproxy.Pass); endDisturbance() })
	s.logf("fault: %s is cut off the store and all open connections between gateways are muted, %s", p.name, drain.name)
}

// runAfter calls do after the delay, in the group.
func (f *peerFaultInjector) runAfter(delay time.Duration, do func()) {
	f.group.Go(func() { time.Sleep(delay); do() })
}

// mutePeers permanently mutes the open connections from other gateways to the given ones. It is not
// recorded as a disturbance, because gateways must replace such connections within a fraction of a
// second.
func mutePeers(processes []*process) {
	for _, p := range processes {
		p.peerProxy.SetMode(faultproxy.MuteExisting)
	}
}

// joinNames returns the names of the processes for a log line.
func joinNames(processes []*process) string {
	var names []string
	for _, p := range processes {
		names = append(names, p.name)
	}
	return strings.Join(names, " and ")
}
