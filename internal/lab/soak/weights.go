package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clovertiller/clovertiller/platform"
)

// Changes of weights while prompts are read.
const (
	// prefillTime is the time in which an engine reads a part of a prompt. Weights that are loaded meanwhile change for the run.
	prefillTime = 150 * time.Millisecond
	// loadTime is how long an engine takes to load weights.
	loadTime = 600 * time.Millisecond
	// meanNamingInterval is the mean interval at which new weights are named.
	meanNamingInterval = 4 * time.Second
	// secondAsk is when callers ask for a family of prompts again. A family that was read while an engine took weights is then
	// asked for while other engines have the earlier ones.
	secondAsk = 900 * time.Millisecond
	// weightEngines is the number of engines, and weightCallers that of the callers that ask for families of prompts.
	weightEngines = 12
	weightCallers = 24
)

// promptFamilies are the families of prompts that callers ask for, each twice. It is safe for concurrent use.
type promptFamilies struct {
	mutex sync.Mutex
	// count is the number of families. Those in again are asked for once more, the first one first.
	count int
	again []askedFamily
	calls atomic.Int64
}

type askedFamily struct {
	number  int
	askedAt time.Time
}

// sendCalls sends calls with prompts of the families to random gateways until the context is done.
func (f *promptFamilies) sendCalls(ctx context.Context, s *Soak) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for ctx.Err() == nil {
		key, tenant := s.config.oldestKey()
		family, number := f.next(time.Now()), f.calls.Add(1)
		target := s.processes[rand.IntN(len(s.processes))]
		call := &callRecord{
			id: fmt.Sprintf("family-%d-%d", family, number), path: fmt.Sprintf("/stream/%d", number), tenant: tenant, repeatable: true,
			gatewayName: target.name, prompt: fmt.Sprintf("aa:40000,bb%d:200000,cc%x:50", family, number),
		}
		s.calls.add(call)
		s.sendCall(ctx, client, target, call, key)
		time.Sleep(callInterval)
	}
}

// next returns the family to ask for: one that is due to be asked for again, or else a new one.
func (f *promptFamilies) next(now time.Time) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.again) > 0 && now.Sub(f.again[0].askedAt) >= secondAsk {
		number := f.again[0].number
		f.again = f.again[1:]
		return number
	}
	f.count++
	f.again = append(f.again, askedFamily{f.count, now})
	return f.count
}

// weightInjector names new weights in quick succession while engines cache the parts of prompts and fetch them from
// each other. It has its own random source, so that the other faults of a seed do not change.
type weightInjector struct {
	soak   *Soak
	random *rand.Rand
}

func newWeightInjector(s *Soak) *weightInjector {
	return &weightInjector{soak: s, random: rand.New(rand.NewPCG(s.settings.Seed, s.settings.Seed+17))}
}

// run names weights until the deadline and returns how often.
func (w *weightInjector) run(ctx context.Context, deadline time.Time) (count int) {
	for time.Now().Before(deadline) && ctx.Err() == nil {
		time.Sleep(meanNamingInterval/2 + time.Duration(w.random.Int64N(int64(meanNamingInterval))))
		w.soak.config.bumpWeights()
		w.soak.logf("weights: version %d is named", w.soak.config.currentWeightVersion())
		count++
	}
	return count
}

// checkStaleParts checks that no request ran on prompt parts made under other weights.
func (s *Soak) checkStaleParts() {
	fetches, runs, crossed, orders := 0, 0, 0, map[string]int{}
	for _, runner := range s.runners.all() {
		for _, run := range runner.Runs() {
			runs++
			if run.Header.Get(platform.HeaderKVFetch) != "" {
				fetches++
			}
		}
		crossed += runner.CrossedRuns()
		for _, order := range runner.Orders() {
			orders[order.Mode]++
		}
		for _, part := range runner.StaleParts() {
			s.failf("weights: at %s: %s", runner.ID, part)
		}
	}
	s.logf("weights: %d of %d runs were to fetch parts, the weights of %d changed while they read; orders %v", fetches, runs, crossed, orders)
}
