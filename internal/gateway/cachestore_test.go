package gateway_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/platform"
)

// cacheStore is a store of kept cache that counts how often it is asked.
type cacheStore struct {
	*httptest.Server
	asked atomic.Int64
}

func newCacheStore(t *testing.T) *cacheStore {
	store := &cacheStore{}
	store.Server = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		store.asked.Add(1)
		fmt.Fprint(writer, "{}")
	}))
	t.Cleanup(store.Close)
	return store
}

func (s *cacheStore) address() string { return strings.TrimPrefix(s.URL, "http://") }

// Each family of prompts has one store, the same on all routers; only routers
// that read the store of objects ask whether it answers, and a dead one is not used.
func TestFamiliesAreSpreadOverTheCacheStoresThatAnswer(t *testing.T) {
	t.Parallel()
	f, seeds, follower := newSeededFleet(t)
	stores := map[string]*cacheStore{}
	spec := config(2, defaultRoutes(), goodKey)
	services := spec["services"].([]map[string]any)
	for i := range 3 {
		store := newCacheStore(t)
		stores[store.address()] = store
		services = append(services, map[string]any{"name": fmt.Sprintf("kept-%d", i), "kv_store_addr": store.address(), "zone": "z"})
	}
	spec["services"] = services
	f.store.Put(configKind, configName, spec)
	runner := f.runner("e1", "engines")
	f.g.Eventually(func() int { return strings.Count(follower.log.String(), `"event":842`) }, 4*time.Second, 20*time.Millisecond).Should(Equal(3))
	f.g.Eventually(func() int { return strings.Count(seeds[0].log.String(), `"event":842`) }, 4*time.Second, 20*time.Millisecond).Should(Equal(3), "the other seed checks by itself")

	f.g.Eventually(func() int { return follower.call("/stream/x", nil).status }, 2*time.Second).Should(Equal(http.StatusOK))
	f.g.Eventually(func() int { return seeds[0].call("/stream/x", nil).status }, 2*time.Second).Should(Equal(http.StatusOK))

	fetched := func(r *router, family int) string {
		got := r.call("/stream/x", withPrompt(fmt.Sprintf("aa:100,b%d:200,cc:50", family)))
		f.g.Expect(got.status).To(Equal(http.StatusOK))
		runs := runner.Runs()
		return runs[len(runs)-1].Header.Get(platform.HeaderKVFetch)
	}
	// So many that each store has some whatever the stores' ports are: with 12 one
	// of the three was left out in 2.6 of 100 draws of ports.
	const families = 60
	used := map[string]bool{}
	for family := range families {
		store := fetched(follower, family)
		f.g.Expect(stores).To(HaveKey(store))
		f.g.Expect(fetched(seeds[0], family)).To(Equal(store), "family %d has one store", family)
		used[store] = true
	}
	f.g.Expect(used).To(HaveLen(3))

	dead := fetched(follower, 1)
	stores[dead].Close()
	f.g.Eventually(func() string { return fetched(follower, 1) }, 5*time.Second, 50*time.Millisecond).ShouldNot(Equal(dead))
	for _, store := range stores {
		if store.address() != dead {
			before := store.asked.Load()
			time.Sleep(2 * time.Second)
			f.g.Expect(store.asked.Load()-before).To(BeNumerically("<=", 4), "the follower does not ask")
		}
	}
}
