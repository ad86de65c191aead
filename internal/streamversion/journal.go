package streamversion

import (
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/clock"
)

// Segment is a part of a journal that is written to the store as one object.
type Segment struct {
	Number  int
	Records []Record
	// change identifies the state of the segment.
	change uint64
}

// Journal arranges the records that a router writes to the store in segments of a limited size. Only the newest
// segment changes, and the number of a segment is used again once all of its records have expired. It is not safe
// for concurrent use.
type Journal struct {
	segmentSize, maxSegments int
	segments                 []*journalSegment
	newest                   int
	dropped                  uint64
}

type journalSegment struct {
	records []Record
	// expires is when the last record expires.
	expires time.Time
	// change counts the changes, and written is its value in the store.
	change, written uint64
}

// NewJournal returns an empty journal with at most maxSegments segments of segmentSize records.
func NewJournal(segmentSize, maxSegments int) *Journal {
	return &Journal{segmentSize: segmentSize, maxSegments: maxSegments, segments: []*journalSegment{{}}}
}

// Dropped returns how many records were not added because all segments were full.
func (j *Journal) Dropped() uint64 { return j.dropped }

// Adopt adds the records of a segment that an earlier process of the router has written. If the segment has got other records
// meanwhile, it is to be written again with both.
func (j *Journal) Adopt(number int, records []Record) {
	if number < 0 || number >= j.maxSegments {
		return
	}
	for len(j.segments) <= number {
		j.segments = append(j.segments, &journalSegment{})
	}
	segment := j.segments[number]
	isStored := segment.change == segment.written && len(segment.records) == 0
	for _, record := range records {
		segment.add(record)
	}
	if isStored {
		segment.written = segment.change
	}
}

// Add adds a record.
func (j *Journal) Add(now time.Time, record Record) {
	if segment := j.segments[j.newest]; len(segment.records) >= j.segmentSize {
		segment.prune(now)
		if len(segment.records) >= j.segmentSize && !j.advance(now) {
			j.dropped++
			return
		}
	}
	j.segments[j.newest].add(record)
}

// advance makes a segment without unexpired records the newest one. It returns false if there is none.
func (j *Journal) advance(now time.Time) bool {
	for number, segment := range j.segments {
		if !segment.expires.After(now) {
			segment.records, j.newest = nil, number
			return true
		}
	}
	if len(j.segments) >= j.maxSegments {
		return false
	}
	j.newest = len(j.segments)
	j.segments = append(j.segments, &journalSegment{})
	return true
}

// Next returns a segment whose changes must be written, and false if there is none.
func (j *Journal) Next(now time.Time) (Segment, bool) {
	for number, segment := range j.segments {
		if segment.change != segment.written {
			segment.prune(now)
			return Segment{Number: number, Records: slices.Clone(segment.records), change: segment.change}, true
		}
	}
	return Segment{}, false
}

// Written records that the segment has been written.
func (j *Journal) Written(segment Segment) {
	j.segments[segment.Number].written = segment.change
}

func (s *journalSegment) add(record Record) {
	s.records = append(s.records, record)
	s.expires = clock.Later(s.expires, record.Expires)
	s.change++
}

func (s *journalSegment) prune(now time.Time) {
	s.records = slices.DeleteFunc(s.records, func(record Record) bool { return !record.Expires.After(now) })
}
