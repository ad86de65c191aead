package soak

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// crashCaller sends calls that crash runners. It has its own random source, so that the other faults of a seed
// do not change. mutex guards the random source and what the injectors that embed a crashCaller add to it.
type crashCaller struct {
	soak   *Soak
	random *rand.Rand
	// group holds the pending calls.
	group sync.WaitGroup
	mutex sync.Mutex
}

// randomInt returns a random number in [0, limit).
func (c *crashCaller) randomInt(limit int) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.random.IntN(limit)
}

// sendUntil sends calls to random gateways until the deadline, at random intervals of at most maxInterval.
// newCall returns the call with the number.
func (c *crashCaller) sendUntil(ctx context.Context, client *http.Client, deadline time.Time, maxInterval time.Duration, newCall func(number int) *callRecord) {
	s := c.soak
	for number := 0; time.Now().Before(deadline) && ctx.Err() == nil; number++ {
		target := s.processes[c.randomInt(len(s.processes))]
		call := newCall(number)
		call.tenant, call.gatewayName, call.isPoison = tenantName, target.name, true
		s.calls.add(call)
		c.group.Go(func() { s.sendCall(ctx, client, target, call, s.config.validKey()) })
		time.Sleep(time.Duration(c.randomInt(int(maxInterval))))
	}
}

// crashCause returns what a call that crashes runners has in common with others: its bad part, or its body.
func (c *callRecord) crashCause() string { return cmp.Or(c.badPart, c.body) }

// toleratedCrashes returns the number of crashes after which gateways must know the cause.
func (c *callRecord) toleratedCrashes() int {
	if c.badPart != "" {
		return maxPartCrashes
	}
	return maxContentCrashes
}

// checkLateSends checks that undisturbed gateways stopped sending what crashes runners.
func (p *poisonInjector) checkLateSends() {
	s, lateSends, tolerated := p.soak, map[string]int{}, map[string]int{}
	for _, runner := range s.runners.all() {
		for _, arrival := range runner.ArrivalLog() {
			if call, known := s.calls.find(arrival.RequestID); known && call.isPoison && p.isLateSend(call, arrival.ReceivedAt) {
				lateSends[call.crashCause()]++
				tolerated[call.crashCause()] = call.toleratedCrashes()
			}
		}
	}
	for cause, count := range lateSends {
		if count > maxLateSends {
			s.failf("ended runners: %q was sent %d times later than %v after %d of %d runner crashes", cause, count, settleTime, tolerated[cause], len(p.crashTimes[cause]))
		}
	}
}

// isLateSend reports whether the call reached a runner later than settleTime after the tolerated crashes of its
// cause, from an undisturbed gateway of the current version.
func (p *poisonInjector) isLateSend(call *callRecord, at time.Time) bool {
	crashTimes, tolerated := p.crashTimes[call.crashCause()], call.toleratedCrashes()
	if len(crashTimes) < tolerated || at.Sub(crashTimes[tolerated-1]) <= settleTime || p.soak.olderGateways[call.gatewayName] {
		return false
	}
	return p.soak.undisturbedFor(at, storeSubject, call.gatewayName, gatewayStoreSubject(call.gatewayName)) > settleTime
}
