package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/storerev"
	"github.com/clovertiller/clovertiller/internal/streamversion"
)

// Timeouts and delays of store calls about the origins of streams.
const (
	// originsCallTimeout is the timeout of a call. A slow store takes some hundred milliseconds.
	originsCallTimeout = 700 * time.Millisecond
	// minOriginsReadInterval is the minimum interval of reads, which all lookups share.
	minOriginsReadInterval = 250 * time.Millisecond
	// provingWatchDelay is how much later than the records the changes of the directory are asked for.
	provingWatchDelay = 5 * time.Millisecond
	// minOriginsRetryDelay is the delay after a failed write, which grows to maxOriginsRetryIntervals times the interval of
	// writes. A write whose answer is lost may have taken effect, so each further one may save records.
	minOriginsRetryDelay     = 100 * time.Millisecond
	maxOriginsRetryIntervals = 4
)

var errOriginsNotRead = errors.New("what is stored about the origins of streams could not be read")

// storedOrigins keeps in the store what must survive the loss of all routers to tell where streams began: the roster of software
// versions (versionroster.go) and the records of streams (streamjournal.go).
type storedOrigins struct {
	gateway *Gateway
	// rosterWakeup receives a value when the roster may have to be updated, and journalWakeup when there are records to
	// write.
	rosterWakeup, journalWakeup chan struct{}

	mutex sync.Mutex
	// startedAt is when the last read started, readAt when the last successful one did, and running is closed at the
	// end of the read under way, nil if there is none.
	startedAt, readAt time.Time
	running           chan struct{}
	// roster and rosterRevision are those of the last read or write. The roster is nil if it proves nothing.
	roster         streamversion.Roster
	rosterRevision storerev.Revision
	// journal holds the records that this router writes. flushedAt is when the last write of them started; only journalLoop uses it.
	journal   *streamversion.Journal
	flushedAt time.Time
	// hasAdopted is set once the journal has the records that an earlier process of this router wrote.
	hasAdopted bool
	// hasFailed is set while records can't be written.
	hasFailed atomic.Bool
}

func newStoredOrigins(g *Gateway) *storedOrigins {
	return &storedOrigins{
		gateway: g, rosterWakeup: make(chan struct{}, 1), journalWakeup: make(chan struct{}, 1),
		journal: streamversion.NewJournal(segmentRecords, maxStreamRecords/segmentRecords),
	}
}

// read reads the store unless that has been done since the time, and reports whether it succeeded. Concurrent
// lookups share one read.
func (o *storedOrigins) read(ctx context.Context, since time.Time) bool {
	for {
		isRead, hasFailed, running := o.startRead(since)
		if isRead || hasFailed {
			return isRead
		}
		select {
		case <-running:
		case <-ctx.Done():
			return false
		}
	}
}

// startRead starts a read unless one is under way or the store has been read since the time. It returns whether that has
// succeeded or failed, and otherwise a channel that is closed at the end of the read under way, which may have started
// before the time.
func (o *storedOrigins) startRead(since time.Time) (isRead, hasFailed bool, running <-chan struct{}) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	// Another lookup may have started a further read already.
	if isRead = !o.readAt.Before(since); isRead || o.running == nil && !o.startedAt.Before(since) {
		return isRead, !isRead, nil
	}
	if o.running == nil {
		o.running = make(chan struct{})
		delay := max(o.startedAt.Add(minOriginsReadInterval).Sub(o.gateway.now()), 0)
		o.gateway.spawn(func() { o.readAfter(delay) })
	}
	return false, false, o.running
}

// readAfter reads the store after the delay and ends the read under way. It compares the directory with the store as well, without which
// the listed versions are not known to be all.
func (o *storedOrigins) readAfter(delay time.Duration) {
	g := o.gateway
	g.pause(delay)
	startedAt, directory := g.now(), g.directoryWatcher()
	from := g.copies.currentThrough(RunnerObjects)
	changes := make(chan storeResponse, 1)
	go func() {
		defer close(changes)
		// A moment after the list, so that the response is as new, unless something is written in between.
		g.pause(provingWatchDelay)
		if response, ok := directory.changesNow(from); ok {
			changes <- response
		}
	}()
	var stored StoredStreamOrigins
	err := g.callStore(streamOriginsKind, callList, originsCallTimeout, func(ctx context.Context) (err error) {
		stored, err = g.ports.Store.ReadStreamOrigins(ctx, startedAt)
		return err
	})
	o.logFailure(callList, err)
	for name, fault := range stored.Faults {
		g.unreadable.record(streamOriginsKind, name, fault, nil)
	}
	if err == nil {
		g.streams.apply(startedAt, stored)
	}
	if response, ok := <-changes; ok && err == nil {
		directory.prove(from, response, stored.Revision)
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.startedAt = startedAt
	if err == nil {
		if !o.hasAdopted {
			o.adoptSegments(stored.Segments)
			o.hasAdopted = true
		}
		o.readAt, o.roster, o.rosterRevision = startedAt, stored.Roster, stored.RosterRevision
	}
	close(o.running)
	o.running = nil
}

// runLoop does the work each time that it is woken, after the delay, until the gateway stops. Work that is not finished is repeated after
// another delay, and work that has failed after a backoff and the delay.
func (o *storedOrigins) runLoop(wakeup <-chan struct{}, delay func() time.Duration, work func() (more bool, err error)) {
	g, failures := o.gateway, 0
	for {
		select {
		case <-wakeup:
		case <-g.ctx.Done():
			return
		}
		for more := true; more; {
			if !g.pause(delay()) {
				return
			}
			var err error
			if more, err = work(); err == nil {
				failures = 0
				continue
			}
			o.logFailure(callWrite, err)
			if !g.backoff(failures, minOriginsRetryDelay, maxOriginsRetryIntervals*o.flushInterval()) {
				return
			}
			failures++
			more = true
		}
	}
}

// write makes a call that writes to the store.
func (o *storedOrigins) write(call func(ctx context.Context) error) error {
	return o.gateway.callStore(streamOriginsKind, callWrite, originsCallTimeout, call)
}

func (o *storedOrigins) logFailure(callName string, err error) {
	g := o.gateway
	if err == nil || g.ctx.Err() != nil {
		return
	}
	g.metrics.storeFailures.WithLabelValues(streamOriginsKind).Inc()
	g.log.Log(events.StreamOriginsCallFailed, events.Fields{"call": callName, "error": err.Error()})
}

// apply takes over what was read from the store.
func (s *streamVersions) apply(readAt time.Time, stored StoredStreamOrigins) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, segment := range stored.Segments {
		for _, record := range segment.Records {
			s.table.Add(readAt, record)
		}
	}
	if stored.Roster != nil {
		s.history.MergeRoster(readAt, stored.Roster)
		wake(s.historyChanged)
	}
}

// hasRead reports whether this router has read the store since its start or its last failed write.
func (o *storedOrigins) hasRead() bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return !o.readAt.IsZero()
}
