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

// changedStore has a record that another router has changed since this one read it.
type changedStore struct {
	Store
	stored StoredQuarantine
	gone   bool
}

func (s *changedStore) ReadQuarantine(context.Context, quarantine.Subject) (StoredQuarantine, error) {
	if s.gone {
		return StoredQuarantine{}, ErrNotFound
	}
	return s.stored, nil
}

func (s *changedStore) SaveQuarantine(_ context.Context, record quarantine.Record, revision storerev.Revision) (storerev.Revision, error) {
	if s.gone && revision != 0 {
		return 0, ErrNotFound
	}
	if !s.gone && revision != s.stored.Revision {
		return 0, ErrConflict
	}
	s.gone = false
	s.stored.Record, s.stored.Revision = record, s.stored.Revision+1
	return s.stored.Revision, nil
}

func (s *changedStore) DeleteQuarantine(_ context.Context, _ quarantine.Subject, revision storerev.Revision) error {
	if !s.gone && revision != s.stored.Revision {
		return ErrConflict
	}
	s.gone = true
	return nil
}

// writePending writes all pending records, as the writer does.
func (q *storedQuarantines) writePending(g *WithT) {
	q.gateway.directReads.setEnabled(true)
	for writes := 0; ; writes++ {
		content, pending := q.nextPending()
		if !pending {
			return
		}
		g.Expect(writes).To(BeNumerically("<", 5))
		g.Expect(q.syncRecord(content)).To(Succeed())
	}
}

// Guards against a quarantine that is lifted in the store by a router which has not read the last crashes: a runner survived the content
// after those that it has read.
func TestClearedRecordIsRemovedOnlyAsRead(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	wall, content := time.Now().Round(0), quarantine.Subject{Tenant: "t", Digest: 7}
	crash := func(id string, ago time.Duration) quarantine.Crash {
		return quarantine.Crash{Runner: quarantine.Runner{ID: id}, SentAt: wall.Add(-ago - time.Second), DetectedAt: wall.Add(-ago)}
	}
	read := StoredQuarantine{Revision: 5, Record: quarantine.Record{Subject: content, Crashes: []quarantine.Crash{crash("a", 40*time.Second), crash("b", 30*time.Second)}}}
	newer := StoredQuarantine{Revision: 9, Record: quarantine.Record{Subject: content, Crashes: append(read.Record.Crashes, crash("c", 10*time.Second), crash("d", 5*time.Second))}}
	store := &changedStore{stored: newer}
	gateway := newQuarantineGateway(t, store)
	gateway.suspects.stored.apply([]StoredQuarantine{read})
	gateway.suspects.merge([]quarantine.Record{{Subject: content, SurvivedAt: gateway.now().Add(-20 * time.Second)}})
	gateway.suspects.stored.writePending(g)
	g.Expect(store.gone).To(BeFalse())
	g.Expect(crashedRunners(store.stored.Record)).To(ContainElements("c", "d"))
	g.Expect(gateway.suspects.detector.Evaluate(gateway.now(), content).Crashes).To(Equal(2), "those after the survived run")

	gateway.suspects.merge([]quarantine.Record{{Subject: content, SurvivedAt: gateway.now()}})
	gateway.suspects.stored.writePending(g)
	g.Expect(store.gone).To(BeTrue(), "it has read all crashes, and a runner survived since")
}

// Guards against a record that stays missing because this router has read it before another one removed it.
func TestRemovedRecordIsWrittenWithNewCrashes(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	wall, content := time.Now().Round(0), quarantine.Subject{Tenant: "t", Digest: 7}
	record := quarantine.Record{Subject: content}
	for i, id := range []string{"a", "b", "c"} {
		detectedAt := wall.Add(time.Duration(i-10) * time.Second)
		record.Crashes = append(record.Crashes, quarantine.Crash{Runner: quarantine.Runner{ID: id}, SentAt: detectedAt.Add(-time.Millisecond), DetectedAt: detectedAt})
	}
	read := StoredQuarantine{Revision: 5, Record: quarantine.Record{Subject: content, Crashes: record.Crashes[:2]}}
	store := &changedStore{stored: StoredQuarantine{Revision: 6}, gone: true}
	gateway := newQuarantineGateway(t, store)
	gateway.suspects.stored.apply([]StoredQuarantine{read})
	gateway.suspects.merge([]quarantine.Record{toLocalClock(gateway.now(), wall, record)})
	gateway.suspects.stored.writePending(g)
	g.Expect(store.gone).To(BeFalse())
	g.Expect(store.stored.Record.Crashes).To(HaveLen(3))
}
