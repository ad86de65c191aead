package gateway

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/streamversion"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// maxUnrecordedStreams is the maximum number of streams without a record that a router holds, about 3 MB. Any others are recorded with
// their next event.
const maxUnrecordedStreams = 1 << 14

// deferRecord holds the record of a stream back in the set if one version of its service serves, and returns false otherwise.
func (s *streamVersions) deferRecord(now time.Time, set *streamversion.Unrecorded, record streamversion.Record) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.history.IsMixed(now, record.Origin.Service) {
		return false
	}
	set.Add(record)
	return true
}

// receiveNotice keeps the record of a stream that this router has placed for another one, if there is one. While one version serves, the
// record is deferred: the router of the stream may be lost before a second version joins.
func (s *streamVersions) receiveNotice(message *wire.StreamRecord) {
	now := s.gateway.now()
	record, valid := decodeStreamRecord(now, message)
	if valid && !s.deferRecord(now, s.placed, record) {
		s.keep(now, record)
	}
}

// forgetUnrecorded removes a stream that is complete, so that nobody takes it up.
func (s *streamVersions) forgetUnrecorded(key streamversion.Key) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unrecorded.Remove(key)
}

// recordMixedLoop records streams once their service has several versions. Waiting for their next event would leave them without a
// record if all routers are lost before.
func (s *streamVersions) recordMixedLoop() {
	for {
		select {
		case <-s.historyChanged:
			s.recordMixed()
		case <-s.gateway.ctx.Done():
			return
		}
	}
}

// recordMixed records the streams whose service has several versions.
func (s *streamVersions) recordMixed() {
	now := s.gateway.now()
	s.mutex.Lock()
	isMixed := func(service string) bool { return s.history.IsMixed(now, service) }
	records, placed := s.unrecorded.Take(now, isMixed), s.placed.Take(now, isMixed)
	s.mutex.Unlock()
	for _, record := range placed {
		// Their routers send the same records, unless they are lost.
		s.keep(now, record)
		s.stored.add(now, record)
	}
	s.distribute(now, records)
}

// distribute keeps the records and sends them to replicas, in one message to each.
func (s *streamVersions) distribute(now time.Time, records []streamversion.Record) {
	batches := map[string][]undeliveredRecord{}
	for _, record := range records {
		s.keep(now, record)
		_, deliveries := s.assign(now, record, "")
		for _, delivery := range deliveries {
			batches[delivery.receiver] = append(batches[delivery.receiver], delivery)
		}
	}
	for receiver, batch := range batches {
		s.sendTo(now, receiver, batch...)
	}
}
