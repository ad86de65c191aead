package gateway

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/wire"
)

// Guards against lists for routers whose version can't forward calls, and against calls that are forwarded to a
// router whose version doesn't serve them.
func TestOlderVersionsAreNoEgressRouters(t *testing.T) {
	g := NewWithT(t)
	gateway := newSharingGateway()
	e := gateway.egress
	pull := func(address string, report *wire.EgressReport) *wire.EgressList {
		return e.answerPull(&wire.CopyPull{PeerAddress: address, Zone: "z", Egress: report})
	}
	g.Expect(pull("old", nil)).To(BeNil())
	g.Expect(pull("a", &wire.EgressReport{Accepts: true})).To(BeNil(), "it knows no other router")
	g.Expect(pull("old", nil)).To(BeNil(), "a version without reports gets no list")
	list := pull("b", &wire.EgressReport{Accepts: true})
	g.Expect(list.GetRouters()).To(HaveLen(1))
	g.Expect(list.GetRouters()[0].GetAddress()).To(Equal("a"))
	g.Expect(pull("b", &wire.EgressReport{Accepts: true, ListDigest: list.GetDigest()})).To(BeNil(), "the list has not changed")
	g.Expect(pull("a", &wire.EgressReport{})).NotTo(BeNil())
	g.Expect(pull("c", &wire.EgressReport{Accepts: true}).GetRouters()).To(HaveLen(1), "a no longer accepts calls")
}
