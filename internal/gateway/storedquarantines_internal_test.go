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
	"github.com/clovertiller/clovertiller/internal/distance"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/quarantine"
	"github.com/clovertiller/clovertiller/internal/storerev"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// compactedStore has compacted its history up to compactRevision, and its stale lists have an
// earlier revision.
type compactedStore struct {
	Store
	calls atomic.Int64
}

const (
	staleRevision   = 5
	compactRevision = 10
)

func (s *compactedStore) ListQuarantines(_ context.Context, stale bool) ([]StoredQuarantine, storerev.Revision, error) {
	s.calls.Add(1)
	if stale {
		return nil, staleRevision, nil
	}
	return nil, compactRevision, nil
}

func (s *compactedStore) WatchQuarantines(ctx context.Context, revision storerev.Revision, _ time.Duration) ([]StoredQuarantine, storerev.Revision, error) {
	s.calls.Add(1)
	if revision < compactRevision {
		return nil, 0, ErrHistoryGone
	}
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// newQuarantineGateway returns a router that has peers, is no seed and does not read the store yet.
func newQuarantineGateway(t *testing.T, store Store) *Gateway {
	ctx, cancel := context.WithCancel(t.Context())
	gateway := &Gateway{ports: Ports{Clock: clock.New(), Store: store}, ctx: ctx, cancel: cancel, random: rand.New(rand.NewPCG(1, 2)), directReads: newDirectMode(), distances: distance.New(distance.Config{}), log: events.NewLogger(io.Discard, "r", logrus.InfoLevel)}
	gateway.settings.FirstStart, gateway.settings.PeerAddress = true, "127.0.0.1:1"
	gateway.startup, gateway.peerRouters = newStartup(gateway), newPeerRouters(gateway)
	// Any transport will do, since nothing is sent.
	gateway.peerRouters.transport = &wire.Transport{}
	gateway.metrics, gateway.random = newMetrics(gateway), rand.New(rand.NewPCG(1, 2))
	gateway.suspects, gateway.eraTracker = newSuspects(gateway), newEraTracker(gateway)
	return gateway
}

// A router that read the store because it had no seeds requested a stale list, was told that the
// history since was gone, listed again, and so on, with one call per response of the store. Found
// in a code review, next to a soak run in which the store stopped responding to calls.
func TestCompactedStoreIsNotListedInALoop(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	store := &compactedStore{}
	gateway := newQuarantineGateway(t, store)
	gateway.directReads.setEnabled(true)
	done := make(chan struct{})
	go func() { gateway.suspects.stored.readLoop(); close(done) }()
	time.Sleep(300 * time.Millisecond)
	g.Expect(store.calls.Load()).To(BeNumerically("<=", 4), "a list and a watch, twice")
	gateway.cancel()
	g.Eventually(done, time.Second).Should(BeClosed())
}

// A router that never reads the store queued a write for each content with two crashes and kept it
// queued after the record had expired. Found in a code review.
func TestPrunedRecordsAreNoLongerPending(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	gateway := newQuarantineGateway(t, &compactedStore{})
	now := gateway.now()
	for digest := range uint64(100) {
		gateway.suspects.merge([]quarantine.Record{{Subject: quarantine.Subject{Digest: digest}, Crashes: []quarantine.Crash{
			{Runner: quarantine.Runner{ID: "a"}, SentAt: now, DetectedAt: now}, {Runner: quarantine.Runner{ID: "b"}, SentAt: now, DetectedAt: now},
		}}})
	}
	g.Expect(gateway.suspects.stored.pending).To(HaveLen(100))
	gateway.suspects.sweep(now.Add(2 * time.Hour))
	g.Expect(gateway.suspects.detector.Records()).To(BeEmpty())
	g.Expect(gateway.suspects.stored.pending).To(BeEmpty())
}
