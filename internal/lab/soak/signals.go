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

// What runners say of themselves in their answers.
const (
	// signalGap is the mean pause before another runner says something, and signalLeast and
	// signalMost bound how long it says so.
	signalGap               = 1500 * time.Millisecond
	signalLeast, signalMost = 5 * time.Second, 12 * time.Second
	// restMost is the longest rest that is asked for.
	restMost = 4 * time.Second
	// heardTime is how long after a gateway was told of a limit or asked for rest it is held to
	// that.
	heardTime = 500 * time.Millisecond
	// restBorne is how many requests a runner may get from a gateway in a rest.
	restBorne = 2
	// In any limitWindow a runner may get limitShare of its limit, and limitSlack requests
	// beyond.
	limitWindow = 4 * time.Second
	limitShare  = 1.5
	limitSlack  = 5
)

// limitRates are the limits that runners name, in requests a second.
var limitRates = []float64{0, 0.5, 1, 3, 10}

// signalKind is one thing that runners say.
type signalKind uint8

const (
	saysLimit signalKind = iota
	saysLeaving
	asksForRest
	signalKinds
)

// signalSpan is a time in which a runner says something.
type signalSpan struct {
	span
	kind signalKind
	rate float64
}

// told is an answer that a gateway has passed on, by whom and of which runner.
type told struct{ gateway, runner string }

// signals has runners say things of themselves, and checks that gateways keep to it. It draws
// from a random source of its own, so that a seed's other faults stay the same.
type signals struct {
	soak   *Soak
	random *rand.Rand
	group  sync.WaitGroup
	mutex  sync.Mutex
	spans  map[string][]*signalSpan
	// passedOn holds when gateways passed on answers that say something, by kind.
	passedOn [signalKinds]map[told][]time.Time
}

func newSignals(s *Soak) *signals {
	f := &signals{soak: s, random: rand.New(rand.NewPCG(s.settings.Seed, s.settings.Seed+4)), spans: map[string][]*signalSpan{}}
	for kind := range f.passedOn {
		f.passedOn[kind] = map[told][]time.Time{}
	}
	return f
}

// run has one runner after the other say something until the time is over, and returns how
// many did.
func (f *signals) run(ctx context.Context, deadline time.Time) (count int) {
	for time.Now().Before(deadline) && ctx.Err() == nil {
		time.Sleep(signalGap/2 + time.Duration(f.random.Int64N(int64(signalGap))))
		living := f.soak.runners.living()
		count += f.begin(living[f.random.IntN(len(living))], signalKind(f.random.IntN(int(signalKinds))))
	}
	f.group.Wait()
	return count
}

// begin has the runner say something for a while, unless it says something already.
func (f *signals) begin(runner *runnerstand.Runner, kind signalKind) int {
	duration := signalLeast + time.Duration(f.random.Int64N(int64(signalMost-signalLeast)))
	rate, rest := limitRates[f.random.IntN(len(limitRates))], time.Duration(f.random.Int64N(int64(restMost)))
	listedAfter := time.Duration(f.random.Int64N(int64(2 * duration)))
	if f.speaks(runner.ID) {
		return 0
	}
	current := f.note(runner.ID, kind, rate)
	f.group.Go(func() {
		switch kind {
		case saysLimit:
			f.limit(runner, rate, duration)
		case saysLeaving:
			f.leave(runner, listedAfter, duration)
		case asksForRest:
			f.rest(runner, rest, duration)
		}
		f.mutex.Lock()
		defer f.mutex.Unlock()
		current.to = time.Now()
	})
	return 1
}

func (f *signals) speaks(id string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	spans := f.spans[id]
	return len(spans) > 0 && spans[len(spans)-1].to.IsZero()
}

func (f *signals) note(id string, kind signalKind, rate float64) *signalSpan {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	current := &signalSpan{span: span{from: time.Now()}, kind: kind, rate: rate}
	f.spans[id] = append(f.spans[id], current)
	return current
}

func (f *signals) limit(runner *runnerstand.Runner, rate float64, duration time.Duration) {
	f.soak.say("signal: %s takes %v requests a second for %v", runner.ID, rate, duration.Round(time.Millisecond))
	runner.SetResponseHeaders(platform.HeaderServerLimit, strconv.FormatFloat(rate, 'f', -1, 64))
	time.Sleep(duration)
	runner.SetResponseHeaders()
}

// leave has the runner leave, which its entry says later or not at all, and start again.
func (f *signals) leave(runner *runnerstand.Runner, listedAfter, duration time.Duration) {
	f.soak.say("signal: %s leaves for %v, by its entry after %v", runner.ID, duration.Round(time.Millisecond), listedAfter.Round(time.Millisecond))
	runner.SetResponseHeaders(platform.HeaderServerLeaving, "1")
	comeBack := func() {}
	time.Sleep(min(listedAfter, duration))
	if listedAfter < duration {
		comeBack = f.soak.runners.leave(runner)
		time.Sleep(duration - listedAfter)
	}
	runner.SetResponseHeaders()
	runner.Restart()
	comeBack()
	f.soak.runners.list(runner)
}

func (f *signals) rest(runner *runnerstand.Runner, rest, duration time.Duration) {
	f.soak.say("signal: %s turns all away for %v and asks for %v of rest", runner.ID, duration.Round(time.Millisecond), rest.Round(time.Millisecond))
	runner.SetResponseHeaders(platform.HeaderRetryAfter, fmt.Sprintf("%.3f", rest.Seconds()))
	runner.SetBehaviour(runnerstand.Sheds)
	time.Sleep(duration)
	runner.SetBehaviour(runnerstand.Normal)
	runner.SetResponseHeaders()
}

