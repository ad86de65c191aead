package gateway_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
	"github.com/clovertiller/clovertiller/platform"
)

// The store rejected the calls of all seeds while it served other routers. Seeds asked only other
// seeds. They therefore sent requests to runners that had left, and counted the time limit of older
// weights from when the store accepted their calls again, although the routers that pulled from
// them knew of both changes all the time.

// oldWeightsExpiry returns until when the router uses weights older than the version, according to
// its last log line about them.
func (r *router) oldWeightsExpiry(version uint64) time.Time {
	var expiry time.Time
	for _, line := range strings.Split(r.log.String(), "\n") {
		var logged struct {
			Time    time.Time `json:"time"`
			Version uint64    `json:"version"`
			Left    *int64    `json:"older_until_ms"`
		}
		if json.Unmarshal([]byte(line), &logged) == nil && logged.Left != nil && logged.Version == version {
			expiry = logged.Time.Add(time.Duration(*logged.Left) * time.Millisecond)
		}
	}
	return expiry
}

// newSeedOutageFleet returns a fleet with two seeds, whose store calls then fail with the fault,
// and one router that reads the store itself because its seeds have no proof of being current.
func newSeedOutageFleet(t *testing.T, fault storestand.Fault) (f *fleet, seeds []*router) {
	f = newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	f.runner("p1", "plain")
	f.runner("p2", "plain")
	addresses := []string{loopback.FreeAddress(), loopback.FreeAddress()}
	for _, address := range addresses {
		seeds = append(seeds, f.servingRouter("seed", func(settings *gateway.Settings) {
			settings.PeerAddress, settings.Seeds = address, addresses
		}))
	}
	f.servingRouter("other", f.followerSettings(addresses))
	time.Sleep(3500 * time.Millisecond) // until all routers are in a steady state
	for _, seed := range seeds {
		seed.storeEndpoint.SetFault(fault)
	}
	time.Sleep(200 * time.Millisecond)
	return f, seeds
}

func TestSeedsWithoutStoreLearnFromOtherRouters(t *testing.T) {
	const margin = 500 * time.Millisecond // log timestamps have millisecond resolution
	for name, fault := range map[string]storestand.Fault{"busy": storestand.Busy, "throttled": storestand.Throttled, "silent": storestand.Hangs} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, seeds := newSeedOutageFleet(t, fault)
			f.drainRunnerAndNameWeights()
			changedAt := time.Now()
			for _, seed := range seeds {
				f.g.Eventually(seed.log.String, 4*time.Second, 10*time.Millisecond).Should(And(ContainSubstring(lineDraining), ContainSubstring(lineWeightsNamed)))
			}
			time.Sleep(time.Until(changedAt.Add(4500 * time.Millisecond)))
			for _, seed := range seeds {
				seed.storeEndpoint.SetFault(storestand.Healthy)
			}
			time.Sleep(time.Second)
			for _, seed := range seeds {
				f.g.Expect(seed.oldWeightsExpiry(2)).To(BeTemporally("<", changedAt.Add(8*time.Second+margin)))
			}
		})
	}
}

func TestSeedsWithoutStoreAvoidLeavingRunners(t *testing.T) {
	t.Parallel()
	f, seeds := newSeedOutageFleet(t, storestand.Busy)
	object, _ := f.store.Get(platform.KindRunners, "p1")
	var entry map[string]any
	f.g.Expect(json.Unmarshal(object.Spec, &entry)).To(Succeed())
	entry["state"] = "draining"
	f.store.Put(platform.KindRunners, "p1", entry)
	leftAt := time.Now()
	time.Sleep(2200 * time.Millisecond)
	leaving := f.runnerByAddress(entry["address"].(string))
	runsBefore, answered := len(leaving.Runs()), 0
	for time.Since(leftAt) < 4*time.Second {
		if seeds[0].call("/safe/x", nil).status == http.StatusOK {
			answered++
		}
	}
	f.g.Expect(answered).To(BeNumerically(">", 0))
	f.g.Expect(leaving.Runs()).To(HaveLen(runsBefore))
}

// A seed that had its configuration but had not read the weights yet sent no proof of the weights.
// A router that pulled from it took that for the answer of a router of an earlier software version,
// whose copies are as old as its configuration.
func TestSeedWithoutWeightsGivesNoProofOfThem(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	f.runner("e1", "engines")
	nameWeights(f, 1)
	blocked, storeAddress := blockingStore(f, platform.KindWeightVersions, platform.KindRunners)
	addresses := []string{loopback.FreeAddress()}
	asSeed := func(settings *gateway.Settings) { settings.PeerAddress, settings.Seeds = addresses[0], addresses }
	previousSeed := f.servingRouter("former", asSeed)
	follower := f.servingRouter("follower", f.followerSettings(addresses))
	time.Sleep(3500 * time.Millisecond) // until it is in a steady state
	follower.storeEndpoint.SetFault(storestand.Hangs)
	previousSeed.Kill()
	f.router("seed", func(settings *gateway.Settings) {
		asSeed(settings)
		settings.StoreAddress = storeAddress
	})
	time.Sleep(1500 * time.Millisecond)
	nameWeights(f, 2)
	namedAt := time.Now()
	time.Sleep(3500 * time.Millisecond)
	blocked.Store(false)
	f.g.Eventually(func() time.Time { return follower.oldWeightsExpiry(2) }, 4*time.Second, 10*time.Millisecond).ShouldNot(BeZero())
	f.g.Expect(follower.oldWeightsExpiry(2)).To(BeTemporally("<", namedAt.Add(8*time.Second)))
}

// blockingStore returns the address of a proxy to the store that blocks calls for the kinds while
// blocked is set, as it is at first.
func blockingStore(f *fleet, kinds ...string) (blocked *atomic.Bool, address string) {
	endpoint, err := f.store.OpenEndpoint()
	f.g.Expect(err).NotTo(HaveOccurred())
	f.t.Cleanup(endpoint.Close)
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: endpoint.Address})
	blocked = &atomic.Bool{}
	blocked.Store(true)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		for _, kind := range kinds {
			for strings.Contains(request.URL.Path, kind) && blocked.Load() && request.Context().Err() == nil {
				time.Sleep(5 * time.Millisecond)
			}
		}
		proxy.ServeHTTP(writer, request)
	}))
	f.t.Cleanup(server.Close)
	return blocked, strings.TrimPrefix(server.URL, "http://")
}

// Writes of kinds that no router copies, such as renewals of a lease, raise the store's revision.
// Each of them restarted the watches of runners and weights, with two calls per kind. One short
// call is enough.
func TestUnrelatedWritesCostOneCallPerKind(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	f.runner("p1", "plain")
	r := f.servingRouter("r1", nil)
	time.Sleep(time.Second)
	const window = 5 * time.Second
	before := r.storeEndpoint.CallCount()
	for end := time.Now().Add(window); time.Now().Before(end); time.Sleep(350 * time.Millisecond) {
		f.store.Put("leases", "someone", map[string]any{"at": time.Now().UnixNano()})
	}
	maxReads := int(window/(900*time.Millisecond)) + 1
	f.g.Expect(r.storeEndpoint.CallCount() - before).To(BeNumerically("<=", 3*maxReads+2))
}
