package soak

import (
	"context"
	"io"
	"testing"

	"github.com/gravitational/trace"
	. "github.com/onsi/gomega"
)

// Guards against runs that exhaust the descriptor limit. In a soak of 150 gateways the store could
// not accept connections for 20 s, and the gateways, which could not become ready, were reported as
// broken.
func TestRunFailsIfOpenFileLimitIsTooLow(t *testing.T) {
	g := NewWithT(t)
	_, err := Run(context.Background(), Settings{
		Program: []string{"no program"}, Folder: t.TempDir(), Out: io.Discard, Gateways: 1 << 15, Engines: 1 << 15,
	})
	g.Expect(trace.IsLimitExceeded(err)).To(BeTrue(), "the error: %v", err)
}
