// Package prove holds the failure tests: real router and engine processes, one
// container a promise. `make prove` runs them and prints one line a promise.
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
	logs     string
)

var _ = BeforeSuite(func() {
	directory, err := os.MkdirTemp("", "prove")
	Expect(err).NotTo(HaveOccurred())
	logs = directory
	DeferCleanup(func() { os.RemoveAll(directory) })
	binaries, err = cluster.Build(directory)
	Expect(err).NotTo(HaveOccurred())
})

// settleTime bounds waits for a cluster to be whole; waits end on the event.
const settleTime = 30 * time.Second

// start runs a whole cluster for one test.
func start(settings cluster.Settings) *cluster.Cluster {
	c, err := cluster.New(binaries, logs, settings)
	DeferCleanup(c.Close)
	Expect(err).NotTo(HaveOccurred())
	await("the cluster is whole", c.Ready)
	return c
}

func await(what string, condition func() bool) {
	GinkgoHelper()
	Expect(cluster.WaitFor(settleTime, condition)).To(BeTrue(), "gave up waiting until %s", what)
}

// background returns a context that ends with the test.
func background() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	return ctx
}

// calls makes count repeatable calls that share a long prefix.
func calls(count int) []cluster.Call {
	made := make([]cluster.Call, count)
	for i := range made {
		made[i] = cluster.Call{Tenant: "one", Prompt: shared + fmt.Sprintf("question %d of %s", i, cluster.NewIdempotencyKey()), MaxTokens: 60}
	}
	return made
}

var shared = strings.Repeat("the rules of the house are long and many; ", 40)

// holds makes count unrepeatable calls with new keys.
func holds(count int) []cluster.Call {
	made := calls(count)
	for i := range made {
		made[i].IdempotencyKey = cluster.NewIdempotencyKey()
	}
	return made
}

// each runs the calls at once, spread over the routers, and returns their outcomes.
func each(c *cluster.Cluster, made []cluster.Call, router func(i int) int) []cluster.Outcome {
	outcomes := make([]cluster.Outcome, len(made))
	done := make(chan int, len(made))
	for i, call := range made {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), settleTime)
			defer cancel()
			outcomes[i] = c.Do(ctx, router(i), call)
			done <- i
		}()
	}
	for range made {
		<-done
	}
	return outcomes
}

// expectTruth checks what every promise asks of every outcome: a complete
// answer is exact, and "not run" is true.
func expectTruth(c *cluster.Cluster, call cluster.Call, outcome cluster.Outcome) {
	GinkgoHelper()
	if outcome.Complete() {
		Expect(outcome.Completion.Text).To(Equal(cluster.ExpectedText(call, outcome.Completion.WeightVersion)))
	}
	if outcome.RunState == "not_run" && call.IdempotencyKey != "" {
		Expect(c.RunCount(call.Prompt)).To(BeZero(), "said not run")
	}
}

// promises are the containers in the order of the report.
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
			// "broken" sorts before "held" before "not run".
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
