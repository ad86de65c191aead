package streamversion

import "time"

// Unrecorded holds the streams of a router that have no record, as they began while one version served, and that may still be taken up.
// It is not safe for concurrent use.
type Unrecorded struct {
	limit   int
	streams map[Key]Record
}

// NewUnrecorded returns an empty set of at most limit streams.
func NewUnrecorded(limit int) *Unrecorded {
	return &Unrecorded{limit: limit, streams: map[Key]Record{}}
}

// Add adds a stream by the record that it will get. A full set stays as it is.
func (u *Unrecorded) Add(record Record) {
	if len(u.streams) < u.limit {
		u.streams[record.Key] = record
	}
}

// Remove removes the stream, which is complete or has a record now.
func (u *Unrecorded) Remove(key Key) { delete(u.streams, key) }

// Take removes the streams of the services that are mixed now, and returns the records that they need.
func (u *Unrecorded) Take(now time.Time, isMixed func(service string) bool) (records []Record) {
	u.Prune(now)
	for key, record := range u.streams {
		if isMixed(record.Origin.Service) {
			delete(u.streams, key)
			records = append(records, record)
		}
	}
	return records
}

// Prune removes the streams that can't be taken up any more.
func (u *Unrecorded) Prune(now time.Time) {
	for key, record := range u.streams {
		if !now.Before(record.Expires) {
			delete(u.streams, key)
		}
	}
}
