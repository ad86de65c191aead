package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
)

// Faults of links between gateways and all runners, and of runners.
const (
	// meanPartitionInterval is the mean pause between two partitions, which follow one another or overlap.
	meanPartitionInterval = 3 * time.Second
	// minPartition and maxPartition bound the duration of a partition.
	minPartition = settleTime + time.Second
	maxPartition = settleTime + 4*time.Second
	// overlapPercent is the percentage of partitions that begin while the one before lasts.
	overlapPercent = 30
	// runnerSilence is how long a sound runner is silent.
	runnerSilence = 1200 * time.Millisecond
	// brittleTime is how long the runners of a service are brittle at a time, and brittleMax the number of
	// requests that each may reject within a second then.
	brittleTime = 8 * time.Second
	brittleMax  = 3
	// brittleDowntime is how long a runner is down after it fell over.
	brittleDowntime = 2 * time.Second
)

// partitionCapacity is the capacity of runners in a run with partitions: some of the calls of a burst
// find no slot.
var partitionCapacity = runnerstand.Capacity{Slots: 4, Queue: 16, ServiceTime: 40 * time.Millisecond}

// minPartitionServed is the fraction of the others' share of served first attempts that the cut gateways must
// reach, and minPartitionFailures the number of failures below which the check does not apply.
const (
	minPartitionServed   = 2.0 / 3
	minPartitionFailures = 10
)

// partition is a time during which gateways were cut off all runners.
type partition struct {
	interval
	gateways []string
	mode     faultproxy.Mode
	// runners are the IDs of the runners that they lose, nil for all.
	runners []string
}

// cuts reports whether the partition cuts the gateway off the runner at the moment.
func (p *partition) cuts(gateway, runner string, moment time.Time) bool {
	return slices.Contains(p.gateways, gateway) && !moment.Before(p.from) && moment.Before(p.to) && (p.runners == nil || slices.Contains(p.runners, runner))
}

// brittleInterval is a time during which the runners of a service were brittle.
type brittleInterval struct {
	interval
	service string
	falls   int
	runners int
}

// partitionInjector cuts gateways off all runners, makes runners brittle and silences them. It has its own
// random source, so that the other faults of a seed do not change.
type partitionInjector struct {
	soak   *Soak
	random *rand.Rand

	mutex      sync.Mutex
	partitions []*partition
	brittle    []*brittleInterval
}

func newPartitionInjector(s *Soak) *partitionInjector {
	return &partitionInjector{soak: s, random: rand.New(rand.NewPCG(s.settings.Seed, s.settings.Seed+11))}
}

// run injects faults until the deadline, waits for their end and returns their number.
func (f *partitionInjector) run(ctx context.Context, deadline time.Time) (count int) {
	var group sync.WaitGroup
	for time.Now().Before(deadline) && ctx.Err() == nil {
		p := f.draw()
		if f.soak.settings.MassCuts {
			f.widen(p)
		}
		group.Go(func() { f.apply(p) })
		count++
		switch f.random.IntN(3) {
		case 0:
			runner := f.randomRunner()
			group.Go(func() { f.silence(runner) })
		case 1:
			service := []string{plainService, "engines"}[f.random.IntN(2)]
			if !f.soak.settings.MassCuts {
				group.Go(func() { f.makeBrittle(service) })
			}
		}
		pause := meanPartitionInterval/2 + time.Duration(f.random.Int64N(int64(meanPartitionInterval)))
		if f.random.IntN(100) >= overlapPercent {
			pause += p.to.Sub(p.from)
		}
		time.Sleep(pause)
	}
	group.Wait()
	return count
}

func (f *partitionInjector) randomRunner() *runnerstand.Runner {
	running := f.soak.runners.running()
	return running[f.random.IntN(len(running))]
}

