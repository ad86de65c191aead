package namings

import (
	"cmp"
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/backend"
)

// Bound says that neither the version of a model's weights nor a later one had been
// named at a moment, which is that of the news. Versions only rise, so it bounds when weights
// before the version were replaced, also by versions that this router never learned of:
// lists and other routers hold the newest one only.
type Bound struct {
	Version uint64
	news    News
}

// Before is the moment.
func (b Bound) Before() time.Time { return b.news.Before }

// Model are what is known of the namings of one model's weights.
type Model struct {
	// named is the newest version that this router learned, 0 before, and news how.
	named uint64
	news  News
	// first is the news of the first one: weights before all bounds have the time left that
	// was known then, and none anew.
	first News
	// bounds rise by version, and their moments do not fall. There are keptBounds at most.
	bounds []Bound
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

// Named is the newest version that this router learned, 0 before.
func (m *Model) Named() uint64 { return m.named }

// Learn takes the news of a version that is newer than all before.
func (m *Model) Learn(version uint64, news News) {
	if m.named == 0 {
		m.first = news.bounded(time.Time{}, false)
	}
	for i, bound := range m.bounds {
		if bound.Version <= version && bound.news.Learned.IsZero() {
			m.bounds[i].news = news.bounded(bound.news.Before, true)
		}
	}
	if !news.Proven.IsZero() {
		m.add(Bound{m.named + 1, news.bounded(news.Proven, false)})
	}
	if !news.Before.IsZero() {
		m.add(Bound{version, news})
	}
	m.named, m.news = version, news
}

// Take takes another router's word and tells whether it changes deadlines.
func (m *Model) Take(c Config, version uint64, before time.Time) bool {
	news := News{Before: before, Told: true}
	if version <= m.named {
		news = m.news.bounded(before, true)
	}
	voids := version > m.toldOf && slices.ContainsFunc(m.bounds, func(b Bound) bool {
		return b.Version <= version && m.newsOf(b).storeAway(c)
	})
	m.toldOf = max(m.toldOf, version)
	return (m.add(Bound{version, news}) || voids) && version <= m.named
}

// newsOf returns the bound's news with what others told: if one learned of that version or
// a later one, the store was not away for all.
func (m *Model) newsOf(bound Bound) News {
	return bound.news.bounded(bound.news.Before, bound.news.Told || bound.Version <= m.toldOf)
}

// add takes a bound and tells whether it adds to what is known.
func (m *Model) add(bound Bound) bool {
	at, found := slices.BinarySearchFunc(m.bounds, bound.Version, func(known Bound, version uint64) int {
		return cmp.Compare(known.Version, version)
	})
	switch {
	case found:
		known := m.bounds[at].news
		bound.news = known.joined(bound.news)
		if bound.news.Told == known.Told && bound.news.Before.Sub(known.Before) < boundStep {
			return false
		}
		m.bounds[at] = bound
	case at == 0 && len(m.bounds) == keptBounds:
		return false
	default:
		if at > 0 {
			bound.news.Before = Later(bound.news.Before, m.bounds[at-1].news.Before)
		}
		m.bounds = slices.Insert(m.bounds, at, bound)
	}
	// It holds for later versions too.
	for i := at + 1; i < len(m.bounds); i++ {
		m.bounds[i].news.Before = Later(m.bounds[i].news.Before, bound.news.Before)
	}
	m.bounds = slices.Delete(m.bounds, 0, max(len(m.bounds)-keptBounds, 0))
	return true
}

// Deadlines returns the deadlines of older weights, by what is known of the namings.
func (m *Model) Deadlines(c Config) []backend.VersionDeadlines {
	var deadlines []backend.VersionDeadlines
	news := m.first
	for _, bound := range m.bounds {
		if bound.Version > m.named {
			break
		}
		if bound.Version > 1 {
			deadlines = append(deadlines, backend.VersionDeadlines{BelowVersion: bound.Version - 1, Deadlines: Older(c, news)})
		}
		news = m.newsOf(bound)
	}
	return append(deadlines, backend.VersionDeadlines{BelowVersion: m.named, Deadlines: Older(c, news)})
}

// OlderUntil returns when the oldest weights with a bound expire; without any, when all do.
func (m *Model) OlderUntil(c Config) time.Time {
	news := m.first
	if len(m.bounds) > 0 && m.bounds[0].Version <= m.named {
		news = m.newsOf(m.bounds[0])
	}
	return Older(c, news).Expiry
}

// Firm returns the bounds that may be told to others and are at most so old: those of a
// router that was not blind, or has been told itself.
func (m *Model) Firm(c Config, now time.Time, kept time.Duration) []Bound {
	var firm []Bound
	for _, bound := range m.bounds {
		known := bound.news.Told || !bound.news.blind(c)
		if bound.Version <= m.named && known && now.Sub(bound.news.Before) <= kept {
			firm = append(firm, bound)
		}
	}
	return firm
}
