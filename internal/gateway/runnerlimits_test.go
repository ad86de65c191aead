package gateway_test

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/platform"
)

// Overloaded runners reported a limit of one request per second in their responses and still got as
// many requests as before, up to 21 in 4 s. Routers forwarded the responses and did not read the
// headers, so that a runner's limit had no effect on placement. A single router without schedulers
// sent as many as six routers did, so the problem was not only to inform the schedulers, although a
// limit on the sum over several routers requires that as well.

const (
	// limitWindow is the window in which arrivals are counted. A runner may get windowRateFactor
	// times what its limit allows in the window, plus windowBurst requests.
	limitWindow      = 4 * time.Second
	windowRateFactor = 1.5
	windowBurst      = 5
	// runnerLimit is the limit that runners report, in requests per second.
	runnerLimit = 1
	// loadRate is the rate of calls in the tests, in requests per second.
	loadRate = 60
)

// maxAllowedInWindow returns the number of requests that a runner with the limit may get in any
// limitWindow.
func maxAllowedInWindow(rate float64) int {
	return int(windowRateFactor*rate*limitWindow.Seconds() + windowBurst)
}

// signalFleet is a fleet with runners of a model and routers, some of which are schedulers.
type signalFleet struct {
	*fleet
	seeds   []string
	routers []*router
	engines []*runnerstand.Runner
}

// newSignalFleet starts a single router, or seeds with followers.
func newSignalFleet(t *testing.T, engines, seeds, followers int) *signalFleet {
	f := &signalFleet{fleet: newFleet(t)}
	f.configure(1, defaultRoutes(), validKey)
	for i := range engines {
		f.engines = append(f.engines, f.runner(fmt.Sprintf("e%d", i), "engines"))
	}
	if seeds == 0 {
		f.routers = append(f.routers, f.servingRouter("alone", nil))
	}
	for range seeds {
		f.seeds = append(f.seeds, loopback.FreeAddress())
	}
	for i, address := range f.seeds {
		f.routers = append(f.routers, f.servingRouter(fmt.Sprintf("seed-%d", i), f.asSeed(address)))
	}
	for i := range followers {
		f.routers = append(f.routers, f.servingRouter(fmt.Sprintf("follower-%d", i), f.followerSettings(f.seeds)))
	}
	for _, r := range f.routers {
		for _, engine := range f.engines {
			r.waitForLog(fmt.Sprintf(`"runner":"%s"`, engine.ID))
		}
	}
	return f
}

// asSeed returns settings for a seed, which is a scheduler, at the peer address.
func (f *signalFleet) asSeed(address string) func(*gateway.Settings) {
	return func(settings *gateway.Settings) { settings.PeerAddress, settings.Seeds = address, f.seeds }
}

// busiest returns the runners that got the most requests.
func (f *signalFleet) busiest(count int) []*runnerstand.Runner {
	order := slices.SortedFunc(slices.Values(f.engines), func(a, b *runnerstand.Runner) int { return cmp.Compare(b.ArrivalCount(), a.ArrivalCount()) })
	return order[:count]
}

// announce makes the runners add the headers to all their responses.
func announce(runners []*runnerstand.Runner, headers ...string) {
	for _, runner := range runners {
		runner.SetResponseHeaders(headers...)
	}
}

// sendLoad sends requests of five prompt families to the routers in turn.
func (f *signalFleet) sendLoad(routers []*router, duration time.Duration) *outcomes {
	got := &outcomes{}
	ticks := time.NewTicker(time.Second / loadRate)
	defer ticks.Stop()
	for tick := range int(duration.Seconds() * loadRate) {
		<-ticks.C
		got.sendWith(routers[tick%len(routers)], "/once/x", withPrompt(fmt.Sprintf("f%d:400,own%d:50", tick%5, tick)))
	}
	got.group.Wait()
	return got
}

// maxArrivalsInWindow returns the highest number of requests that reached the runner in any
// limitWindow after the given time.
func maxArrivalsInWindow(runner *runnerstand.Runner, after time.Time) (highest int) {
	var times []time.Time
	for _, arrival := range runner.ArrivalLog() {
		if arrival.ReceivedAt.After(after) {
			times = append(times, arrival.ReceivedAt)
		}
	}
	first := 0
	for last, at := range times {
		for at.Sub(times[first]) >= limitWindow {
			first++
		}
		highest = max(highest, last-first+1)
	}
	return highest
}

