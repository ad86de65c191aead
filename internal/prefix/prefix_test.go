package prefix

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func TestChainsShareHashesOfCommonPrefixOnly(t *testing.T) {
	g := NewWithT(t)
	shared := strings.Repeat("a", 256)
	first := NewChain("salt", shared+strings.Repeat("b", 128), 64)
	second := NewChain("salt", shared+strings.Repeat("c", 128), 64)
	g.Expect(first).To(HaveLen(6))
	g.Expect(first[:4]).To(Equal(second[:4]))
	g.Expect(first[4]).NotTo(Equal(second[4]))
	g.Expect(first[5]).NotTo(Equal(second[5]))
}

func TestSaltDependsOnEveryScopeField(t *testing.T) {
	g := NewWithT(t)
	base := Scope{"t", "m", "a", "v"}
	for _, other := range []Scope{{"x", "m", "a", "v"}, {"t", "x", "a", "v"}, {"t", "m", "x", "v"}, {"t", "m", "a", "x"}, {"tm", "", "a", "v"}, {"t", "ma", "", "v"}} {
		g.Expect(other.Salt()).NotTo(Equal(base.Salt()))
	}
	g.Expect(NewChain(base.Salt(), strings.Repeat("a", 64), 64)).NotTo(Equal(NewChain(Scope{"x", "m", "a", "v"}.Salt(), strings.Repeat("a", 64), 64)))
}

func TestAnchorsIncludeFirstBlock(t *testing.T) {
	g := NewWithT(t)
	chain := NewChain("s", strings.Repeat("a", 64*10), 64)
	var depths []int
	for _, anchor := range chain.Anchors(4) {
		depths = append(depths, anchor.Depth)
	}
	g.Expect(depths).To(Equal([]int{1, 4, 8}))
}

func BenchmarkChain(b *testing.B) {
	prompt := strings.Repeat("the quick brown fox ", 800)
	b.SetBytes(int64(len(prompt)))
	for b.Loop() {
		NewChain("salt", prompt, 64)
	}
}
