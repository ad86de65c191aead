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

// The seeds run one after the other, so that there are no more than four gateways at once.
func TestSoakOfFixedSeeds(t *testing.T) {
	folder := t.TempDir()
	program := filepath.Join(folder, "clovertiller-gateway")
	build := exec.Command("go", "build", "-o", program, "github.com/clovertiller/clovertiller/cmd/clovertiller-gateway")
	output, err := build.CombinedOutput()
	NewWithT(t).Expect(err).NotTo(HaveOccurred(), "%s", output)
	for _, seed := range fixedSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			g := NewWithT(t)
			var out bytes.Buffer
			report, err := soak.Run(t.Context(), soak.Settings{
				Program: program, Seed: seed, Duration: faultTime, Folder: soak.LogFolder(folder, seed), Out: &out,
			})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(report.Served).NotTo(BeZero())
			g.Expect(report.Failures).To(BeEmpty(), "%s", &out)
		})
	}
}
