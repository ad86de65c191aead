package gateway

import (
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

// storeAnswer reads the store unless that has been done since the time, and returns what this router then knows of the stream. It
// returns false if the store could not be read: what this router knows without it is no answer, as it need not be a replica.
func (s *streamVersions) storeAnswer(ctx context.Context, keys []streamversion.Key, service string, since time.Time) (streamversion.Answer, bool) {
	for from := since; ; from = s.gateway.now() {
		isRead, now := s.stored.read(ctx, from), s.gateway.now()
		if answer := s.own(now, keys); answer.Origin != (streamversion.Origin{}) || !isRead {
			return answer, answer.Origin != streamversion.Origin{}
		}
		// Something may have been written during the read, so that the directory is not known to be as new.
		if only, proven := s.provenOnly(now, since, service); proven {
			return streamversion.Answer{HasReadStore: true, Only: only}, true
		}
	}
}

// streamLookup is the result of asking where a stream began.
type streamLookup struct {
	proven     streamversion.Proven
	resolution streamversion.Resolution
	// answers are those of the replicas, and hasReadStore is set if the store was read as well.
	answers      []streamversion.Answer
	hasReadStore bool
	// answered is the number of replicas that answered, of all.
	answered, replicas int
}

// lookUp finds out where the stream with one of the keys began: from this router's records, from the replicas, or else from the store.
func (s *streamVersions) lookUp(ctx context.Context, keys []streamversion.Key, service string) streamLookup {
	now, replicas := s.gateway.now(), s.replicas()
	lookup := streamLookup{replicas: max(len(replicas), 1)}
	own := s.own(now, keys)
	if own.Origin != (streamversion.Origin{}) {
		lookup.resolve(service, own)
		return lookup
	}
	ask := encodeStreamAsk(keys, service)
	lookup.answers = s.askReplicas(ctx, replicas, ask)
	others := len(lookup.answers)
	if s.isReplica(replicas) {
		lookup.answers = append(lookup.answers, own)
	}
	lookup.answered = len(lookup.answers)
	lookup.resolve(service)
	if lookup.resolution == streamversion.Recorded {
		return lookup
	}
	ctx, cancel := context.WithTimeout(ctx, storeLookupTimeout)
	defer cancel()
	lookup.readStore(ctx, s, ask, now, others > 0)
	// A record that was made just before the question is in the store a moment later, and so are those of streams that had none before
	// another version joined, which their routers may list later than this one.
	recordsFrom := s.lastJoined(s.gateway.now(), service)
	if s.mayMissRecords(replicas, lookup.answered) {
		recordsFrom = clock.Later(recordsFrom, now)
	}
	if at := recordsFrom.Add(recordStoreTime); !lookup.resolution.IsKnown() && at.After(now) && sleep(ctx, s.gateway.until(at)) {
		lookup.readStore(ctx, s, ask, at, others > 0)
	}
	if lookup.resolution == streamversion.NoRecord && (s.mayMissRecords(replicas, lookup.answered) || s.gateway.since(s.lastJoined(s.gateway.now(), service)) < lateRecordTime) {
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
func (l *streamLookup) resolve(service string, added ...streamversion.Answer) {
	l.proven, l.resolution = streamversion.Resolve(service, append(slices.Clone(l.answers), added...), l.replicas)
}

// readStore resolves the stream again once the store has been read since the time. A replica reads it for all other routers that reach
// it, of which there may be many.
func (l *streamLookup) readStore(ctx context.Context, s *streamVersions, ask *wire.StreamAsk, since time.Time, hasAnswered bool) {
	stored, isRead := streamversion.Answer{}, false
	if replicas := s.replicas(); hasAnswered && !s.isReplica(replicas) {
		stored, isRead = s.replicaStoreAnswer(ctx, replicas, ask, since)
	}
	if !isRead {
		stored, isRead = s.storeAnswer(ctx, decodeStreamKeys(ask), ask.GetService(), since)
	}
	if isRead {
		l.hasReadStore = true
		l.resolve(ask.GetService(), stored)
	}
}

// replicaStoreAnswer makes one of the replicas, which the key chooses, read the store, and returns what that knows then. It
// returns false if the replica has not read the store since the time and has no record either.
func (s *streamVersions) replicaStoreAnswer(ctx context.Context, replicas []string, ask *wire.StreamAsk, since time.Time) (streamversion.Answer, bool) {
	reader := s.connectedReplica(replicas, replicas[int(ask.GetKey()[0])%len(replicas)])
	for range maxStoreAsks {
		ask = &wire.StreamAsk{Key: ask.GetKey(), Aliases: ask.GetAliases(), Service: ask.GetService(), StoreAgeMillis: uint32(max(s.gateway.since(since).Milliseconds(), 1))}
		for _, answer := range s.askReplicas(ctx, []string{reader}, ask) {
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

// askReplicas asks all other replicas at once and returns their answers. It returns early once one has a record.
func (s *streamVersions) askReplicas(ctx context.Context, replicas []string, ask *wire.StreamAsk) (answers []streamversion.Answer) {
	received, asked := make(chan *wire.StreamAnswer, len(replicas)), 0
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
		answer := decodeStreamAnswer(message)
		answers = append(answers, answer)
		if answer.Origin != (streamversion.Origin{}) {
			break
		}
	}
	return answers
}
