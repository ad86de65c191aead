package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/routing"
	"github.com/clovertiller/clovertiller/internal/streamversion"
)

// Reasons for refusing to continue a stream.
const (
	reasonVersionLost    = "no runner of the software version that began the stream is left"
	reasonStreamUnknown  = "it is not known which software version began the stream"
	reasonRecordsMissing = "routers that may know which software version began the stream do not answer"
)

// bind binds the call to the origin of its stream, unless it is bound already.
func (c *call) bind(proven streamversion.Proven) {
	if c.boundVersion() == "" {
		c.bound = proven
	}
}

// boundVersion returns the software version that the call is bound to, empty if it continues no stream.
func (c *call) boundVersion() string { return c.bound.Origin().Version }

// streamCaller returns who the caller is for records of streams.
func (c *call) streamCaller() streamversion.Caller {
	return streamversion.Caller{Tenant: c.tenantName(), Credential: c.metadata.Key}
}

// newStreamRecord returns the record of the call's stream.
func (c *call) newStreamRecord(now time.Time) streamversion.Record {
	record := streamversion.Record{Origin: streamversion.Origin{Service: c.service, Version: c.boundVersion()}, Expires: now.Add(c.streamLifetime())}
	record.Key, record.Alias = c.streamRecordKeys()
	return record
}

// streamRecordKeys returns the keys of the record of the call's stream.
func (c *call) streamRecordKeys() (key, alias streamversion.Key) {
	if c.recordedByService {
		return c.streamCaller().ServiceRecordKeys(c.streamID(), c.service)
	}
	return c.streamCaller().RecordKeys(c.streamID())
}

// bindResumedStream binds a call that takes a stream up to the software version that began the stream. It returns a
// refusal if that is not known.
func (c *call) bindResumedStream() *refusal {
	if c.metadata.LastEvent == "" || c.route.Kind != routing.Streaming || !c.route.Resumable {
		return nil
	}
	c.bufferLog(events.StreamTakenUp, events.Fields{"resumes": c.metadata.Resumes, "last_event": c.metadata.LastEvent, "route": c.route.Name, "bound": c.boundVersion()})
	if c.boundVersion() != "" || c.goesOnAnywhere {
		// The ingress router has found out.
		return nil
	}
	startedAt := c.gateway.now()
	lookup := c.gateway.streams.lookUp(c.incoming.Context(), c.streamQuestion())
	c.gateway.metrics.streamLookups.WithLabelValues(lookup.resolution.String()).Inc()
	c.bufferLog(events.StreamOriginResolved, events.Fields{
		"resumes": c.metadata.Resumes, "resolution": lookup.resolution.String(), "service": lookup.proven.Origin().Service, "software": lookup.proven.Origin().Version,
		"began_service": lookup.began.Service, "began_software": lookup.began.Version,
		"answered": lookup.answered, "replicas": lookup.replicas, "after_ms": c.gateway.since(startedAt).Milliseconds(),
		"store_read": lookup.hasReadStore, "directory_age_ms": c.gateway.copies.ageMillis(c.gateway.now(), RunnerObjects),
	})
	switch {
	case lookup.resolution == streamversion.RecordsMissing:
		return unavailable(reasonRecordsMissing, busyRetryAfter)
	case !lookup.resolution.IsKnown():
		return unavailable(reasonStreamUnknown, 0)
	}
	c.bindOrigin(lookup)
	return c.awaitVersion(startedAt)
}

// awaitVersion refuses a stream of whose version this router lists no runner, unless the store lists one. That the router lists none shows
// little if it never listed any, or if its directory is not recent: it may have stood still when they joined.
func (c *call) awaitVersion(since time.Time) *refusal {
	g, origin := c.gateway, streamversion.Origin{Service: c.service, Version: c.boundVersion()}
	if origin.Version == "" || g.listsVersion(origin) || g.streams.knowsVersion(g.now(), origin) && g.hasRecentDirectory() {
		return nil
	}
	ctx, cancel := context.WithTimeout(c.incoming.Context(), storeLookupTimeout)
	defer cancel()
	g.streams.stored.read(ctx, since)
	if g.listsVersion(origin) || !g.copies.provenAt(RunnerObjects).Before(since) && g.streams.knowsVersion(g.now(), origin) {
		return nil
	}
	return unavailable(reasonVersionLost, busyRetryAfter)
}

// listsVersion reports whether runners of the version are listed that are not leaving.
func (g *Gateway) listsVersion(origin streamversion.Origin) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.runners.VersionCounts(origin.Service)[origin.Version] > 0
}

// hasRecentDirectory reports whether the directory was complete a moment ago.
func (g *Gateway) hasRecentDirectory() bool {
	age, known := g.copies.age(g.now(), RunnerObjects)
	return known && age <= maxProofAge+copyProofMargin
}

