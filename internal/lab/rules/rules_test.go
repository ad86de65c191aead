// Package rules checks rules on the source tree itself.
package rules

import (
	"os/exec"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const module = "github.com/clovertiller/clovertiller"

// TestProductDoesNotImportTheLab keeps stand-ins and experiments out of the product.
func TestProductDoesNotImportTheLab(t *testing.T) {
	g := NewWithT(t)
	output, err := exec.Command("go", "list", "-deps", module+"/cmd/clovertiller").Output()
	g.Expect(err).NotTo(HaveOccurred())
	for _, dependency := range strings.Fields(string(output)) {
		g.Expect(dependency).NotTo(HavePrefix(module + "/internal/lab"))
	}
}

// TestPureCoresHaveNoInputOrOutput keeps the decision logic free of sockets and clocks.
func TestPureCoresHaveNoInputOrOutput(t *testing.T) {
	cores := []string{"admission", "attempt", "cacheindex", "claim", "config", "control", "fleet", "lease", "membership", "placement", "prefix", "quarantine", "rendezvous", "rollout", "storerev"}
	for _, core := range cores {
		t.Run(core, func(t *testing.T) {
			g := NewWithT(t)
			imports, err := exec.Command("go", "list", "-f", "{{join .Imports \" \"}}", module+"/internal/"+core).Output()
			g.Expect(err).NotTo(HaveOccurred())
			for _, forbidden := range []string{"net", "net/http", "os", "sync"} {
				g.Expect(strings.Fields(string(imports))).NotTo(ContainElement(forbidden))
			}
			clock, _ := exec.Command("grep", "-rlE", `time\.(Now|Sleep|After|NewTicker)\(`, "--include=*.go", "--exclude=*_test.go", "../../"+core).Output()
			g.Expect(string(clock)).To(BeEmpty())
		})
	}
}
