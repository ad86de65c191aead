// Package soaktest runs soaks with fixed seeds in tests.
package soaktest

import (
	"bytes"
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/soak"
)

// BuildCommand builds the command with the given name and returns the path of the program.
func BuildCommand(t *testing.T, command string) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), command)
	output, err := exec.Command("go", "build", "-o", program, "github.com/clovertiller/clovertiller/cmd/"+command).CombinedOutput()
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred(), "%s", output)
	return program
}

// RunSeed runs a soak and expects that calls were served and no promise was broken.
func RunSeed(t *testing.T, settings soak.Settings) {
	t.Helper()
	t.Run(fmt.Sprint(settings.Seed), func(t *testing.T) {
		report, log := Run(t, settings)
		gomega.NewWithT(t).Expect(report.Failures).To(gomega.BeEmpty(), log)
	})
}

// Run runs a soak, expects that calls were served, and returns its report and log.
func Run(t *testing.T, settings soak.Settings) (report soak.Report, log string) {
	t.Helper()
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	settings.Folder, settings.Out = soak.LogFolder(t.TempDir(), settings.Seed), &out
	report, err := soak.Run(t.Context(), settings)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(report.Served).NotTo(gomega.BeZero())
	return report, out.String()
}
