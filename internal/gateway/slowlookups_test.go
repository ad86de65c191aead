package gateway_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
)

// Guards against streams of a service with one version that are refused while the store answers slowly: the records and the directory are
// read one after the other, and a caller that comes during a read waits for two of them.
func TestStreamsOfOneVersionGoOnWithASlowStore(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	first := f.versionedEngines("v1", 3)
	var addresses []string
	for range streamSeeds {
		addresses = append(addresses, loopback.FreeAddress())
	}
	var links []*faultproxy.Proxy
	var routers []*router
	for i, address := range addresses {
		r := f.servingRouter(fmt.Sprint("router", i), func(settings *gateway.Settings) {
			link := f.proxyTo(settings.StoreAddress)
			links = append(links, link)
			settings.StoreAddress, settings.PeerAddress, settings.Seeds, settings.FirstStart = link.Address, address, addresses, true
		})
		r.awaitRunners(len(first))
		routers = append(routers, r)
	}
	time.Sleep(loneVersionTime)
	streams := routers[0].openStreams(streamsPerCase)
	for _, link := range links {
		link.SetMode(faultproxy.Delay)
	}
	results := make(chan takeUps, len(streams))
	for i, stream := range streams {
		time.Sleep(50 * time.Millisecond)
		go func() { results <- takeUpAll([]openedStream{stream}, routers[1+i%2]) }()
	}
	total := takeUps{}
	for range streams {
		result := <-results
		total.total, total.goneOn, total.mixed = total.total+1, total.goneOn+result.goneOn, total.mixed+result.mixed
		total.failures = append(total.failures, result.failures...)
	}
	f.g.Expect(total.goneOn).To(Equal(len(streams)), "%+v", total)
}
