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

// Times of the records in the store.
const (
	// quarantineCall bounds one call beyond what it is to wait: the store answers within some
	// milliseconds, and some hundred where it is slow.
	quarantineCall = 700 * time.Millisecond
	// quarantineRetry and quarantineLongest bound the pause after a call that failed.
	quarantineRetry   = 500 * time.Millisecond
	quarantineLongest = 4 * time.Second
	// quarantineSettle is the longest pause before a write: all routers that read the store
	// hear of an end at once, and the first of them to write spares the others their call.
	quarantineSettle = 100 * time.Millisecond
	// endsToKeep is how many runners must have ended under a content before its record is
	// kept: one names whatever was at work on a runner, mostly several contents.
	endsToKeep = 2
)

// keptQuarantines keeps records of contents in the store, so that they outlast all routers,
// and reach those that read the store though no seed reaches them: each would have to see
// three runners end by itself. Only routers that read the store write there, and only
// contents that were at work on two runners, so the calls are as few as runners end.
type keptQuarantines struct {
	gateway *Gateway
	mutex   sync.Mutex
	// era is that of the store's last list, 0 before any.
	era uint64
	// stored holds what the store is known to have of each content.
	stored map[quarantine.ContentID]quarantine.Record
	// pending are contents whose record is to be written or, once it is cleared or
	// forgotten, taken out; there are as many as records at most.
	pending map[quarantine.ContentID]bool
	// wanted is told when there is something to write.
	wanted chan struct{}
}

func newKeptQuarantines(g *Gateway) *keptQuarantines {
	return &keptQuarantines{
		gateway: g, stored: map[quarantine.ContentID]quarantine.Record{}, pending: map[quarantine.ContentID]bool{}, wanted: make(chan struct{}, 1),
	}
}

// changed has the content's record written, if it is to be kept or taken out, as soon as this
// router reads the store.
func (k *keptQuarantines) changed(content quarantine.ContentID, ends int) {
	k.mutex.Lock()
	if _, stored := k.stored[content]; ends >= endsToKeep || stored {
		k.pending[content] = true
	} else {
		// There is nothing to write any more, and a router that does not read the store would
		// never find that out.
		delete(k.pending, content)
	}
	k.mutex.Unlock()
	k.want()
}

// want has the writer look for what is to be written.
func (k *keptQuarantines) want() {
	select {
	case k.wanted <- struct{}{}:
	default:
	}
}

// follow learns what others keep while this router reads the store.
func (k *keptQuarantines) follow() {
	g, revision, failures := k.gateway, storerev.Revision(0), 0
	// Many read at once where there is no seed: a list that may be old costs the store little.
	// One whose history is gone leads nowhere, and is not asked for again.
	stale := !g.relays.isSource()
	for g.directReads.wait(g.ctx) {
		next, err := k.learn(revision, stale)
		if err == nil && next > 0 {
			revision, failures = next, 0
			continue
		}
		if errors.Is(err, ErrHistoryGone) {
			if !g.pauseInNewEra() {
				return
			}
			revision, stale = 0, false
		}
		if !k.failed(callWatch, err, failures) {
			return
		}
		failures++
	}
}

// learn lists all records at first, and then waits for changes after the revision. It
// returns the next revision, 0 for none.
func (k *keptQuarantines) learn(revision storerev.Revision, stale bool) (next storerev.Revision, err error) {
	g, name, wait, sent := k.gateway, callWatch, directoryWait, k.gateway.now()
	if revision == 0 {
		name, wait = callList, 0
	}
	ctx, cancel := context.WithTimeout(g.ctx, wait+quarantineCall)
	defer cancel()
	var kept []KeptQuarantine
	if revision == 0 {
		kept, next, err = g.ports.Store.Quarantines(ctx, stale)
	} else {
		kept, next, err = g.ports.Store.WatchQuarantines(ctx, revision, wait)
	}
	g.metrics.observeStoreCall(quarantineKind, name, g.since(sent))
	switch {
	case err != nil:
		return revision, err
	case next.Era() < revision.Era():
		return revision, errFromThePast
	case revision > 0 && next.Era() > revision.Era():
		return revision, ErrHistoryGone
	}
	restored := revision == 0 && k.enterEra(next.Era())
	k.take(kept)
	if restored {
		k.keepAll()
	}
	if revision == 0 {
		// What was learned while this router did not read the store may be missing there.
		k.want()
	}
	return max(next, revision), nil
}

// enterEra forgets what the store is known to have when it has come back from a copy since, and
// tells whether it has.
func (k *keptQuarantines) enterEra(era uint64) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	restored := k.era != 0 && era > k.era
	if restored {
		clear(k.stored)
	}
	k.era = max(k.era, era)
	return restored
}

// keepAll has the store get all records again that are to be kept and that it lacks. Nobody
// but routers writes them.
func (k *keptQuarantines) keepAll() {
	for _, content := range k.gateway.suspects.contents() {
		_, verdict := k.gateway.suspects.record(content)
		k.changed(content, verdict.Crashes)
	}
}

