package gateway_test

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/platform"
)

// Runners in need named a limit of one request a second in their answers, and went on to get
// what they had got before: up to 21 requests in 4 s. Routers passed the answers on and read
// nothing of them: what a runner said of itself had no way into the choice of a runner. A test
// at one router, which nobody else chooses for, got as many requests as one at six, so that it
// was not a matter of telling those who choose; the sum over several needs that as well.

const (
	// limitWindow is the time over which a limit is judged, limitShare how much of it may
	// come in that time and limitSlack how many requests beyond that.
	limitWindow = 4 * time.Second
	limitShare  = 1.5
	limitSlack  = 5
	// limitedRate is the limit that runners name, in requests a second.
	limitedRate = 1
	// limitLoad is the load of the tests, in requests a second.
	limitLoad = 60
)

// allowedInWindow is how many requests a limited runner may get in any limitWindow.
func allowedInWindow(rate float64) int {
	return int(limitShare*rate*limitWindow.Seconds() + limitSlack)
}

// signalFleet is runners of a model before routers, some of which choose for the others.
type signalFleet struct {
	*fleet
	seeds   []string
	routers []*router
	engines []*runnerstand.Runner
}

// newSignalFleet starts a router alone, or seeds with followers.
func newSignalFleet(t *testing.T, engines, seeds, followers int) *signalFleet {
	f := &signalFleet{fleet: newFleet(t)}
	f.configure(1, defaultRoutes(), goodKey)
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
		f.routers = append(f.routers, f.servingRouter(fmt.Sprintf("follower-%d", i), f.asFollower(f.seeds)))
	}
	for _, r := range f.routers {
		for _, engine := range f.engines {
			r.waitForLog(fmt.Sprintf(`"runner":"%s"`, engine.ID))
		}
	}
	return f
}

// asSeed starts a router that chooses for others, at the peer address.
func (f *signalFleet) asSeed(address string) func(*gateway.Settings) {
	return func(settings *gateway.Settings) { settings.PeerAddress, settings.Seeds = address, f.seeds }
}

// busiest returns the runners that have got the most requests.
func (f *signalFleet) busiest(count int) []*runnerstand.Runner {
	order := slices.SortedFunc(slices.Values(f.engines), func(a, b *runnerstand.Runner) int { return cmp.Compare(b.Arrivals(), a.Arrivals()) })
	return order[:count]
}

// announce has the runners bear the headers in all their answers.
func announce(runners []*runnerstand.Runner, headers ...string) {
	for _, runner := range runners {
		runner.Announce(headers...)
	}
}

// load sends requests of five families of prompts at the routers in turn.
func (f *signalFleet) load(routers []*router, duration time.Duration) *outcomes {
	got := &outcomes{}
	ticks := time.NewTicker(time.Second / limitLoad)
	defer ticks.Stop()
	for tick := range int(duration.Seconds() * limitLoad) {
		<-ticks.C
		got.askWith(routers[tick%len(routers)], "/once/x", withPrompt(fmt.Sprintf("f%d:400,own%d:50", tick%5, tick)))
	}
	got.group.Wait()
	return got
}

