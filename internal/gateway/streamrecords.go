package gateway

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/streamversion"
	"github.com/clovertiller/clovertiller/internal/wire"
)

const (
	// maxStateRecords is the maximum number of records in one answer to a pull, about 1 MB.
	maxStateRecords = 16 << 10
	// synchronizeInterval is the interval at which a seed that has started asks the other seeds for records.
	synchronizeInterval = 250 * time.Millisecond
	// resendInterval is the interval at which undelivered records are sent again, of which at most
	// maxUndeliveredRecords are held.
	resendInterval        = 50 * time.Millisecond
	maxUndeliveredRecords = 4096
	// sentRecordTime is for how long sent records are held, of which at most maxSentRecords are, as the connection may turn out to
	// have been silent. That takes up to two seconds.
	sentRecordTime = 3 * time.Second
	maxSentRecords = 4096
	// heartbeatInterval is the interval of messages to the receivers of records that are held. They are acknowledged, so that a
	// silent connection is found out even if nothing else is sent on it.
	heartbeatInterval = 250 * time.Millisecond
	// firstStartTime is for how long the routers of a new system exchange which versions they have listed.
	firstStartTime = 10 * time.Second
	// replicaAbsence is how long a replica may be unreachable before its records go to another one, and for how long one that has not
	// acknowledged records gets none to write.
	replicaAbsence = time.Second
	// recordAckTimeout is the timeout of the acknowledgement of records by the router that is to write them to the store. The farthest
	// routers answer within 150 ms.
	recordAckTimeout = 150 * time.Millisecond
)

// errWriterRefused means that the router that is to write records to the store can't.
var errWriterRefused = errors.New("the router cannot write to the store")

func encodeStreamRecord(now time.Time, record streamversion.Record) *wire.StreamRecord {
	message := &wire.StreamRecord{
		Key: record.Key[:], Service: record.Origin.Service, Version: record.Origin.Version,
		LeftMillis: uint32(max(record.Expires.Sub(now).Milliseconds(), 0)),
	}
	if record.Alias != (streamversion.Key{}) {
		message.Alias = record.Alias[:]
	}
	return message
}

// decodeStreamRecord returns false if there is no valid record.
func decodeStreamRecord(now time.Time, message *wire.StreamRecord) (record streamversion.Record, valid bool) {
	if len(message.GetKey()) != len(record.Key) || message.GetVersion() == "" {
		return record, false
	}
	left := min(time.Duration(message.GetLeftMillis())*time.Millisecond, maxCallDuration+takeUpPause)
	record = streamversion.Record{
		Key: streamversion.Key(message.GetKey()), Expires: now.Add(left),
		Origin: streamversion.Origin{Service: message.GetService(), Version: message.GetVersion()},
	}
	if len(message.GetAlias()) == len(record.Alias) {
		record.Alias = streamversion.Key(message.GetAlias())
	}
	return record, true
}

// undeliveredRecord is a record that may not have reached its receiver.
type undeliveredRecord struct {
	record   streamversion.Record
	receiver string
	sentAt   time.Time
	// store is set if the receiver writes the record to the store.
	store bool
}

// assign chooses the router that writes a new record to the store, which may be this one, and returns it and the deliveries of the record
// to replicas. scheduler is the one that gets the record with its notice, empty if none does.
func (s *streamVersions) assign(now time.Time, record streamversion.Record, scheduler string) (writer string, deliveries []undeliveredRecord) {
	replicas := s.replicas()
	writer = s.storeWriter(now, replicas, record, scheduler)
	if writer == s.gateway.settings.PeerAddress {
		s.stored.add(now, record)
	}
	for _, receiver := range s.receivers(replicas, record.Key, scheduler, writer) {
		deliveries = append(deliveries, undeliveredRecord{record: record, receiver: receiver, sentAt: now, store: receiver == writer})
	}
	return writer, deliveries
}

// sendTo sends records to their receiver in one message.
func (s *streamVersions) sendTo(now time.Time, receiver string, deliveries ...undeliveredRecord) {
	isConnected := s.gateway.peerRouters.transport.IsConnected(receiver)
	var records []*wire.StreamRecord
	for _, delivery := range deliveries {
		if !isConnected {
			s.deferDelivery(delivery)
		}
		s.recordSent(now, delivery)
		record := encodeStreamRecord(now, delivery.record)
		record.Store = delivery.store
		records = append(records, record)
	}
	message := &wire.Envelope{Body: &wire.Envelope_StreamRecords{StreamRecords: &wire.StreamRecords{Records: records}}}
	if len(records) == 1 {
		message.Body = &wire.Envelope_StreamRecord{StreamRecord: records[0]}
	}
	if slices.ContainsFunc(deliveries, func(delivery undeliveredRecord) bool { return delivery.store }) {
		go s.sendToWriter(receiver, message, deliveries)
		return
	}
	s.gateway.peerRouters.Send(receiver, message)
}