// arrivalsAfter returns the number of requests that reached the runner after the given time.
func arrivalsAfter(runner *runnerstand.Runner, after time.Time) (count int) {
	for _, arrival := range runner.ArrivalLog() {
		if arrival.ReceivedAt.After(after) {
			count++
		}
	}
	return count
}

func TestLimitedRunnerGetsWhatItNamed(t *testing.T) {
	for name, test := range map[string]struct{ seeds, followers, limited int }{
		"a router alone":            {0, 0, 2},
		"a seed and two followers":  {1, 2, 2},
		"three seeds and followers": {3, 3, 2},
		"all runners limited":       {3, 3, 6},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newSignalFleet(t, 6, test.seeds, test.followers)
			t.Cleanup(func() { f.logSignalsOnFailure() })
			f.sendLoad(f.routers, time.Second)
			limited, limitedAt := f.busiest(test.limited), time.Now()
			announce(limited, platform.HeaderServerLimit, strconv.Itoa(runnerLimit))
			countFrom := limitedAt.Add(propagationTime)
			got := f.sendLoad(f.routers, propagationTime+3*limitWindow)
			elapsed := time.Since(countFrom).Seconds()
			t.Logf("calls %d, served %d, refused %d, failed %d", got.sent, got.succeeded, got.refused, got.failed)
			for _, engine := range limited {
				rate := float64(arrivalsAfter(engine, countFrom)) / elapsed
				t.Logf("%s: at most %d requests in a window, %.2f per second", engine.ID, maxArrivalsInWindow(engine, countFrom), rate)
				f.g.Expect(maxArrivalsInWindow(engine, countFrom)).To(BeNumerically("<=", maxAllowedInWindow(runnerLimit)))
				f.g.Expect(rate).To(BeNumerically(">", 0.3*runnerLimit), "only responses show whether the runner still reports the limit")
				if test.limited == len(f.engines) {
					f.g.Expect(rate).To(BeNumerically(">=", 0.7*runnerLimit), "most of the limit is used")
				}
			}
			if test.limited < len(f.engines) {
				f.g.Expect(got.succeeded).To(Equal(got.sent), "other runners serve all calls")
			}
			f.g.Expect(got.failed).To(BeZero())
		})
	}
}

// logSignalsOnFailure logs what the routers knew about the runners if the test has failed, and what they sent to
// them.
func (f *signalFleet) logSignalsOnFailure() {
	if !f.t.Failed() {
		return
	}
	for _, r := range f.routers {
		for _, runner := range r.Status().Runners {
			f.t.Logf("%s: %+v", r.address, runner)
		}
		for _, event := range []string{`"event":513`, `"event":519`, `"event":523`, `"event":831`} {
			for line := range strings.Lines(r.log.String()) {
				if strings.Contains(line, event) {
					f.t.Log(strings.TrimSpace(line))
				}
			}
		}
	}
	for _, engine := range f.engines {
		var arrivals []string
		for _, arrival := range engine.ArrivalLog() {
			arrivals = append(arrivals, arrival.ReceivedAt.Format("05.000"))
		}
		f.t.Logf("%s: arrivals %s", engine.ID, strings.Join(arrivals, " "))
	}
}

// A limit applies while the runner's responses report it, and ends soon after.
func TestLimitEndsWhenResponsesStopReportingIt(t *testing.T) {
	t.Parallel()
	f := newSignalFleet(t, 4, 3, 2)
	f.sendLoad(f.routers, time.Second)
	limited := f.busiest(1)
	announce(limited, platform.HeaderServerLimit, strconv.Itoa(runnerLimit))
	f.sendLoad(f.routers, 6*time.Second)
	announce(limited)
	f.sendLoad(f.routers, 8*time.Second)
	limitLiftedAt := time.Now()
	f.sendLoad(f.routers, 4*time.Second)
	f.g.Expect(maxArrivalsInWindow(limited[0], limitLiftedAt)).To(BeNumerically(">", 2*maxAllowedInWindow(runnerLimit)), "its prompt families return")
}

// A router respects the limits that it knows even if it reaches no scheduler. If each router went
// only by the limits in its own responses, nothing would bound their sum.
func TestRouterWithoutSchedulerRespectsLimits(t *testing.T) {
	t.Parallel()
	f := newSignalFleet(t, 4, 1, 4)
	f.sendLoad(f.routers, time.Second)
	limited := f.busiest(1)
	announce(limited, platform.HeaderServerLimit, strconv.Itoa(runnerLimit))
	limitedAt := time.Now()
	f.sendLoad(f.routers, propagationTime)
	f.routers[0].Kill()
	got := f.sendLoad(f.routers[1:], 2*limitWindow)
	f.g.Expect(maxArrivalsInWindow(limited[0], limitedAt.Add(propagationTime))).To(BeNumerically("<=", maxAllowedInWindow(runnerLimit)))
	f.g.Expect(got.succeeded).To(Equal(got.sent), "other runners serve all calls")
}

