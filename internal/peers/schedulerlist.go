package peers

import (
	"slices"
	"time"
)

// listSourceTimeout is how long after the last answer of the source of a list other sources may replace
// the list. A router whose pull fails once pulls from another seed for a moment. That seed knows few
// followers of the region, and would name this router itself as the only scheduler. When a seed is
// lost, all routers of the region pull from the next one by the end of this time.
const listSourceTimeout = 2 * time.Second

// SchedulerList is the list of the own region's schedulers as one router received it. A
// SchedulerList is not safe for concurrent use.
type SchedulerList struct {
	digest    uint64
	addresses []string
	// source is the router that sent the list, and confirmedAt when it last answered a pull.
	source      string
	confirmedAt time.Time
}

// Digest returns the digest of the list, 0 without one.
func (l *SchedulerList) Digest() uint64 { return l.digest }

// Addresses returns the schedulers in the order in which to ask them.
func (l *SchedulerList) Addresses() []string { return slices.Clone(l.addresses) }

// RecordAnswer records that a router answered a pull without sending a list.
func (l *SchedulerList) RecordAnswer(now time.Time, source string) {
	if source == l.source {
		l.confirmedAt = now
	}
}

// Receive applies the list that a router sent, and reports whether the schedulers change. As long as
// the current list is usable, which means that one of its schedulers is not silent, it is replaced only
// by a list from its own source or, if that has been silent for a while, from another seed or relay.
// fromSeed is set for these: the list of any other router may be older than the current one.
func (l *SchedulerList) Receive(now time.Time, source string, fromSeed bool, digest uint64, addresses []string, usable bool) (changed bool) {
	isReplaceable := source == l.source || fromSeed && now.Sub(l.confirmedAt) >= listSourceTimeout
	if usable && len(l.addresses) > 0 && !isReplaceable {
		return false
	}
	changed = !slices.Equal(l.addresses, addresses)
	l.digest, l.addresses, l.source, l.confirmedAt = digest, slices.Clone(addresses), source, now
	return changed
}
