package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/platform"
)

// Runners crashed one after the other, 20 within seconds, and all other streams on them were cut.
// One tenant sent the same content again and again, each time as a new request and to another
// router, and it crashed each runner that began to process it. Every router knew only its own
// requests, and none of them after their end: failures were recorded for runners and tenants, but
// not for contents. The logs showed 18 requests of one tenant, route and length, each sent once,
// and each the last that its runner processed. No other request had been on two of the crashed
// runners.

const (
	// propagationTime is how long after the third crash the poison request may still be sent,
	// because routers may not know of the crashes yet.
	propagationTime = 3 * time.Second
	// maxSendsAfter is the number of runs of the poison that are tolerated after that.
	maxSendsAfter = 3
	// minSendsPerRefusal bounds the share of refused innocent requests: at most one in this many.
	minSendsPerRefusal = 200
	// restartDelay is the time in which a crashed runner restarts as another incarnation.
	restartDelay = 1500 * time.Millisecond
	poisonBody   = "a body that ends runners"
)

// poisonedFleet is a fleet whose runners crash when they process poisonBody, and restart.
type poisonedFleet struct {
	*fleet
	service string
	silent  bool
	routers []*router
	// poisonEvery is the number of ticks of a thirtieth of a second between two poison requests.
	poisonEvery int
	mutex       sync.Mutex
	// runners holds all runners that were ever started, and crashTimes when some of them crashed.
	runners    []*runnerstand.Runner
	crashTimes []time.Time
	restarts   sync.WaitGroup
}

// newPoisonedFleet starts runners of a model. Silent ones crash before they send response headers.
func newPoisonedFleet(t *testing.T, count int, silent bool) *poisonedFleet {
	return newPoisonedServiceFleet(t, "engines", count, silent)
}

func newPoisonedServiceFleet(t *testing.T, service string, count int, silent bool) *poisonedFleet {
	p := &poisonedFleet{fleet: newFleet(t), service: service, silent: silent, poisonEvery: 5}
	p.configure(1, defaultRoutes(), validKey)
	for range count {
		p.startNext()
	}
	t.Cleanup(p.restarts.Wait)
	return p
}

// startNext starts one more runner.
func (p *poisonedFleet) startNext() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	config := runnerstand.Config{
		ID: fmt.Sprintf("e%d", len(p.runners)), Service: p.service,
		Poison: runnerstand.Poison{Prefix: poisonBody, CrashDelay: 60 * time.Millisecond, NoResponse: p.silent, OnCrash: p.runnerCrashed},
	}
	if p.service == "engines" {
		config.Model, config.Version, config.EventCount, config.EventInterval = modelName, 1, 4, 40*time.Millisecond
	}
	p.runners = append(p.runners, p.startRunner(config))
}

// runnerCrashed records the crash of a runner and restarts it after restartDelay.
func (p *poisonedFleet) runnerCrashed(runner *runnerstand.Runner, _ runnerstand.Run) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.crashTimes = append(p.crashTimes, time.Now())
	p.restarts.Go(func() {
		select {
		case <-time.After(restartDelay):
		case <-p.t.Context().Done():
			return
		}
		p.store.Delete(platform.KindRunners, runner.ID)
		p.startNext()
	})
}

// startRouters starts a seed and followers.
func (p *poisonedFleet) startRouters(followers int) {
	p.routers = append(p.routers, p.startSeedAndFollowers(followers)...)
}

// startSeedAndFollowers starts routers and returns them, the seed first.
func (f *fleet) startSeedAndFollowers(followers int) (routers []*router) {
	seeds := []string{loopback.FreeAddress()}
	routers = append(routers, f.servingRouter("seed", func(settings *gateway.Settings) { settings.PeerAddress, settings.Seeds = seeds[0], seeds }))
	for i := range followers {
		routers = append(routers, f.servingRouter(fmt.Sprintf("follower-%d", i), f.followerSettings(seeds)))
	}
	return routers
}

// crashCount returns the number of crashes, and from when on sends of the poison count, which is
// zero before the third crash.
func (p *poisonedFleet) crashCount() (count int, countFrom time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.crashTimes) >= 3 {
		countFrom = p.crashTimes[2].Add(propagationTime)
	}
	return len(p.crashTimes), countFrom
}

// poisonRunsAfter returns the number of runs of the poison that began after the moment.
func (p *poisonedFleet) poisonRunsAfter(moment time.Time) (count int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, runner := range p.runners {
		for _, run := range runner.Runs() {
			if run.Body == poisonBody && run.StartedAt.After(moment) {
				count++
			}
		}
	}
	return count
}

// withBody replaces the body of a call.
func withBody(body string) func(*http.Request) {
	return func(request *http.Request) {
		request.Body, request.GetBody, request.ContentLength = io.NopCloser(strings.NewReader(body)), nil, int64(len(body))
	}
}

// outcomes counts the results of calls.
type outcomes struct {
	mutex                            sync.Mutex
	group                            sync.WaitGroup
	sent, succeeded, refused, failed int
}

// send makes a call in the background and counts its result.
func (o *outcomes) send(r *router, path, body string) { o.sendWith(r, path, withBody(body)) }

// sendWith makes a modified call in the background and counts its result.
func (o *outcomes) sendWith(r *router, path string, change func(*http.Request)) {
	o.group.Go(func() {
		got := r.callWithContext(context.Background(), path, change)
		o.mutex.Lock()
		defer o.mutex.Unlock()
		o.sent++
		switch {
		case got.truncated:
			o.failed++
		case got.status == http.StatusOK:
			o.succeeded++
		case got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests:
			o.refused++
		default:
			o.failed++
		}
	})
}

