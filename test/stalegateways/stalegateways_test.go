// Package stalegateways_test runs short soaks in which gateways are cut off others and the store, or paused, while runners of new software
// versions join.
package stalegateways_test

import (
	"testing"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/soak"
	"github.com/clovertiller/clovertiller/internal/lab/soak/soaktest"
)

// seeds have one and three gateways that read the store for all. Code that takes a missing record or an old directory for evidence mixes
// streams with the first one, and code that gives all records to a gateway that is cut off refuses most streams with the second one.
var seeds = []uint64{3, 14}

const duration = 5 * time.Second

// Guards against streams with events of two software versions, and against streams that are refused where new ones begin, at gateways
// that were out of step during a release.
func TestSoakStaleGateways(t *testing.T) {
	program := soaktest.BuildCommand(t, "clovertiller-gateway")
	for _, seed := range seeds {
		soaktest.RunSeed(t, soak.Settings{
			Program: []string{program}, Seed: seed, FaultDuration: duration, Versions: true, StaleGateways: true,
		})
	}
}
