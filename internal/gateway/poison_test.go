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

// Runners ended one after the other, 20 within seconds, and streams of all others on them
// were cut midway. One tenant asked the same again and again, each time as a new request and
// at another router, and each runner that began to run it ended. Every router knew its own
// requests only, and no request beyond its end: evidence was kept on runners and tenants,
// none on what was asked. The logs showed 18 requests of one tenant, route and length, each
// sent once, each the last thing that its runner did; no other request was at two of the
// runners that ended.

const (
	// contactTime is how long after a third runner has ended its requests may still be sent:
	// routers need not have heard of it.
	contactTime = 3 * time.Second
	// sendsAfter is how many sends are borne after that.
	sendsAfter = 3
	// innocentRefusals is one in how many requests of others may be refused at most.
	innocentRefusals = 200
	// reviveTime is how long an ended runner takes to start again, as another incarnation.
	reviveTime = 1500 * time.Millisecond
	poisonBody = "a body that ends runners"
)

// poisonedFleet is runners that end under poisonBody and start again, before routers.
type poisonedFleet struct {
	*fleet
	service string
	silent  bool
	routers []*router
	// poisonEvery is one in how many thirtieths of a second the poison is sent.
	poisonEvery int
	mutex       sync.Mutex
	// started holds all runners that ever were, and ends when some of them ended.
	started []*runnerstand.Runner
	ends    []time.Time
	reviver sync.WaitGroup
}

// newPoisonedFleet starts runners of a model; silent ones end without the head of an answer.
func newPoisonedFleet(t *testing.T, runners int, silent bool) *poisonedFleet {
	return newPoisonedService(t, "engines", runners, silent)
}

func newPoisonedService(t *testing.T, service string, runners int, silent bool) *poisonedFleet {
	p := &poisonedFleet{fleet: newFleet(t), service: service, silent: silent, poisonEvery: 5}
	p.configure(1, defaultRoutes(), goodKey)
	for range runners {
		p.start()
	}
	t.Cleanup(p.reviver.Wait)
	return p
}

// start starts one more runner.
func (p *poisonedFleet) start() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	config := runnerstand.Config{
		ID: fmt.Sprintf("e%d", len(p.started)), Service: p.service,
		Poison: runnerstand.Poison{Prefix: poisonBody, After: 60 * time.Millisecond, Silent: p.silent, Ended: p.ended},
	}
	if p.service == "engines" {
		config.Model, config.Version, config.Events, config.EventTime = modelName, 1, 4, 40*time.Millisecond
	}
	p.started = append(p.started, p.startRunner(config))
}

// ended notes the end of a runner and starts it again later.
func (p *poisonedFleet) ended(runner *runnerstand.Runner, _ runnerstand.Run) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.ends = append(p.ends, time.Now())
	p.reviver.Go(func() {
		select {
		case <-time.After(reviveTime):
		case <-p.t.Context().Done():
			return
		}
		p.store.Remove(platform.KindServers, runner.ID)
		p.start()
	})
}

// route starts a seed and followers before the runners.
func (p *poisonedFleet) route(followers int) {
	seeds := []string{loopback.FreeAddress()}
	p.routers = append(p.routers, p.servingRouter("seed", func(settings *gateway.Settings) { settings.PeerAddress, settings.Seeds = seeds[0], seeds }))
	for i := range followers {
		p.routers = append(p.routers, p.servingRouter(fmt.Sprintf("follower-%d", i), p.asFollower(seeds)))
	}
}

// endedBy returns how many runners have ended, and the moment after which sends count.
func (p *poisonedFleet) endedBy() (count int, counted time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.ends) >= 3 {
		counted = p.ends[2].Add(contactTime)
	}
	return len(p.ends), counted
}

// sentAfter counts the runs of the poison that began after the moment.
func (p *poisonedFleet) sentAfter(moment time.Time) (sent int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, runner := range p.started {
		for _, run := range runner.Runs() {
			if run.Body == poisonBody && run.Began.After(moment) {
				sent++
			}
		}
	}
	return sent
}

// asking replaces a call's body.
func asking(body string) func(*http.Request) {
	return func(request *http.Request) {
		request.Body, request.GetBody, request.ContentLength = io.NopCloser(strings.NewReader(body)), nil, int64(len(body))
	}
}

// outcomes counts what callers got.
type outcomes struct {
	mutex                        sync.Mutex
	group                        sync.WaitGroup
	sent, whole, refused, broken int
}

// ask sends a call beside others and counts its outcome.
func (o *outcomes) ask(r *router, path, body string) { o.askWith(r, path, asking(body)) }

// askWith sends a changed call beside others and counts its outcome.
func (o *outcomes) askWith(r *router, path string, change func(*http.Request)) {
	o.group.Go(func() {
		got := r.callWithContext(context.Background(), path, change)
		o.mutex.Lock()
		defer o.mutex.Unlock()
		o.sent++
		switch {
		case got.truncated:
			o.broken++
		case got.status == http.StatusOK:
			o.whole++
		case got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests:
			o.refused++
		default:
			o.broken++
		}
	})
}

