package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/cacheindex"
	"github.com/clovertiller/clovertiller/internal/routing"
)

// Guards against runners that are read over a border, and against runners that nobody reads as each
// seed leaves them to another one.
func TestRunnersAreReadByReadersOfTheirRegion(t *testing.T) {
	g := NewWithT(t)
	readers := []liveReader{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"old", ""}}
	g.Expect(readersOf(readers, "a")).To(Equal([]string{"a1", "a2"}))
	g.Expect(readersOf(readers, "b")).To(Equal([]string{"b1"}))
	all := []string{"a1", "a2", "b1", "old"}
	g.Expect(readersOf(readers, "c")).To(Equal(all), "a region without a reader")
	g.Expect(readersOf(readers, "")).To(Equal(all), "a cache store, or without regions")
	g.Expect(readersKey(readers)).NotTo(Equal(readersKey([]liveReader{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"old", "b"}})), "a region that is learned later changes who reads")
}

// silentCaches never answers.
type silentCaches struct{}

func (silentCaches) ListCache(ctx context.Context, _, _ string) ([]CachedPart, CachePosition, error) {
	<-ctx.Done()
	return nil, CachePosition{}, ctx.Err()
}

func (silentCaches) WatchCache(ctx context.Context, _, _ string, _ CachePosition, _ time.Duration) (CacheChanges, error) {
	<-ctx.Done()
	return CacheChanges{}, ctx.Err()
}

// Guards against cache stores that the reader of their region begins to read and gives up again at once,
// because it looks for their owner without their zone.
func TestCacheStoresAreReadByReaderOfTheirRegion(t *testing.T) {
	g := NewWithT(t)
	router := newRegionGateway(t)
	router.ports.Caches = silentCaches{}
	router.schedulers.loadExchange.RecordReport(router.now(), "other", "b")
	reader := newCacheReader(router)
	reader.feed, reader.own = cacheindex.NewFeed(), cacheindex.NewFeed()
	reader.peer("other").lastHeard = router.now()
	config := &routing.Config{}
	for i := range 20 {
		for _, zone := range []string{"a1", "b1"} {
			name := fmt.Sprint(zone, "-", i)
			config.Services = append(config.Services, routing.Service{Name: name, CacheStoreAddress: name, CacheStoreZone: zone})
		}
	}
	reader.updateHolders(routing.NewTable(config))
	for i := range 20 {
		g.Expect(reader.holders).To(HaveKey(fmt.Sprint("a1-", i)))
		g.Expect(reader.holders).NotTo(HaveKey(fmt.Sprint("b1-", i)))
	}
	router.cancel()
	router.goroutines.Wait()
}