// sendToWriter sends records to the router that is to write them to the store. If that does not acknowledge them, this router
// writes them: an open connection does not show that the other one receives anything.
func (s *streamVersions) sendToWriter(writer string, message *wire.Envelope, deliveries []undeliveredRecord) {
	ctx, cancel := context.WithTimeout(s.gateway.ctx, recordAckTimeout)
	defer cancel()
	reply, err := s.gateway.peerRouters.transport.Call(ctx, "", writer, message)
	if s.gateway.ctx.Err() != nil {
		return
	}
	if err == nil && reply.GetHeartbeatAck() == nil {
		err = errWriterRefused
	}
	s.recordWriter(writer, err == nil)
	if err == nil {
		return
	}
	records := s.takeOver(deliveries)
	if len(records) == 0 {
		return
	}
	s.gateway.log.Log(events.RecordsNotAcknowledged, events.Fields{"writer": writer, "records": len(records), "error": err.Error()})
	now := s.gateway.now()
	for _, record := range records {
		s.stored.add(now, record)
	}
}

// recordWriter records whether a writer has acknowledged records.
func (s *streamVersions) recordWriter(writer string, hasAcknowledged bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if hasAcknowledged {
		delete(s.silentWriters, writer)
		return
	}
	s.silentWriters[writer] = s.gateway.now()
}

// isSilentWriter reports whether the router has not acknowledged records lately.
func (s *streamVersions) isSilentWriter(now time.Time, address string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	since, isSilent := s.silentWriters[address]
	return isSilent && now.Sub(since) < replicaAbsence
}

// takeOver returns the records among the deliveries that the receiver was to write and that this router has not taken over yet.
// If they are sent again, the receiver only keeps them.
func (s *streamVersions) takeOver(deliveries []undeliveredRecord) (records []streamversion.Record) {
	taken := map[streamversion.Key]bool{}
	for _, delivery := range deliveries {
		if delivery.store {
			taken[delivery.record.Key] = true
			records = append(records, delivery.record)
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, held := range [][]undeliveredRecord{s.sent, s.undelivered} {
		for i := range held {
			held[i].store = held[i].store && !taken[held[i].record.Key]
		}
	}
	return records
}

// recordSent holds a sent record for sentRecordTime.
func (s *streamVersions) recordSent(now time.Time, delivery undeliveredRecord) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.dropSent(now)
	if len(s.sent) == maxSentRecords {
		s.sent = s.sent[1:]
	}
	if !s.sendsHeartbeats {
		s.sendsHeartbeats = true
		time.AfterFunc(heartbeatInterval, s.sendHeartbeats)
	}
	delivery.sentAt = now
	s.sent = append(s.sent, delivery)
}

// dropSent drops records that were sent more than sentRecordTime ago. The mutex must be held.
func (s *streamVersions) dropSent(now time.Time) {
	expired := 0
	for expired < len(s.sent) && now.Sub(s.sent[expired].sentAt) > sentRecordTime {
		expired++
	}
	s.sent = s.sent[expired:]
}

// sendHeartbeats sends a message to each receiver of records that are held, and repeats that while there are any.
func (s *streamVersions) sendHeartbeats() {
	if s.gateway.ctx.Err() != nil {
		return
	}
	s.mutex.Lock()
	s.dropSent(s.gateway.now())
	receivers := map[string]bool{}
	for _, delivery := range s.sent {
		receivers[delivery.receiver] = true
	}
	if s.sendsHeartbeats = len(s.sent) > 0; s.sendsHeartbeats {
		time.AfterFunc(heartbeatInterval, s.sendHeartbeats)
	}
	s.mutex.Unlock()
	for receiver := range receivers {
		s.gateway.peerRouters.Send(receiver, &wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: &wire.Heartbeat{}}})
	}
}

