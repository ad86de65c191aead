package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/clock"
	"github.com/clovertiller/clovertiller/internal/streamversion"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// Timeouts of looking up where a stream began.
const (
	// streamAskTimeout is the timeout of the question where a stream began.
	streamAskTimeout = 150 * time.Millisecond
	// unconnectedAskTimeout is the same for routers to which no connection is open, which includes lost ones.
	unconnectedAskTimeout = 75 * time.Millisecond
	// storeLookupTimeout is the timeout for reading the store if no router knows.
	storeLookupTimeout = time.Second
	// storeAskInterval is the interval at which replicas are asked whether they have read the store, at most maxStoreAsks
	// times. They need up to minOriginsReadInterval and a call.
	storeAskInterval = 60 * time.Millisecond
	maxStoreAsks     = 8
	// recordStoreTime is how long after a stream's begin its record is in the store, if a router has to find out first that the writer
	// of the record does not answer: the timeout of that, the interval of writes, and a call.
	recordStoreTime = recordAckTimeout + flushInterval + 100*time.Millisecond
	// lateRecordTime is how long after a version joined another router may not list it yet, and then sends records of streams that had none.
	lateRecordTime = maxRosterDirectoryAge
)

// streamQuestion is the question where a stream began that a caller takes up.
type streamQuestion struct {
	// keys are those under which the stream may be recorded, in the order in which they are looked up. tenantKey is that of the
	// caller's tenant, the only one that earlier builds know.
	keys      []streamversion.Key
	tenantKey streamversion.Key
	// service was chosen for the call among services, those of its route.
	service  string
	services []string
}

// streamQuestion returns the question for the stream that the call takes up.
func (c *call) streamQuestion() streamQuestion {
	q, caller, id := streamQuestion{service: c.service}, c.streamCaller(), c.streamID()
	for _, backend := range c.route.Backends {
		q.services = append(q.services, backend.Service)
	}
	q.keys = caller.LookupKeys(id, q.services)
	q.tenantKey, _ = caller.RecordKeys(id)
	return q
}

// answer returns what the record answers, which is zero if there is none.
func (q streamQuestion) answer(record streamversion.Record) streamversion.Answer {
	if slices.Contains(q.services, record.Origin.Service) {
		return streamversion.Answer{Origin: record.Origin, Key: record.Key}
	}
	return streamversion.Answer{Began: record.Origin}
}

// encode returns the message that asks another router. If storeAge is not 0, that must have read the store within it.
func (q streamQuestion) encode(storeAge time.Duration) *wire.StreamAsk {
	ask := &wire.StreamAsk{Key: q.tenantKey[:], Service: q.service, StoreAgeMillis: uint32(storeAge.Milliseconds())}
	for _, key := range q.keys {
		ask.Keys = append(ask.Keys, key[:])
	}
	return ask
}

// decodeStreamKeys returns the valid ones among the keys of the stream that another router asks for. Earlier builds send one.
func decodeStreamKeys(ask *wire.StreamAsk) (keys []streamversion.Key) {
	encoded := ask.GetKeys()
	if len(encoded) == 0 {
		encoded = [][]byte{ask.GetKey()}
	}
	for _, key := range encoded {
		if len(key) == len(streamversion.Key{}) {
			keys = append(keys, streamversion.Key(key))
		}
	}
	return keys
}

// decode returns the answer of another router.
func (q streamQuestion) decode(message *wire.StreamAnswer) streamversion.Answer {
	// Answers do not contain when the record expires.
	record, _ := decodeStreamRecord(time.Time{}, message.GetRecord())
	answer := q.answer(record)
	answer.HasReadStore, answer.Only = message.GetStoreRead(), message.GetOnly()
	return answer
}

// storeAnswer reads the store unless that has been done since the time, and returns what this router then knows of the stream. It
// returns false if the store could not be read: what this router knows without it is no answer, as it need not be a replica.
func (s *streamVersions) storeAnswer(ctx context.Context, q streamQuestion, since time.Time) (streamversion.Answer, bool) {
	for from := since; ; from = s.gateway.now() {
		isRead, now := s.stored.read(ctx, from), s.gateway.now()
		answer := s.own(now, q)
		if answer.Origin != (streamversion.Origin{}) || !isRead {
			return answer, answer.Origin != streamversion.Origin{}
		}
		// Something may have been written during the read, so that the directory is not known to be as new.
		if only, proven := s.provenOnly(now, since, q.service); proven {
			return streamversion.Answer{HasReadStore: true, Only: only, Began: answer.Began}, true
		}
	}
}

// streamLookup is the result of asking where a stream began.
type streamLookup struct {
	proven     streamversion.Proven
	resolution streamversion.Resolution
	// recordKey is the key of the record of the origin. began is where the stream began if its route no longer has that service.
	recordKey streamversion.Key
	began     streamversion.Origin
	// answers are those of the replicas, and hasReadStore is set if the store was read as well.
	answers      []streamversion.Answer
	hasReadStore bool
	// answered is the number of replicas that answered, of all.
	answered, replicas int
}

