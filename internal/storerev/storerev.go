// Package storerev orders what the platform's store tells.
//
// The store numbers its changes. When it comes back from a copy it has lost its latest
// changes and gives out their numbers again, so a number alone does not tell which of two
// changes is the later one. Its era rises by one then. A Revision holds both, the era in the
// high bits, as a transaction id of ZooKeeper does, so that revisions compare as whole
// numbers: in memory, between routers, and as fencing tokens at runners. Those of the first
// era are the store's plain numbers, which is what routers that know of no eras use.
//
// The package has no I/O and no clock.
package storerev

import (
	"github.com/gravitational/trace"
)

const (
	// numberBits is the width of the number: 35 years at a thousand changes a second.
	numberBits = 40
	// eraBits leave whole revisions exact where JSON numbers are read as floating point.
	eraBits = 53 - numberBits

	// MaxNumber and MaxEra bound what a Revision can hold.
	MaxNumber = 1<<numberBits - 1
	MaxEra    = 1 << eraBits

	// FirstEra is the era of a store that never came back from a copy, or that tells none.
	FirstEra = 1
)

// Revision is a position in the changes of the store. A higher one is the later one. The zero
// value is the position before all changes.
type Revision uint64

// New returns the revision of the number in the era; 0 stands for a store that tells no era.
func New(era, number uint64) (Revision, error) {
	era = max(era, FirstEra)
	if era > MaxEra || number > MaxNumber {
		return 0, trace.BadParameter("revision %d of era %d is out of range", number, era)
	}
	return Revision((era-FirstEra)<<numberBits | number), nil
}

// Era returns how often the store had come back from a copy, counted from FirstEra on.
func (r Revision) Era() uint64 { return uint64(r)>>numberBits + FirstEra }

// Number returns the number that the store itself counts by within the era.
func (r Revision) Number() uint64 { return uint64(r) & MaxNumber }

// StartOf returns the position before all changes of the era.
func StartOf(era uint64) Revision {
	start, err := New(min(era, MaxEra), 0)
	if err != nil {
		panic("storerev: " + err.Error())
	}
	return start
}

// WrittenAfter reports whether an object at the revision was surely written after the store had
// been at the position. The order of revisions does not show that across eras: the object may
// have come with the copy, and copies may be older than the era before.
func (r Revision) WrittenAfter(position Revision) bool {
	return r.Era() == position.Era() && r > position
}
