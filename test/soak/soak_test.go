// Package soak_test runs the fault soak for a short time with fixed seeds.
package soak_test

import (
	"bytes"
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/soak"
)

// faultTime is how long faults are injected for each seed; with the time in which the
// last ones end and all recovers a seed takes about 25 s.
const faultTime = 9 * time.Second

// fixedSeeds draw silences and news within the time for which faults are injected; 6 fails
// without the detection of silent connections between gateways.
var fixedSeeds = []uint64{3, 6}

// poisonSeed asks for contents that end their runners while machines are suspended, for
// poisonTime: two contents are asked for long enough to be sent too often. The code before
// contents were judged fails on it.
const (
	poisonSeed = 101
	poisonTime = 26 * time.Second
)

// signalSeed has runners say that they leave, limit requests or want a rest, for signalTime. The
// code before routers read that breaks all three promises on it.
const (
	signalSeed = 2
	signalTime = 20 * time.Second
)

// restoreSeed has the store come back from copies, in series beside all other faults, for
// restoreTime.
const (
	restoreSeed = 24
	restoreTime = 20 * time.Second
)

// The seeds run one after the other, so that there are no more than four gateways at once.
func TestSoakOfFixedSeeds(t *testing.T) {
	for _, seed := range fixedSeeds {
		play(t, soak.Settings{Program: []string{build(t, "clovertiller-gateway")}, Seed: seed, FaultDuration: faultTime})
	}
}

func TestSoakOfContentsThatEndRunners(t *testing.T) {
	play(t, soak.Settings{
		Program: []string{build(t, "clovertiller-lab"), "gateway"}, Seed: poisonSeed, FaultDuration: poisonTime, Poison: true, Suspensions: true,
	})
}

func TestSoakOfWhatRunnersSayOfThemselves(t *testing.T) {
	play(t, soak.Settings{Program: []string{build(t, "clovertiller-gateway")}, Seed: signalSeed, FaultDuration: signalTime, Signals: true})
}

func TestSoakOfAStoreThatComesBackFromCopies(t *testing.T) {
	play(t, soak.Settings{Program: []string{build(t, "clovertiller-gateway")}, Seed: restoreSeed, FaultDuration: restoreTime, Restores: true})
}

// build builds one of the commands and returns its path.
func build(t *testing.T, command string) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), command)
	output, err := exec.Command("go", "build", "-o", program, "github.com/clovertiller/clovertiller/cmd/"+command).CombinedOutput()
	NewWithT(t).Expect(err).NotTo(HaveOccurred(), "%s", output)
	return program
}

func play(t *testing.T, settings soak.Settings) {
	t.Helper()
	t.Run(fmt.Sprint(settings.Seed), func(t *testing.T) {
		g := NewWithT(t)
		var out bytes.Buffer
		settings.Folder, settings.Out = soak.LogFolder(t.TempDir(), settings.Seed), &out
		report, err := soak.Run(t.Context(), settings)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(report.Served).NotTo(BeZero())
		g.Expect(report.Failures).To(BeEmpty(), "%s", &out)
	})
}
