package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/clovertiller/clovertiller/internal/clock"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/quarantine"
	"github.com/clovertiller/clovertiller/internal/storerev"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// forgetfulStore has forgotten its history up to a revision, and lists that may be old stand
// for an earlier one.
type forgetfulStore struct {
	Store
	calls atomic.Int64
}

const (
	oldRevision = 5
	newRevision = 10
)

func (s *forgetfulStore) Quarantines(_ context.Context, stale bool) ([]KeptQuarantine, storerev.Revision, error) {
	s.calls.Add(1)
	if stale {
		return nil, oldRevision, nil
	}
	return nil, newRevision, nil
}

func (s *forgetfulStore) WatchQuarantines(ctx context.Context, revision storerev.Revision, _ time.Duration) ([]KeptQuarantine, storerev.Revision, error) {
	s.calls.Add(1)
	if revision < newRevision {
		return nil, 0, ErrHistoryGone
	}
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// quarantining is a router with others, which is no seed and does not read the store yet.
func quarantining(t *testing.T, store Store) *Gateway {
	ctx, cancel := context.WithCancel(t.Context())
	gateway := &Gateway{ports: Ports{Clock: clock.New(), Store: store}, ctx: ctx, cancel: cancel, directReads: newDirectSwitch(), log: events.NewLogger(io.Discard, "r", logrus.InfoLevel)}
	gateway.settings.FirstStart, gateway.settings.PeerAddress = true, "127.0.0.1:1"
	gateway.relays = newRelays(gateway)
	// Any will do: nothing is sent.
	gateway.relays.transport = &wire.Transport{}
	gateway.metrics, gateway.random = newMetrics(gateway), rand.New(rand.NewPCG(1, 2))
	gateway.suspects, gateway.era = newSuspects(gateway), newStoreEra(gateway)
	return gateway
}

// A router that reads the store for want of seeds listed what may be old, was told that the
// history since was gone, listed again, and so on: a call each time that the store answers.
// Found by reading, beside a soak in which no call to the store was answered any more.
func TestStoreThatForgetsIsNotAskedOnAndOn(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	store := &forgetfulStore{}
	gateway := quarantining(t, store)
	gateway.directReads.set(true)
	done := make(chan struct{})
	go func() { gateway.suspects.kept.follow(); close(done) }()
	time.Sleep(300 * time.Millisecond)
	g.Expect(store.calls.Load()).To(BeNumerically("<=", 4), "a list, a watch, and both again")
	gateway.cancel()
	g.Eventually(done, time.Second).Should(BeClosed())
}

// A router that never reads the store noted each content under which two runners had ended
// as one to write, and kept the note when its record was forgotten. Found by reading.
func TestRecordsThatAreForgottenAreNotToBeWrittenForEver(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	gateway := quarantining(t, &forgetfulStore{})
	now := gateway.now()
	for digest := range uint64(100) {
		gateway.suspects.learn([]quarantine.Record{{Content: quarantine.ContentID{Digest: digest}, Crashes: []quarantine.Crash{
			{Runner: quarantine.Runner{ID: "a"}, SentAt: now, DetectedAt: now}, {Runner: quarantine.Runner{ID: "b"}, SentAt: now, DetectedAt: now},
		}}})
	}
	g.Expect(gateway.suspects.kept.pending).To(HaveLen(100))
	gateway.suspects.sweep(now.Add(2 * time.Hour))
	g.Expect(gateway.suspects.judge.CountByState(now)).To(BeEmpty())
	g.Expect(gateway.suspects.kept.pending).To(BeEmpty())
}
