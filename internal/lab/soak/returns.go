package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
	"github.com/clovertiller/clovertiller/platform"
)

// Losses of many gateways at once, and the checks of their return.
const (
	// idleService has idleRunners in the directory, so that it has several pages, and no route.
	idleService      = "idle"
	idleRunners      = 3000
	listPage         = 250
	meanLossInterval = 2 * time.Second
	// meanStreamLossInterval is the mean interval with Versions. Streams that are taken up at gateways which have served for
	// settleTime are compared with new ones.
	meanStreamLossInterval = 4 * time.Second
	// maxLossDowntime and maxStartSpread bound the time until the lost gateways start and that within which
	// they do, and maxSeedDelay how much later seeds start that come last.
	maxLossDowntime = 600 * time.Millisecond
	maxStartSpread  = 300 * time.Millisecond
	maxSeedDelay    = 2 * time.Second
	// maxSecondLoss bounds the time from a return to a second loss in the middle of it.
	maxSecondLoss = 400 * time.Millisecond
	// releaseLossShare is the share of losses before which a release ends, at most maxReleaseLead before, with Versions.
	releaseLossShare = 0.5
	maxReleaseLead   = 1500 * time.Millisecond
	// returnBound is the time from the start of the last gateway to its first service, with a sound store.
	returnBound = time.Second
	// probeInterval is the interval of the calls that find out when gateways serve, and connectTimeout the
	// time within which a ready gateway must accept a connection.
	probeInterval  = 20 * time.Millisecond
	connectTimeout = time.Second
)

// lateReturn begins the text of each failure to serve within returnBound.
const lateReturn = "return: after the loss of "

// IsLateReturn reports whether the failure is that of a gateway that served too late after its start.
func IsLateReturn(failure string) bool { return strings.HasPrefix(failure, lateReturn) }

// startReasons are the reasons of refusals that only a start explains.
var startReasons = []string{"no configuration is known yet", "the directory of runners is not complete yet"}

// loss is a loss of several gateways at once.
type loss struct {
	name string
	// lost are the gateways that are killed. Those in late start later than the others.
	lost, late []*process
	// again is set if they are killed again in the middle of their return.
	again bool
	// storeFault hinders the store during the return. It is nil if the store is sound.
	storeFault func(f *returnInjector) (name string, undo func())
}

// returnInjector kills many gateways at once and checks how they return. It has its own random source, so that
// the other faults of a seed do not change.
type returnInjector struct {
	soak   *Soak
	random *rand.Rand
	client *http.Client
}

