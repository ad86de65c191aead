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

// Runners that turned requests away and asked for 3 s of rest got up to 8 more from the same
// router in that time. A refusal set its runner aside for 0.15 s, whatever it asked for, and as
// a preference only, and schedulers that choose for others did not hear of it: the second try of
// a request went to a runner that rested, too. One router alone sends as many, so that the
// time is the cause at any number of routers.

const (
	// restTime is the rest that runners ask for, and restSeconds the same in their answers.
	restTime    = 3 * time.Second
	restSeconds = "3"
	// restBorne is how many requests a runner may get from one router from restSlack after it
	// has asked it for rest until the end of that.
	restSlack = 500 * time.Millisecond
	restBorne = 2
)

// shed has the runners turn all requests away and ask for rest.
func shed(runners []*runnerstand.Runner) {
	announce(runners, platform.HeaderRetryAfter, restSeconds)
	for _, runner := range runners {
		runner.Behave(runnerstand.Sheds)
	}
}

// loadNamed is load with the router's number in the path of each request.
func (f *signalFleet) loadNamed(duration time.Duration) *outcomes {
	got := &outcomes{}
	ticks := time.NewTicker(time.Second / limitLoad)
	defer ticks.Stop()
	for tick := range int(duration.Seconds() * limitLoad) {
		<-ticks.C
		number := tick % len(f.routers)
		got.askWith(f.routers[number], fmt.Sprintf("/once/%d", number), withPrompt(fmt.Sprintf("f%d:400,own%d:50", tick%5, tick)))
	}
	got.group.Wait()
	return got
}

// mostInRest is the most requests that reached the runner from one router in a rest that it
// had asked it for.
func mostInRest(runner *runnerstand.Runner, since time.Time) (most int) {
	byRouter := map[string][]time.Time{}
	for _, arrival := range runner.ArrivalLog() {
		if arrival.At.After(since) {
			router := arrival.Path[strings.LastIndex(arrival.Path, "/"):]
			byRouter[router] = append(byRouter[router], arrival.At)
		}
	}
	for _, times := range byRouter {
		for i, asked := range times {
			count := 0
			for _, at := range times[i+1:] {
				if at.Sub(asked) >= restSlack && at.Sub(asked) < restTime {
					count++
				}
			}
			most = max(most, count)
		}
	}
	return most
}

func TestRestingRunnerIsLeftAlone(t *testing.T) {
	for name, test := range map[string]struct{ seeds, followers, resting int }{
		"a router alone":            {0, 0, 2},
		"three seeds and followers": {3, 3, 2},
		"all runners rest":          {1, 2, 6},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newSignalFleet(t, 6, test.seeds, test.followers)
			f.loadNamed(time.Second)
			resting, since := f.busiest(test.resting), time.Now()
			shed(resting)
			got := f.loadNamed(2*restTime + time.Second)
			t.Logf("callers: %d, served %d, refused %d", got.sent, got.whole, got.refused)
			for _, runner := range resting {
				t.Logf("%s: at most %d in a rest, %d in all", runner.ID, mostInRest(runner, since), arrivedAfter(runner, since))
				f.g.Expect(mostInRest(runner, since)).To(BeNumerically("<=", restBorne))
			}
			f.g.Expect(got.broken).To(BeZero())
			if test.resting < len(f.engines) {
				f.g.Expect(got.whole).To(Equal(got.sent), "other runners serve them")
			}
			for _, runner := range resting {
				runner.Behave(runnerstand.Well)
			}
			time.Sleep(restTime)
			got = f.loadNamed(2 * time.Second)
			f.g.Expect(got.whole).To(Equal(got.sent), "the rest is over")
		})
	}
}

// Where all runners rest, a caller is told at once when the first one takes requests again.
func TestRefusedForRestAreToldWhenItEnds(t *testing.T) {
	t.Parallel()
	f := newSignalFleet(t, 2, 0, 0)
	shed(f.engines)
	r := f.routers[0]
	asked := time.Now()
	r.call("/once/x", nil)
	refused := r.call("/once/x", nil)
	f.g.Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
	f.g.Expect(refused.duration).To(BeNumerically("<", 250*time.Millisecond))
	seconds, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
	f.g.Expect(err).NotTo(HaveOccurred())
	f.g.Expect(time.Now().Add(time.Duration(seconds * float64(time.Second)))).To(BeTemporally("~", asked.Add(restTime), 300*time.Millisecond))
}

// A rest that cannot be read is a refusal like any other.
func TestRestThatCannotBeReadIsHarmless(t *testing.T) {
	t.Parallel()
	f := newSignalFleet(t, 2, 0, 0)
	for _, value := range []string{"-3", "NaN", "soon", "1e999"} {
		announce(f.engines, platform.HeaderRetryAfter, value)
		for _, engine := range f.engines {
			engine.BehaveOnce(runnerstand.Sheds)
		}
		f.load(f.routers, time.Second)
		got := f.load(f.routers, time.Second)
		f.g.Expect(got.whole).To(Equal(got.sent), value)
	}
}
