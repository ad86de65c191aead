package gateway

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// namedNews is the news of the newest weights of a model.
type namedNews struct {
	version uint64
	news    weightNews
}

// improvedBy tells whether another router's word adds to what is known.
func (n namedNews) improvedBy(told toldBound) bool {
	if told.version != n.version {
		return false
	}
	return told.before.After(n.news.before) || (n.news.blind() && !n.news.told)
}

// toldBound is another router's word on when a version was not named yet.
type toldBound struct {
	version uint64
	before  time.Time
}

// weightBounds holds since when the newest weights of each model can have been named. A
// router that was held up alone learns from the others how much time older weights have
// left: not what it would count by itself, and not none. The gateway's mutex guards it.
type weightBounds struct {
	named map[string]namedNews
	told  map[string]toldBound
}

func newWeightBounds() *weightBounds {
	return &weightBounds{named: map[string]namedNews{}, told: map[string]toldBound{}}
}

// complete adds what others told of the version to the news.
func (b *weightBounds) complete(model string, version uint64, news weightNews) weightNews {
	if told := b.told[model]; told.version == version && !told.before.IsZero() {
		news.told = true
		news.before = later(news.before, told.before)
	}
	return news
}

// firm returns what may be told to others: the bounds of routers that were not blind, or
// have been told themselves, for as long as older weights may be in use.
func (b *weightBounds) firm(now time.Time, kept time.Duration) []*wire.WeightBound {
	var bounds []*wire.WeightBound
	for model, named := range b.named {
		age := now.Sub(named.news.before)
		if (named.news.blind() && !named.news.told) || age > kept {
			continue
		}
		bounds = append(bounds, &wire.WeightBound{Model: model, Version: named.version, AgeMillis: uint64(max(age.Milliseconds(), 0)) + 1})
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
		told := toldBound{version: bound.GetVersion(), before: sent.Add(-time.Duration(bound.GetAgeMillis()) * time.Millisecond)}
		g.takeBound(bound.GetModel(), told)
	}
}

func (g *Gateway) takeBound(model string, told toldBound) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	known := g.bounds.told[model]
	if told.version < known.version || (told.version == known.version && !told.before.After(known.before)) {
		return
	}
	g.bounds.told[model] = told
	named := g.bounds.named[model]
	if !named.improvedBy(told) {
		return
	}
	named.news = g.bounds.complete(model, told.version, named.news)
	g.bounds.named[model] = named
	deadlines := olderDeadlines(g.settings, named.news)
	if g.runners.Weights().Amend(model, told.version, deadlines) {
		g.withdrawAt(deadlines.Unbegun, model)
		g.log.Log(events.WeightsBounded, events.Fields{"model": model, "version": told.version, "older_until_ms": time.Until(deadlines.Expired).Milliseconds()})
	}
}

// withdrawAt withdraws what has not begun at the moment.
func (g *Gateway) withdrawAt(at time.Time, model string) {
	time.AfterFunc(time.Until(at), func() { g.withdrawUnbegun(time.Now(), model) })
}
