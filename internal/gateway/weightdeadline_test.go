package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/namings"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

func TestCheckpointsBoundWhenARevisionWasWritten(t *testing.T) {
	g := NewWithT(t)
	var known checkpoints
	at := time.Unix(1_000, 0)
	g.Expect(known.before(5)).To(BeZero())
	for revision := range storerev.Revision(keptCheckpoints + 4) {
		known.note(checkpoint{revision: revision, at: at.Add(time.Duration(revision) * time.Second)})
	}
	g.Expect(known.before(10)).To(Equal(at.Add(9 * time.Second)))
	g.Expect(known.before(4)).To(BeZero(), "no longer known")
	newest, found := known.newest()
	g.Expect(found).To(BeTrue())
	g.Expect(newest.revision).To(Equal(storerev.Revision(keptCheckpoints + 3)))
}

func TestFailuresWithAGapBetweenAreApart(t *testing.T) {
	g := NewWithT(t)
	var d disturbance
	at := time.Unix(1_000, 0)
	failed := errors.New("no answer")
	for _, second := range []int{0, 2, 4, 8, 9} {
		d.note(at.Add(time.Duration(second)*time.Second), failed, nil)
	}
	d.note(at.Add(20*time.Second), nil, nil)
	d.note(at.Add(20*time.Second), ErrHistoryGone, nil)
	d.note(at.Add(20*time.Second), ErrThrottled, nil)
	d.note(at.Add(20*time.Second), failed, context.Canceled)
	g.Expect(d.latest()).To(Equal(namings.Span{First: at.Add(8 * time.Second), Last: at.Add(9 * time.Second)}))
}
