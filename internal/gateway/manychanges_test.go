package gateway_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/platform"
)

// Thousands of runners register at once when a fleet starts. The store returns their entries in
// pages, so the copies of the routers that read it are behind for a while although the store answers
// each call. This was taken for a store that answers with old states: its readers waited longer with
// each page and sent second watches, and all others read the store themselves, each all pages.

const (
	watchPage       = 100
	followers       = 30
	registerPerStep = 200
)

// directoryEntry returns the entry of a runner that does not run.
func directoryEntry(service, address, state string) map[string]any {
	return map[string]any{"service": service, "address": address, "zone": "z", "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": 0, "seq": 1}
}

// register adds runners to the directory in steps over the given time.
func (f *fleet) register(runners int, duration time.Duration) {
	steps := runners / registerPerStep
	for step := range steps {
		for i := range registerPerStep {
			f.store.Put(platform.KindRunners, fmt.Sprintf("i-%05d", step*registerPerStep+i), directoryEntry("plain", fmt.Sprintf("127.1.%d.%d:1", step, i), "ready"))
		}
		time.Sleep(duration / time.Duration(steps))
	}
}

func TestStoreCallsWhileManyRunnersRegister(t *testing.T) {
	for _, runners := range []int{1_000, 4_000} {
		t.Run(fmt.Sprintf("%d runners", runners), func(t *testing.T) {
			f := newFleet(t)
			f.store.SetWatchPage(watchPage)
			f.configure(1, defaultRoutes(), validKey)
			seeds := []string{loopback.FreeAddress(), loopback.FreeAddress(), loopback.FreeAddress()}
			var readers, others []*router
			for i, address := range seeds {
				readers = append(readers, f.router(fmt.Sprintf("seed-%d", i), func(settings *gateway.Settings) {
					settings.PeerAddress, settings.Seeds, settings.DirectFollowers = address, seeds, followers
				}))
			}
			for i := range followers {
				others = append(others, f.router(fmt.Sprintf("follower-%d", i), f.followerSettings(seeds)))
			}
			for _, r := range append(readers, others...) {
				f.g.Eventually(r.isReady, 5*time.Second, 10*time.Millisecond).Should(BeTrue())
			}
			before := 0
			for _, r := range readers {
				before += r.storeEndpoint.CallCount()
			}
			startedAt := time.Now()
			f.register(runners, 2*time.Second)
			for _, r := range append(readers, others...) {
				f.g.Eventually(func() int { return len(r.Status().Runners) }, 10*time.Second, 20*time.Millisecond).Should(Equal(runners))
			}
			elapsed := time.Since(startedAt)
			calls, followerCalls := -before, 0
			for _, r := range readers {
				calls += r.storeEndpoint.CallCount()
			}
			for _, r := range others {
				followerCalls += r.storeEndpoint.CallCount()
			}
			t.Logf("%d runners known to all after %v: %d calls of 3 seeds, %d of %d followers", runners, elapsed, calls, followerCalls, followers)
			for _, r := range readers {
				f.g.Expect(strings.Contains(r.log.String(), "older than the known one")).To(BeFalse(), "a page is not taken for an old state")
			}
			for _, r := range others {
				f.g.Expect(strings.Count(r.log.String(), "\n")).To(BeNumerically("<", runners/10), "log lines do not grow with routers times runners")
			}
			f.g.Expect(followerCalls).To(BeZero(), "only seeds read the store")
			// Each seed reads each page once, and the configuration and the end of a batch a few
			// times a second.
			const otherCallsPerSecond = 12
			f.g.Expect(calls).To(BeNumerically("<=", len(seeds)*(runners/watchPage+int(otherCallsPerSecond*elapsed.Seconds())+otherCallsPerSecond)))
		})
	}
}
