package emulator

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// testSettings returns the settings of a short run with every fault.
func testSettings(policy Policy) Settings {
	return Settings{
		Deployment: Deployments()[1], Engine: EngineSettings(), Faults: AllFaults(), Policy: policy,
		RequestsPerSecond: 60, Duration: 20 * time.Second, Seed: 5, Routers: 3, AnchorStride: 1,
	}
}

func TestRunsAreDeterministic(t *testing.T) {
	g := NewWithT(t)
	first, second := Run(testSettings(Product)), Run(testSettings(Product))
	g.Expect(first.HitRate()).To(Equal(second.HitRate()))
	g.Expect(first.Completed).To(Equal(second.Completed))
	other := testSettings(Product)
	other.Seed = 6
	g.Expect(Run(other).HitRate()).NotTo(Equal(first.HitRate()))
}

func TestAllPoliciesServeAndIndexBeatsRandom(t *testing.T) {
	g := NewWithT(t)
	hitRates := map[Policy]float64{}
	for _, policy := range Policies() {
		result := Run(testSettings(policy))
		g.Expect(result.Completed).To(BeNumerically(">", 500), string(policy))
		hitRates[policy] = result.HitRate()
	}
	g.Expect(hitRates[Product]).To(BeNumerically(">", hitRates[Random]+0.05))
	g.Expect(hitRates[Oracle]).To(BeNumerically(">", hitRates[Random]+0.05))
}
