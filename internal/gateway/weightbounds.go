package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/backend"
)

// weightBound says that neither the version of a model's weights nor a later one had been
// named at a moment, which is that of the news. Versions only rise, so it bounds when weights
// before the version were replaced, also by versions that this router never learned of:
// lists and other routers hold the newest one only.
type weightBound struct {
	version uint64
	news    weightNews
}

// modelBounds are what is known of the namings of one model's weights.
type modelBounds struct {
	// named is the newest version that this router learned, 0 before, and news how.
	named uint64
	news  weightNews
	// first is the news of the first one: weights before all bounds have the time left that
	// was known then, and none anew.
	first weightNews
	// bounds rise by version, and their moments do not fall. There are keptBounds at most.
	bounds []weightBound
	// toldOf is the newest version whose naming another router has told of.
	toldOf uint64
}

const (
	// keptBounds is how many bounds of a model are kept: weights before all of them are taken
	// to have expired. With eight namings a second they reach back for the deadline of older
	// weights on the deployments seen.
	keptBounds = 64
	// boundStep is by how much a bound has to be later than what is known to be taken. What
	// routers tell each other is inexact by the time of a message, 0.2 to 20 ms.
	boundStep = 50 * time.Millisecond
)

// learn takes the news of a version that is newer than all before.
func (m *modelBounds) learn(version uint64, news weightNews) {
	if m.named == 0 {
		m.first = news.bounded(time.Time{}, false)
	}
	for i, bound := range m.bounds {
		if bound.version <= version && bound.news.learned.IsZero() {
			m.bounds[i].news = news.bounded(bound.news.before, true)
		}
	}
	if !news.proven.IsZero() {
		m.add(weightBound{m.named + 1, news.bounded(news.proven, false)})
	}
	if !news.before.IsZero() {
		m.add(weightBound{version, news})
	}
	m.named, m.news = version, news
}

// told takes another router's word and tells whether it changes deadlines.
func (m *modelBounds) told(version uint64, before time.Time) bool {
	news := weightNews{before: before, told: true}
	if version <= m.named {
		news = m.news.bounded(before, true)
	}
	voids := version > m.toldOf && slices.ContainsFunc(m.bounds, func(b weightBound) bool {
		return b.version <= version && m.newsOf(b).storeAway()
	})
	m.toldOf = max(m.toldOf, version)
	return (m.add(weightBound{version, news}) || voids) && version <= m.named
}

// newsOf returns the bound's news with what others told: if one learned of that version or
// a later one, the store was not away for all.
func (m *modelBounds) newsOf(bound weightBound) weightNews {
	return bound.news.bounded(bound.news.before, bound.news.told || bound.version <= m.toldOf)
}

// add takes a bound and tells whether it adds to what is known.
func (m *modelBounds) add(bound weightBound) bool {
	at, found := slices.BinarySearchFunc(m.bounds, bound.version, func(known weightBound, version uint64) int {
		return cmp.Compare(known.version, version)
	})
	switch {
	case found:
		known := m.bounds[at].news
		bound.news = known.joined(bound.news)
		if bound.news.told == known.told && bound.news.before.Sub(known.before) < boundStep {
			return false
		}
		m.bounds[at] = bound
	case at == 0 && len(m.bounds) == keptBounds:
		return false
	default:
		if at > 0 {
			bound.news.before = later(bound.news.before, m.bounds[at-1].news.before)
		}
		m.bounds = slices.Insert(m.bounds, at, bound)
	}
	// It holds for later versions too.
	for i := at + 1; i < len(m.bounds); i++ {
		m.bounds[i].news.before = later(m.bounds[i].news.before, bound.news.before)
	}
	m.bounds = slices.Delete(m.bounds, 0, max(len(m.bounds)-keptBounds, 0))
	return true
}

// deadlines returns the deadlines of older weights, by what is known of the namings.
func (m *modelBounds) deadlines(settings Settings) []backend.VersionDeadlines {
	var deadlines []backend.VersionDeadlines
	news := m.first
	for _, bound := range m.bounds {
		if bound.version > m.named {
			break
		}
		if bound.version > 1 {
			deadlines = append(deadlines, backend.VersionDeadlines{Below: bound.version - 1, Deadlines: olderDeadlines(settings, news)})
		}
		news = m.newsOf(bound)
	}
	return append(deadlines, backend.VersionDeadlines{Below: m.named, Deadlines: olderDeadlines(settings, news)})
}

// olderUntil returns when the oldest weights with a bound expire; without any, when all do.
func (m *modelBounds) olderUntil(settings Settings) time.Time {
	news := m.first
	if len(m.bounds) > 0 && m.bounds[0].version <= m.named {
		news = m.newsOf(m.bounds[0])
	}
	return olderDeadlines(settings, news).Expired
}

// firm returns the bounds that may be told to others and are at most so old: those of a
// router that was not blind, or has been told itself.
func (m *modelBounds) firm(now time.Time, kept time.Duration) []weightBound {
	var firm []weightBound
	for _, bound := range m.bounds {
		known := bound.news.told || !bound.news.blind()
		if bound.version <= m.named && known && now.Sub(bound.news.before) <= kept {
			firm = append(firm, bound)
		}
	}
	return firm
}
