package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestNoQueueIsDrawnBelowTheShortest(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	for _, rank := range []Rank{{}, {Tier: 1}, {Route: 2}, {Tier: 2, Route: 1}} {
		shortest, least := ShortestQueue(time.Second, rank), time.Hour
		for range 2000 {
			least = min(least, LongestQueue(time.Second, rank, random))
		}
		g.Expect(least).To(And(BeNumerically(">=", shortest), BeNumerically("~", shortest, 5*time.Millisecond)))
	}
	g.Expect(ShortestQueue(0, Rank{})).To(BeZero())
}
