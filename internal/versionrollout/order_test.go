package versionrollout

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestOrdersThatCannotBeCarriedOut(t *testing.T) {
	g := NewWithT(t)
	valid := Order{Service: "s", Target: "v2", Duration: time.Minute}
	g.Expect(valid.Check(true)).To(Succeed())
	g.Expect(valid.Check(false)).To(MatchError(ContainSubstring("not configured")))
	for _, duration := range []time.Duration{0, -time.Second, 48 * time.Hour} {
		order := valid
		order.Duration = duration
		g.Expect(order.Check(true)).To(MatchError(ContainSubstring("duration")))
	}
	order := valid
	order.Target = ""
	g.Expect(order.Check(true)).To(MatchError(ContainSubstring("target version")))
}
