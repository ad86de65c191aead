package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestDrawnMaxQueueIsAtLeastLowest(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	for _, rank := range []Rank{{}, {Tier: 1}, {Route: 2}, {Tier: 2, Route: 1}} {
		lowest, drawn := LowestMaxQueue(time.Second, rank), time.Hour
		for range 2000 {
			drawn = min(drawn, DrawMaxQueue(time.Second, rank, random))
		}
		g.Expect(drawn).To(And(BeNumerically(">=", lowest), BeNumerically("~", lowest, 5*time.Millisecond)))
	}
	g.Expect(LowestMaxQueue(0, Rank{})).To(BeZero())
}
