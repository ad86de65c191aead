package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/quarantine"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

// Timeouts and delays of store calls for quarantine records.
const (
	// quarantineCallTimeout is the timeout of a call, in addition to the time that a watch waits.
	// The store answers within some milliseconds, or some hundred milliseconds where it is slow.
	quarantineCallTimeout = 700 * time.Millisecond
	// minQuarantineRetryDelay and maxQuarantineRetryDelay bound the delay after a failed call.
	minQuarantineRetryDelay = 500 * time.Millisecond
	maxQuarantineRetryDelay = 4 * time.Second
	// maxQuarantineWriteDelay is the maximum random delay before a write. All routers that read the
	// store learn of a crash at once, and the first one to write saves the others their call.
	maxQuarantineWriteDelay = 100 * time.Millisecond
	// minStoredCrashes is the number of crashes from which a content's record is stored, or of
	// generations of them for a prompt part. A single crash is recorded for everything that was
	// running on the runner, usually several subjects.
	minStoredCrashes = 2
)

// storedQuarantines keeps quarantine records in the store. The records thus survive the loss of all
// routers and reach routers that can read the store but no seed, each of which would otherwise have
// to see three crashes itself. Only routers that read the store write records, and only those of
// contents that were running on two crashed runners, so there are few calls per crash.
type storedQuarantines struct {
	gateway *Gateway
	mutex   sync.Mutex
	// era is the era of the store's last list, 0 before the first.
	era uint64
	// stored holds the records that the store is known to have. They may be older than the store's, so all writes are
	// conditional on their revisions.
	stored map[quarantine.Subject]storedRecord
	// pending holds the contents whose record must be written to the store or, once it is cleared
	// or has expired, removed from it. It has at most one entry per record.
	pending map[quarantine.Subject]bool
	// wakeup receives a value when there is something to write.
	wakeup chan struct{}
}

// storedRecord is a record as read from the store or written there.
type storedRecord struct {
	record   quarantine.Record
	revision storerev.Revision
}

func newStoredQuarantines(g *Gateway) *storedQuarantines {
	return &storedQuarantines{
		gateway: g, stored: map[quarantine.Subject]storedRecord{}, pending: map[quarantine.Subject]bool{}, wakeup: make(chan struct{}, 1),
	}
}

// recordChanged queues the content if its record must be written to the store or removed from it.
// The writer handles it as soon as this router reads the store.
func (q *storedQuarantines) recordChanged(content quarantine.Subject, crashes int) {
	minStored := q.minStored(content)
	q.mutex.Lock()
	if _, stored := q.stored[content]; crashes >= minStored || stored {
		q.pending[content] = true
	} else {
		// There is nothing to write any more. A router that does not read the store would otherwise
		// never remove the entry.
		delete(q.pending, content)
	}
	q.mutex.Unlock()
	q.wakeWriter()
}

// minStored returns the number of crashes from which the record of the subject is stored. Routers without seeds
// learn of each other's crashes only through the store, and each of them may see one crash of a prompt part.
func (q *storedQuarantines) minStored(subject quarantine.Subject) int {
	if subject.IsPart() && !q.gateway.peerRouters.alwaysReadsStore() {
		return 1
	}
	return minStoredCrashes
}

// wakeWriter makes the writer check for pending contents.
func (q *storedQuarantines) wakeWriter() {
	wake(q.wakeup)
}

// readLoop applies the records that other routers store, while this router reads the store.
func (q *storedQuarantines) readLoop() {
	g, revision, failures := q.gateway, storerev.Revision(0), 0
	// Where there is no seed, many routers read at once, and a possibly stale list costs the store
	// little. Once the history since a stale list has been compacted, stale lists are of no use and
	// are not requested again.
	stale := !g.peerRouters.alwaysReadsStore()
	if stale && g.directReads.waitEnabled(g.ctx) {
		// The router may find a seed meanwhile. Calls can be served without the records.
		g.pause(g.jitter(fallbackBatchDelay))
	}
	for g.directReads.waitEnabled(g.ctx) {
		next, err := q.read(revision, stale)
		if err == nil && next > 0 {
			revision, failures = next, 0
			continue
		}
		if errors.Is(err, ErrHistoryGone) {
			if !g.delayNewEraList() {
				return
			}
			revision, stale = 0, false
		}
		if !q.backOffAfter(callWatch, err, failures) {
			return
		}
		failures++
	}
}

