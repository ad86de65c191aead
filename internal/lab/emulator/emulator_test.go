package emulator

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func settings(policy Policy) Settings {
	return Settings{
		Deployment: Deployments()[1], Engine: EngineSettings(), Faults: AllFaults(), Policy: policy,
		Rate: 60, Duration: 20 * time.Second, Seed: 5, Routers: 3, Stride: 1,
	}
}

func TestRunsAreAFunctionOfTheirSeed(t *testing.T) {
	g := NewWithT(t)
	first, second := Run(settings(Product)), Run(settings(Product))
	g.Expect(first.HitRate()).To(Equal(second.HitRate()))
	g.Expect(first.Completed).To(Equal(second.Completed))
	other := settings(Product)
	other.Seed = 6
	g.Expect(Run(other).HitRate()).NotTo(Equal(first.HitRate()))
}

func TestEveryPolicyServesAndTheIndexBeatsChance(t *testing.T) {
	g := NewWithT(t)
	hits := map[Policy]float64{}
	for _, policy := range Policies() {
		result := Run(settings(policy))
		g.Expect(result.Completed).To(BeNumerically(">", 500), string(policy))
		hits[policy] = result.HitRate()
	}
	g.Expect(hits[Product]).To(BeNumerically(">", hits[Random]+0.05))
	g.Expect(hits[Oracle]).To(BeNumerically(">", hits[Random]+0.05))
}
