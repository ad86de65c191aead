package gateway

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/rendezvous"
	"github.com/clovertiller/clovertiller/internal/routing"
	"github.com/clovertiller/clovertiller/internal/streamversion"
)

// Limits of the records of streams.
const (
	// maxStreamRecords is the maximum number of records that a router keeps, and maxStreamKeys that of their keys. Records of callers
	// with a credential have two.
	maxStreamRecords = 1 << 18
	maxStreamKeys    = 2 * maxStreamRecords
	// minVersionWindow is the shortest time for which listed software versions are remembered.
	minVersionWindow = time.Minute
	// maxUnspreadRecords is the number of records a second up to which a router sends those of a service to the same replica
	// to be written to the store.
	maxUnspreadRecords = 32
	// takeUpPause is how long after the end of its time a caller may still take a stream up.
	takeUpPause = 5 * time.Second
)

// streamVersions knows at which software versions streams began. A router keeps the records of the streams that it
// serves, and each seed also those that others send it: every stream has a record at two seeds while several versions
// serve.
type streamVersions struct {
	gateway   *Gateway
	startedAt time.Time
	// observedChanges is the number of changes of the listed versions up to the last observation. The gateway's
	// mutex guards it.
	observedChanges uint64
	// mutex guards the fields below. The gateway's mutex may be held when it is locked, but not the other way
	// round.
	mutex   sync.Mutex
	table   *streamversion.Table
	history *streamversion.History
	// unrecorded holds the streams of services that have one version, and placed those among the streams of other routers that this one
	// placed as their scheduler. historyChanged receives a value when a service may have several.
	unrecorded, placed *streamversion.Unrecorded
	historyChanged     chan struct{}
	// replicaSince is when this router became a seed, zero if it is none. It lacks records of before unless
	// the other seeds had all of them and sent theirs, which sets isSynchronized.
	replicaSince   time.Time
	isSynchronized bool
	// stored keeps records and listed versions in the store.
	stored *storedOrigins
	// recordCount is the number of records of this router in the second recordSecond.
	recordSecond int64
	recordCount  int
	// undelivered holds records for replicas to which no connection was open.
	undelivered []undeliveredRecord
	// sent holds the records that were sent to replicas lately. While there are any, sendsHeartbeats is set.
	sent            []undeliveredRecord
	sendsHeartbeats bool
	// silentWriters holds when replicas have last not acknowledged records that they were to write to the store.
	silentWriters map[string]time.Time
}

func newStreamVersions(g *Gateway) *streamVersions {
	s := &streamVersions{
		gateway: g, startedAt: g.now(), table: streamversion.NewTable(maxStreamKeys), stored: newStoredOrigins(g),
		history: streamversion.NewHistory(g.now(), minVersionWindow), unrecorded: streamversion.NewUnrecorded(maxUnrecordedStreams), placed: streamversion.NewUnrecorded(maxUnrecordedStreams), historyChanged: make(chan struct{}, 1),
		silentWriters: map[string]time.Time{},
	}
	if g.settings.FirstStart {
		// No stream began before.
		s.isSynchronized = true
		s.history.SetComplete()
	}
	return s
}