// bindOrigin binds the call to the origin of its stream. A stream whose route has moved goes on at the same version, if runners of the
// new service have it, and otherwise at any one, to which the stream is bound from then on.
func (c *call) bindOrigin(lookup streamLookup) {
	if lookup.began != (streamversion.Origin{}) {
		c.renewFirstRecord(lookup.began)
	}
	// The stream may have begun at another service, whose record keeps the first keys.
	c.recordedByService = lookup.resolution != streamversion.Recorded || !slices.Contains(c.streamCaller().LookupKeys(c.streamID(), nil), lookup.recordKey)
	if lookup.resolution != streamversion.Moved {
		c.service = lookup.proven.Origin().Service
		c.bind(lookup.proven)
		return
	}
	for _, backend := range c.route.Backends {
		if c.gateway.listsVersion(streamversion.Origin{Service: backend.Service, Version: lookup.began.Version}) {
			c.service = backend.Service
			c.bind(streamversion.SameVersion(lookup.began, backend.Service))
			return
		}
	}
	c.goesOnAnywhere = true
}

// renewFirstRecord keeps the record of where a stream began whose route has moved for as long as its caller may come back: the route may
// move back.
func (c *call) renewFirstRecord(began streamversion.Origin) {
	now := c.gateway.now()
	record := streamversion.Record{Origin: began, Expires: now.Add(c.streamLifetime())}
	record.Key, record.Alias = c.streamCaller().RecordKeys(c.streamID())
	c.gateway.streams.distribute(now, []streamversion.Record{record})
}

// recordSentStream records where a stream will have begun if the current attempt brings its first event, so that the record is
// in the store by then. Further attempts of the call are bound to the same version: another one would need another record, and
// that may be lost. A service with a rollout has such attempts, as have calls that other routers forward, so the streams
// of these are recorded with their first event.
func (c *call) recordSentStream() {
	if (c.mayBeginAnew() || c.goesOnAnywhere) && !c.isForwarded() && c.route.Kind == routing.Streaming && c.route.Resumable && c.query.Route == "" && c.gateway.streams.isMixed(c.gateway.now(), c.service) {
		c.recordStream()
	}
}

// recordStream binds the call to the version of its runner, at the latest when the first event of its stream has arrived. If
// other routers may need to know, it keeps a record and sends it to replicas; the notice to the scheduler has it too.
// Messages that are lost leave the other copies. While one version serves, the record is deferred by this router and the scheduler.
func (c *call) recordStream() {
	c.bind(streamversion.FirstEvent(c.service, c.runner.SoftwareVersion))
	g, now := c.gateway, c.gateway.now()
	if c.streamRecord != nil || !c.route.Resumable || c.streamID() == "" {
		return
	}
	if c.isUnrecorded && !g.streams.isMixed(now, c.service) {
		return
	}
	record := c.newStreamRecord(now)
	if !c.isUnrecorded && g.streams.deferRecord(now, g.streams.unrecorded, record) {
		c.isUnrecorded, c.deferredRecord = true, encodeStreamRecord(now, record)
		return
	}
	c.streamRecord = encodeStreamRecord(now, record)
	result := g.streams.keep(now, record)
	if c.isUnrecorded && result == streamversion.Renewed {
		// It was recorded when the service got a second version.
		return
	}
	scheduler := ""
	if c.schedulerChoice != nil && !c.currentSend.Responded() {
		scheduler = c.schedulerChoice.scheduler
	}
	writer, deliveries := g.streams.assign(now, record, scheduler)
	var receivers []string
	for _, delivery := range deliveries {
		receivers = append(receivers, delivery.receiver)
		g.streams.sendTo(now, delivery.receiver, delivery)
	}
	c.bufferLog(events.StreamOriginRecorded, events.Fields{"software": c.boundVersion(), "result": result.String(), "replicas": receivers, "scheduler": scheduler, "writer": writer})
}

// endDeferredRecord drops the deferred record of a stream that is complete.
func (c *call) endDeferredRecord() {
	if c.isUnrecorded && c.streamRecord == nil {
		key, _ := c.streamRecordKeys()
		c.gateway.streams.forgetUnrecorded(key)
	}
}

// mayBeginAnew reports whether the caller has no event of the stream yet.
func (c *call) mayBeginAnew() bool { return c.metadata.LastEvent == "" && c.stream == nil }

// streamID returns the ID of the request that began the call's stream. A call without a last event begins a stream,
// whatever it resumes.
func (c *call) streamID() string {
	if c.metadata.LastEvent == "" {
		return c.metadata.ID
	}
	return cmp.Or(c.metadata.Resumes, c.metadata.ID)
}

// streamLifetime returns for how long the record of the call's stream is kept: as long as its caller may come back.
func (c *call) streamLifetime() time.Duration {
	return min(max(c.metadata.Deadline, routeTimeout(c.route)), maxCallDuration) + takeUpPause
}
