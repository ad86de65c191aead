package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/relay"
)

// Two routers that pull from each other, as a relay and the one that took its place while the
// older pull still counts, each tell the other what the other told them.
func TestRoutersThatPullFromEachOtherAreCountedOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	one, two := "127.0.0.1:1", "127.0.0.1:2"
	side := func(self string) *relays {
		return &relays{chooser: relay.NewSelector(self, "z", []string{"127.0.0.1:9"}), followers: map[string]follows{}}
	}
	first, second := side(one), side(two)
	tell := func(from *relays, address string, to *relays, at string) {
		to.followers[address] = follows{until: now.Add(pushTime), below: from.followersBeside(now, at)}
	}
	for range 6 {
		tell(first, one, second, two)
		tell(second, two, first, one)
	}
	g.Expect(first.routersBehind(now)).To(BeNumerically("<=", 2))
}
