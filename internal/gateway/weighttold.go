package gateway

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/namings"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// toldLifetimes is how many deadlines long a bound is told: older weights are gone by then.
const toldLifetimes = 2

// firmBounds returns what this router tells others.
func (g *Gateway) firmBounds() []*wire.WeightBound {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.now()
	var told []*wire.WeightBound
	for _, bound := range g.bounds.ReportableBounds(g.settings.namingTimes(), now, toldLifetimes*g.settings.WeightDeadline) {
		told = append(told, &wire.WeightBound{Model: bound.Model, Version: bound.Version, AgeMillis: wire.AgeToMillis(now.Sub(bound.NotNamedAt()))})
	}
	return told
}

// takeBounds takes what another router told in an answer that was asked for at the moment,
// and counts the deadlines anew of weights that are known already. Pushes tell nothing of
// the kind: one may be read long after it was sent, and ages count from the sending.
func (g *Gateway) takeBounds(bounds []*wire.WeightBound, sent time.Time) {
	for _, bound := range bounds {
		g.takeBound(bound.GetModel(), bound.GetVersion(), sent.Add(-wire.AgeFromMillis(bound.GetAgeMillis())))
	}
}

func (g *Gateway) takeBound(model string, version uint64, before time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	known := g.bounds.ForModel(model)
	if !known.RecordReport(g.settings.namingTimes(), version, before) {
		return
	}
	g.countOlder(model, known)
	g.log.Log(events.WeightBoundReceived, events.Fields{"model": model, "version": known.NamedVersion(), "told": version, "older_until_ms": g.until(known.OldestExpiry(g.settings.namingTimes())).Milliseconds()})
}

// countOlder puts the deadlines of the model's older weights in force. The mutex is held.
func (g *Gateway) countOlder(model string, known *namings.History) {
	deadlines := known.Deadlines(g.settings.namingTimes())
	g.runners.WeightTargets().SetDeadlines(model, deadlines)
	for _, older := range deadlines {
		g.withdrawAt(older.WithdrawAt, model)
	}
}

// withdrawAt withdraws what has not begun at the moment.
func (g *Gateway) withdrawAt(at time.Time, model string) {
	time.AfterFunc(g.until(at), func() { g.withdrawExpiredSends(g.now(), model) })
}