// resendSince sends the records again that were sent to the replica since the time, on a connection that turned out to be silent.
func (s *streamVersions) resendSince(replica string, since time.Time) {
	now := s.gateway.now()
	from := now.Add(-time.Since(since))
	s.mutex.Lock()
	var lost, others []undeliveredRecord
	for _, delivery := range s.sent {
		if delivery.receiver == replica && !delivery.sentAt.Before(from) {
			lost = append(lost, delivery)
		} else {
			others = append(others, delivery)
		}
	}
	s.sent = others
	s.mutex.Unlock()
	for i := range lost {
		lost[i].sentAt = now
	}
	if len(lost) > 0 {
		s.sendTo(now, replica, lost...)
	}
}

// deferDelivery holds the record to be sent again after resendInterval.
func (s *streamVersions) deferDelivery(delivery undeliveredRecord) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.undelivered) >= maxUndeliveredRecords {
		return
	}
	s.undelivered = append(s.undelivered, delivery)
	if len(s.undelivered) == 1 {
		time.AfterFunc(resendInterval, s.resend)
	}
}

// resend sends the undelivered records again. Those for a replica that stays away go to another one.
func (s *streamVersions) resend() {
	s.mutex.Lock()
	undelivered := s.undelivered
	s.undelivered = nil
	s.mutex.Unlock()
	if s.gateway.ctx.Err() != nil {
		return
	}
	now, replicas := s.gateway.now(), s.replicas()
	for _, delivery := range undelivered {
		if !now.Before(delivery.record.Expires) {
			continue
		}
		if now.Sub(delivery.sentAt) >= replicaAbsence {
			delivery.receiver = s.connectedReplica(replicas, delivery.receiver)
		}
		s.sendTo(now, delivery.receiver, delivery)
	}
}

// connectedReplica returns the replica if it is connected or no other one is, and otherwise another one.
func (s *streamVersions) connectedReplica(replicas []string, replica string) string {
	for _, candidate := range append([]string{replica}, replicas...) {
		if candidate != s.gateway.settings.PeerAddress && s.gateway.peerRouters.transport.IsConnected(candidate) {
			return candidate
		}
	}
	return replica
}

// receive keeps a record that another router sent, if there is one.
func (s *streamVersions) receive(message *wire.StreamRecord) {
	now := s.gateway.now()
	record, valid := decodeStreamRecord(now, message)
	if !valid {
		return
	}
	s.keep(now, record)
	if message.GetStore() {
		s.stored.add(now, record)
	}
}

// receiveAll keeps records that another router sent. It acknowledges them unless they can't be written to the store.
func (s *streamVersions) receiveAll(records ...*wire.StreamRecord) *wire.Envelope {
	isWriter := false
	for _, record := range records {
		s.receive(record)
		isWriter = isWriter || record.GetStore()
	}
	if isWriter && !s.stored.canWrite() {
		return &wire.Envelope{Body: &wire.Envelope_StreamAnswer{StreamAnswer: &wire.StreamAnswer{}}}
	}
	return recordsAck()
}

// answer answers another router's question where a stream began.
func (s *streamVersions) answer(ask *wire.StreamAsk) *wire.StreamAnswer {
	now := s.gateway.now()
	keys := decodeStreamKeys(ask)
	if len(keys) == 0 {
		return &wire.StreamAnswer{}
	}
	var hasReadStore bool
	var only string
	if age := ask.GetStoreAgeMillis(); age > 0 {
		since := now.Add(-time.Duration(age) * time.Millisecond)
		if hasReadStore, _, _ = s.stored.startRead(since); hasReadStore {
			if only, hasReadStore = s.provenOnly(now, since, ask.GetService()); !hasReadStore {
				s.stored.startRead(now)
			}
		}
	}
	// The answer includes what was read, so it is composed after that is known.
	record, found := s.find(now, keys)
	// Routers of earlier builds ask whether the records are complete.
	message := &wire.StreamAnswer{Complete: s.hasAllRecords(now), StoreRead: hasReadStore, Only: only}
	if found {
		message.Record = encodeStreamRecord(now, record)
	}
	return message
}

// state answers another seed's pull.
func (s *streamVersions) state(pull *wire.StreamPull) *wire.StreamState {
	now := s.gateway.now()
	s.mutex.Lock()
	records, complete := s.table.Records(now), s.isComplete(now)
	s.mutex.Unlock()
	after, _ := slices.BinarySearchFunc(records, pull.GetAfter(), func(record streamversion.Record, after []byte) int {
		// A record with the key itself comes before the rest.
		if bytes.Compare(record.Key[:], after) <= 0 {
			return -1
		}
		return 1
	})
	records = records[after:]
	message := &wire.StreamState{Versions: s.encodeHistory(), Complete: complete, More: len(records) > maxStateRecords}
	for _, record := range records[:min(len(records), maxStateRecords)] {
		message.Records = append(message.Records, encodeStreamRecord(now, record))
	}
	return message
}