// mostInWindow is the most requests that reached the runner within any window after the moment.
func mostInWindow(runner *runnerstand.Runner, after time.Time) (most int) {
	var times []time.Time
	for _, arrival := range runner.ArrivalLog() {
		if arrival.At.After(after) {
			times = append(times, arrival.At)
		}
	}
	first := 0
	for last, at := range times {
		for at.Sub(times[first]) >= limitWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// arrivedAfter counts the requests that reached the runner after the moment.
func arrivedAfter(runner *runnerstand.Runner, moment time.Time) (count int) {
	for _, arrival := range runner.ArrivalLog() {
		if arrival.At.After(moment) {
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
			f.load(f.routers, time.Second)
			limited, named := f.busiest(test.limited), time.Now()
			announce(limited, platform.HeaderLimit, strconv.Itoa(limitedRate))
			counted := named.Add(contactTime)
			got := f.load(f.routers, contactTime+3*limitWindow)
			lasted := time.Since(counted).Seconds()
			t.Logf("callers: %d, served %d, refused %d, broken %d", got.sent, got.whole, got.refused, got.broken)
			for _, engine := range limited {
				rate := float64(arrivedAfter(engine, counted)) / lasted
				t.Logf("%s: at most %d in a window, %.2f a second", engine.ID, mostInWindow(engine, counted), rate)
				f.g.Expect(mostInWindow(engine, counted)).To(BeNumerically("<=", allowedInWindow(limitedRate)))
				f.g.Expect(rate).To(BeNumerically(">", 0.3*limitedRate), "only its answers tell whether it still names the limit")
				if test.limited == len(f.engines) {
					f.g.Expect(rate).To(BeNumerically(">=", 0.7*limitedRate), "the runner takes more than it gets")
				}
			}
			if test.limited < len(f.engines) {
				f.g.Expect(got.whole).To(Equal(got.sent), "other runners serve them")
			}
			f.g.Expect(got.broken).To(BeZero())
		})
	}
}

// A limit holds for as long as the runner says so, and is over soon after.
func TestLimitEndsWithTheAnswersThatNameIt(t *testing.T) {
	t.Parallel()
	f := newSignalFleet(t, 4, 3, 2)
	f.load(f.routers, time.Second)
	limited := f.busiest(1)
	announce(limited, platform.HeaderLimit, strconv.Itoa(limitedRate))
	f.load(f.routers, 6*time.Second)
	announce(limited)
	f.load(f.routers, 8*time.Second)
	free := time.Now()
	f.load(f.routers, 4*time.Second)
	f.g.Expect(mostInWindow(limited[0], free)).To(BeNumerically(">", 2*allowedInWindow(limitedRate)), "its families come back")
}

// What a router has been told binds it also when it reaches nobody who grants requests: the
// sum of routers that each go by what they see themselves has no bound.
func TestRouterThatReachesNoSchedulerKeepsToLimits(t *testing.T) {
	t.Parallel()
	f := newSignalFleet(t, 4, 1, 4)
	f.load(f.routers, time.Second)
	limited := f.busiest(1)
	announce(limited, platform.HeaderLimit, strconv.Itoa(limitedRate))
	named := time.Now()
	f.load(f.routers, contactTime)
	f.routers[0].Kill()
	got := f.load(f.routers[1:], 2*limitWindow)
	f.g.Expect(mostInWindow(limited[0], named.Add(contactTime))).To(BeNumerically("<=", allowedInWindow(limitedRate)))
	f.g.Expect(got.whole).To(Equal(got.sent), "other runners serve them")
}

// Callers that no runner takes are told when one does, at once.
func TestRefusedForLimitsAreToldWhenThereIsRoom(t *testing.T) {
	t.Parallel()
	f := newSignalFleet(t, 2, 0, 0)
	announce(f.engines, platform.HeaderLimit, "0.5")
	f.load(f.routers, 4*time.Second)
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

// Values that make no sense are logged and change nothing.
func TestLimitsThatCannotBeReadAreHarmless(t *testing.T) {
	t.Parallel()
	f := newSignalFleet(t, 2, 0, 0)
	for _, value := range []string{"NaN", "-1", "Inf", "x", "1e999"} {
		announce(f.engines, platform.HeaderLimit, value, platform.HeaderLeaving, value)
		got := f.load(f.routers, time.Second)
		f.g.Expect(got.whole).To(Equal(got.sent), value)
	}
	f.routers[0].waitForLog("what a runner says of itself cannot be read")
	announce(f.engines, platform.HeaderLimit, "1e300")
	got := f.load(f.routers, time.Second)
	f.g.Expect(got.whole).To(Equal(got.sent), "as good as none")
}

// A scheduler that restarts knows of no limit. It chose the limited runner for routers that
// know it, which took none of these choices, and the runner got nothing from then on.
func TestRestartedSchedulerLearnsLimitsFromThoseItChoosesFor(t *testing.T) {
	t.Parallel()
	f := newSignalFleet(t, 4, 1, 3)
	f.load(f.routers, time.Second)
	limited := f.busiest(1)
	announce(limited, platform.HeaderLimit, strconv.Itoa(limitedRate))
	named := time.Now()
	f.load(f.routers, contactTime)
	f.routers[0].Kill()
	f.routers[0] = f.servingRouter("seed-0-again", f.asSeed(f.seeds[0]))
	restarted := time.Now()
	got := f.load(f.routers[1:], 2*limitWindow)
	f.routers[0].waitForLog("another router told what a runner says of itself")
	f.load(f.routers[1:], limitWindow)
	f.g.Expect(got.whole).To(Equal(got.sent))
	f.g.Expect(mostInWindow(limited[0], named.Add(contactTime))).To(BeNumerically("<=", allowedInWindow(limitedRate)))
	f.g.Expect(arrivedAfter(limited[0], restarted.Add(2*limitWindow))).To(BeNumerically(">", 0))
}

// What one router hears all know soon, those that choose for others first.
func TestAllRoutersKnowWhatARunnerSays(t *testing.T) {
	t.Parallel()
	f := newSignalFleet(t, 1, 2, 8)
	announce(f.engines, platform.HeaderLimit, "5", platform.HeaderLeaving, "1")
	f.g.Expect(f.routers[len(f.routers)-1].call("/once/x", nil).status).To(Equal(http.StatusOK))
	heard := time.Now()
	for _, r := range f.routers[:len(f.routers)-1] {
		f.g.Eventually(r.log.String, time.Second, time.Millisecond).Should(ContainSubstring("another router told what a runner says of itself"))
	}
	t.Logf("all routers know after %v", time.Since(heard))
	f.g.Expect(time.Since(heard)).To(BeNumerically("<", 500*time.Millisecond))
}
