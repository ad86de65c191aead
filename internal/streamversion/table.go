// Package streamversion remembers at which software version of a service each stream began, so that the
// stream goes on only there.
//
// A Table holds the records of streams, and a History which versions served when. Resolve combines what
// several routers know of one stream. The package has no I/O and no clock.
package streamversion

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/clock"
)

// Origin is the software version of a service's runner that began a stream.
type Origin struct {
	Service, Version string
}

// Record tells where a stream began. It is kept until Expires.
type Record struct {
	Key Key
	// Alias is another key under which the stream is found, zero if there is none.
	Alias   Key
	Origin  Origin
	Expires time.Time
}

// keys returns the keys under which the stream is found.
func (r Record) keys() []Key {
	if r.Alias == (Key{}) {
		return []Key{r.Key}
	}
	return []Key{r.Key, r.Alias}
}

// Split returns a record for each key.
func (r Record) Split() (records []Record) {
	for _, key := range r.keys() {
		records = append(records, Record{Key: key, Origin: r.Origin, Expires: r.Expires})
	}
	return records
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

// Table holds records under a limited number of keys. The zero value is not usable. It is not safe for concurrent use.
type Table struct {
	limit int
	keys  keyIndex
	// origins holds each origin once, as streams are many and origins few, and numbers their indexes.
	origins []Origin
	numbers map[Origin]uint16
	// expiring holds the first key of those whose record expired in the second when they were added to it. A
	// renewed record moves when its old second is reached.
	expiring map[int64]slotNumber
	// nextSecond is the earliest second that may have keys.
	nextSecond int64
	// incompleteUntil is when the last record expires that was dropped before its time.
	incompleteUntil time.Time
	dropped         uint64
}

// tableEntry packs the index of the origin into the lowest 16 bits, and the Unix millisecond of the expiry into the others. The
// entries of a full table are most of a router's memory.
type tableEntry uint64

const originBits = 16

func newTableEntry(origin uint16, expires time.Time) tableEntry {
	// Rounded up, so that no record is forgotten too early.
	millis := (expires.UnixNano() + int64(time.Millisecond) - 1) / int64(time.Millisecond)
	return tableEntry(millis)<<originBits | tableEntry(origin)
}

func (e tableEntry) origin() uint16 { return uint16(e) }

func (e tableEntry) expires() time.Time { return time.UnixMilli(int64(e >> originBits)) }

// NewTable returns an empty table for at most limit keys.
func NewTable(limit int) *Table {
	return &Table{limit: limit, keys: newKeyIndex(), numbers: map[Origin]uint16{}, expiring: map[int64]slotNumber{}}
}

// Len returns the number of keys.
func (t *Table) Len() int { return t.keys.count }

// Dropped returns how many keys were dropped before their record expired.
func (t *Table) Dropped() uint64 { return t.dropped }

// IsComplete reports whether no unexpired record was dropped.
func (t *Table) IsComplete(now time.Time) bool { return !now.Before(t.incompleteUntil) }

// Add adds the record under each of its keys unless it has expired, and returns what that did to the first one.
func (t *Table) Add(now time.Time, record Record) AddResult {
	t.Prune(now)
	if !now.Before(record.Expires) {
		return Renewed
	}
	if record.Alias != (Key{}) {
		t.add(record.Alias, record)
	}
	return t.add(record.Key, record)
}

func (t *Table) add(key Key, record Record) AddResult {
	number, numbered := t.number(record.Origin)
	known := t.keys.find(key)
	switch {
	case known != noSlot && t.keys.slot(known).entry.origin() != number, !numbered:
		return Conflicting
	case known != noSlot:
		slot := t.keys.slot(known)
		slot.entry = max(slot.entry, newTableEntry(number, record.Expires))
		return Renewed
	}
	if t.keys.count >= t.limit {
		t.dropNext()
	}
	t.schedule(t.keys.add(key, newTableEntry(number, record.Expires)), record.Expires.Unix())
	return Added
}

// number returns the index of the origin, and false if there are too many.
func (t *Table) number(origin Origin) (uint16, bool) {
	number, found := t.numbers[origin]
	if found || len(t.origins) > math.MaxUint16 {
		return number, found
	}
	number = uint16(len(t.origins))
	t.origins, t.numbers[origin] = append(t.origins, origin), number
	return number, true
}

func (t *Table) schedule(number slotNumber, second int64) {
	t.keys.slot(number).nextExpiring = t.expiring[second]
	t.expiring[second] = number
	if len(t.expiring) == 1 || second < t.nextSecond {
		t.nextSecond = second
	}
}

// Find returns the record of the stream, and false if there is none.
func (t *Table) Find(now time.Time, key Key) (Record, bool) {
	number := t.keys.find(key)
	if number == noSlot || !now.Before(t.keys.slot(number).entry.expires()) {
		return Record{}, false
	}
	return t.record(key, t.keys.slot(number).entry), true
}

func (t *Table) record(key Key, entry tableEntry) Record {
	return Record{Key: key, Origin: t.origins[entry.origin()], Expires: entry.expires()}
}

// Records returns all unexpired records, one for each key, sorted by key.
func (t *Table) Records(now time.Time) []Record {
	t.Prune(now)
	records := make([]Record, 0, t.keys.count)
	for _, slot := range t.keys.slots {
		if now.Before(slot.entry.expires()) {
			records = append(records, t.record(slot.key, slot.entry))
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return slices.Compare(a.Key[:], b.Key[:]) })
	return records
}

// Prune removes the records that expired before the current second.
func (t *Table) Prune(now time.Time) {
	for len(t.expiring) > 0 && t.nextSecond < now.Unix() {
		number := t.expiring[t.nextSecond]
		delete(t.expiring, t.nextSecond)
		t.advance()
		for number != noSlot {
			next := t.keys.slot(number).nextExpiring
			t.removeOrReschedule(number, now)
			number = next
		}
	}
	if t.keys.count == 0 {
		t.origins = nil
		clear(t.numbers)
	}
}

// advance sets nextSecond to the next second with keys.
func (t *Table) advance() {
	if len(t.expiring) > 0 {
		t.nextSecond = slices.Min(slices.Collect(maps.Keys(t.expiring)))
	}
}

// removeOrReschedule removes the key if its record has expired, and otherwise schedules it again.
func (t *Table) removeOrReschedule(number slotNumber, now time.Time) {
	expires := t.keys.slot(number).entry.expires()
	if now.Before(expires) {
		t.schedule(number, expires.Unix())
		return
	}
	t.keys.remove(number)
}

// dropNext removes a key of those whose records expire next.
func (t *Table) dropNext() {
	for len(t.expiring) > 0 {
		second, number := t.nextSecond, t.expiring[t.nextSecond]
		slot := t.keys.slot(number)
		if t.expiring[second] = slot.nextExpiring; slot.nextExpiring == noSlot {
			delete(t.expiring, second)
		}
		t.advance()
		expires := slot.entry.expires()
		if expires.Unix() > second {
			// It was renewed.
			t.schedule(number, expires.Unix())
			continue
		}
		t.keys.remove(number)
		t.dropped++
		t.incompleteUntil = clock.Later(t.incompleteUntil, expires)
		return
	}
}