// encodeHistory returns the history of listed versions for another router.
func (s *streamVersions) encodeHistory() *wire.VersionHistory {
	now := s.gateway.now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	message := &wire.VersionHistory{CoveredMillis: wire.AgeToMillis(now.Sub(s.history.Since()))}
	for _, span := range s.history.Spans() {
		message.Spans = append(message.Spans, &wire.VersionSpan{
			Service: span.Service, Version: span.Version, FirstAgeMillis: wire.AgeToMillis(now.Sub(span.First)), LastAgeMillis: wire.AgeToMillis(now.Sub(span.Last)),
		})
	}
	return message
}

// wantsHistory reports whether this router does not know the listed versions of the whole window. On the first start of a system, each
// router may list the first runners later than others.
func (s *streamVersions) wantsHistory() bool {
	now := s.gateway.now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.history.CoversWindow(now) || now.Sub(s.startedAt) < firstStartTime
}

// mergeHistory adds the history of another router, if there is one.
func (s *streamVersions) mergeHistory(message *wire.VersionHistory) {
	if message == nil {
		return
	}
	now := s.gateway.now()
	at := func(ageMillis uint64) time.Time { return now.Add(-wire.AgeFromMillis(ageMillis)) }
	var spans []streamversion.VersionSpan
	for _, span := range message.GetSpans() {
		spans = append(spans, streamversion.VersionSpan{
			Service: span.GetService(), Version: span.GetVersion(), First: at(span.GetFirstAgeMillis()), Last: at(span.GetLastAgeMillis()),
		})
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history.Merge(at(message.GetCoveredMillis()), spans)
	wake(s.historyChanged)
}

// synchronize asks the other seeds for their records, if this router is a seed, until each has answered or the records
// that it may lack have expired. It is called at the start and when the seeds change.
func (s *streamVersions) synchronize() {
	answered := map[string]bool{}
	for running := true; running; running = s.gateway.pause(synchronizeInterval) {
		replicas := s.replicas()
		if !s.needsRecords(s.isReplica(replicas)) || s.synchronizeWith(replicas, answered) {
			return
		}
	}
}

// needsRecords records since when this router is a replica, and reports whether it is one and lacks records of streams
// that began before.
func (s *streamVersions) needsRecords(isReplica bool) bool {
	now := s.gateway.now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !isReplica {
		s.replicaSince, s.isSynchronized = time.Time{}, false
		return false
	}
	if s.replicaSince.IsZero() {
		s.replicaSince = now
	}
	return !s.hasEarlierRecords(now)
}

// synchronizeWith asks the replicas that have not answered yet, and reports whether all have answered. This router
// lacked its own copies when it began, so it has all records only if each other replica had all of its own.
func (s *streamVersions) synchronizeWith(replicas []string, answered map[string]bool) (finished bool) {
	hasAll := true
	for _, replica := range replicas {
		if replica == s.gateway.settings.PeerAddress {
			continue
		}
		complete, hasAnswered := answered[replica]
		if !hasAnswered {
			if complete, hasAnswered = s.pullState(replica); !hasAnswered {
				return false
			}
			answered[replica] = complete
		}
		hasAll = hasAll && complete
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.isSynchronized = hasAll && len(replicas) > 1
	return true
}

// pullState takes over the records and the history of another replica. It returns whether that has all records that
// it should have, and whether it sent all.
func (s *streamVersions) pullState(replica string) (complete, finished bool) {
	var after []byte
	for {
		ctx, cancel := context.WithTimeout(s.gateway.ctx, pullTimeout)
		reply, err := s.gateway.peerRouters.transport.Call(ctx, "", replica, &wire.Envelope{Body: &wire.Envelope_StreamPull{StreamPull: &wire.StreamPull{After: after}}})
		cancel()
		state := reply.GetStreamState()
		if err != nil || state == nil {
			return false, false
		}
		for _, record := range state.GetRecords() {
			s.receive(record)
			after = record.GetKey()
		}
		if !state.GetMore() {
			s.mergeHistory(state.GetVersions())
			return state.GetComplete(), true
		}
	}
}
