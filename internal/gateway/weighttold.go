package gateway

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// weightBounds holds what is known of when the weights of each model were named. A router
// that was held up alone learns from the others how much time older weights have left: not
// what it would count by itself, and not none. The gateway's mutex guards it.
type weightBounds map[string]*modelBounds

// of returns the bounds of the model's weights.
func (b weightBounds) of(model string) *modelBounds {
	if b[model] == nil {
		b[model] = &modelBounds{}
	}
	return b[model]
}

// firm returns what may be told to others, for as long as older weights may be in use.
func (b weightBounds) firm(now time.Time, kept time.Duration) []*wire.WeightBound {
	var bounds []*wire.WeightBound
	for model, known := range b {
		for _, bound := range known.firm(now, kept) {
			age := wire.AgeMillis(now.Sub(bound.news.before))
			bounds = append(bounds, &wire.WeightBound{Model: model, Version: bound.version, AgeMillis: age})
		}
	}
	return bounds
}

// keptBound is how many deadlines long a bound is told: older weights are gone by then.
const keptBound = 2

// firmBounds returns what this router tells others.
func (g *Gateway) firmBounds() []*wire.WeightBound {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.bounds.firm(time.Now(), keptBound*g.settings.WeightDeadline)
}

// takeBounds takes what another router told in an answer that was asked for at the moment,
// and counts the deadlines anew of weights that are known already. Pushes tell nothing of
// the kind: one may be read long after it was sent, and ages count from the sending.
func (g *Gateway) takeBounds(bounds []*wire.WeightBound, sent time.Time) {
	for _, bound := range bounds {
		g.takeBound(bound.GetModel(), bound.GetVersion(), sent.Add(-wire.Age(bound.GetAgeMillis())))
	}
}

func (g *Gateway) takeBound(model string, version uint64, before time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	known := g.bounds.of(model)
	if !known.told(version, before) {
		return
	}
	g.countOlder(model, known)
	g.log.Log(events.WeightsBounded, events.Fields{"model": model, "version": known.named, "told": version, "older_until_ms": time.Until(known.olderUntil(g.settings)).Milliseconds()})
}

// countOlder puts the deadlines of the model's older weights in force. The mutex is held.
func (g *Gateway) countOlder(model string, known *modelBounds) {
	deadlines := known.deadlines(g.settings)
	g.runners.Weights().SetDeadlines(model, deadlines)
	for _, older := range deadlines {
		g.withdrawAt(older.Unbegun, model)
	}
}

// withdrawAt withdraws what has not begun at the moment.
func (g *Gateway) withdrawAt(at time.Time, model string) {
	time.AfterFunc(time.Until(at), func() { g.withdrawUnbegun(time.Now(), model) })
}
