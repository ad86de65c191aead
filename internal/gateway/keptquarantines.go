package gateway

import (
	"context"
	"time"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/quarantine"
)

// Times of the quarantines in the store.
const (
	// quarantineCall bounds one call: the store answers within some milliseconds, and after
	// six times that it is slow or away.
	quarantineCall = 500 * time.Millisecond
	// quarantineRetry is the pause after a call that failed, and quarantineTries how often a
	// write is tried: routers that live know the content without it.
	quarantineRetry = time.Second
	quarantineTries = 5
	// writesQueued bounds the writes that wait; more are dropped, as a store that is away
	// for long must not cost memory.
	writesQueued = 64
)

// keptQuarantines keeps quarantines in the store, so that they outlast all routers: without
// that each loss of all routers would cost three runners more for each content. Only routers
// that read the store for others write there, and only quarantines, so the calls are as few
// as runners end for them.
type keptQuarantines struct {
	gateway *Gateway
	writes  chan quarantineWrite
}

// quarantineWrite is one change of the store: the record is kept, or dropped if it is nil.
type quarantineWrite struct {
	content quarantine.Content
	record  *quarantine.Record
}

func newKeptQuarantines(g *Gateway) *keptQuarantines {
	return &keptQuarantines{gateway: g, writes: make(chan quarantineWrite, writesQueued)}
}

// keep writes the record soon.
func (k *keptQuarantines) keep(record quarantine.Record) {
	k.write(quarantineWrite{content: record.Content, record: &record})
}

// drop takes the content's record out of the store soon.
func (k *keptQuarantines) drop(content quarantine.Content) {
	k.write(quarantineWrite{content: content})
}

func (k *keptQuarantines) write(write quarantineWrite) {
	if !k.gateway.relays.isSource() {
		return
	}
	select {
	case k.writes <- write:
	default:
		k.failed(write.content, "too many writes wait")
	}
}

// run reads what is kept once this router reads the store, then makes writes.
func (k *keptQuarantines) run() {
	g := k.gateway
	for read := false; !read; {
		if !g.direct.wait(g.ctx) {
			return
		}
		if read = k.read(); !read && !g.pause(g.jitter(quarantineRetry)) {
			return
		}
	}
	for {
		select {
		case write := <-k.writes:
			k.make(write)
		case <-g.ctx.Done():
			return
		}
	}
}

// read takes over what earlier processes have kept, and tells whether it could.
func (k *keptQuarantines) read() bool {
	g := k.gateway
	ctx, cancel := context.WithTimeout(g.ctx, quarantineCall)
	defer cancel()
	sent := k.gateway.now()
	// Many read at once where there is no seed: a list that may be old costs the store little.
	kept, err := g.ports.Store.Quarantines(ctx, !g.relays.isSource())
	g.metrics.storeCall(quarantineKind, callList, g.since(sent))
	if err != nil {
		g.metrics.storeFailures.WithLabelValues(quarantineKind).Inc()
		g.log.Log(events.QuarantineCallFailed, events.Fields{"call": callList, "error": err.Error()})
		return false
	}
	var records []quarantine.Record
	for _, found := range kept {
		if found.Fault != "" {
			g.log.Log(events.ObjectUnreadable, events.Fields{"kind": quarantineKind, "name": found.Name, "fault": found.Fault})
			continue
		}
		records = append(records, fromTimesOfDay(g.now(), time.Now().Round(0), found.Record))
	}
	g.suspects.learn(records)
	return true
}

// fromTimesOfDay moves a record's moments, which the store has as times of day, to this
// router's clock, on which the time of day may step.
func fromTimesOfDay(clock, day time.Time, record quarantine.Record) quarantine.Record {
	moved := record
	moved.Ends = nil
	for _, end := range record.Ends {
		ended := clock.Add(-max(day.Sub(end.At), 0))
		moved.Ends = append(moved.Ends, quarantine.End{Runner: end.Runner, At: ended, Began: ended.Add(-end.At.Sub(end.Began))})
	}
	return moved
}

// toTimesOfDay does the reverse.
func toTimesOfDay(clock, day time.Time, record quarantine.Record) quarantine.Record {
	moved := record
	moved.Ends = nil
	for _, end := range record.Ends {
		moved.Ends = append(moved.Ends, quarantine.End{Runner: end.Runner, At: day.Add(-clock.Sub(end.At)), Began: day.Add(-clock.Sub(end.Began))})
	}
	return moved
}

// make makes one write, some times if it fails.
func (k *keptQuarantines) make(write quarantineWrite) {
	g := k.gateway
	var err error
	for range quarantineTries {
		if err = k.call(write); err == nil {
			return
		}
		g.metrics.storeFailures.WithLabelValues(quarantineKind).Inc()
		if !g.pause(g.jitter(quarantineRetry)) {
			return
		}
	}
	k.failed(write.content, err.Error())
}

func (k *keptQuarantines) call(write quarantineWrite) error {
	g := k.gateway
	ctx, cancel := context.WithTimeout(g.ctx, quarantineCall)
	defer cancel()
	sent := g.now()
	defer func() { g.metrics.storeCall(quarantineKind, callWrite, g.since(sent)) }()
	if write.record == nil {
		return g.ports.Store.DropQuarantine(ctx, write.content)
	}
	return g.ports.Store.KeepQuarantine(ctx, toTimesOfDay(g.now(), time.Now().Round(0), *write.record))
}

func (k *keptQuarantines) failed(content quarantine.Content, fault string) {
	k.gateway.log.Log(events.QuarantineCallFailed, events.Fields{"call": callWrite, "content": content.String(), "tenant": content.Tenant, "error": fault})
}