// lookUp finds out where the stream with one of the keys began: from this router's records, from the replicas, or else from the store.
func (s *streamVersions) lookUp(ctx context.Context, q streamQuestion) streamLookup {
	now, replicas := s.gateway.now(), s.replicas()
	lookup := streamLookup{replicas: max(len(replicas), 1)}
	own := s.own(now, q)
	if own.Origin != (streamversion.Origin{}) {
		lookup.resolve(q, own)
		return lookup
	}
	lookup.began = own.Began
	lookup.answers = s.askReplicas(ctx, replicas, q, 0)
	others := len(lookup.answers)
	if s.isReplica(replicas) {
		lookup.answers = append(lookup.answers, own)
	}
	lookup.answered = len(lookup.answers)
	lookup.resolve(q)
	if lookup.resolution == streamversion.Recorded {
		return lookup
	}
	// A stream whose route has moved goes on at the same version wherever that is listed. If it was for as long as streams live, the
	// stream cannot have gone on at another one of the service.
	goesOnAtSameVersion := lookup.began != (streamversion.Origin{}) && s.isListedThroughout(now, streamversion.Origin{Service: q.service, Version: lookup.began.Version})
	if goesOnAtSameVersion && lookup.answered >= lookup.replicas {
		lookup.resolution = streamversion.Moved
		return lookup
	}
	ctx, cancel := context.WithTimeout(ctx, storeLookupTimeout)
	defer cancel()
	lookup.readStore(ctx, s, q, now, others > 0)
	// A record that was made just before the question is in the store a moment later, and so are those of streams that had none before
	// another version joined, which their routers may list later than this one.
	recordsFrom := s.lastJoined(s.gateway.now(), q.service)
	if s.mayMissRecords(replicas, lookup.answered) {
		recordsFrom = clock.Later(recordsFrom, now)
	}
	hasReadLater := false
	if at := recordsFrom.Add(recordStoreTime); !lookup.resolution.IsKnown() && at.After(now) && sleep(ctx, s.gateway.until(at)) {
		hasReadLater = lookup.readStore(ctx, s, q, at, others > 0)
	}
	isUnknown := !lookup.resolution.IsKnown()
	mayMiss, mayFollow := s.mayMissRecords(replicas, lookup.answered), s.gateway.since(s.lastJoined(s.gateway.now(), q.service)) < lateRecordTime
	// What routers know that did not answer is in the store a moment later.
	hasAll := !mayFollow && (hasReadLater || lookup.hasReadStore && !mayMiss)
	switch {
	case isUnknown && lookup.began != (streamversion.Origin{}) && (hasAll || goesOnAtSameVersion):
		lookup.resolution = streamversion.Moved
	case isUnknown && (mayMiss || mayFollow):
		lookup.resolution = streamversion.RecordsMissing
	}
	return lookup
}

// mayMissRecords reports whether another router may have a record that is at none of the replicas that answered. A replica alone
// cannot tell whether the others reach it.
func (s *streamVersions) mayMissRecords(replicas []string, answered int) bool {
	return answered < len(replicas) || len(replicas) == 1 && s.isReplica(replicas)
}

// resolve combines the answers of the replicas with another one.
func (l *streamLookup) resolve(q streamQuestion, added ...streamversion.Answer) {
	answers := append(slices.Clone(l.answers), added...)
	l.proven, l.resolution = streamversion.Resolve(q.service, answers, l.replicas)
	for _, answer := range answers {
		l.recordKey, l.began = cmp.Or(l.recordKey, answer.Key), cmp.Or(l.began, answer.Began)
	}
}

// readStore resolves the stream again once the store has been read since the time, and reports whether it has been. A replica reads it for
// all other routers that reach it, of which there may be many.
func (l *streamLookup) readStore(ctx context.Context, s *streamVersions, q streamQuestion, since time.Time, hasAnswered bool) (isRead bool) {
	var stored streamversion.Answer
	if replicas := s.replicas(); hasAnswered && !s.isReplica(replicas) {
		stored, isRead = s.replicaStoreAnswer(ctx, replicas, q, since)
	}
	if !isRead {
		stored, isRead = s.storeAnswer(ctx, q, since)
	}
	if isRead {
		l.hasReadStore = true
		l.resolve(q, stored)
	}
	return isRead
}

// replicaStoreAnswer makes one of the replicas, which the key chooses, read the store, and returns what that knows then. It
// returns false if the replica has not read the store since the time and has no record either.
func (s *streamVersions) replicaStoreAnswer(ctx context.Context, replicas []string, q streamQuestion, since time.Time) (streamversion.Answer, bool) {
	reader := s.connectedReplica(replicas, replicas[int(q.tenantKey[0])%len(replicas)])
	for range maxStoreAsks {
		for _, answer := range s.askReplicas(ctx, []string{reader}, q, max(s.gateway.since(since), time.Millisecond)) {
			if answer.HasReadStore || answer.Origin != (streamversion.Origin{}) {
				return answer, true
			}
		}
		if !sleep(ctx, storeAskInterval) {
			break
		}
	}
	return streamversion.Answer{}, false
}

// askReplicas asks all other replicas at once and returns their answers. It returns early once one has a record of a service that the
// route has. If storeAge is not 0, the replicas must have read the store within it.
func (s *streamVersions) askReplicas(ctx context.Context, replicas []string, q streamQuestion, storeAge time.Duration) (answers []streamversion.Answer) {
	ask, received, asked := q.encode(storeAge), make(chan *wire.StreamAnswer, len(replicas)), 0
	for _, replica := range replicas {
		if replica == s.gateway.settings.PeerAddress {
			continue
		}
		asked++
		timeout := streamAskTimeout
		if !s.gateway.peerRouters.transport.IsConnected(replica) {
			timeout = unconnectedAskTimeout
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			// A replica that does not answer is counted as silent.
			reply, _ := s.gateway.peerRouters.transport.Call(ctx, "", replica, &wire.Envelope{Body: &wire.Envelope_StreamAsk{StreamAsk: ask}})
			received <- reply.GetStreamAnswer()
		}()
	}
	for range asked {
		message := <-received
		if message == nil {
			continue
		}
		answer := q.decode(message)
		answers = append(answers, answer)
		if answer.Origin != (streamversion.Origin{}) {
			break
		}
	}
	return answers
}
