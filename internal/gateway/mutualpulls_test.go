package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/distance"
	"github.com/clovertiller/clovertiller/internal/relay"
)

// Two routers may pull from each other while one replaces the other as relay and its earlier pull
// still counts. Each then reports the followers that the other reported to it.
func TestMutualPullsAreCountedOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	firstAddress, secondAddress := "127.0.0.1:1", "127.0.0.1:2"
	newRouter := func(self string) *peerRouters {
		return &peerRouters{selector: relay.NewSelector(self, "z", distance.New(distance.Config{}), []string{"127.0.0.1:9"}), followers: map[string]followerState{}}
	}
	first, second := newRouter(firstAddress), newRouter(secondAddress)
	report := func(from *peerRouters, fromAddress string, to *peerRouters, toAddress string) {
		to.followers[fromAddress] = followerState{pushUntil: now.Add(pushWindow), followerCount: from.countOtherFollowers(now, toAddress)}
	}
	for range 6 {
		report(first, firstAddress, second, secondAddress)
		report(second, secondAddress, first, firstAddress)
	}
	g.Expect(first.countDownstream(now)).To(BeNumerically("<=", 2))
}
