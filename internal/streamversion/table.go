// Package streamversion remembers at which software version of a service each stream began, so that the
// stream goes on only there.
//
// A Table holds the records of streams, and a History which versions served when. Resolve combines what
// several routers know of one stream. The package has no I/O and no clock.
package streamversion

import (
	"crypto/sha256"
	"maps"
	"slices"
	"time"
)

// keyBytes is the size of a Key. It makes collisions impracticable, also deliberate ones.
const keyBytes = 16

// Key identifies a stream.
type Key [keyBytes]byte

// NewKey returns the key of the stream that the tenant's request with the ID began.
func NewKey(tenant, id string) Key {
	hash := sha256.New()
	hash.Write([]byte(tenant))
	// A tenant's name has no zero byte.
	hash.Write([]byte{0})
	hash.Write([]byte(id))
	return Key(hash.Sum(nil)[:keyBytes])
}

// Origin is the software version of a service's runner that began a stream.
type Origin struct {
	Service, Version string
}

// Record tells where a stream began. It is kept until Expires.
type Record struct {
	Key     Key
	Origin  Origin
	Expires time.Time
}

// AddResult is what Table.Add did with a record.
type AddResult uint8

const (
	// Added means that the table had no record of the stream.
	Added AddResult = iota
	// Renewed means that the record is kept for longer.
	Renewed
	// Conflicting means that the stream has a record with another origin, which is kept.
	Conflicting
)

// String returns the name of the result in logs and metrics.
func (r AddResult) String() string { return [...]string{"added", "renewed", "conflicting"}[r] }

// Table holds a limited number of records. The zero value is not usable. It is not safe for concurrent use.
type Table struct {
	limit   int
	records map[Key]tableEntry
	// origins holds each origin once, as streams are many and origins few.
	origins map[Origin]*Origin
	// expiring holds the keys by the second in which their record expired when they were added to it. A
	// renewed record moves when its old second is reached.
	expiring map[int64][]Key
	// nextSecond is the earliest second that may have keys.
	nextSecond int64
	// incompleteUntil is when the last record expires that was dropped before its time.
	incompleteUntil time.Time
	dropped         uint64
}

type tableEntry struct {
	origin  *Origin
	expires int64
}

// NewTable returns an empty table for at most limit records.
func NewTable(limit int) *Table {
	return &Table{limit: limit, records: map[Key]tableEntry{}, origins: map[Origin]*Origin{}, expiring: map[int64][]Key{}}
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Dropped returns how many records were dropped before they expired.
func (t *Table) Dropped() uint64 { return t.dropped }

// IsComplete reports whether no unexpired record was dropped.
func (t *Table) IsComplete(now time.Time) bool { return !now.Before(t.incompleteUntil) }

// Add adds the record unless it has expired.
func (t *Table) Add(now time.Time, record Record) AddResult {
	t.Prune(now)
	if !now.Before(record.Expires) {
		return Renewed
	}
	known, found := t.records[record.Key]
	switch {
	case found && *known.origin != record.Origin:
		return Conflicting
	case found:
		known.expires = max(known.expires, record.Expires.UnixNano())
		t.records[record.Key] = known
		return Renewed
	}
	if len(t.records) >= t.limit {
		t.dropNext()
	}
	t.records[record.Key] = tableEntry{origin: t.intern(record.Origin), expires: record.Expires.UnixNano()}
	t.schedule(record.Key, record.Expires.Unix())
	return Added
}

// intern returns the one copy of the origin.
func (t *Table) intern(origin Origin) *Origin {
	if known := t.origins[origin]; known != nil {
		return known
	}
	t.origins[origin] = &origin
	return &origin
}

func (t *Table) schedule(key Key, second int64) {
	t.expiring[second] = append(t.expiring[second], key)
	if len(t.expiring) == 1 || second < t.nextSecond {
		t.nextSecond = second
	}
}

// Find returns the record of the stream, and false if there is none.
func (t *Table) Find(now time.Time, key Key) (Record, bool) {
	entry, found := t.records[key]
	if !found || now.UnixNano() >= entry.expires {
		return Record{}, false
	}
	return entry.record(key), true
}

func (e tableEntry) record(key Key) Record {
	return Record{Key: key, Origin: *e.origin, Expires: time.Unix(0, e.expires)}
}

// Records returns all unexpired records, sorted by key.
func (t *Table) Records(now time.Time) []Record {
	t.Prune(now)
	records := make([]Record, 0, len(t.records))
	for key, entry := range t.records {
		if now.UnixNano() < entry.expires {
			records = append(records, entry.record(key))
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return slices.Compare(a.Key[:], b.Key[:]) })
	return records
}

// Prune removes the records that expired before the current second.
func (t *Table) Prune(now time.Time) {
	for len(t.expiring) > 0 && t.nextSecond < now.Unix() {
		second := t.nextSecond
		keys := t.expiring[second]
		delete(t.expiring, second)
		t.advance()
		for _, key := range keys {
			t.removeOrReschedule(key, now)
		}
	}
	if len(t.records) == 0 {
		clear(t.origins)
	}
}

// advance sets nextSecond to the next second with keys.
func (t *Table) advance() {
	if len(t.expiring) > 0 {
		t.nextSecond = slices.Min(slices.Collect(maps.Keys(t.expiring)))
	}
}

// removeOrReschedule removes the record if it has expired, and otherwise schedules it again.
func (t *Table) removeOrReschedule(key Key, now time.Time) {
	entry, found := t.records[key]
	switch {
	case !found:
	case now.UnixNano() >= entry.expires:
		delete(t.records, key)
	default:
		t.schedule(key, time.Unix(0, entry.expires).Unix())
	}
}

// dropNext removes a record of those that expire next.
func (t *Table) dropNext() {
	for len(t.expiring) > 0 {
		keys := t.expiring[t.nextSecond]
		key := keys[len(keys)-1]
		t.expiring[t.nextSecond] = keys[:len(keys)-1]
		if len(keys) == 1 {
			delete(t.expiring, t.nextSecond)
		}
		entry, found := t.records[key]
		if second := time.Unix(0, entry.expires).Unix(); found && second > t.nextSecond {
			// It was renewed.
			t.schedule(key, second)
			t.advance()
			continue
		}
		t.advance()
		if !found {
			continue
		}
		delete(t.records, key)
		t.dropped++
		if expires := time.Unix(0, entry.expires); expires.After(t.incompleteUntil) {
			t.incompleteUntil = expires
		}
		return
	}
}
