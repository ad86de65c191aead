package gateway

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/wire"
)

// noCaches reads no caches.
type noCaches struct{}

func (noCaches) ListCache(context.Context, string, string) ([]CachedPart, CachePosition, error) {
	return nil, CachePosition{}, nil
}

func (noCaches) WatchCache(context.Context, string, string, CachePosition, time.Duration) (CacheChanges, error) {
	return CacheChanges{}, nil
}

// Guards against a router that starts and learns for three seconds nothing of what runners cache, because it
// requested the snapshot from a seed that is silent.
func TestSnapshotIsRequestedFromAnotherRouterAfterAFailure(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	router := newQuarantineGateway(t, nil)
	router.ports.Caches = noCaches{}
	router.cacheReader = newCacheReader(router)
	requests := func(address string) bool {
		pull := &wire.CopyPull{}
		router.cacheReader.addToPull(address, pull)
		return pull.GetWantsCache()
	}
	g.Expect(requests("silent")).To(BeTrue())
	g.Expect(requests("other")).To(BeFalse(), "the first request may be answered yet")
	router.cacheReader.recordPullFailure("silent")
	g.Expect(requests("silent")).To(BeFalse(), "it may be overloaded")
	g.Expect(requests("other")).To(BeTrue())
	router.cacheReader.recordPullFailure("silent")
	g.Expect(requests("third")).To(BeFalse(), "the request to the other router is the last one")
}
