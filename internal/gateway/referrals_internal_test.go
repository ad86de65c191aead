package gateway

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/coldstart"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// newFollowerGateway returns a gateway that is no seed and pulls from the seeds s1 and s2.
func newFollowerGateway(t *testing.T) *Gateway {
	router := newQuarantineGateway(t, nil)
	router.settings.Zone = "own"
	router.copies = newCopies(router)
	router.peerRouters = newPeerRouters(router)
	router.peerRouters.transport = &wire.Transport{}
	router.peerRouters.selector.SetSeeds([]string{"s1", "s2"})
	return router
}

// Guards against routers that start together, are referred to each other in circles by different seeds, and get
// no further pages of the directory.
func TestReferralsOfThePrimarySeedAreFollowed(t *testing.T) {
	t.Parallel()
	g, r := NewWithT(t), newFollowerGateway(t).peerRouters
	reply := func(seed, zone, relay string) {
		r.recordReply(r.gateway.now(), seed, &wire.CopyAnswer{Unconfigured: true, Zone: zone, ReferTo: relay}, coldstart.Data, true)
	}
	reply("s2", "other", "circle")
	g.Expect(r.selector.Relay()).To(BeEmpty(), "s1 is preferred to a seed of another zone")
	reply("s1", "own", "relay")
	g.Expect(r.selector.Relay()).To(Equal("relay"))
}

// Guards against a router that keeps asking a relay for pages which that lacks itself.
func TestRelayWithIncompleteDirectoryIsDropped(t *testing.T) {
	t.Parallel()
	g, r := NewWithT(t), newFollowerGateway(t).peerRouters
	r.selector.SetRelay("relay")
	r.receivePage("relay", &wire.CopyAnswer{DirectoryPage: &wire.DirectoryPage{}}, r.gateway.now())
	g.Expect(r.selector.Relay()).To(BeEmpty())
}

// Guards against a seed that spends its processor on pages for routers which have as many runners as itself, while
// it reads the directory.
func TestIncompleteDirectoryIsNotCutForRoutersThatHaveRunners(t *testing.T) {
	t.Parallel()
	g, router := NewWithT(t), newFollowerGateway(t)
	server := newPageServer(router)
	page, through := server.answer(&wire.DirectoryPosition{}, true)
	g.Expect(page.GetObjects()).To(BeNil())
	g.Expect(through).To(BeZero())
	g.Expect(server.builtAt).To(BeZero())
}
