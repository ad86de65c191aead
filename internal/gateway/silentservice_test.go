package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
)

// silentService is a service whose runners can be silenced for all routers at once.
type silentService struct {
	*fleet
	proxies []*faultproxy.Proxy
	routers []*router
}

// newSilentService starts the runners of the service behind proxies, and the routers, of which the first is the seed.
func newSilentService(t *testing.T, service string, runners, routers int) *silentService {
	f := newFleet(t)
	routes := defaultRoutes()
	for _, route := range routes {
		// Delays of a busy machine stay below the bounds of expected queues, and the silences above them.
		route["target_latency_ms"] = 600
	}
	f.configure(1, routes, validKey)
	s := &silentService{fleet: f}
	for i := range runners {
		id := fmt.Sprint(service, i)
		settings := runnerstand.Config{ID: id, Service: service}
		if service == "engines" {
			settings.Model, settings.Version, settings.EventCount = modelName, 1, 4
		}
		s.proxies = append(s.proxies, f.listBehindProxy(f.startRunner(settings)))
	}
	seed := loopback.FreeAddress()
	for i := range routers {
		s.routers = append(s.routers, f.servingRouter(fmt.Sprint("r", i), func(settings *gateway.Settings) {
			settings.PeerAddress, settings.Seeds = seed, []string{seed}
			if i > 0 {
				settings.PeerAddress = loopback.FreeAddress()
			}
		}))
	}
	for _, r := range s.routers {
		f.g.Eventually(func() int { return len(r.Status().EgressRouters) }, 3*time.Second, 10*time.Millisecond).Should(Equal(routers - 1))
		r.awaitRunners(runners)
	}
	return s
}

// setMode sets the mode of all proxies.
func (s *silentService) setMode(mode faultproxy.Mode) {
	for _, proxy := range s.proxies {
		proxy.SetMode(mode)
	}
}

// callThroughSilence calls each path at each router at the interval, from half a second before the silence until two
// seconds after it, and expects that each response matches.
func (s *silentService) callThroughSilence(silence, interval time.Duration, expected types.GomegaMatcher, paths ...string) {
	const before, after = 500 * time.Millisecond, 2 * time.Second
	var calls sync.WaitGroup
	calls.Go(func() {
		time.Sleep(before)
		s.setMode(faultproxy.Stall)
		time.Sleep(silence)
		s.setMode(faultproxy.Pass)
	})
	var mutex sync.Mutex
	statuses, wrong := map[int]int{}, 0
	for end := time.Now().Add(before + silence + after); time.Now().Before(end); time.Sleep(interval) {
		for _, r := range s.routers {
			for _, path := range paths {
				calls.Go(func() {
					response := r.call(path, nil)
					mutex.Lock()
					defer mutex.Unlock()
					statuses[response.status]++
					if matches, _ := expected.Match(response.status); !matches || response.truncated {
						wrong++
					}
				})
			}
		}
	}
	calls.Wait()
	for _, r := range s.routers {
		for line := range strings.Lines(r.log.String()) {
			if strings.Contains(line, "request refused") || strings.Contains(line, "state of the links") {
				s.t.Log(line)
			}
		}
	}
	s.g.Expect(wrong).To(BeZero(), "responses by status: %v", statuses)
}

// Guards against calls that are refused because all runners of a service are silent for a moment, which every router
// takes for a fault of its own links.
func TestCallsOutliveSilenceOfWholeService(t *testing.T) {
	t.Parallel()
	for _, routers := range []int{1, 3} {
		t.Run(fmt.Sprint(routers, " routers"), func(t *testing.T) {
			t.Parallel()
			s := newSilentService(t, "plain", 4, routers)
			s.callThroughSilence(1200*time.Millisecond, 120*time.Millisecond, Equal(http.StatusOK), "/safe/x", "/unsafe/x")
		})
	}
}

// Guards against streams that are refused because their engines, whose slots are free, are silent for a moment or were:
// the time of the silence is no queue.
func TestStreamsAreNotRefusedForSilenceOfTheirEngines(t *testing.T) {
	t.Parallel()
	for name, scenario := range map[string]struct{ engines, routers int }{
		"all engines, one router":             {4, 1},
		"all engines, three routers":          {4, 3},
		"the only engine and the only router": {1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSilentService(t, "engines", scenario.engines, scenario.routers)
			s.callThroughSilence(1500*time.Millisecond, 500*time.Millisecond, Equal(http.StatusOK), "/once/x", "/stream/x")
		})
	}
}

// Guards against callers that wait until their time is up for a service that has been silent for longer than sound
// runners are, although a refusal would tell them at once.
func TestCallsToServiceThatStaysSilentAreRefusedAtOnce(t *testing.T) {
	t.Parallel()
	const soundSilence, detection = 2 * time.Second, time.Second
	s := newSilentService(t, "plain", 4, 3)
	s.setMode(faultproxy.Blackhole)
	for end := time.Now().Add(soundSilence + detection); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, r := range s.routers {
			go r.call("/unsafe/x", nil)
		}
	}
	// The seed's list of egress routers is empty by now, and a router that knows no other one sends all calls itself.
	for _, r := range s.routers[1:] {
		for range 5 {
			response := r.call("/unsafe/x", nil)
			s.g.Expect(response.status).To(Equal(http.StatusServiceUnavailable))
			s.g.Expect(response.header.Get("Retry-After")).NotTo(BeEmpty())
			s.g.Expect(response.duration).To(BeNumerically("<", 400*time.Millisecond))
		}
	}
}