// hear notes what an answer said that the gateway passed on.
func (f *signals) hear(gateway string, header http.Header) {
	runner, _, stamped := strings.Cut(header.Get(platform.HeaderResponseStamp), ".")
	if !stamped {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	key := told{gateway, runner}
	if header.Get(platform.HeaderServerLeaving) != "" {
		f.passedOn[saysLeaving][key] = append(f.passedOn[saysLeaving][key], time.Now())
	}
	if header.Get(platform.HeaderServerLimit) != "" {
		f.passedOn[saysLimit][key] = append(f.passedOn[saysLimit][key], time.Now())
	}
}

// sent is a request that reached a runner, with the gateway that sent it and the moment at
// which its caller asked.
type sent struct {
	runnerstand.Arrival
	gateway string
	asked   time.Time
}

// check checks what runners got against what they had said.
func (f *signals) check() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, runner := range f.soak.runners.all() {
		arrivals := f.arrivals(runner)
		for _, spoken := range f.spans[runner.ID] {
			switch spoken.kind {
			case saysLeaving:
				f.checkLeaving(runner.ID, spoken, arrivals)
			case saysLimit:
				f.checkLimit(runner.ID, spoken, arrivals)
			}
		}
		f.checkRests(runner.ID, arrivals)
	}
}

// arrivals returns the requests of gateways of this version that reached the runner, in order.
func (f *signals) arrivals(runner *runnerstand.Runner) (arrivals []sent) {
	for _, arrival := range runner.ArrivalLog() {
		if call, known := f.soak.calls.find(arrival.RequestID); known && !f.soak.older[call.process] {
			arrivals = append(arrivals, sent{arrival, call.process, call.sent})
		}
	}
	slices.SortFunc(arrivals, func(a, b sent) int { return a.ReceivedAt.Compare(b.ReceivedAt) })
	return arrivals
}

// within tells whether the runner said so at the moment.
func (s *signalSpan) within(moment time.Time) bool {
	return moment.After(s.from) && (s.to.IsZero() || moment.Before(s.to))
}

// toldAt is when the gateway first passed on such an answer of the span that it may not have
// forgotten since, by a restart; false for none up to the moment.
func (f *signals) toldAt(kind signalKind, spoken *signalSpan, key told, moment time.Time) (time.Time, bool) {
	disturbed := f.soak.disturbances.last(moment, key.gateway)
	for _, at := range f.passedOn[kind][key] {
		if spoken.within(at) && at.After(disturbed) && at.Before(moment) {
			return at, true
		}
	}
	return time.Time{}, false
}

// checkLeaving checks that no gateway sends a runner what a caller asked later than drainTime
// after the gateway had passed on that it leaves.
func (f *signals) checkLeaving(runner string, spoken *signalSpan, arrivals []sent) {
	for _, arrival := range arrivals {
		at, known := f.toldAt(saysLeaving, spoken, told{arrival.gateway, runner}, arrival.ReceivedAt)
		if known && spoken.within(arrival.ReceivedAt) && arrival.asked.Sub(at) > drainTime {
			f.soak.fail("leaving: %s reached %s at %s, %v after %s had passed on that it leaves", arrival.RequestID, runner, clockTime(arrival.ReceivedAt), arrival.asked.Sub(at), arrival.gateway)
			return
		}
	}
}

// checkLimit checks the sum of what gateways send that were told of the limit.
func (f *signals) checkLimit(runner string, spoken *signalSpan, arrivals []sent) {
	allowed := int(limitShare*spoken.rate*limitWindow.Seconds() + limitSlack)
	var counted []time.Time
	for _, arrival := range arrivals {
		if !spoken.within(arrival.ReceivedAt) || arrival.ReceivedAt.Sub(spoken.from) < contactTime {
			continue
		}
		at, known := f.toldAt(saysLimit, spoken, told{arrival.gateway, runner}, arrival.ReceivedAt)
		if !known || arrival.ReceivedAt.Sub(at) < heardTime {
			continue
		}
		counted = append(counted, arrival.ReceivedAt)
		for arrival.ReceivedAt.Sub(counted[0]) >= limitWindow {
			counted = counted[1:]
		}
		if len(counted) > allowed {
			f.soak.fail("limit: %s, which takes %v a second, got %d requests in %v up to %s", runner, spoken.rate, len(counted), limitWindow, clockTime(arrival.ReceivedAt))
			return
		}
	}
}

// checkRests checks that a gateway that was asked for rest leaves the runner alone. An answer
// that it may not have got, over a path that was disturbed, binds it to nothing.
func (f *signals) checkRests(runner string, arrivals []sent) {
	for i, asked := range arrivals {
		if asked.RetryAfter == 0 || f.soak.calm(asked.ReceivedAt.Add(heardTime), asked.gateway, pathTo(runner)) <= heardTime {
			continue
		}
		count := 0
		for _, arrival := range arrivals[i+1:] {
			after := arrival.ReceivedAt.Sub(asked.ReceivedAt)
			if arrival.gateway == asked.gateway && after >= heardTime && after < asked.RetryAfter && f.soak.calm(arrival.ReceivedAt, asked.gateway) > after {
				count++
			}
		}
		if count > restBorne {
			f.soak.fail("rest: %s had asked %s for %v of rest at %s and got %d requests from it", runner, asked.gateway, asked.RetryAfter, clockTime(asked.ReceivedAt), count)
			return
		}
	}
}
