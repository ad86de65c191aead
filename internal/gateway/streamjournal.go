package gateway

import (
	"cmp"
	"context"
	"time"

	"github.com/clovertiller/clovertiller/internal/streamversion"
)

const (
	// flushInterval is the minimum interval of writes. For routers that are no replicas, of which there may be many, it is
	// routerFlushInterval times the number of routers, if that is longer.
	flushInterval       = 100 * time.Millisecond
	routerFlushInterval = 5 * time.Millisecond
	// minFlushDelay is for how long records are collected at least before they are written.
	minFlushDelay = 10 * time.Millisecond
	// segmentRecords is the number of records in a segment, about 110 kB in the store if they have two keys.
	segmentRecords = 2048
)

// owner identifies this router in the names of its segments.
func (o *storedOrigins) owner() string {
	return cmp.Or(o.gateway.settings.PeerAddress, o.gateway.settings.Node)
}

// add adds a record to those that this router writes to the store.
func (o *storedOrigins) add(now time.Time, record streamversion.Record) {
	o.mutex.Lock()
	o.journal.Add(now, record)
	o.mutex.Unlock()
	wake(o.journalWakeup)
}

// journalLoop writes the records to the store.
func (o *storedOrigins) journalLoop() { o.runLoop(o.journalWakeup, o.flushDelay, o.writeRecords) }

// flushDelay returns for how long records are collected before they are written: until the interval since the last write has passed.
// Records after a pause, such as those of the first streams after a version has appeared, are thus written soon.
func (o *storedOrigins) flushDelay() time.Duration {
	interval := o.flushInterval()
	return min(max(minFlushDelay, o.flushedAt.Add(interval).Sub(o.gateway.now())), interval)
}

// flushInterval returns the minimum interval of this router's writes.
func (o *storedOrigins) flushInterval() time.Duration {
	streams := o.gateway.streams
	if streams.isReplica(streams.replicas()) {
		return flushInterval
	}
	return max(flushInterval, time.Duration(o.gateway.routerCount())*routerFlushInterval)
}

// canWrite reports whether the last write of records succeeded.
func (o *storedOrigins) canWrite() bool { return !o.hasFailed.Load() }

// writeRecords writes a segment that has changed, and returns false if there is none.
func (o *storedOrigins) writeRecords() (more bool, err error) {
	more, err = o.writeSegment()
	o.hasFailed.Store(err != nil)
	return more, err
}

func (o *storedOrigins) writeSegment() (more bool, err error) {
	g := o.gateway
	// An earlier process of this router may have written segments with the same names.
	if !o.hasRead() && !o.read(g.ctx, g.now()) {
		return true, errOriginsNotRead
	}
	startedAt := g.now()
	o.mutex.Lock()
	segment, found := o.journal.Next(startedAt)
	o.mutex.Unlock()
	if !found {
		return false, nil
	}
	o.flushedAt = startedAt
	err = o.write(func(ctx context.Context) error {
		return g.ports.Store.WriteStreamSegment(ctx, o.owner(), startedAt, segment)
	})
	if err != nil {
		return true, err
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.journal.Written(segment)
	return true, nil
}

// adoptSegments takes over the segments that an earlier process of this router wrote. The mutex must be held.
func (o *storedOrigins) adoptSegments(segments []StoredStreamSegment) {
	for _, segment := range segments {
		if segment.Owner == o.owner() {
			o.journal.Adopt(segment.Number, segment.Records)
		}
	}
}
