package backend

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The simulated runners of different hardware prefill 30,000 to 70,000 tokens per second,
// and a response begins another 110 ms later. A tenth of the responses is delayed by other
// causes.
const firstResponseOverhead = 110 * time.Millisecond

func recordSamples(random *rand.Rand, model *prefillModel, samples int, rate float64) {
	for range samples {
		tokens := int(random.ExpFloat64() * 3000)
		elapsed := firstResponseOverhead + time.Duration(float64(tokens)/rate*float64(time.Second))
		elapsed += time.Duration(random.ExpFloat64() * float64(5*time.Millisecond))
		if random.IntN(10) == 0 {
			elapsed += time.Second
		}
		model.record(tokens, elapsed)
	}
}

func TestPrefillRateIsLearnedFromFirstResponses(t *testing.T) {
	g := NewWithT(t)
	for _, rate := range []float64{30_000, 45_000, 70_000} {
		random, model := rand.New(rand.NewPCG(1, 2)), &prefillModel{}
		g.Expect(model.tokensPerSecond()).To(BeNumerically("~", PrefillRate, 1))
		recordSamples(random, model, 3000, rate)
		g.Expect(model.tokensPerSecond()).To(BeNumerically("~", rate, 0.25*rate))
		recordSamples(random, model, 6000, 40_000)
		g.Expect(model.tokensPerSecond()).To(BeNumerically("~", 40_000, 10_000), "the model must follow a change")
	}
}

func TestPrefillRateNeedsEnoughVariedPrompts(t *testing.T) {
	g := NewWithT(t)
	model := &prefillModel{}
	for i := range 1000 {
		model.record(800, firstResponseOverhead+time.Duration(i%7)*time.Millisecond)
	}
	g.Expect(model.tokensPerSecond()).To(BeNumerically("~", PrefillRate, 1))
	fewSamples := &prefillModel{}
	recordSamples(rand.New(rand.NewPCG(1, 2)), fewSamples, minPrefillSamples-1, 70_000)
	g.Expect(fewSamples.tokensPerSecond()).To(BeNumerically("~", PrefillRate, 1))
}

func TestLearnedPrefillRateIsBounded(t *testing.T) {
	g := NewWithT(t)
	model := &prefillModel{}
	recordSamples(rand.New(rand.NewPCG(1, 2)), model, 2000, 10_000_000)
	g.Expect(model.tokensPerSecond()).To(BeNumerically("<=", maxPrefillRateRatio*PrefillRate+1))
}

func TestStartDelayUsesSlowerPrefillRate(t *testing.T) {
	g := NewWithT(t)
	delayAt := func(rate float64) time.Duration {
		set := NewSet("z")
		set.Put(runner("a", "z"))
		recordSamples(rand.New(rand.NewPCG(1, 2)), set.servicePrefill("s"), 3000, rate)
		return set.startDelay(start, set.entries["a"], 9000)
	}
	assumed := NewSet("z")
	assumed.Put(runner("a", "z"))
	assumedDelay := assumed.startDelay(start, assumed.entries["a"], 9000)
	g.Expect(delayAt(70_000)).To(Equal(assumedDelay), "faster runners must not change the delay")
	g.Expect(delayAt(20_000)).To(BeNumerically(">", assumedDelay*3/2))
}