// load sends the poison at the routers in turn, beside 30 other requests a second, half of
// them all the same.
func (p *poisonedFleet) load(path string, duration time.Duration) (poison, others *outcomes) {
	poison, others = &outcomes{}, &outcomes{}
	ticks := time.NewTicker(time.Second / 30)
	defer ticks.Stop()
	for tick := 0; tick < int(duration/(time.Second/30)); tick++ {
		<-ticks.C
		r := p.routers[tick%len(p.routers)]
		body, target := "the same for all", path+"x"
		if tick%2 == 0 {
			body, target = fmt.Sprintf("body %d", tick), fmt.Sprintf("%s%d", path, tick)
		}
		others.ask(r, target, body)
		if tick%p.poisonEvery == 0 {
			poison.ask(p.routers[tick/p.poisonEvery%len(p.routers)], path+"x", poisonBody)
		}
	}
	poison.group.Wait()
	others.group.Wait()
	return poison, others
}

func TestRequestThatEndsItsRunnersIsNotSentForever(t *testing.T) {
	for name, test := range map[string]struct {
		service, path string
		runners       int
		silent        bool
	}{
		"may run once, after an event":   {"engines", "/once/", 12, false},
		"may run once, without a head":   {"engines", "/once/", 12, true},
		"may be resumed, after an event": {"engines", "/stream/", 12, false},
		"may be resumed, without a head": {"engines", "/stream/", 12, true},
		"no model, may run once":         {"plain", "/unsafe/", 4, true},
		"no model, may be repeated":      {"plain", "/safe/", 4, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPoisonedService(t, test.service, test.runners, test.silent)
			p.route(2)
			poison, others := p.load(test.path, 6*time.Second)
			ended, counted := p.endedBy()
			t.Logf("runners ended %d, sends after %d; poison %d, refused %d; others %d, whole %d, refused %d, broken %d",
				ended, p.sentAfter(counted), poison.sent, poison.refused, others.sent, others.whole, others.refused, others.broken)
			p.g.Expect(ended).To(BeNumerically(">", 0))
			if !counted.IsZero() {
				p.g.Expect(p.sentAfter(counted)).To(BeNumerically("<=", sendsAfter), "%d runners ended", ended)
			}
			p.g.Expect(others.refused*innocentRefusals).To(BeNumerically("<", others.sent), "%d of %d others were refused", others.refused, others.sent)
		})
	}
}

// What is known of such a request outlives all routers: each relearning would cost three
// runners more.
func TestRequestThatEndsItsRunnersIsKnownAfterTheLossOfAllRouters(t *testing.T) {
	t.Parallel()
	p := newPoisonedFleet(t, 12, false)
	p.route(2)
	p.load("/once/", time.Second)
	ended, _ := p.endedBy()
	p.g.Expect(ended).To(BeNumerically(">=", 3))
	time.Sleep(contactTime)
	for range 2 {
		for _, r := range p.routers {
			r.Kill()
		}
		p.routers = nil
		p.route(2)
		p.load("/once/", 2*time.Second)
	}
	_, counted := p.endedBy()
	p.g.Expect(p.sentAfter(counted)).To(BeNumerically("<=", sendsAfter))
}

// Routers that reach the store and none of each other: each alone would end three runners.
func TestRoutersThatReachOnlyTheStoreJudgeTogether(t *testing.T) {
	t.Parallel()
	p := newPoisonedFleet(t, 16, false)
	for i := range 5 {
		p.routers = append(p.routers, p.servingRouter(fmt.Sprint("alone-", i), p.asFollower([]string{silentPeer(p.fleet)})))
	}
	p.poisonEvery = 20
	p.load("/once/", 10*time.Second)
	ended, counted := p.endedBy()
	p.g.Expect(p.sentAfter(counted)).To(BeNumerically("<=", sendsAfter), "%d runners ended", ended)
}

// A request that waits at a runner when its content is quarantined would end that one, too.
func TestWhatWaitsAtARunnerWhenItIsQuarantinedIsWithdrawn(t *testing.T) {
	t.Parallel()
	p := newPoisonedFleet(t, 1, false)
	p.route(1)
	slow := p.started[0]
	slow.Queue(3 * time.Second)
	slow.Behave(runnerstand.Queues)
	waiting := make(chan answer, 1)
	go func() { waiting <- p.routers[1].call("/once/x", asking(poisonBody)) }()
	p.g.Eventually(slow.Arrivals, time.Second, time.Millisecond).Should(Equal(1))
	p.putEntry(slow, "draining")
	for range 6 {
		p.start()
	}
	for _, r := range p.routers {
		r.waitForLog(`"draining":true`)
		r.waitForLog(`"runner":"e6"`)
	}
	p.endRunners(3)
	got := <-waiting
	p.g.Expect(got.status).To(Equal(http.StatusBadGateway), "it may have begun")
	p.g.Expect(got.duration).To(BeNumerically("<", 2*time.Second))
	p.g.Expect(slow.Runs()).To(BeEmpty())
}