// sendLoad sends the poison to the routers in turn, beside 30 other requests per second, half of
// which are identical.
func (p *poisonedFleet) sendLoad(path string, duration time.Duration) (poison, others *outcomes) {
	poison, others = &outcomes{}, &outcomes{}
	ticks := time.NewTicker(time.Second / 30)
	defer ticks.Stop()
	for tick := 0; tick < int(duration/(time.Second/30)); tick++ {
		<-ticks.C
		r := p.routers[tick%len(p.routers)]
		body, callPath := "the same for all", path+"x"
		if tick%2 == 0 {
			body, callPath = fmt.Sprintf("body %d", tick), fmt.Sprintf("%s%d", path, tick)
		}
		others.send(r, callPath, body)
		if tick%p.poisonEvery == 0 {
			poison.send(p.routers[tick/p.poisonEvery%len(p.routers)], path+"x", poisonBody)
		}
	}
	poison.group.Wait()
	others.group.Wait()
	return poison, others
}

func TestPoisonRequestIsQuarantined(t *testing.T) {
	for name, test := range map[string]struct {
		service, path string
		runners       int
		silent        bool
	}{
		"at most once, crash after an event": {"engines", "/once/", 12, false},
		"at most once, crash before headers": {"engines", "/once/", 12, true},
		"resumable, crash after an event":    {"engines", "/stream/", 12, false},
		"resumable, crash before headers":    {"engines", "/stream/", 12, true},
		"no model, at most once":             {"plain", "/unsafe/", 4, true},
		"no model, repeatable":               {"plain", "/safe/", 4, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPoisonedServiceFleet(t, test.service, test.runners, test.silent)
			p.startRouters(2)
			poison, others := p.sendLoad(test.path, 6*time.Second)
			crashed, countFrom := p.crashCount()
			t.Logf("crashes %d, late poison runs %d; poison sent %d, refused %d; others sent %d, succeeded %d, refused %d, failed %d",
				crashed, p.poisonRunsAfter(countFrom), poison.sent, poison.refused, others.sent, others.succeeded, others.refused, others.failed)
			p.g.Expect(crashed).To(BeNumerically(">", 0))
			if !countFrom.IsZero() {
				p.g.Expect(p.poisonRunsAfter(countFrom)).To(BeNumerically("<=", maxSendsAfter), "%d runners crashed", crashed)
			}
			p.g.Expect(others.refused*minSendsPerRefusal).To(BeNumerically("<", others.sent), "%d of %d innocent requests were refused", others.refused, others.sent)
		})
	}
}

// Routers that start after the loss of all others must know of the poison, since learning it anew
// costs three more runners.
func TestQuarantineSurvivesLossOfAllRouters(t *testing.T) {
	t.Parallel()
	p := newPoisonedFleet(t, 12, false)
	p.startRouters(2)
	p.sendLoad("/once/", time.Second)
	crashed, _ := p.crashCount()
	p.g.Expect(crashed).To(BeNumerically(">=", 3))
	time.Sleep(propagationTime)
	for range 2 {
		for _, r := range p.routers {
			r.Kill()
		}
		p.routers = nil
		p.startRouters(2)
		p.sendLoad("/once/", 2*time.Second)
	}
	_, countFrom := p.crashCount()
	p.g.Expect(p.poisonRunsAfter(countFrom)).To(BeNumerically("<=", maxSendsAfter))
}

// The routers reach the store but not each other. Without sharing, each of them would crash three
// runners.
func TestRoutersExchangeCrashesThroughStore(t *testing.T) {
	t.Parallel()
	p := newPoisonedFleet(t, 16, false)
	for i := range 5 {
		p.routers = append(p.routers, p.servingRouter(fmt.Sprint("alone-", i), p.followerSettings([]string{startSilentPeer(p.fleet)})))
	}
	p.poisonEvery = 20
	p.sendLoad("/once/", 10*time.Second)
	crashed, countFrom := p.crashCount()
	p.g.Expect(p.poisonRunsAfter(countFrom)).To(BeNumerically("<=", maxSendsAfter), "%d runners crashed", crashed)
}

// A request that is queued at a runner when its content is quarantined would crash that runner as
// well.
func TestQueuedRequestIsWithdrawnOnQuarantine(t *testing.T) {
	t.Parallel()
	p := newPoisonedFleet(t, 1, false)
	p.startRouters(1)
	queueing := p.runners[0]
	queueing.SetQueueTime(3 * time.Second)
	queueing.SetBehaviour(runnerstand.Queues)
	responses := make(chan callResponse, 1)
	go func() { responses <- p.routers[1].call("/once/x", withBody(poisonBody)) }()
	p.g.Eventually(queueing.ArrivalCount, time.Second, time.Millisecond).Should(Equal(1))
	p.putEntry(queueing, "draining")
	for range 6 {
		p.startNext()
	}
	for _, r := range p.routers {
		r.waitForLog(`"draining":true`)
		r.waitForLog(`"runner":"e6"`)
	}
	p.crashRunners(3)
	got := <-responses
	p.g.Expect(got.status).To(Equal(http.StatusBadGateway), "the runner may have begun to process it")
	p.g.Expect(got.duration).To(BeNumerically("<", 2*time.Second))
	p.g.Expect(queueing.Runs()).To(BeEmpty())
}
