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

// firm tells whether the bound may be told to others: that of a router that was not blind,
// or has been told itself.
func (b weightBound) firm() bool { return !b.news.blind() || b.news.told }

// modelBounds are what is known of the namings of one model's weights.
type modelBounds struct {
	// named is the newest version that this router learned, 0 before, and news how.
	named uint64
	news  weightNews
	// bounds rise by version and by moment. There are keptBounds at most.
	bounds []weightBound
}

const (
	// keptBounds is how many bounds of a model are told apart: weights before all of them
	// are taken to have expired. With a second between namings they reach back for
	// twice the deadline of older weights on the deployments seen.
	keptBounds = 16
	// boundStep is by how much a bound has to be later than what is known to be taken. What
	// routers tell each other is inexact by the time of a message, 0.2 to 20 ms.
	boundStep = 50 * time.Millisecond
)

// learn takes the news of a version that is newer than all before.
func (m *modelBounds) learn(version uint64, news weightNews) {
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
	if version > m.named {
		m.add(weightBound{version, weightNews{before: before, told: true}})
		return false
	}
	return m.add(weightBound{version, m.news.bounded(before, true)})
}

// add takes a bound and tells whether it adds to what is known.
func (m *modelBounds) add(bound weightBound) bool {
	at, found := slices.BinarySearchFunc(m.bounds, bound.version, func(known weightBound, version uint64) int {
		return cmp.Compare(known.version, version)
	})
	end := at
	switch {
	case found:
		known := m.bounds[at].news
		bound.news = known.joined(bound.news)
		if bound.news.told == known.told && bound.news.before.Sub(known.before) < boundStep {
			return false
		}
		end++
	case at > 0 && bound.news.before.Sub(m.bounds[at-1].news.before) < boundStep:
		// The earlier version's bound says as much.
		return false
	}
	// It holds for later versions too, and replaces what is known of them but is not later.
	for end < len(m.bounds) && !m.bounds[end].news.before.After(bound.news.before) {
		end++
	}
	m.bounds = slices.Replace(m.bounds, at, end, bound)
	m.bounds = slices.Delete(m.bounds, 0, max(len(m.bounds)-keptBounds, 0))
	return true
}

// deadlines returns the deadlines of older weights, by what is known of the namings. Weights
// before all bounds have none left.
func (m *modelBounds) deadlines(settings Settings) []backend.VersionDeadlines {
	var deadlines []backend.VersionDeadlines
	news := m.news.bounded(time.Time{}, false)
	for _, bound := range m.bounds {
		if bound.version > m.named {
			break
		}
		if bound.version > 1 {
			deadlines = append(deadlines, backend.VersionDeadlines{Below: bound.version - 1, Deadlines: olderDeadlines(settings, news)})
		}
		news = bound.news
	}
	return append(deadlines, backend.VersionDeadlines{Below: m.named, Deadlines: olderDeadlines(settings, news)})
}

// olderUntil returns when the oldest weights with time left expire; without any, when all do.
func (m *modelBounds) olderUntil(settings Settings) time.Time {
	for _, bound := range m.bounds {
		if bound.version <= m.named {
			return olderDeadlines(settings, bound.news).Expired
		}
	}
	return olderDeadlines(settings, m.news.bounded(time.Time{}, false)).Expired
}

// firm returns the bounds that may be told to others and are at most so old.
func (m *modelBounds) firm(now time.Time, kept time.Duration) []weightBound {
	var firm []weightBound
	for _, bound := range m.bounds {
		if bound.version <= m.named && bound.firm() && now.Sub(bound.news.before) <= kept {
			firm = append(firm, bound)
		}
	}
	return firm
}
