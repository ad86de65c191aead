package lease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/lab/testkit"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

const duration = 3 * time.Second

// world is the platform's lease object, an engine with its fence, and candidates
// that may be paused between deciding and acting.
type world struct {
	now        time.Time
	version    storerev.Revision
	spec       v1.LeaseSpec
	candidates []*Candidate
	// orders are orders on their way to the engine, each with its token.
	orders []storerev.Revision
	fence  storerev.Revision
	// issued maps each token to the node that it was issued to.
	issued map[storerev.Revision]int
}

func (w *world) pick(t *rapid.T) int {
	return rapid.IntRange(0, len(w.candidates)-1).Draw(t, "node")
}

func (w *world) observe(t *rapid.T) {
	w.candidates[w.pick(t)].Observe(w.now, Observation{Exists: w.version > 0, Revision: w.version, Spec: w.spec})
}

// write lets a node act on what it last observed; its answer may be lost.
func (w *world) write(t *rapid.T) {
	node := w.pick(t)
	candidate := w.candidates[node]
	action := candidate.Next(w.now)
	if action != Acquire && action != Renew {
		return
	}
	sent := w.now
	if candidate.Seen().Revision != w.version {
		return
	}
	proposal := candidate.Proposal(action)
	w.version++
	w.spec = proposal
	if action == Acquire {
		if other, used := w.issued[w.version]; used {
			t.Fatalf("token %d issued to %d and %d", w.version, other, node)
		}
		w.issued[w.version] = node
	}
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "answer after")) * time.Millisecond)
	if rapid.IntRange(0, 4).Draw(t, "answer lost") > 0 {
		candidate.Written(sent, action, w.version, proposal)
	}
}

func (w *world) order(t *rapid.T) {
	if token, held := w.candidates[w.pick(t)].Token(w.now); held {
		w.orders = append(w.orders, token)
	}
}

// deliver carries an order to the engine, late and in any order.
func (w *world) deliver(t *rapid.T) {
	if len(w.orders) == 0 {
		return
	}
	token := rapid.SampledFrom(w.orders).Draw(t, "order")
	if token >= w.fence {
		w.fence = token
	}
}

// TestOneBelieverAtATimeAndTokensRise checks that no two nodes hold the lease
// at once by the true time, and that a newer holder always has a higher token,
// so that the engine's fence rejects every order of an older one.
func TestOneBelieverAtATimeAndTokensRise(t *testing.T) {
	testkit.Properties(20000)
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: time.Unix(1_000, 0), issued: map[storerev.Revision]int{}}
		for i := range 3 {
			w.candidates = append(w.candidates, NewCandidate(fmt.Sprintf("n%d", i), duration))
		}
		lastHolder, lastToken := -1, storerev.Revision(0)
		t.Repeat(map[string]func(*rapid.T){
			"observe":      w.observe,
			"observe more": w.observe,
			"write":        w.write,
			"write more":   w.write,
			"order":        w.order,
			"deliver":      w.deliver,
			"advance": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				holders := 0
				for i, candidate := range w.candidates {
					token, held := candidate.Token(w.now)
					if !held {
						continue
					}
					holders++
					if i != lastHolder && token <= lastToken {
						t.Fatalf("node %d holds token %d after node %d held %d", i, token, lastHolder, lastToken)
					}
					lastHolder, lastToken = i, token
				}
				if holders > 1 {
					t.Fatalf("%d nodes hold the lease", holders)
				}
			},
		})
	})
}