// take takes what the store has. What is gone was cleared or forgotten by whoever took it
// out, and each router finds that out by itself.
func (k *keptQuarantines) take(kept []KeptQuarantine) {
	g := k.gateway
	var records []quarantine.Record
	for _, found := range kept {
		switch {
		case found.Fault != "":
			g.log.Log(events.ObjectUnreadable, events.Fields{"kind": quarantineKind, "name": found.Name, "fault": found.Fault})
		case !found.Gone:
			record := fromTimesOfDay(g.now(), time.Now().Round(0), found.Record)
			records = append(records, record)
			k.noteStored(record)
		}
	}
	g.suspects.learn(records)
	for _, record := range records {
		if _, verdict := g.suspects.record(record.Content); verdict.State == quarantine.Clear {
			// It is of no use any more, and whoever kept it may be gone.
			k.changed(record.Content, verdict.Crashes)
		}
	}
}

func (k *keptQuarantines) noteStored(record quarantine.Record) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.stored[record.Content] = record
}

// write writes changed records until the gateway stops. A write that fails is made again
// until it is done or its record is of no use any more.
func (k *keptQuarantines) write() {
	g, failures := k.gateway, 0
	for {
		select {
		case <-k.wanted:
		case <-g.ctx.Done():
			return
		}
		for content, pending := k.next(); pending; content, pending = k.next() {
			if !g.pause(g.jitter(quarantineSettle)) {
				return
			}
			err := k.writeOne(content)
			if err == nil {
				failures = 0
				continue
			}
			if !k.failed(callWrite, err, failures) {
				return
			}
			failures++
		}
	}
}

// next returns a content whose record is to be written, or false when there is none or this
// router does not read the store.
func (k *keptQuarantines) next() (quarantine.ContentID, bool) {
	if !k.gateway.directReads.on() {
		return quarantine.ContentID{}, false
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for content := range k.pending {
		return content, true
	}
	return quarantine.ContentID{}, false
}

// writeOne makes the store have what this router knows of the content.
func (k *keptQuarantines) writeOne(content quarantine.ContentID) error {
	stored, isStored := k.takePending(content)
	record, verdict := k.gateway.suspects.record(content)
	cleared, missing := verdict.State == quarantine.Clear, !isStored
	if isStored {
		record, missing = stored.Merge(record)
	}
	var err error
	switch {
	case cleared && isStored:
		err = k.drop(content)
	case !cleared && missing:
		err = k.keep(record)
	}
	if err != nil {
		k.changed(content, endsToKeep)
	}
	return err
}

// takePending takes the content out of those to be written, and returns what the store has.
func (k *keptQuarantines) takePending(content quarantine.ContentID) (stored quarantine.Record, isStored bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	delete(k.pending, content)
	stored, isStored = k.stored[content]
	return stored, isStored
}

func (k *keptQuarantines) keep(record quarantine.Record) error {
	g := k.gateway
	written, era := toTimesOfDay(g.now(), time.Now().Round(0), record), g.era.newest()
	if err := k.call(func(ctx context.Context) error { return g.ports.Store.KeepQuarantine(ctx, written) }); err != nil {
		return err
	}
	if g.era.newest() != era {
		// The store may have come back without it.
		k.changed(record.Content, endsToKeep)
		return nil
	}
	k.noteStored(record)
	return nil
}

func (k *keptQuarantines) drop(content quarantine.ContentID) error {
	g := k.gateway
	if err := k.call(func(ctx context.Context) error { return g.ports.Store.DropQuarantine(ctx, content) }); err != nil {
		return err
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	delete(k.stored, content)
	return nil
}

func (k *keptQuarantines) call(call func(ctx context.Context) error) error {
	g, sent := k.gateway, k.gateway.now()
	ctx, cancel := context.WithTimeout(g.ctx, quarantineCall)
	defer cancel()
	defer func() { g.metrics.observeStoreCall(quarantineKind, callWrite, g.since(sent)) }()
	return call(ctx)
}

// failed notes a call that failed, or led nowhere, after others, and waits before the next.
// It returns false when the gateway stops.
func (k *keptQuarantines) failed(call string, err error, failures int) bool {
	g := k.gateway
	if g.ctx.Err() != nil {
		return false
	}
	if err != nil {
		g.metrics.storeFailures.WithLabelValues(quarantineKind).Inc()
	}
	if err != nil && failures == 0 {
		g.log.Log(events.QuarantineStoreCallFailed, events.Fields{"call": call, "error": err.Error()})
	}
	return g.backoff(failures, quarantineRetry, quarantineLongest)
}

// fromTimesOfDay moves a record's moments, which the store has as times of day, to this
// router's clock, on which the time of day may step.
func fromTimesOfDay(clock, day time.Time, record quarantine.Record) quarantine.Record {
	moved := record
	moved.Crashes = nil
	for _, end := range record.Crashes {
		ended := clock.Add(-max(day.Sub(end.DetectedAt), 0))
		moved.Crashes = append(moved.Crashes, quarantine.Crash{Runner: end.Runner, DetectedAt: ended, SentAt: ended.Add(-end.DetectedAt.Sub(end.SentAt))})
	}
	return moved
}

// toTimesOfDay does the reverse.
func toTimesOfDay(clock, day time.Time, record quarantine.Record) quarantine.Record {
	moved := record
	moved.Crashes = nil
	for _, end := range record.Crashes {
		moved.Crashes = append(moved.Crashes, quarantine.Crash{Runner: end.Runner, DetectedAt: day.Add(-clock.Sub(end.DetectedAt)), SentAt: day.Add(-clock.Sub(end.SentAt))})
	}
	return moved
}
