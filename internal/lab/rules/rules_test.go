// Package rules tests the import rules of the source tree.
package rules

import (
	"os/exec"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const modulePath = "github.com/clovertiller/clovertiller"

// Guards against simulated servers and experiments that become part of the product binary.
func TestProductDoesNotImportLabPackages(t *testing.T) {
	g := NewWithT(t)
	output, err := exec.Command("go", "list", "-deps", modulePath+"/cmd/clovertiller").Output()
	g.Expect(err).NotTo(HaveOccurred())
	for _, dependency := range strings.Fields(string(output)) {
		g.Expect(dependency).NotTo(HavePrefix(modulePath + "/internal/lab"))
	}
}

// Guards against sockets, files, locks and clock reads in the decision packages. Their tests
// depend on being able to set the time and all inputs.
func TestDecisionPackagesPerformNoIO(t *testing.T) {
	packages := []string{"admission", "attempt", "cacheindex", "claim", "config", "control", "fleet", "lease", "membership", "placement", "prefix", "quarantine", "rendezvous", "rollout", "storerev"}
	for _, pkg := range packages {
		t.Run(pkg, func(t *testing.T) {
			g := NewWithT(t)
			imports, err := exec.Command("go", "list", "-f", "{{join .Imports \" \"}}", modulePath+"/internal/"+pkg).Output()
			g.Expect(err).NotTo(HaveOccurred())
			for _, forbidden := range []string{"net", "net/http", "os", "sync"} {
				g.Expect(strings.Fields(string(imports))).NotTo(ContainElement(forbidden))
			}
			clockUsers, _ := exec.Command("grep", "-rlE", `time\.(Now|Sleep|After|NewTicker)\(`, "--include=*.go", "--exclude=*_test.go", "../../"+pkg).Output()
			g.Expect(string(clockUsers)).To(BeEmpty())
		})
	}
}

// Guards against promises that a request has not run which don't come from a client that knows what it has written and read.
func TestOnlyClientsProveThatAttemptsHaveNotRun(t *testing.T) {
	g := NewWithT(t)
	output, err := exec.Command("grep", "-rlF", "notrun.New(", "--include=*.go", "--exclude=*_test.go", "../../..").Output()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(strings.Fields(string(output))).To(ConsistOf("../../../internal/httpconn/exchange.go", "../../../internal/engineapi/client.go"))
}

// Guards against statuses that promise to callers that a call has not run and are written without a promise.
func TestStatusesOfCallsAreWrittenInOnePlace(t *testing.T) {
	g := NewWithT(t)
	output, err := exec.Command("grep", "-rlE", `c\.writer\.WriteHeader\(|callerStatus\{`, "--include=*.go", "--exclude=*_test.go", "../../gateway").Output()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(strings.Fields(string(output))).To(ConsistOf("../../gateway/answer.go", "../../gateway/callerstatus.go"))
}
