package wire_test

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// Guards against calls that wait for their whole timeout for a machine on which no process listens, as
// while a router starts, and against a router that is found late once it listens.
func TestCallToPortWithoutProcessFailsAtOnce(t *testing.T) {
	g := NewWithT(t)
	const timeout = 5 * time.Second
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	caller := wire.NewTransport(wire.Identity{Node: "caller", Incarnation: 1}, listener, func(context.Context, *wire.Envelope) *wire.Envelope { return nil })
	t.Cleanup(caller.Close)
	address := loopback.FreeAddress()
	call := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		_, err := caller.Call(ctx, "", address, &wire.Envelope{Body: &wire.Envelope_CopyPull{CopyPull: &wire.CopyPull{}}})
		return err
	}
	startedAt := time.Now()
	for range 3 {
		g.Expect(call()).To(MatchError(wire.ErrRefused))
	}
	g.Expect(time.Since(startedAt)).To(BeNumerically("<", timeout))
	late, err := net.Listen("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	callee := wire.NewTransport(wire.Identity{Node: "callee", Incarnation: 1}, late, func(context.Context, *wire.Envelope) *wire.Envelope {
		return &wire.Envelope{Body: &wire.Envelope_CopyAnswer{CopyAnswer: &wire.CopyAnswer{}}}
	})
	t.Cleanup(callee.Close)
	g.Eventually(call, timeout).Should(Succeed())
}
