// Package soak_test runs short fault soaks with fixed random seeds.
package soak_test

import (
	"testing"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/soak"
	"github.com/clovertiller/clovertiller/internal/lab/soak/soaktest"
)

// faultDuration is how long faults are injected for each fixed seed. A run takes about 25 s in
// total, until the last faults have ended and the system has recovered.
const faultDuration = 9 * time.Second

// fixedSeeds are seeds with silent connections, leaving runners and new weight versions within
// faultDuration. Seed 6 fails without the detection of silent connections between gateways.
var fixedSeeds = []uint64{3, 6}

// poisonSeed sends requests whose content crashes runners while machines are suspended. Within
// poisonDuration two contents are requested often enough to be sent to too many runners. The code
// fails on this seed without the quarantine of contents.
const (
	poisonSeed     = 101
	poisonDuration = 26 * time.Second
)

// signalSeed has runners signal shutdown, rate limits and backoff. Code that ignores the signals
// breaks all three promises about them within signalDuration.
const (
	signalSeed     = 2
	signalDuration = 20 * time.Second
)

// restoreSeed restores the store from backups, several times in a row and together with all other
// faults, within restoreDuration.
const (
	restoreSeed     = 24
	restoreDuration = 20 * time.Second
)

// rolloutSeed has a target version that turns bad at 79% of the duration. Code that promotes a version
// without counting the requests that are still to come lets it get 491 of 1,041 requests and breaks the
// bound within rolloutDuration.
const (
	rolloutSeed     = 125
	rolloutDuration = 20 * time.Second
)

// partitionSeeds cut gateways off all runners in each way, seeds and a whole zone among them, and make
// runners brittle, within partitionDuration. The even seed has no faults of the store, which would hide how
// callers at cut gateways are served.
var partitionSeeds = []uint64{702, 705}

const partitionDuration = 20 * time.Second

// massCutSeed cuts most gateways at a time, off all runners and off some runners of a service.
const (
	massCutSeed     = 1003
	massCutDuration = 15 * time.Second
)

// The seeds run one after the other, so that at most four gateways run at the same time.
func TestSoakFixedSeeds(t *testing.T) {
	for _, seed := range fixedSeeds {
		soaktest.RunSeed(t, soak.Settings{Program: []string{soaktest.BuildCommand(t, "clovertiller-gateway")}, Seed: seed, FaultDuration: faultDuration})
	}
}

func TestSoakPoison(t *testing.T) {
	soaktest.RunSeed(t, soak.Settings{
		Program: []string{soaktest.BuildCommand(t, "clovertiller-lab"), "gateway"}, Seed: poisonSeed, FaultDuration: poisonDuration, Poison: true, Suspensions: true,
	})
}

func TestSoakRunnerSignals(t *testing.T) {
	soaktest.RunSeed(t, soak.Settings{Program: []string{soaktest.BuildCommand(t, "clovertiller-gateway")}, Seed: signalSeed, FaultDuration: signalDuration, Signals: true})
}

func TestSoakStoreRestores(t *testing.T) {
	soaktest.RunSeed(t, soak.Settings{Program: []string{soaktest.BuildCommand(t, "clovertiller-gateway")}, Seed: restoreSeed, FaultDuration: restoreDuration, Restores: true})
}

func TestSoakRollouts(t *testing.T) {
	soaktest.RunSeed(t, soak.Settings{Program: []string{soaktest.BuildCommand(t, "clovertiller-gateway")}, Seed: rolloutSeed, FaultDuration: rolloutDuration, Rollouts: true})
}

func TestSoakPartitions(t *testing.T) {
	for _, seed := range partitionSeeds {
		soaktest.RunSeed(t, soak.Settings{Program: []string{soaktest.BuildCommand(t, "clovertiller-gateway")}, Seed: seed, FaultDuration: partitionDuration, Partitions: true})
	}
}

// Guards against callers of most gateways who are refused while these are cut off together.
func TestSoakMassCuts(t *testing.T) {
	soaktest.RunSeed(t, soak.Settings{
		Program: []string{soaktest.BuildCommand(t, "clovertiller-gateway")}, Seed: massCutSeed, FaultDuration: massCutDuration, Partitions: true, MassCuts: true, Signals: true,
	})
}

// brokenAnswersSeed has runners break off streams in each framing and at each kind of end within faultDuration. Code that
// takes an end inside an event for the end of the stream breaks the promise of whole answers.
const brokenAnswersSeed = 1

func TestSoakBrokenAnswers(t *testing.T) {
	soaktest.RunSeed(t, soak.Settings{Program: []string{soaktest.BuildCommand(t, "clovertiller-gateway")}, Seed: brokenAnswersSeed, FaultDuration: faultDuration, BrokenAnswers: true})
}

// versionsSeed replaces runners by such of new versions, lets others crash and kills all gateways at once, within
// faultDuration. Code that doesn't keep streams at their version breaks the promise more than a hundred times.
const versionsSeed = 1

func TestSoakVersions(t *testing.T) {
	soaktest.RunSeed(t, soak.Settings{Program: []string{soaktest.BuildCommand(t, "clovertiller-gateway")}, Seed: versionsSeed, FaultDuration: faultDuration, Versions: true})
}

// returnSeeds kill all gateways, half of them, all but the seeds, and the seeds, also in the middle of their return and beside
// a slow or failing store, within returnDuration. The even seed has no faults of gateways and links besides, so that the times
// of the returns are checked.
var returnSeeds = []uint64{5, 8}

const returnDuration = 12 * time.Second

// Guards against gateways that are ready and refuse calls, or take no connections, after a loss of many gateways, and against
// slow returns.
func TestSoakReturns(t *testing.T) {
	for _, seed := range returnSeeds {
		soaktest.RunSeed(t, soak.Settings{Program: []string{soaktest.BuildCommand(t, "clovertiller-gateway")}, Seed: seed, FaultDuration: returnDuration, Returns: true})
	}
}

// badPartSeeds send requests with two bad parts at a time, of which some are sound first, while most connections go to one
// gateway, within badPartDuration. The even seed has no other faults of gateways and links, so that the calls served during
// a skew are compared. The code that judged only whole requests fails on both.
var badPartSeeds = []uint64{1, 2}

const badPartDuration = 22 * time.Second

// Guards against prompt parts that crash runner after runner, against sound calls that are refused for them, and against
// callers that are not served because most of them have the same gateway.
func TestSoakBadParts(t *testing.T) {
	for _, seed := range badPartSeeds {
		soaktest.RunSeed(t, soak.Settings{Program: []string{soaktest.BuildCommand(t, "clovertiller-gateway")}, Seed: seed, FaultDuration: badPartDuration, BadParts: true, Skews: true})
	}
}

// configChangeSeeds change the configuration in series while sound runners are silent, gateways stop and the store fails,
// within configChangeDuration. With both, streams of silent runners were ended or run at a second runner.
var configChangeSeeds = []uint64{2, 4}

const configChangeDuration = 20 * time.Second

// Guards against whole requests that are neither answered nor refused beside changes of the configuration, and against streams
// that are ended or moved because their sound runner is silent for a second or two.
func TestSoakConfigChanges(t *testing.T) {
	for _, seed := range configChangeSeeds {
		soaktest.RunSeed(t, soak.Settings{Program: []string{soaktest.BuildCommand(t, "clovertiller-gateway")}, Seed: seed, FaultDuration: configChangeDuration, ConfigChanges: true})
	}
}