// draw returns the next partition: some gateways, most of a zone or a whole one, with or without seeds.
func (f *partitionInjector) draw() *partition {
	s := f.soak
	modes := []faultproxy.Mode{faultproxy.Reset, faultproxy.Blackhole, faultproxy.RejectNew}
	p := &partition{mode: modes[f.random.IntN(len(modes))], interval: interval{from: time.Now()}}
	p.to = p.from.Add(minPartition + time.Duration(f.random.Int64N(int64(maxPartition-minPartition))))
	switch f.random.IntN(3) {
	case 0:
		zone := s.topology.zone(f.random.IntN(len(s.topology.zones)))
		for _, process := range s.processes {
			if process.zone == zone {
				p.gateways = append(p.gateways, process.name)
			}
		}
	case 1:
		p.gateways = append(p.gateways, s.processes[f.random.IntN(s.settings.seedCount())].name)
	default:
		for _, i := range f.random.Perm(len(s.processes))[:1+f.random.IntN(len(s.processes)/2)] {
			p.gateways = append(p.gateways, s.processes[i].name)
		}
	}
	return p
}

// widen makes the partition cut most gateways: off all runners, those of one service, or two thirds of those.
func (f *partitionInjector) widen(p *partition) {
	s := f.soak
	count := len(s.processes) - 1 - f.random.IntN(max(len(s.processes)/3, 1))
	p.gateways = nil
	for _, i := range f.random.Perm(len(s.processes))[:count] {
		p.gateways = append(p.gateways, s.processes[i].name)
	}
	service := []string{plainService, "engines"}[f.random.IntN(2)]
	runners := s.runners.ofService(service)
	switch f.random.IntN(3) {
	case 0:
		return
	case 1:
	default:
		runners = runners[:max(2*len(runners)/3, 1)]
	}
	for _, runner := range runners {
		p.runners = append(p.runners, runner.ID)
	}
}

// apply cuts the gateways of the partition off all runners until it ends. A gateway that another partition
// still cuts stays cut.
func (f *partitionInjector) apply(p *partition) {
	s := f.soak
	lost := "all runners"
	if p.runners != nil {
		lost = strings.Join(p.runners, " and ")
	}
	s.logf("fault: %s cut off %s for %v: %s", strings.Join(p.gateways, " and "), lost, p.to.Sub(p.from).Round(time.Millisecond), p.mode)
	f.mutex.Lock()
	f.partitions = append(f.partitions, p)
	f.mutex.Unlock()
	f.setModes(p, func(_, _ string) bool { return true }, p.mode)
	time.Sleep(time.Until(p.to))
	now := time.Now()
	f.setModes(p, func(gateway, runner string) bool { return !f.isCutOff(gateway, runner, now) }, faultproxy.Pass)
}

// setModes sets the mode of those links of the partition that the condition selects.
func (f *partitionInjector) setModes(p *partition, selects func(gateway, runner string) bool, mode faultproxy.Mode) {
	for _, runner := range f.soak.runners.all() {
		if p.runners != nil && !slices.Contains(p.runners, runner.ID) {
			continue
		}
		for _, name := range p.gateways {
			if selects(name, runner.ID) {
				f.soak.runners.proxy(runner.ID).SetGroupMode(name, mode)
			}
		}
	}
}

// isCutOff reports whether a partition cuts the gateway off the runner at the moment.
func (f *partitionInjector) isCutOff(gateway, runner string, moment time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.ContainsFunc(f.partitions, func(p *partition) bool { return p.cuts(gateway, runner, moment) })
}

// silence makes a sound runner silent for a while.
func (f *partitionInjector) silence(runner *runnerstand.Runner) {
	s := f.soak
	s.logf("fault: runner %s is silent for %v", runner.ID, runnerSilence)
	end := s.disturbances.begin(runnerPathSubject(runner.ID))
	defer end()
	proxy := s.runners.proxy(runner.ID)
	proxy.SetMode(faultproxy.Stall)
	time.Sleep(runnerSilence)
	proxy.SetMode(faultproxy.Pass)
}