// Callers whom no runner accepts are refused at once and told when a runner will accept them.
func TestLimitRefusalReportsRetryAfter(t *testing.T) {
	t.Parallel()
	f := newSignalFleet(t, 2, 0, 0)
	announce(f.engines, platform.HeaderServerLimit, "0.5")
	f.sendLoad(f.routers, 4*time.Second)
	r := f.routers[0]
	refused := r.call("/once/x", nil)
	for refused.status == http.StatusOK {
		refused = r.call("/once/x", nil)
	}
	f.g.Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
	f.g.Expect(refused.duration).To(BeNumerically("<", 250*time.Millisecond))
	seconds, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
	f.g.Expect(err).NotTo(HaveOccurred())
	f.g.Expect(seconds).To(And(BeNumerically(">", 0), BeNumerically("<=", 10)))
	time.Sleep(time.Duration(seconds * float64(time.Second)))
	f.g.Expect(r.call("/once/x", nil).status).To(Equal(http.StatusOK))
}

// Malformed values are logged and have no other effect.
func TestMalformedLimitsAreIgnored(t *testing.T) {
	t.Parallel()
	f := newSignalFleet(t, 2, 0, 0)
	for _, value := range []string{"NaN", "-1", "Inf", "x", "1e999"} {
		announce(f.engines, platform.HeaderServerLimit, value, platform.HeaderServerLeaving, value)
		got := f.sendLoad(f.routers, time.Second)
		f.g.Expect(got.succeeded).To(Equal(got.sent), value)
	}
	f.routers[0].waitForLog("signal headers of a runner cannot be read")
	announce(f.engines, platform.HeaderServerLimit, "1e300")
	got := f.sendLoad(f.routers, time.Second)
	f.g.Expect(got.succeeded).To(Equal(got.sent), "such a high limit has no effect")
}

// A restarted scheduler knows no limits. It kept choosing the limited runner for routers that knew
// the limit and rejected these choices, so that the runner got no requests at all.
func TestRestartedSchedulerLearnsLimitsFromRouters(t *testing.T) {
	t.Parallel()
	f := newSignalFleet(t, 4, 1, 3)
	f.sendLoad(f.routers, time.Second)
	limited := f.busiest(1)
	announce(limited, platform.HeaderServerLimit, strconv.Itoa(runnerLimit))
	limitedAt := time.Now()
	f.sendLoad(f.routers, propagationTime)
	f.routers[0].Kill()
	f.routers[0] = f.servingRouter("seed-0-again", f.asSeed(f.seeds[0]))
	restartedAt := time.Now()
	got := f.sendLoad(f.routers[1:], 2*limitWindow)
	f.routers[0].waitForLog("received a runner's signal from another router")
	f.sendLoad(f.routers[1:], limitWindow)
	f.g.Expect(got.succeeded).To(Equal(got.sent))
	f.g.Expect(maxArrivalsInWindow(limited[0], limitedAt.Add(propagationTime))).To(BeNumerically("<=", maxAllowedInWindow(runnerLimit)))
	f.g.Expect(arrivalsAfter(limited[0], restartedAt.Add(2*limitWindow))).To(BeNumerically(">", 0))
}

// All routers soon know the signals that one of them receives, the schedulers first.
func TestSignalsReachAllRouters(t *testing.T) {
	t.Parallel()
	f := newSignalFleet(t, 1, 2, 8)
	announce(f.engines, platform.HeaderServerLimit, "5", platform.HeaderServerLeaving, "1")
	f.g.Expect(f.routers[len(f.routers)-1].call("/once/x", nil).status).To(Equal(http.StatusOK))
	receivedAt := time.Now()
	for _, r := range f.routers[:len(f.routers)-1] {
		f.g.Eventually(r.log.String, time.Second, time.Millisecond).Should(ContainSubstring("received a runner's signal from another router"))
	}
	t.Logf("all routers know the signals after %v", time.Since(receivedAt))
	f.g.Expect(time.Since(receivedAt)).To(BeNumerically("<", 500*time.Millisecond))
}
