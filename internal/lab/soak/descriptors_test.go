package soak

import (
	"context"
	"io"
	"testing"

	"github.com/gravitational/trace"
	. "github.com/onsi/gomega"
)

// A soak of 150 gateways ran out of open files: its store took no connections for 20 s, and
// gateways that could not have been ready counted as broken promises.
func TestRunThatNeedsMoreOpenFilesThanThereAreIsRefused(t *testing.T) {
	g := NewWithT(t)
	_, err := Run(context.Background(), Settings{
		Program: []string{"no program"}, Folder: t.TempDir(), Out: io.Discard, Gateways: 1 << 15, Engines: 1 << 15,
	})
	g.Expect(trace.IsLimitExceeded(err)).To(BeTrue(), "the error: %v", err)
}