// read lists all records if revision is 0, and otherwise waits for changes after it. It returns the
// next revision, 0 if there is none.
func (q *storedQuarantines) read(revision storerev.Revision, stale bool) (next storerev.Revision, err error) {
	g, callName, wait, start := q.gateway, callWatch, directoryWatchTimeout, q.gateway.now()
	if revision == 0 {
		callName, wait = callList, 0
	}
	ctx, cancel := context.WithTimeout(g.ctx, wait+quarantineCallTimeout)
	defer cancel()
	var objects []StoredQuarantine
	if revision == 0 {
		objects, next, err = g.ports.Store.ListQuarantines(ctx, stale)
	} else {
		objects, next, err = g.ports.Store.WatchQuarantines(ctx, revision, wait)
	}
	g.metrics.observeStoreCall(quarantineKind, callName, g.since(start))
	switch {
	case err != nil:
		return revision, err
	case next.Era() < revision.Era():
		return revision, errStaleResponse
	case revision > 0 && next.Era() > revision.Era():
		return revision, ErrHistoryGone
	}
	restored := revision == 0 && q.enterEra(next.Era())
	q.apply(objects)
	if restored {
		q.queueAll()
	}
	if revision == 0 {
		// The store may lack records that this router learned while it did not read the store.
		q.wakeWriter()
	}
	return max(next, revision), nil
}

// enterEra forgets what the store is known to have if the store was restored from a backup since
// the last list, and reports whether it was.
func (q *storedQuarantines) enterEra(era uint64) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	restored := q.era != 0 && era > q.era
	if restored {
		clear(q.stored)
	}
	q.era = max(q.era, era)
	return restored
}

// queueAll queues all records that must be stored, because a restored store may lack them and only
// routers write them.
func (q *storedQuarantines) queueAll() {
	for _, content := range q.gateway.suspects.contents() {
		_, status := q.gateway.suspects.record(content)
		q.recordChanged(content, status.Evidence)
	}
}

// apply merges the records in the store. Records that are gone were removed by a router because
// they were cleared or had expired, which each router determines itself.
func (q *storedQuarantines) apply(objects []StoredQuarantine) {
	g := q.gateway
	var records []quarantine.Record
	for _, object := range objects {
		switch {
		case object.Fault != "":
			g.unreadable.record(quarantineKind, object.Name, object.Fault, nil)
		case !object.Removed:
			record := toLocalClock(g.now(), time.Now().Round(0), object.Record)
			records = append(records, record)
			q.markStored(record, object.Revision)
		}
	}
	g.suspects.merge(records)
	for _, record := range records {
		if _, status := g.suspects.record(record.Subject); status.Crashes == 0 {
			// The record is no longer needed, and the router that stored it may not exist any more.
			q.recordChanged(record.Subject, status.Evidence)
		}
	}
}

// markStored records what the store has, unless a later revision is known.
func (q *storedQuarantines) markStored(record quarantine.Record, revision storerev.Revision) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if revision >= q.stored[record.Subject].revision {
		q.stored[record.Subject] = storedRecord{record, revision}
	}
}

// writeLoop writes pending records until the gateway stops. It retries a failed write until it
// succeeds or the record is no longer needed.
func (q *storedQuarantines) writeLoop() {
	g, failures := q.gateway, 0
	for {
		select {
		case <-q.wakeup:
		case <-g.ctx.Done():
			return
		}
		for content, pending := q.nextPending(); pending; content, pending = q.nextPending() {
			if !g.pause(g.jitter(maxQuarantineWriteDelay)) {
				return
			}
			err := q.syncRecord(content)
			if err == nil {
				failures = 0
				continue
			}
			if !q.backOffAfter(callWrite, err, failures) {
				return
			}
			failures++
		}
	}
}

