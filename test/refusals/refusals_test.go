// Package refusals_test runs short fault soaks that compare refused calls with what ran. The soaks of package soak take most of the
// time that go test allows a package.
package refusals_test

import (
	"testing"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/soak"
	"github.com/clovertiller/clovertiller/internal/lab/soak/soaktest"
)

// refusalSeeds make runners refuse calls, also early and for weights that gateways don't know yet, list runners with former IDs, and
// send half of the responses twice, within refusalDuration. The code that attributed responses by the ID of the call alone refuses
// 4 to 10 calls that run, and runs others twice.
var refusalSeeds = []uint64{101, 102}

const refusalDuration = 12 * time.Second

// Guards against calls that can't be repeated and are refused as not run, although a runner has run them.
func TestSoakRefusals(t *testing.T) {
	for _, seed := range refusalSeeds {
		soaktest.RunSeed(t, soak.Settings{
			Program: []string{soaktest.BuildCommand(t, "clovertiller-lab"), "gateway"}, Seed: seed, FaultDuration: refusalDuration, Refusals: true, Suspensions: true,
		})
	}
}
