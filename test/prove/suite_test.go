// Package prove tests the promises of the product under failures, with real router and engine
// processes. Each promise is one ginkgo container. `make prove` runs the tests and prints one
// line per promise.
package prove

import (
	"context"
	"fmt"
	"os"
	"sort"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"github.com/onsi/ginkgo/v2/types"
	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/cluster"
)

func TestProve(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1
	RunSpecs(t, "promises", suite, reporter)
}

var (
	binaries cluster.Binaries
	// logDir holds the binaries and the logs of all processes.
	logDir string
)

var _ = BeforeSuite(func() {
	dir, err := os.MkdirTemp("", "prove")
	Expect(err).NotTo(HaveOccurred())
	logDir = dir
	DeferCleanup(func() { os.RemoveAll(dir) })
	binaries, err = cluster.Build(dir)
	Expect(err).NotTo(HaveOccurred())
})

// settleTimeout is the timeout of waits for a condition and of calls. Waits end as soon as the
// condition is met.
const settleTimeout = 30 * time.Second

// startCluster starts a cluster, waits until all its routers and runners are ready, and stops
// it at the end of the test.
func startCluster(settings cluster.Settings) *cluster.Cluster {
	c, err := cluster.New(binaries, logDir, settings)
	DeferCleanup(c.Close)
	Expect(err).NotTo(HaveOccurred())
	await("the cluster is ready", c.Ready)
	return c
}

// await fails the test unless the condition is met within settleTimeout.
func await(what string, condition func() bool) {
	GinkgoHelper()
	Expect(cluster.WaitFor(settleTimeout, condition)).To(BeTrue(), "timed out waiting until %s", what)
}

// testContext returns a context that is canceled at the end of the test.
func testContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	return ctx
}

// newCalls returns repeatable calls with different prompts that share a long prefix.
func newCalls(count int) []cluster.Call {
	calls := make([]cluster.Call, count)
	for i := range calls {
		calls[i] = cluster.Call{Tenant: "one", Prompt: sharedPrefix + fmt.Sprintf("question %d of %s", i, cluster.NewIdempotencyKey()), MaxTokens: 60}
	}
	return calls
}

// sharedPrefix is a prompt prefix of several cache blocks.
var sharedPrefix = strings.Repeat("the rules of the house are long and many; ", 40)

// newUnrepeatableCalls returns calls with new idempotency keys, each of which may run at most
// once.
func newUnrepeatableCalls(count int) []cluster.Call {
	calls := newCalls(count)
	for i := range calls {
		calls[i].IdempotencyKey = cluster.NewIdempotencyKey()
	}
	return calls
}

// doConcurrently sends all calls at the same time, each to the router with the index that
// routerFor returns, and returns their outcomes.
func doConcurrently(c *cluster.Cluster, calls []cluster.Call, routerFor func(i int) int) []cluster.Outcome {
	outcomes := make([]cluster.Outcome, len(calls))
	done := make(chan int, len(calls))
	for i, call := range calls {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
			defer cancel()
			outcomes[i] = c.Do(ctx, routerFor(i), call)
			done <- i
		}()
	}
	for range calls {
		<-done
	}
	return outcomes
}

// expectTruthfulOutcome checks that a complete response has the expected text, and that a call
// reported as not run was not run. All promises require this of every outcome.
func expectTruthfulOutcome(c *cluster.Cluster, call cluster.Call, outcome cluster.Outcome) {
	GinkgoHelper()
	if outcome.Complete() {
		Expect(outcome.Completion.Text).To(Equal(cluster.ExpectedText(call, outcome.Completion.WeightVersion)))
	}
	if outcome.RunState == "not_run" && call.IdempotencyKey != "" {
		Expect(c.RunCount(call.Prompt)).To(BeZero(), "reported as not run")
	}
}

// promises are the texts of the containers, in the order in which they are reported.
var promises = []string{
	"1 at most once, and not run is true",
	"2 streams complete, in order, and one's own",
	"3 no cache of a dead engine, another tenant or older weights",
	"4 planned stop cuts nothing; a leaving back end gets no work",
	"5 a restarted router serves at once",
	"6 accepted configuration is in force everywhere and never reverts",
	"7 fenced orders",
}

var _ = ReportAfterSuite("one line a promise", func(report Report) {
	// verdicts holds the verdicts on the tests of each promise.
	verdicts := map[string][]string{}
	for _, spec := range report.SpecReports {
		if len(spec.ContainerHierarchyTexts) == 0 {
			continue
		}
		promise := spec.ContainerHierarchyTexts[0]
		verdict := "not run"
		switch spec.State {
		case types.SpecStatePassed:
			verdict = "held"
		case types.SpecStateSkipped, types.SpecStatePending:
		default:
			verdict = "broken"
		}
		verdicts[promise] = append(verdicts[promise], verdict)
	}
	counts := map[string]int{}
	for _, promise := range promises {
		verdict := "not run"
		sort.Strings(verdicts[promise])
		if tests := verdicts[promise]; len(tests) > 0 {
			// The verdicts sort in the order "broken", "held", "not run".
			verdict = tests[0]
			if verdict == "held" && tests[len(tests)-1] == "not run" {
				verdict = "not run"
			}
		}
		counts[verdict]++
		fmt.Printf("promise %s: %s (%d tests)\n", promise, verdict, len(verdicts[promise]))
	}
	fmt.Printf("prove: %d held, %d broken, %d not run\n", counts["held"], counts["broken"], counts["not run"])
})