func newReturnInjector(s *Soak) *returnInjector {
	return &returnInjector{
		soak: s, random: rand.New(rand.NewPCG(s.settings.Seed, s.settings.Seed+13)),
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// addIdleRunners fills the directory with runners that get no calls.
func (s *Soak) addIdleRunners() {
	s.store.SetListPage(listPage)
	for i := range idleRunners {
		s.store.Put(platform.KindRunners, fmt.Sprintf("idle-%04d", i), map[string]any{
			"service": idleService, "address": fmt.Sprintf("127.2.%d.%d:1", i/200, i%200+1), "zone": s.topology.zone(i), "version": "v1", "slots": 8,
			"state": "ready", "cold_remaining_ms": 0, "seq": 1,
		})
	}
	s.store.CompactHistory()
}

// run injects losses until the deadline and returns their number.
func (f *returnInjector) run(ctx context.Context, deadline time.Time) (count int) {
	interval := meanLossInterval
	if f.soak.settings.Versions {
		interval = meanStreamLossInterval
	}
	for time.Now().Before(deadline) && ctx.Err() == nil {
		f.apply(ctx, f.draw())
		count++
		time.Sleep(interval/2 + time.Duration(f.random.Int64N(int64(interval))))
	}
	return count
}

// draw returns the next loss.
func (f *returnInjector) draw() loss {
	all := f.soak.processes
	seedCount := f.soak.settings.seedCount()
	seeds, others := all[:seedCount], all[seedCount:]
	losses := []loss{
		{name: "all", lost: all},
		{name: "all, twice", lost: all, again: true},
		{name: "half", lost: f.half(all)},
		{name: "half, twice", lost: f.half(all), again: true},
		{name: "all but the seeds", lost: others},
		{name: "all, the seeds come last", lost: all, late: seeds},
		{name: "the seeds", lost: seeds},
	}
	if f.soak.settings.Versions {
		// Streams outlive the loss of some gateways in the memory of the others.
		losses = append(losses, losses[0], losses[0], losses[0])
	}
	drawn := losses[f.random.IntN(len(losses))]
	faults := []func(*returnInjector) (string, func()){nil, nil, (*returnInjector).slowStore, (*returnInjector).failingStore}
	drawn.storeFault = faults[f.random.IntN(len(faults))]
	return drawn
}

func (f *returnInjector) half(all []*process) (half []*process) {
	for _, i := range f.random.Perm(len(all))[:(len(all)+1)/2] {
		half = append(half, all[i])
	}
	return half
}

// slowStore delays the answers of the store.
func (f *returnInjector) slowStore() (string, func()) {
	for _, p := range f.soak.processes {
		p.storeProxy.SetMode(faultproxy.Delay)
	}
	return "slow", func() {
		for _, p := range f.soak.processes {
			p.storeProxy.SetMode(faultproxy.Pass)
		}
	}
}

// failingStore makes the store throttle, reject or ignore calls.
func (f *returnInjector) failingStore() (string, func()) {
	faults := []storestand.Fault{storestand.Throttled, storestand.Busy, storestand.Hangs}
	fault := faults[f.random.IntN(len(faults))]
	f.soak.setStoreFault(fault)
	return fault.String(), func() { f.soak.setStoreFault(storestand.Healthy) }
}

// apply kills the gateways of the loss, starts them again and checks their return.
func (f *returnInjector) apply(ctx context.Context, l loss) {
	s := f.soak
	if s.versions != nil && f.random.Float64() < releaseLossShare {
		s.versions.endRelease()
		time.Sleep(time.Duration(f.random.Int64N(int64(maxReleaseLead))))
	}
	store, undo := "sound", func() {}
	if l.storeFault != nil {
		store, undo = l.storeFault(f)
		defer s.disturbances.begin(storeSubject)()
	}
	s.logf("fault: loss of %s, store %s", l.name, store)
	for _, p := range l.lost {
		p.markUnavailable(maxLossDowntime + maxStartSpread + maxSeedDelay + maxSecondLoss + startupTime)
		defer s.disturbances.begin(p.name)()
	}
	if s.streams != nil {
		s.streams.recordLoss()
	}
	startedAt := f.restart(l)
	if l.again {
		time.Sleep(time.Duration(f.random.Int64N(int64(maxSecondLoss))))
		startedAt = f.restart(l)
	}
	if l.storeFault != nil {
		time.Sleep(time.Duration(f.random.Int64N(int64(returnBound))))
		undo()
		startedAt = time.Now()
	}
	f.checkReturn(ctx, l, startedAt)
}

// restart kills the lost gateways at once and starts them again. It returns when the last one was started.
func (f *returnInjector) restart(l loss) time.Time {
	s := f.soak
	var exited []<-chan struct{}
	for _, p := range l.lost {
		exited = append(exited, p.terminate(syscall.SIGKILL))
	}
	time.Sleep(time.Duration(f.random.Int64N(int64(maxLossDowntime))))
	var group sync.WaitGroup
	for i, p := range l.lost {
		delay := time.Duration(f.random.Int64N(int64(maxStartSpread)))
		if slices.Contains(l.late, p) {
			delay += time.Duration(f.random.Int64N(int64(maxSeedDelay)))
		}
		group.Go(func() {
			time.Sleep(delay)
			s.restartExited(p, exited[i])
		})
	}
	group.Wait()
	return time.Now()
}

// checkReturn checks that each lost gateway serves in time, unless other faults hinder it, and that gateways
// which say that they are ready can serve.
func (f *returnInjector) checkReturn(ctx context.Context, l loss, startedAt time.Time) {
	s := f.soak
	var group sync.WaitGroup
	for _, p := range l.lost {
		group.Go(func() {
			deadline := startedAt.Add(maxRecoveryTime)
			for time.Now().Before(deadline) && ctx.Err() == nil && !f.probe(p) {
				time.Sleep(probeInterval)
			}
			after := time.Since(startedAt).Round(time.Millisecond)
			s.logf("return: %s serves after %v", p.name, after)
			if after > returnBound && s.hasFewFaults() && ctx.Err() == nil {
				s.failf("%s%s, %s serves %v after the last start", lateReturn, l.name, p.name, after)
			}
		})
	}
	group.Wait()
}

// hasFewFaults reports whether no other faults of gateways and links hinder a return, hide how callers are
// served during a skew, or excuse an answer that is lost beside a configuration change.
func (s *Soak) hasFewFaults() bool {
	return s.settings.ConfigChanges || s.settings.StaleGateways || (s.settings.Returns || s.settings.Skews) && s.settings.Seed%2 == 0
}

// probe reports whether the gateway serves a call. It fails the run if the gateway says that it is ready, but
// takes no connection or refuses calls because of its start.
func (f *returnInjector) probe(p *process) (served bool) {
	s, process, ready := f.soak, p.processID(), p.isReady(f.client)
	connection, err := net.DialTimeout("tcp", p.addresses.CallAddress, connectTimeout)
	if err != nil {
		if ready && p.processID() == process && p.isReady(f.client) {
			s.failf("return: %s is ready and takes no connection: %v", p.name, err)
		}
		return false
	}
	connection.Close()
	key, tenant := s.config.oldestKey()
	call := &callRecord{id: fmt.Sprintf("return-%d", time.Now().UnixNano()), path: "/safe/return", body: "b", tenant: tenant, repeatable: true, gatewayName: p.name, sentAt: time.Now()}
	s.calls.add(call)
	request, err := newRequest(context.Background(), p, call, key, modelName, "aa:100,bb:200,cc:50")
	if err != nil {
		return false
	}
	response, err := f.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	s.calls.recordEnd(call, response.StatusCode, false)
	if ready && isStartRefusal(string(body)) && p.processID() == process {
		s.failf("return: %s is ready and refuses: %s", p.name, strings.TrimSpace(string(body)))
	}
	return response.StatusCode == http.StatusOK
}

func isStartRefusal(body string) bool {
	return slices.Contains(startReasons, strings.TrimSpace(body))
}
