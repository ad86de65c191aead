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

// The store turned all seeds away and served other routers. Seeds asked seeds only, so they
// sent to runners that had left, and counted the time of older weights from when they were
// let in again, though routers that asked them knew both all the time.

// olderUntil is until when the router uses weights older than the version, by what it
// logged last.
func (r *router) olderUntil(version uint64) time.Time {
	var until time.Time
	for _, line := range strings.Split(r.log.String(), "\n") {
		var logged struct {
			Time    time.Time `json:"time"`
			Version uint64    `json:"version"`
			Left    *int64    `json:"older_until_ms"`
		}
		if json.Unmarshal([]byte(line), &logged) == nil && logged.Left != nil && logged.Version == version {
			until = logged.Time.Add(time.Duration(*logged.Left) * time.Millisecond)
		}
	}
	return until
}

// turnedAwayFleet has two seeds, which the store turns away as the fault says, and a
// router that reads the store as its seeds prove nothing.
func turnedAwayFleet(t *testing.T, fault storestand.Fault) (f *fleet, seeds []*router) {
	f = newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	f.runner("p1", "plain")
	f.runner("p2", "plain")
	addresses := []string{loopback.FreeAddress(), loopback.FreeAddress()}
	for _, address := range addresses {
		seeds = append(seeds, f.servingRouter("seed", func(settings *gateway.Settings) {
			settings.PeerAddress, settings.Seeds = address, addresses
		}))
	}
	f.servingRouter("other", f.asFollower(addresses))
	time.Sleep(3500 * time.Millisecond) // all have settled
	for _, seed := range seeds {
		seed.storeEndpoint.Set(fault)
	}
	time.Sleep(200 * time.Millisecond)
	return f, seeds
}

func TestSeedsThatTheStoreTurnsAwayLearnFromOtherRouters(t *testing.T) {
	const margin = 500 * time.Millisecond // for clocks in logs, which have milliseconds
	for name, fault := range map[string]storestand.Fault{"busy": storestand.Busy, "throttled": storestand.Throttled, "silent": storestand.Silent} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, seeds := turnedAwayFleet(t, fault)
			f.changeBoth()
			changed := time.Now()
			for _, seed := range seeds {
				f.g.Eventually(seed.log.String, 4*time.Second, 10*time.Millisecond).Should(And(ContainSubstring(lineDraining), ContainSubstring(lineNamed)))
			}
			time.Sleep(time.Until(changed.Add(4500 * time.Millisecond)))
			for _, seed := range seeds {
				seed.storeEndpoint.Set(storestand.Healthy)
			}
			time.Sleep(time.Second)
			for _, seed := range seeds {
				f.g.Expect(seed.olderUntil(2)).To(BeTemporally("<", changed.Add(8*time.Second+margin)))
			}
		})
	}
}

func TestSeedsThatTheStoreTurnsAwaySpareLeavingRunners(t *testing.T) {
	t.Parallel()
	f, seeds := turnedAwayFleet(t, storestand.Busy)
	found, _ := f.store.Get(platform.KindServers, "p1")
	var entry map[string]any
	f.g.Expect(json.Unmarshal(found.Spec, &entry)).To(Succeed())
	entry["state"] = "draining"
	f.store.Put(platform.KindServers, "p1", entry)
	left := time.Now()
	time.Sleep(2200 * time.Millisecond)
	leaving := f.runnerByAddress(entry["address"].(string))
	ran, answered := len(leaving.Runs()), 0
	for time.Since(left) < 4*time.Second {
		if seeds[0].call("/safe/x", nil).status == http.StatusOK {
			answered++
		}
	}
	f.g.Expect(answered).To(BeNumerically(">", 0))
	f.g.Expect(leaving.Runs()).To(HaveLen(ran))
}

// A seed that has its configuration, but has not read the weights yet, told no proof of
// them, and a router that asked it took that for the word of an earlier version, whose copies
// are as old as its configuration.
func TestSeedThatHasNotReadWeightsProvesNothingOfThem(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	f.runner("e1", "engines")
	name(f, 1)
	held, store := holdingStore(f, platform.KindVersions, platform.KindServers)
	addresses := []string{loopback.FreeAddress()}
	asSeed := func(settings *gateway.Settings) { settings.PeerAddress, settings.Seeds = addresses[0], addresses }
	former := f.servingRouter("former", asSeed)
	follower := f.servingRouter("follower", f.asFollower(addresses))
	time.Sleep(3500 * time.Millisecond) // it has settled
	follower.storeEndpoint.Set(storestand.Silent)
	former.Kill()
	f.router("seed", func(settings *gateway.Settings) {
		asSeed(settings)
		settings.StoreAddress = store
	})
	time.Sleep(1500 * time.Millisecond)
	name(f, 2)
	named := time.Now()
	time.Sleep(3500 * time.Millisecond)
	held.Store(false)
	f.g.Eventually(func() time.Time { return follower.olderUntil(2) }, 4*time.Second, 10*time.Millisecond).ShouldNot(BeZero())
	f.g.Expect(follower.olderUntil(2)).To(BeTemporally("<", named.Add(8*time.Second)))
}

// holdingStore returns the address of the store behind something that holds calls for the
// kinds back until it is told otherwise.
func holdingStore(f *fleet, kinds ...string) (held *atomic.Bool, address string) {
	door, err := f.store.Open()
	f.g.Expect(err).NotTo(HaveOccurred())
	f.t.Cleanup(door.Close)
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: door.Address})
	held = &atomic.Bool{}
	held.Store(true)
	front := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		for _, kind := range kinds {
			for strings.Contains(request.URL.Path, kind) && held.Load() && request.Context().Err() == nil {
				time.Sleep(5 * time.Millisecond)
			}
		}
		proxy.ServeHTTP(writer, request)
	}))
	f.t.Cleanup(front.Close)
	return held, strings.TrimPrefix(front.URL, "http://")
}

// Writes of kinds that nobody copies, as renewals of a lease, raise the store's revision.
// Each made the watches of runners and weights anew, by two calls; one short one is enough.
func TestWritesOfOtherKindsCostOneCallAKind(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	f.runner("p1", "plain")
	r := f.servingRouter("r1", nil)
	time.Sleep(time.Second)
	const window = 5 * time.Second
	before := r.storeEndpoint.Calls()
	for end := time.Now().Add(window); time.Now().Before(end); time.Sleep(350 * time.Millisecond) {
		f.store.Put("leases", "someone", map[string]any{"at": time.Now().UnixNano()})
	}
	perRead := int(window/(900*time.Millisecond)) + 1
	f.g.Expect(r.storeEndpoint.Calls() - before).To(BeNumerically("<=", 3*perRead+2))
}
