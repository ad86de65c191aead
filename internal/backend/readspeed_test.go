package backend

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Pattern: runners of different makes read 30,000 to 70,000 tokens a second, and a first
// answer takes 110 ms beside the reading. A tenth of the answers is late for other causes.
const firstConstant = 110 * time.Millisecond

func learn(random *rand.Rand, speed *readSpeed, samples int, rate float64) {
	for range samples {
		tokens := int(random.ExpFloat64() * 3000)
		taken := firstConstant + time.Duration(float64(tokens)/rate*float64(time.Second))
		taken += time.Duration(random.ExpFloat64() * float64(5*time.Millisecond))
		if random.IntN(10) == 0 {
			taken += time.Second
		}
		speed.note(tokens, taken)
	}
}

func TestReadingSpeedIsLearnedFromFirstAnswers(t *testing.T) {
	g := NewWithT(t)
	for _, rate := range []float64{30_000, 45_000, 70_000} {
		random, speed := rand.New(rand.NewPCG(1, 2)), &readSpeed{}
		g.Expect(speed.rate()).To(BeNumerically("~", PrefillRate, 1))
		learn(random, speed, 3000, rate)
		g.Expect(speed.rate()).To(BeNumerically("~", rate, 0.25*rate))
		learn(random, speed, 6000, 40_000)
		g.Expect(speed.rate()).To(BeNumerically("~", 40_000, 10_000), "a change is followed")
	}
}

func TestFewOrLikePromptsTellNoSpeed(t *testing.T) {
	g := NewWithT(t)
	speed := &readSpeed{}
	for i := range 1000 {
		speed.note(800, firstConstant+time.Duration(i%7)*time.Millisecond)
	}
	g.Expect(speed.rate()).To(BeNumerically("~", PrefillRate, 1))
	few := &readSpeed{}
	learn(rand.New(rand.NewPCG(1, 2)), few, speedSamples-1, 70_000)
	g.Expect(few.rate()).To(BeNumerically("~", PrefillRate, 1))
}

func TestLearnedSpeedIsBounded(t *testing.T) {
	g := NewWithT(t)
	speed := &readSpeed{}
	learn(rand.New(rand.NewPCG(1, 2)), speed, 2000, 10_000_000)
	g.Expect(speed.rate()).To(BeNumerically("<=", speedRange*PrefillRate+1))
}

func TestWeightsAreJudgedByTheSlowerSpeed(t *testing.T) {
	g := NewWithT(t)
	begins := func(rate float64) time.Duration {
		set := NewSet("z")
		set.Put(runner("a", "z"))
		learn(rand.New(rand.NewPCG(1, 2)), set.speed("s"), 3000, rate)
		return set.startsAfter(start, set.entries["a"], 9000)
	}
	assumed := NewSet("z")
	assumed.Put(runner("a", "z"))
	prior := assumed.startsAfter(start, assumed.entries["a"], 9000)
	g.Expect(begins(70_000)).To(Equal(prior), "faster runners change nothing")
	g.Expect(begins(20_000)).To(BeNumerically(">", prior*3/2))
}
