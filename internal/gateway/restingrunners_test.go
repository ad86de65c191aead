package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/platform"
)

// Runners that refused requests and requested a backoff of 3 s got up to 8 more requests from the
// same router in that time. A refusal made routers avoid the runner for 0.15 s regardless of the
// requested backoff, and only as a preference, and the schedulers that choose for others did not
// learn of it, so that the second attempt of a request also went to a runner in backoff. A single
// router sent as many, so the cause was the duration, whatever the number of routers.

const (
	// backoffTime is the backoff that runners request, and backoffSeconds the same as a header
	// value.
	backoffTime    = 3 * time.Second
	backoffSeconds = "3"
	// maxSendsInBackoff is the number of requests that a runner may get from one router between
	// backoffSlack after it requested a backoff and the end of the backoff.
	backoffSlack      = 500 * time.Millisecond
	maxSendsInBackoff = 2
)

// refuseWithBackoff makes the runners refuse all requests and request a backoff.
func refuseWithBackoff(runners []*runnerstand.Runner) {
	announce(runners, platform.HeaderRetryAfter, backoffSeconds)
	for _, runner := range runners {
		runner.SetBehaviour(runnerstand.Sheds)
	}
}

// sendLoadByRouter is like sendLoad with the number of the router in the path of each request.
func (f *signalFleet) sendLoadByRouter(duration time.Duration) *outcomes {
	got := &outcomes{}
	ticks := time.NewTicker(time.Second / loadRate)
	defer ticks.Stop()
	for tick := range int(duration.Seconds() * loadRate) {
		<-ticks.C
		number := tick % len(f.routers)
		got.sendWith(f.routers[number], fmt.Sprintf("/once/%d", number), withPrompt(fmt.Sprintf("f%d:400,own%d:50", tick%5, tick)))
	}
	got.group.Wait()
	return got
}

// maxArrivalsInBackoff returns the highest number of requests that reached the runner from one
// router during a backoff that it had requested from that router.
func maxArrivalsInBackoff(runner *runnerstand.Runner, since time.Time) (highest int) {
	byRouter := map[string][]time.Time{}
	for _, arrival := range runner.ArrivalLog() {
		if arrival.ReceivedAt.After(since) {
			router := arrival.Path[strings.LastIndex(arrival.Path, "/"):]
			byRouter[router] = append(byRouter[router], arrival.ReceivedAt)
		}
	}
	for _, arrivals := range byRouter {
		for i, start := range arrivals {
			count := 0
			for _, at := range arrivals[i+1:] {
				if at.Sub(start) >= backoffSlack && at.Sub(start) < backoffTime {
					count++
				}
			}
			highest = max(highest, count)
		}
	}
	return highest
}

func TestRestingRunnerIsLeftAlone(t *testing.T) {
	for name, test := range map[string]struct{ seeds, followers, backingOff int }{
		"a router alone":            {0, 0, 2},
		"three seeds and followers": {3, 3, 2},
		"all runners in backoff":    {1, 2, 6},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newSignalFleet(t, 6, test.seeds, test.followers)
			f.sendLoadByRouter(time.Second)
			backingOff, since := f.busiest(test.backingOff), time.Now()
			refuseWithBackoff(backingOff)
			got := f.sendLoadByRouter(2*backoffTime + time.Second)
			t.Logf("calls %d, served %d, refused %d", got.sent, got.succeeded, got.refused)
			for _, runner := range backingOff {
				t.Logf("%s: at most %d requests in a backoff, %d in total", runner.ID, maxArrivalsInBackoff(runner, since), arrivalsAfter(runner, since))
				f.g.Expect(maxArrivalsInBackoff(runner, since)).To(BeNumerically("<=", maxSendsInBackoff))
			}
			f.g.Expect(got.failed).To(BeZero())
			if test.backingOff < len(f.engines) {
				f.g.Expect(got.succeeded).To(Equal(got.sent), "other runners serve all calls")
			}
			for _, runner := range backingOff {
				runner.SetBehaviour(runnerstand.Normal)
			}
			time.Sleep(backoffTime)
			got = f.sendLoadByRouter(2 * time.Second)
			f.g.Expect(got.succeeded).To(Equal(got.sent), "the backoff is over")
		})
	}
}

// Where all runners are in backoff, callers are refused at once with the time until the first one
// accepts requests again.
func TestRefusalReportsEndOfBackoff(t *testing.T) {
	t.Parallel()
	f := newSignalFleet(t, 2, 0, 0)
	refuseWithBackoff(f.engines)
	r := f.routers[0]
	backoffStart := time.Now()
	r.call("/once/x", nil)
	refused := r.call("/once/x", nil)
	f.g.Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
	f.g.Expect(refused.duration).To(BeNumerically("<", 250*time.Millisecond))
	seconds, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
	f.g.Expect(err).NotTo(HaveOccurred())
	f.g.Expect(time.Now().Add(time.Duration(seconds * float64(time.Second)))).To(BeTemporally("~", backoffStart.Add(backoffTime), 300*time.Millisecond))
}

// A refusal with a malformed backoff is treated like a refusal without one.
func TestMalformedBackoffIsIgnored(t *testing.T) {
	t.Parallel()
	f := newSignalFleet(t, 2, 0, 0)
	for _, value := range []string{"-3", "NaN", "soon", "1e999"} {
		announce(f.engines, platform.HeaderRetryAfter, value)
		for _, engine := range f.engines {
			engine.SetBehaviourOnce(runnerstand.Sheds)
		}
		f.sendLoad(f.routers, time.Second)
		got := f.sendLoad(f.routers, time.Second)
		f.g.Expect(got.succeeded).To(Equal(got.sent), value)
	}
}
