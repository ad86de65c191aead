package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/platform"
)

// Signals that runners send about themselves in response headers.
const (
	// meanSignalInterval is the mean interval before another runner sends a signal, and
	// minSignalDuration and maxSignalDuration bound how long it sends the signal.
	meanSignalInterval                   = 1500 * time.Millisecond
	minSignalDuration, maxSignalDuration = 5 * time.Second, 12 * time.Second
	// maxBackoff is the maximum backoff that a runner asks for.
	maxBackoff = 4 * time.Second
	// maxReactionTime is the time within which a gateway must react to a rate limit or to a request
	// for backoff.
	maxReactionTime = 500 * time.Millisecond
	// maxRequestsInBackoff is how many requests a gateway may send to a runner during a backoff
	// that the runner asked for.
	maxRequestsInBackoff = 2
	// During any limitWindow a runner may receive limitFactor times its rate limit plus limitSlack
	// requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// limitRates are the rate limits that runners set, in requests per second.
var limitRates = []float64{0, 0.5, 1, 3, 10}

// signalKind is a kind of signal.
type signalKind uint8

const (
	// limitSignal announces a rate limit.
	limitSignal signalKind = iota
	// leavingSignal announces that the runner is leaving.
	leavingSignal
	// backoffSignal asks for backoff while the runner refuses all calls.
	backoffSignal
	signalKindCount
)

// signalInterval is an interval during which a runner sends a signal. rate is the rate limit of a
// limitSignal.
type signalInterval struct {
	interval
	kind signalKind
	rate float64
}

// gatewayRunner identifies the responses of a runner that a gateway forwarded.
type gatewayRunner struct{ gateway, runner string }

// signalInjector makes runners send signals, and checks that gateways obey them. It has its own
// random source, so that the other faults of a seed do not change.
type signalInjector struct {
	soak      *Soak
	random    *rand.Rand
	group     sync.WaitGroup
	mutex     sync.Mutex
	intervals map[string][]*signalInterval
	// forwardedAt holds when gateways forwarded responses with a signal, by kind.
	forwardedAt [signalKindCount]map[gatewayRunner][]time.Time
}

func newSignalInjector(s *Soak) *signalInjector {
	f := &signalInjector{soak: s, random: rand.New(rand.NewPCG(s.settings.Seed, s.settings.Seed+4)), intervals: map[string][]*signalInterval{}}
	for kind := range f.forwardedAt {
		f.forwardedAt[kind] = map[gatewayRunner][]time.Time{}
	}
	return f
}

// run makes random runners send signals until the deadline and returns the number of signals.
func (f *signalInjector) run(ctx context.Context, deadline time.Time) (count int) {
	for time.Now().Before(deadline) && ctx.Err() == nil {
		time.Sleep(meanSignalInterval/2 + time.Duration(f.random.Int64N(int64(meanSignalInterval))))
		running := f.soak.runners.running()
		count += f.startSignal(running[f.random.IntN(len(running))], signalKind(f.random.IntN(int(signalKindCount))))
	}
	f.group.Wait()
	return count
}

// startSignal makes the runner send a signal for a while, unless it is sending one already. It
// returns the number of signals started.
func (f *signalInjector) startSignal(runner *runnerstand.Runner, kind signalKind) int {
	duration := minSignalDuration + time.Duration(f.random.Int64N(int64(maxSignalDuration-minSignalDuration)))
	rate, backoff := limitRates[f.random.IntN(len(limitRates))], time.Duration(f.random.Int64N(int64(maxBackoff)))
	entryDelay := time.Duration(f.random.Int64N(int64(2 * duration)))
	if f.isSignalling(runner.ID) {
		return 0
	}
	current := f.recordSignal(runner.ID, kind, rate)
	f.group.Go(func() {
		switch kind {
		case limitSignal:
			f.signalLimit(runner, rate, duration)
		case leavingSignal:
			f.signalLeaving(runner, entryDelay, duration)
		case backoffSignal:
			f.signalBackoff(runner, backoff, duration)
		}
		f.mutex.Lock()
		defer f.mutex.Unlock()
		current.to = time.Now()
	})
	return 1
}

// isSignalling reports whether the runner is sending a signal.
func (f *signalInjector) isSignalling(id string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	intervals := f.intervals[id]
	return len(intervals) > 0 && intervals[len(intervals)-1].to.IsZero()
}

// recordSignal records the start of a signal.
func (f *signalInjector) recordSignal(id string, kind signalKind, rate float64) *signalInterval {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	current := &signalInterval{interval: interval{from: time.Now()}, kind: kind, rate: rate}
	f.intervals[id] = append(f.intervals[id], current)
	return current
}

// signalLimit makes the runner announce a rate limit.
func (f *signalInjector) signalLimit(runner *runnerstand.Runner, rate float64, duration time.Duration) {
	f.soak.logf("signal: %s announces a limit of %v requests per second for %v", runner.ID, rate, duration.Round(time.Millisecond))
	runner.SetResponseHeaders(platform.HeaderServerLimit, strconv.FormatFloat(rate, 'f', -1, 64))
	time.Sleep(duration)
	runner.SetResponseHeaders()
}

// signalLeaving makes the runner announce that it is leaving and then restarts it. Its directory
// entry shows the drain after entryDelay, or never if that is longer than the duration.
func (f *signalInjector) signalLeaving(runner *runnerstand.Runner, entryDelay, duration time.Duration) {
	f.soak.logf("signal: %s announces for %v that it is leaving, and its directory entry shows that after %v", runner.ID, duration.Round(time.Millisecond), entryDelay.Round(time.Millisecond))
	runner.SetResponseHeaders(platform.HeaderServerLeaving, "1")
	stopDraining := func() {}
	time.Sleep(min(entryDelay, duration))
	if entryDelay < duration {
		stopDraining = f.soak.runners.startDraining(runner)
		time.Sleep(duration - entryDelay)
	}
	runner.SetResponseHeaders()
	runner.Restart()
	stopDraining()
	f.soak.runners.writeEntry(runner)
}

// signalBackoff makes the runner refuse all calls and ask for backoff.
func (f *signalInjector) signalBackoff(runner *runnerstand.Runner, backoff, duration time.Duration) {
	f.soak.logf("signal: %s refuses all calls for %v and asks for a backoff of %v", runner.ID, duration.Round(time.Millisecond), backoff.Round(time.Millisecond))
	runner.SetResponseHeaders(platform.HeaderRetryAfter, fmt.Sprintf("%.3f", backoff.Seconds()))
	runner.SetBehaviour(runnerstand.Sheds)
	time.Sleep(duration)
	f.soak.runners.endMisbehaviour(runner)
	runner.SetResponseHeaders()
}

// recordForwarded records the signals in the headers of a response that the gateway forwarded.
func (f *signalInjector) recordForwarded(gateway string, header http.Header) {
	runner, _, stamped := strings.Cut(header.Get(platform.HeaderResponseStamp), ".")
	if !stamped {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	key := gatewayRunner{gateway, runner}
	if header.Get(platform.HeaderServerLeaving) != "" {
		f.forwardedAt[leavingSignal][key] = append(f.forwardedAt[leavingSignal][key], time.Now())
	}
	if header.Get(platform.HeaderServerLimit) != "" {
		f.forwardedAt[limitSignal][key] = append(f.forwardedAt[limitSignal][key], time.Now())
	}
}

// receivedRequest is a request that reached a runner, with the gateway that sent it and the time at
// which the caller sent the call.
type receivedRequest struct {
	runnerstand.Arrival
	gateway string
	sentAt  time.Time
}

// checkSignals checks the requests that runners received against the signals that they sent.
func (f *signalInjector) checkSignals() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, runner := range f.soak.runners.all() {
		arrivals := f.receivedRequests(runner)
		for _, signal := range f.intervals[runner.ID] {
			switch signal.kind {
			case leavingSignal:
				f.checkLeaving(runner.ID, signal, arrivals)
			case limitSignal:
				f.checkLimit(runner.ID, signal, arrivals)
			}
		}
		f.checkBackoffs(runner.ID, arrivals)
	}
}

// receivedRequests returns the requests that the runner received from gateways of the current
// version, oldest first.
func (f *signalInjector) receivedRequests(runner *runnerstand.Runner) (arrivals []receivedRequest) {
	for _, arrival := range runner.ArrivalLog() {
		if call, known := f.soak.calls.find(arrival.RequestID); known && !f.soak.olderGateways[call.gatewayName] {
			arrivals = append(arrivals, receivedRequest{arrival, call.gatewayName, call.sentAt})
		}
	}
	slices.SortFunc(arrivals, func(a, b receivedRequest) int { return a.ReceivedAt.Compare(b.ReceivedAt) })
	return arrivals
}

// covers reports whether the runner sent the signal at the moment.
func (s *signalInterval) covers(moment time.Time) bool {
	return moment.After(s.from) && (s.to.IsZero() || moment.Before(s.to))
}

// firstForwardedAt returns when the gateway first forwarded the signal before the moment. Responses
// before the gateway's last disturbance do not count, since a restart may have erased them. It
// returns false if there is none.
func (f *signalInjector) firstForwardedAt(kind signalKind, signal *signalInterval, key gatewayRunner, moment time.Time) (time.Time, bool) {
	disturbed := f.soak.disturbances.lastDisturbed(moment, key.gateway)
	for _, at := range f.forwardedAt[kind][key] {
		if signal.covers(at) && at.After(disturbed) && at.Before(moment) {
			return at, true
		}
	}
	return time.Time{}, false
}

// checkLeaving checks that no gateway sends a leaving runner a call that its caller sent later than
// maxDrainDelay after the gateway had forwarded the signal.
func (f *signalInjector) checkLeaving(runner string, signal *signalInterval, arrivals []receivedRequest) {
	for _, arrival := range arrivals {
		forwardedAt, known := f.firstForwardedAt(leavingSignal, signal, gatewayRunner{arrival.gateway, runner}, arrival.ReceivedAt)
		if known && signal.covers(arrival.ReceivedAt) && arrival.sentAt.Sub(forwardedAt) > maxDrainDelay {
			f.soak.failf("leaving: %s reached %s at %s, %v after %s had forwarded its leaving signal", arrival.RequestID, runner, formatTime(arrival.ReceivedAt), arrival.sentAt.Sub(forwardedAt), arrival.gateway)
			return
		}
	}
}

// checkLimit checks that the gateways that know of a rate limit together obey it.
func (f *signalInjector) checkLimit(runner string, signal *signalInterval, arrivals []receivedRequest) {
	allowed := int(limitFactor*signal.rate*limitWindow.Seconds() + limitSlack)
	var counted []time.Time
	for _, arrival := range arrivals {
		if !signal.covers(arrival.ReceivedAt) || arrival.ReceivedAt.Sub(signal.from) < settleTime {
			continue
		}
		forwardedAt, known := f.firstForwardedAt(limitSignal, signal, gatewayRunner{arrival.gateway, runner}, arrival.ReceivedAt)
		if !known || arrival.ReceivedAt.Sub(forwardedAt) < maxReactionTime {
			continue
		}
		counted = append(counted, arrival.ReceivedAt)
		for arrival.ReceivedAt.Sub(counted[0]) >= limitWindow {
			counted = counted[1:]
		}
		if len(counted) > allowed {
			f.soak.failf("limit: %s, which is limited to %v requests per second, got %d requests in %v up to %s", runner, signal.rate, len(counted), limitWindow, formatTime(arrival.ReceivedAt))
			return
		}
	}
}

// checkBackoffs checks that a gateway sends at most maxRequestsInBackoff requests to a runner that
// asked it for backoff. Refusals that the gateway may not have received, because the path was
// disturbed, do not count.
func (f *signalInjector) checkBackoffs(runner string, arrivals []receivedRequest) {
	for i, refused := range arrivals {
		if refused.RetryAfter == 0 || f.soak.undisturbedFor(refused.ReceivedAt.Add(maxReactionTime), refused.gateway, runnerPathSubject(runner)) <= maxReactionTime {
			continue
		}
		if f.isCut(refused.gateway, refused.ReceivedAt) {
			// The response may never have reached the gateway.
			continue
		}
		count := 0
		for _, arrival := range arrivals[i+1:] {
			sinceRefusal := arrival.ReceivedAt.Sub(refused.ReceivedAt)
			if arrival.gateway == refused.gateway && sinceRefusal >= maxReactionTime && sinceRefusal < refused.RetryAfter && f.soak.undisturbedFor(arrival.ReceivedAt, refused.gateway) > sinceRefusal && !f.isCut(refused.gateway, arrival.ReceivedAt) {
				count++
			}
		}
		if count > maxRequestsInBackoff {
			f.soak.failf("rest: %s had asked %s for a backoff of %v at %s and got %d requests from it", runner, refused.gateway, refused.RetryAfter, formatTime(refused.ReceivedAt), count)
			return
		}
	}
}

// isCut reports whether the gateway is cut off any runner at the moment. Requests from its callers may then come from another gateway,
// to which it forwards them.
func (f *signalInjector) isCut(gateway string, moment time.Time) bool {
	p := f.soak.partitions
	if p == nil {
		return false
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.isCutLocked(gateway, moment)
}