// makeBrittle makes the runners of the service brittle for a while and counts how often they fall over.
func (f *partitionInjector) makeBrittle(service string) {
	s := f.soak
	runners := s.runners.ofService(service)
	f.mutex.Lock()
	overlaps := slices.ContainsFunc(f.brittle, func(b *brittleInterval) bool { return b.service == service && time.Now().Before(b.to) })
	b := &brittleInterval{interval: interval{from: time.Now(), to: time.Now().Add(brittleTime)}, service: service, runners: len(runners)}
	if !overlaps {
		f.brittle = append(f.brittle, b)
	}
	f.mutex.Unlock()
	if overlaps {
		return
	}
	s.logf("fault: the runners of %s are brittle for %v", service, brittleTime)
	before := countFalls(runners)
	for _, runner := range runners {
		runner.SetBrittle(&runnerstand.Brittleness{MaxRejections: brittleMax, Queue: 1, Notice: settleTime, Downtime: brittleDowntime})
	}
	time.Sleep(brittleTime)
	for _, runner := range runners {
		runner.SetBrittle(nil)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	b.falls = countFalls(runners) - before
}

func countFalls(runners []*runnerstand.Runner) (total int) {
	for _, runner := range runners {
		falls, _ := runner.Falls()
		total += falls
	}
	return total
}

// check fails the run if callers of cut gateways were served far worse than the others, or if brittle runners
// fell over too often.
func (f *partitionInjector) check() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.soak.olderGateways) > 0 {
		// Followers of a seed of an older version know no egress routers, and older versions do not know that
		// runners are brittle.
		return
	}
	calls := f.soak.calls.all()
	for _, p := range f.partitions {
		f.checkPartition(p, calls)
	}
	for _, b := range f.brittle {
		if allowed := 2 + b.runners/10; b.falls > allowed {
			f.soak.failf("brittle: the runners of %s fell over %d times from %s on", b.service, b.falls, b.from.Format("15:04:05.000"))
		}
	}
}

// attempts counts the calls made and those that succeeded.
type attempts struct{ served, sent int }

func (a *attempts) add(call *callRecord) {
	a.sent++
	if call.status == http.StatusOK {
		a.served++
	}
}

func (a *attempts) share() float64 { return float64(a.served) / float64(max(a.sent, 1)) }

// checkPartition compares the calls of each service at the cut gateways with those at the others, from settleTime
// after the beginning of the partition on. Services are compared apart, because one that is short of runners
// for all gateways would otherwise count as often as its calls happen to be at the cut ones. Calls at gateways
// that were disturbed otherwise do not count.
func (f *partitionInjector) checkPartition(p *partition, calls []*callRecord) {
	cut, others := map[string]*attempts{plainService: {}, "engines": {}}, map[string]*attempts{plainService: {}, "engines": {}}
	for _, call := range calls {
		if call.sentAt.Before(p.from.Add(settleTime)) || !call.sentAt.Before(p.to) || call.isPoison || call.usedRevokedKey || call.keyAddedAt.IsZero() || f.wasDisturbed(call) {
			continue
		}
		if slices.Contains(p.gateways, call.gatewayName) {
			cut[call.service()].add(call)
		} else if !f.isCutLocked(call.gatewayName, call.sentAt) {
			others[call.service()].add(call)
		}
	}
	for service, c := range cut {
		o := others[service]
		if c.sent == 0 || o.sent == 0 {
			continue
		}
		summary := fmt.Sprintf("partition from %s (%s): cut gateways served %d of %d calls of %s, the others %d of %d", p.from.Format("15:04:05.000"), p.mode, c.served, c.sent, service, o.served, o.sent)
		f.soak.logf("%s", summary)
		if c.sent-c.served > minPartitionFailures && c.share() < minPartitionServed*o.share() {
			f.soak.failf("%s", summary)
		}
	}
}

// isCutLocked reports whether a partition cuts the gateway off any runner at the moment. The mutex must be held.
func (f *partitionInjector) isCutLocked(gateway string, moment time.Time) bool {
	return slices.ContainsFunc(f.partitions, func(p *partition) bool {
		return slices.Contains(p.gateways, gateway) && !moment.Before(p.from) && moment.Before(p.to)
	})
}

// wasDisturbed reports whether a fault affected the call's gateway, its store or all gateways shortly before
// or during the call.
func (f *partitionInjector) wasDisturbed(call *callRecord) bool {
	last := f.soak.disturbances.lastDisturbed(call.sentAt.Add(callTimeout), call.gatewayName, gatewayStoreSubject(call.gatewayName), storeSubject)
	return !last.IsZero() && last.After(call.sentAt.Add(-settleTime))
}
