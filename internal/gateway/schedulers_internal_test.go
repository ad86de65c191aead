package gateway

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/distance"
	"github.com/clovertiller/clovertiller/internal/relay"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// newRegionGateway returns a router in region a that is one of two seeds. The other one has the address
// "other".
func newRegionGateway(t *testing.T) *Gateway {
	router := newQuarantineGateway(t, nil)
	router.settings.Zone, router.settings.Region, router.settings.Seeds = "a1", "a", []string{router.settings.PeerAddress, "other"}
	router.runners = backend.NewSet("a1")
	router.distances = distance.New(distance.Config{Zone: "a1", Regions: map[string]string{"a1": "a", "b1": "b"}})
	router.peerRouters.selector.SetSeeds(router.settings.Seeds)
	router.schedulers = newSchedulers(router)
	return router
}

// Guards against a seed that gets a list when it pulls once because it lacks a proof, and reports its loads
// to the standby schedulers of that list long after they are lost.
func TestSeedsApplyNoListOfSchedulers(t *testing.T) {
	g := NewWithT(t)
	router := newRegionGateway(t)
	router.schedulers.applyList("other", newSchedulerList([]string{"other", "standby"}))
	near, far := router.schedulers.loadTargets(router.now())
	g.Expect(append(near, far...)).To(ConsistOf("other"))
	g.Expect(router.schedulers.recordReceivers()).To(ConsistOf("other"))
}

// Guards against a follower that becomes a seed and keeps the list that it followed, which nothing replaces.
func TestRouterThatBecomesSeedDropsItsList(t *testing.T) {
	g := NewWithT(t)
	router := newRegionGateway(t)
	router.schedulers.setSchedulers([]string{"other"})
	router.schedulers.applyList("other", newSchedulerList([]string{"other", "standby"}))
	g.Expect(router.schedulers.recordReceivers()).To(ConsistOf("other", "standby"))
	router.schedulers.setSchedulers(router.settings.Seeds)
	g.Expect(router.schedulers.recordReceivers()).To(ConsistOf("other"))
	g.Expect(router.schedulers.list().GetAddresses()).To(BeEmpty())
}

// Guards against memory of a relay that grows with each router that ever pulled from it.
func TestOnlySeedsRecordStandbyCandidates(t *testing.T) {
	g := NewWithT(t)
	router := newRegionGateway(t)
	pull := &wire.CopyPull{PeerAddress: "follower", Zone: "a1", Region: "a", Capacity: 3}
	router.peerRouters.recordStandbyCandidate(router.now(), pull)
	g.Expect(router.peerRouters.standbys.Standbys(router.now(), "a")).To(ConsistOf("follower"))
	router.peerRouters.standbys = relay.NewStandbySelector()
	router.peerRouters.selector.SetSeeds([]string{"other"})
	router.peerRouters.recordStandbyCandidate(router.now(), pull)
	g.Expect(router.peerRouters.standbys.Standbys(router.now(), "a")).To(BeEmpty())
}
