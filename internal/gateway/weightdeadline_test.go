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
	var recorded checkpoints
	at := time.Unix(1_000, 0)
	g.Expect(recorded.latestBefore(5)).To(BeZero())
	for revision := range storerev.Revision(maxCheckpoints + 4) {
		recorded.add(checkpoint{revision: revision, at: at.Add(time.Duration(revision) * time.Second)})
	}
	g.Expect(recorded.latestBefore(10)).To(Equal(at.Add(9 * time.Second)))
	g.Expect(recorded.latestBefore(4)).To(BeZero(), "checkpoints before the revision are no longer kept")
	newest, found := recorded.newest()
	g.Expect(found).To(BeTrue())
	g.Expect(newest.revision).To(Equal(storerev.Revision(maxCheckpoints + 3)))
}

func TestStoreFailuresAfterGapStartNewSpan(t *testing.T) {
	g := NewWithT(t)
	var failures storeFailures
	at := time.Unix(1_000, 0)
	failed := errors.New("no answer")
	for _, second := range []int{0, 2, 4, 8, 9} {
		failures.record(at.Add(time.Duration(second)*time.Second), failed, nil)
	}
	failures.record(at.Add(20*time.Second), nil, nil)
	failures.record(at.Add(20*time.Second), ErrHistoryGone, nil)
	failures.record(at.Add(20*time.Second), ErrThrottled, nil)
	failures.record(at.Add(20*time.Second), failed, context.Canceled)
	g.Expect(failures.latestSpan()).To(Equal(namings.Span{First: at.Add(8 * time.Second), Last: at.Add(9 * time.Second)}))
}
