package gateway_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
)

// Guards against streams that are refused for good while their router stands still: it lists the second version, and gives the records of
// its streams to others, once it goes on.
func TestStreamsOfARouterThatStandsStillAreNotRefusedForGood(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	first := f.versionedEngines("v1", 3)
	s := newStreamFleet(f, streamSeeds, len(first))
	var links []*faultproxy.Proxy
	var addresses []string
	for _, address := range s.addresses {
		link := f.proxyTo(address)
		links, addresses = append(links, link), append(addresses, link.Address)
	}
	origin := f.startVersionedRouter("origin", loopback.FreeAddress(), addresses, len(first), true)
	time.Sleep(loneVersionTime)
	streams := origin.openStreams(streamsPerCase)
	origin.storeEndpoint.SetFault(storestand.Hangs)
	for _, link := range links {
		link.SetMode(faultproxy.Stall)
	}
	f.versionedEngines("v2", 3)
	for _, r := range s.routers {
		r.awaitRunners(6)
	}
	final := 0
	for i, stream := range streams {
		if got := s.routers[i%len(s.routers)].takeUp(stream); got.status != 200 && got.header.Get("Retry-After") == "" {
			final++
		}
	}
	origin.storeEndpoint.SetFault(storestand.Healthy)
	for _, link := range links {
		link.SetMode(faultproxy.Pass)
	}
	time.Sleep(2 * time.Second)
	later := takeUpAll(streams, s.routers...)
	f.g.Expect(final).To(BeZero(), "streams refused for good, of %d; after the router went on: %+v", len(streams), later)
}
