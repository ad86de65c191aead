package gateway_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// startOverloadedSeed starts a seed that receives messages and answers none. It counts them.
func startOverloadedSeed(f *fleet, received *atomic.Int64) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	f.g.Expect(err).NotTo(HaveOccurred())
	address := listener.Addr().String()
	transport := wire.NewTransport(wire.Identity{Node: address, Incarnation: 1}, listener, func(context.Context, *wire.Envelope) *wire.Envelope {
		received.Add(1)
		return nil
	})
	f.t.Cleanup(transport.Close)
	return address
}

// When hundreds of routers start at once, seeds are too busy to answer in the first moments. Guards
// against routers that ask again at a constant rate, each all seeds, so that the seeds never answer
// and all routers read the store.
func TestStartingRouterAsksOverloadedSeedsLessAndLess(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	var received atomic.Int64
	var seeds []string
	for range 3 {
		seeds = append(seeds, startOverloadedSeed(f, &received))
	}
	f.router("starting", func(settings *gateway.Settings) {
		f.followerSettings(seeds)(settings)
		settings.FirstStart = true
	})
	time.Sleep(950 * time.Millisecond)
	f.g.Expect(received.Load()).To(BeNumerically(">=", 3))
	f.g.Expect(received.Load()).To(BeNumerically("<=", 12), "pulls of one router in its first second")
}
