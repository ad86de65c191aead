package gateway

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against runners that are read over a border, and against runners that nobody reads as each
// seed leaves them to another one.
func TestRunnersAreReadByReadersOfTheirRegion(t *testing.T) {
	g := NewWithT(t)
	readers := []liveReader{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"old", ""}}
	g.Expect(readersOf(readers, "a")).To(Equal([]string{"a1", "a2"}))
	g.Expect(readersOf(readers, "b")).To(Equal([]string{"b1"}))
	all := []string{"a1", "a2", "b1", "old"}
	g.Expect(readersOf(readers, "c")).To(Equal(all), "a region without a reader")
	g.Expect(readersOf(readers, "")).To(Equal(all), "a cache store, or without regions")
	g.Expect(readersKey(readers)).NotTo(Equal(readersKey([]liveReader{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"old", "b"}})), "a region that is learned later changes who reads")
}
