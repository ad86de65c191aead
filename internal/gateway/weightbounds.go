package gateway

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/namings"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// boundLifetimeDeadlines is the number of weight deadlines for which a bound is reported. After
// that, no older weights are in use.
const boundLifetimeDeadlines = 2

// boundsToReport returns the bounds on naming times that this router reports to others.
func (g *Gateway) boundsToReport() []*wire.WeightBound {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.now()
	var shared []*wire.WeightBound
	for _, bound := range g.namingHistories.ReportableBounds(g.settings.namingConfig(), now, boundLifetimeDeadlines*g.settings.WeightDeadline) {
		shared = append(shared, &wire.WeightBound{Model: bound.Model, Version: bound.Version, AgeMillis: wire.AgeToMillis(now.Sub(bound.NotNamedAt()))})
	}
	return shared
}

// receiveBounds applies the bounds that another router reported in an answer, given when the
// answer was requested, and updates the deadlines of weights that are already known. Pushes
// carry no bounds: they may be read long after they were sent, and the reported ages count from
// the sending.
func (g *Gateway) receiveBounds(bounds []*wire.WeightBound, sent time.Time) {
	for _, bound := range bounds {
		g.receiveBound(bound.GetModel(), bound.GetVersion(), sent.Add(-wire.AgeFromMillis(bound.GetAgeMillis())))
	}
}

func (g *Gateway) receiveBound(model string, version uint64, notNamedBefore time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	history := g.namingHistories.ForModel(model)
	if !history.RecordReport(g.settings.namingConfig(), version, notNamedBefore) {
		return
	}
	g.updateOlderDeadlines(model, history)
	g.log.Log(events.WeightBoundReceived, events.Fields{"model": model, "version": history.NamedVersion(), "told": version, "older_until_ms": g.until(history.OldestExpiry(g.settings.namingConfig())).Milliseconds()})
}

// updateOlderDeadlines sets the deadlines of the model's older weights. The mutex must be held.
func (g *Gateway) updateOlderDeadlines(model string, history *namings.History) {
	deadlines := history.Deadlines(g.settings.namingConfig())
	g.runners.WeightTargets().SetDeadlines(model, deadlines)
	for _, deadline := range deadlines {
		g.scheduleWithdrawal(deadline.WithdrawAt, model)
	}
}

// scheduleWithdrawal withdraws, at the given time, the model's unstarted sends on weights that have
// expired by then.
func (g *Gateway) scheduleWithdrawal(at time.Time, model string) {
	time.AfterFunc(g.until(at), func() { g.withdrawExpiredSends(g.now(), model) })
}