// nextPending returns a content whose record must be written, or false if there is none or this
// router does not read the store.
func (q *storedQuarantines) nextPending() (quarantine.Subject, bool) {
	if !q.gateway.directReads.isEnabled() {
		return quarantine.Subject{}, false
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for content := range q.pending {
		return content, true
	}
	return quarantine.Subject{}, false
}

// syncRecord makes the store's record of the content match this router's. If the store has another record than this router has
// read, that is read first.
func (q *storedQuarantines) syncRecord(content quarantine.Subject) error {
	stored, isStored := q.takePending(content)
	record, status := q.gateway.suspects.record(content)
	cleared, missing := status.Crashes == 0, !isStored
	if isStored {
		record, missing = stored.record.Merge(record)
	}
	var err error
	switch {
	case !(cleared && isStored || !cleared && missing):
		return nil
	case isStored && stored.revision.Era() < q.gateway.eraTracker.newest():
		// The restored store may use the revision's number again.
		err = ErrConflict
	case cleared:
		err = q.remove(content, stored.revision)
	default:
		err = q.put(record, stored.revision)
	}
	if errors.Is(err, ErrConflict) || errors.Is(err, ErrNotFound) {
		if err = q.readRecord(content); err == nil {
			q.recordChanged(content, minStoredCrashes)
		}
	}
	if err != nil {
		q.recordChanged(content, minStoredCrashes)
	}
	return err
}

// readRecord reads the record of the content from the store.
func (q *storedQuarantines) readRecord(content quarantine.Subject) error {
	var object StoredQuarantine
	err := q.gateway.callStore(quarantineKind, callRead, quarantineCallTimeout, func(ctx context.Context) (err error) {
		object, err = q.gateway.ports.Store.ReadQuarantine(ctx, content)
		return err
	})
	switch {
	case errors.Is(err, ErrNotFound):
		q.mutex.Lock()
		defer q.mutex.Unlock()
		delete(q.stored, content)
		return nil
	case err != nil:
		return err
	}
	q.apply([]StoredQuarantine{object})
	if object.Fault != "" {
		// It is replaced.
		q.markStored(quarantine.Record{Subject: content}, object.Revision)
	}
	return nil
}

// takePending removes the content from the pending ones and returns the store's record of it.
func (q *storedQuarantines) takePending(content quarantine.Subject) (stored storedRecord, isStored bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	delete(q.pending, content)
	stored, isStored = q.stored[content]
	return stored, isStored
}

// put writes the record to the store, which has the one of the revision, or none if that is 0.
func (q *storedQuarantines) put(record quarantine.Record, revision storerev.Revision) error {
	g := q.gateway
	written, era := toWallClock(g.now(), time.Now().Round(0), record), g.eraTracker.newest()
	if err := q.callStore(func(ctx context.Context) (err error) {
		revision, err = g.ports.Store.SaveQuarantine(ctx, written, revision)
		return err
	}); err != nil {
		return err
	}
	if g.eraTracker.newest() != era {
		// The store may have been restored from a backup without the record.
		q.recordChanged(record.Subject, minStoredCrashes)
		return nil
	}
	q.markStored(record, revision)
	return nil
}

// remove deletes the record of the content from the store, which has the one of the revision.
func (q *storedQuarantines) remove(content quarantine.Subject, revision storerev.Revision) error {
	g := q.gateway
	if err := q.callStore(func(ctx context.Context) error { return g.ports.Store.DeleteQuarantine(ctx, content, revision) }); err != nil {
		return err
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	delete(q.stored, content)
	return nil
}

func (q *storedQuarantines) callStore(call func(ctx context.Context) error) error {
	return q.gateway.callStore(quarantineKind, callWrite, quarantineCallTimeout, call)
}

// backOffAfter counts and logs a call that failed or brought no progress, and waits before the next
// one. failures is the number of failures before it. It returns false when the gateway stops.
func (q *storedQuarantines) backOffAfter(callName string, err error, failures int) bool {
	g := q.gateway
	if g.ctx.Err() != nil {
		return false
	}
	if err != nil {
		g.metrics.storeFailures.WithLabelValues(quarantineKind).Inc()
	}
	if err != nil && failures == 0 {
		g.log.Log(events.QuarantineStoreCallFailed, events.Fields{"call": callName, "error": err.Error()})
	}
	return g.backoff(failures, minQuarantineRetryDelay, maxQuarantineRetryDelay)
}

// toLocalClock converts the times of a record, which are wall clock times in the store, to this
// router's clock, because wall clock time may jump.
func toLocalClock(local, wall time.Time, record quarantine.Record) quarantine.Record {
	return convertTimes(record, func(at time.Time) time.Time { return local.Add(-max(wall.Sub(at), 0)) })
}

// toWallClock is the inverse of toLocalClock.
func toWallClock(local, wall time.Time, record quarantine.Record) quarantine.Record {
	return convertTimes(record, func(at time.Time) time.Time { return wall.Add(-local.Sub(at)) })
}

// convertTimes returns the record with converted times. Runs keep their length.
func convertTimes(record quarantine.Record, convert func(time.Time) time.Time) quarantine.Record {
	converted := record
	converted.Crashes = nil
	for _, crash := range record.Crashes {
		detectedAt := convert(crash.DetectedAt)
		crash.DetectedAt, crash.SentAt = detectedAt, detectedAt.Add(-crash.DetectedAt.Sub(crash.SentAt))
		converted.Crashes = append(converted.Crashes, crash)
	}
	if !record.ContrastAt.IsZero() {
		converted.ContrastAt = convert(record.ContrastAt)
	}
	return converted
}
