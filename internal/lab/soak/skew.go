package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Skewed connections: most new connections go to one gateway, and callers open new ones for each call.
const (
	// meanSkewInterval is the mean time between two skews, and minSkewDuration and maxSkewDuration bound how
	// long one lasts: longer than settleTime, after which callers are to be served as before.
	meanSkewInterval                 = 3 * time.Second
	minSkewDuration, maxSkewDuration = 6 * time.Second, 10 * time.Second
	// skewedShare is the share of calls that go to the gateway.
	skewedShare = 0.9
	// beforeSkew is the time before a skew with which it is compared.
	beforeSkew = 4 * time.Second
	// minSkewedCalls is the least number of calls before and during a skew that are compared, and
	// minSkewedServed the share of the calls served during it, relative to before.
	minSkewedCalls  = 20
	minSkewedServed = 0.75
	// readinessInterval is how often a gateway is asked whether it is ready.
	readinessInterval = 500 * time.Millisecond
)

// skew is an interval during which most calls go to one gateway.
type skew struct {
	from, to time.Time
	target   *process
}

// skewInjector chooses which gateway gets most new connections. It has its own random source.
type skewInjector struct {
	soak   *Soak
	random *rand.Rand
	mutex  sync.Mutex
	skews  []skew
	// isOut is set while the gateway of the current skew is not ready.
	isOut bool
}

func newSkewInjector(s *Soak) *skewInjector {
	return &skewInjector{soak: s, random: rand.New(rand.NewPCG(s.settings.Seed, s.settings.Seed+13))}
}

// run skews connections until the deadline and returns how often.
func (i *skewInjector) run(ctx context.Context, deadline time.Time) int {
	for time.Now().Before(deadline) && ctx.Err() == nil {
		time.Sleep(meanSkewInterval/2 + time.Duration(i.random.Int64N(int64(meanSkewInterval))))
		duration := minSkewDuration + time.Duration(i.random.Int64N(int64(maxSkewDuration-minSkewDuration)))
		now, target := time.Now(), i.soak.processes[i.random.IntN(len(i.soak.processes))]
		i.mutex.Lock()
		i.skews = append(i.skews, skew{from: now, to: now.Add(duration), target: target})
		i.mutex.Unlock()
		i.soak.logf("skew: most new connections go to %s for %v", target.name, duration.Round(time.Millisecond))
		i.watchReadiness(target, now.Add(duration))
	}
	return len(i.skews)
}

// watchReadiness asks the target until the skew ends whether it is ready.
func (i *skewInjector) watchReadiness(target *process, until time.Time) {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for time.Now().Before(until) {
		ready := target.isReady(client)
		i.mutex.Lock()
		i.isOut = !ready
		i.mutex.Unlock()
		time.Sleep(readinessInterval)
	}
}

// target returns the gateway to which a call goes while connections are skewed, nil otherwise. A gateway that is
// not ready is out.
func (i *skewInjector) target(random *rand.Rand) *process {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if len(i.skews) == 0 || random.Float64() >= skewedShare {
		return nil
	}
	current := i.skews[len(i.skews)-1]
	if now := time.Now(); now.After(current.to) || i.isOut {
		return nil
	}
	return current.target
}

// check checks that callers were served during skews about as often as before.
func (i *skewInjector) check() {
	for _, skewed := range i.skews {
		before := i.servedBetween(skewed.from.Add(-beforeSkew), skewed.from)
		during := i.servedBetween(skewed.from.Add(settleTime), skewed.to)
		if before.sent < minSkewedCalls || during.sent < minSkewedCalls {
			continue
		}
		summary := fmt.Sprintf("skew from %s to %s: served %d of %d calls, %d of %d before", skewed.from.Format("15:04:05.000"), skewed.target.name, during.served, during.sent, before.served, before.sent)
		i.soak.logf("%s", summary)
		if during.share() < minSkewedServed*before.share() {
			i.soak.failf("%s", summary)
		}
	}
}

// servedBetween counts the calls to undisturbed gateways in the interval.
func (i *skewInjector) servedBetween(from, to time.Time) *attempts {
	counts := &attempts{}
	for _, call := range i.soak.calls.all() {
		if call.sentAt.Before(from) || !call.sentAt.Before(to) || call.isPoison || call.usedRevokedKey || call.keyAddedAt.IsZero() || call.status == 0 {
			continue
		}
		if i.soak.undisturbedFor(call.sentAt.Add(callTimeout), call.gatewayName, gatewayStoreSubject(call.gatewayName), storeSubject) > settleTime+callTimeout {
			counts.add(call)
		}
	}
	return counts
}
