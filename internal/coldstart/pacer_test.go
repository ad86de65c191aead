package coldstart

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against sources whose answers to many routers all arrive after the timeouts of their requests.
func TestAnswersAreSpreadOverTime(t *testing.T) {
	g, p := NewWithT(t), NewPacer()
	const cost, routers = 5 * time.Millisecond, 100
	p.SetCost(cost)
	admitted := 0
	for i := range routers {
		if p.Admit(started, fmt.Sprint(i), false) {
			admitted++
		}
	}
	g.Expect(admitted).To(Equal(int(paceBurst/cost) + 1))
	g.Expect(p.Admit(started, "99", false)).To(BeFalse(), "it waits already")
	g.Expect(p.Len()).To(Equal(routers - admitted))
	now := started
	for i := admitted; i < routers; {
		router, wait, found := p.Next(now)
		g.Expect(found).To(BeTrue())
		if wait > 0 {
			now = now.Add(wait)
			continue
		}
		g.Expect(router).To(Equal(fmt.Sprint(i)), "in the order of the requests")
		g.Expect(p.Admit(now, router, false)).To(BeTrue(), "it was notified")
		i++
	}
	g.Expect(now.Sub(started)).To(BeNumerically("~", routers*cost, 2*paceBurst))
	_, _, found := p.Next(now)
	g.Expect(found).To(BeFalse())
}

// Guards against routers that overtake those which wait for their turn.
func TestRouterThatAsksLaterWaitsBehindOthers(t *testing.T) {
	g, p := NewWithT(t), NewPacer()
	p.SetCost(time.Millisecond)
	p.Enqueue("first")
	g.Expect(p.Admit(started, "second", false)).To(BeFalse())
	router, _, _ := p.Next(started)
	g.Expect(router).To(Equal("first"))
}

// Guards against turns at several sources for one router, which keep the others waiting.
func TestRouterWaitsAtOneSourceOnly(t *testing.T) {
	g, p := NewWithT(t), NewPacer()
	p.SetCost(time.Second)
	g.Expect(p.Admit(started, "a", true)).To(BeTrue())
	g.Expect(p.Admit(started, "b", true)).To(BeFalse())
	g.Expect(p.Len()).To(BeZero())
}