// setWindow sets for how long listed versions are remembered: as long as a stream of the routes can live.
func (s *streamVersions) setWindow(routes []routing.Route) {
	window := minVersionWindow
	for _, route := range routes {
		if route.Kind == routing.Streaming && route.Resumable {
			window = max(window, routeTimeout(&route)+takeUpPause)
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history.SetWindow(window)
}

// observeChange records which versions are listed if that has changed. The gateway's mutex must be held, so that no
// request is placed on a version before.
func (s *streamVersions) observeChange() {
	if changes := s.gateway.runners.VersionChanges(); changes != s.observedChanges {
		s.observedChanges = changes
		s.observe(s.gateway.now())
		s.stored.wakeRosterLoop()
	}
}

// observe records which versions are listed now. The gateway's mutex must be held.
func (s *streamVersions) observe(now time.Time) {
	var listed []streamversion.Origin
	for service, versions := range s.gateway.runners.ListedVersions() {
		for _, version := range versions {
			listed = append(listed, streamversion.Origin{Service: service, Version: version})
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history.Observe(now, listed)
	wake(s.historyChanged)
}

// sweep records which versions are still listed and removes expired records.
func (s *streamVersions) sweep(now time.Time) {
	s.gateway.mutex.Lock()
	s.observe(now)
	s.gateway.mutex.Unlock()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.Prune(now)
	s.stored.wakeRosterLoop()
}

// isMixed reports whether streams of the service that live now may have begun at different versions.
func (s *streamVersions) isMixed(now time.Time, service string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.history.IsMixed(now, service)
}

// keep adds a record and returns what that changed.
func (s *streamVersions) keep(now time.Time, record streamversion.Record) streamversion.AddResult {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unrecorded.Remove(record.Key)
	result := s.table.Add(now, record)
	s.gateway.metrics.streamRecords.WithLabelValues(result.String()).Inc()
	return result
}

// replicas returns the addresses of the seeds, which keep records for all routers.
func (s *streamVersions) replicas() []string {
	r := s.gateway.peerRouters
	if r.transport == nil {
		return nil
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.selector.Seeds()
}

// isReplica reports whether this router is one of the replicas, or the only router.
func (s *streamVersions) isReplica(replicas []string) bool {
	return len(replicas) == 0 || slices.Contains(replicas, s.gateway.settings.PeerAddress)
}

// storeWriter returns the router that writes the record to the store: a replica, or this router if it reaches none. At low
// rates the records of a service go to the same replica, which thus has many to write at once. Routers with more records
// spread them over the replicas. The scheduler, which gets the record anyway but later, is the last choice.
func (s *streamVersions) storeWriter(now time.Time, replicas []string, record streamversion.Record, scheduler string) string {
	self := s.gateway.settings.PeerAddress
	shard := rendezvous.KeyOf(record.Origin.Service)
	if s.countRecord(now) > maxUnspreadRecords {
		shard = recordShard(record.Key)
	}
	ranked := rendezvous.Ranked(replicas, shard, len(replicas))
	if index := slices.Index(ranked, scheduler); index >= 0 {
		ranked = append(slices.Delete(ranked, index, index+1), scheduler)
	}
	for _, replica := range ranked {
		if replica == self && s.stored.canWrite() || s.gateway.peerRouters.transport.IsConnected(replica) && !s.isSilentWriter(now, replica) {
			return replica
		}
	}
	return self
}

// countRecord counts a record of this router, and returns how many there have been in the current second.
func (s *streamVersions) countRecord(now time.Time) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if second := now.Unix(); second != s.recordSecond {
		s.recordSecond, s.recordCount = second, 0
	}
	s.recordCount++
	return s.recordCount
}

// recordShard is the number by which the key's record is assigned to replicas.
func recordShard(key streamversion.Key) uint64 { return binary.LittleEndian.Uint64(key[:]) }

// receivers returns the replicas that a new record is sent to, given the scheduler that is told of the begin of the
// stream and gets it that way, and the router that writes it to the store.
func (s *streamVersions) receivers(replicas []string, key streamversion.Key, scheduler, writer string) []string {
	missing := streamversion.Copies
	others := slices.DeleteFunc(slices.Clone(replicas), func(address string) bool {
		return address == s.gateway.settings.PeerAddress || address == scheduler && address != writer
	})
	missing -= len(replicas) - len(others)
	if slices.Contains(others, writer) {
		missing = max(missing, 1)
	}
	ranked := rendezvous.Ranked(others, recordShard(key), len(others))
	// A message to a router that is not connected may be lost, so the connected ones come first.
	slices.SortStableFunc(ranked, func(a, b string) int {
		return cmp.Compare(s.receiverRank(a, writer), s.receiverRank(b, writer))
	})
	return ranked[:min(max(missing, 0), len(ranked))]
}

// receiverRank ranks the receivers of a record: first the one that writes it to the store, then connected routers.
func (s *streamVersions) receiverRank(address, writer string) int {
	if address == writer {
		return -1
	}
	return s.connectionRank(address)
}

// connectionRank returns 0 for connected routers that acknowledge records, and 1 for others.
func (s *streamVersions) connectionRank(address string) int {
	if s.gateway.peerRouters.transport.IsConnected(address) && !s.isSilentWriter(s.gateway.now(), address) {
		return 0
	}
	return 1
}

// find returns the record under the first of the keys that has one.
func (s *streamVersions) find(now time.Time, keys []streamversion.Key) (record streamversion.Record, found bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, key := range keys {
		if record, found = s.table.Find(now, key); found {
			return record, true
		}
	}
	return record, false
}

// own returns what this router knows of the stream without the store.
func (s *streamVersions) own(now time.Time, q streamQuestion) streamversion.Answer {
	record, _ := s.find(now, q.keys)
	return q.answer(record)
}

// isListedThroughout reports whether the version was listed for as long as a stream can live.
func (s *streamVersions) isListedThroughout(now time.Time, origin streamversion.Origin) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.history.KnowsThroughout(now, origin)
}

// lastJoined returns when the last of several versions of the service was first listed, zero if there was one.
func (s *streamVersions) lastJoined(now time.Time, service string) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.history.LastJoined(now, service)
}

// provenOnly returns the version at which all streams of the service began that lived at the time, empty if there are several.
// What this router lists proves nothing about streams that began after the time up to which its directory is known to be complete: it then
// returns false.
func (s *streamVersions) provenOnly(now, at time.Time, service string) (only string, proven bool) {
	// The proof is read before the history, which is therefore at least as new.
	proven = !s.gateway.copies.provenAt(RunnerObjects).Before(at) && !s.gateway.copies.hasPartialDirectory()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	only, isAlone := s.history.Only(now, service)
	if isAlone && !proven {
		return "", false
	}
	return only, true
}

// knowsVersion reports whether the version was listed within the window, as far as this router knows.
func (s *streamVersions) knowsVersion(now time.Time, origin streamversion.Origin) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.history.Knows(now, origin)
}

// hasAllRecords reports whether this router lacks no record that it should have as a replica.
func (s *streamVersions) hasAllRecords(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.isComplete(now)
}

// isComplete reports whether this router lacks no record that it should have as a replica. The mutex must be held.
func (s *streamVersions) isComplete(now time.Time) bool {
	return s.hasEarlierRecords(now) && s.table.IsComplete(now)
}

// hasEarlierRecords reports whether this router has the records of streams that began before it became a replica, or
// all of these have expired. The mutex must be held.
func (s *streamVersions) hasEarlierRecords(now time.Time) bool {
	return s.isSynchronized || !s.replicaSince.IsZero() && now.Sub(s.replicaSince) >= s.history.Window()
}

// recordCounts returns the number of records, and how many were dropped before their time.
func (s *streamVersions) recordCounts() (records int, dropped uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.table.Len(), s.table.Dropped()
}

// summary returns what this router knows, for the status.
func (s *streamVersions) summary(now time.Time) StreamsStatus {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	status := StreamsStatus{Records: s.table.Len(), Dropped: s.table.Dropped(), Replica: !s.replicaSince.IsZero(), Complete: s.isComplete(now)}
	for _, span := range s.history.Spans() {
		if s.history.IsMixed(now, span.Service) && !slices.Contains(status.Mixed, span.Service) {
			status.Mixed = append(status.Mixed, span.Service)
		}
	}
	return status
}
