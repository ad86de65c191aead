package placement

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a runner that gets no request, and thus can't tell whether it still limits requests, because
// another one that is to be picked first can't be: it is leaving, excluded or too busy.
func TestBlockedRunnerDoesNotKeepOthersFromBeingPickedFirst(t *testing.T) {
	for name, block := range map[string]func(*Request, *Candidate){
		"leaving":  func(_ *Request, c *Candidate) { c.Leaving = true },
		"excluded": func(r *Request, c *Candidate) { r.Excluded = []string{c.Name} },
	} {
		t.Run(name, func(t *testing.T) {
			g, r := NewWithT(t), request
			blocked, waiting := candidate("blocked"), candidate("waiting")
			blocked.PickFirst, waiting.PickFirst, waiting.PenaltyTokens = true, true, 5000
			block(&r, &blocked)
			g.Expect(choose(r, blocked, waiting, candidate("cheap")).Candidate.Name).To(Equal("waiting"))
		})
	}
}
