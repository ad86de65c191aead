// Package storerev defines revisions that order the changes of the platform's store.
//
// The store numbers its changes. After a restore from a backup its latest changes are lost and
// their numbers are used again, so the number alone does not order two changes. Each restore
// therefore increments the era of the store. A Revision holds the era in its high bits and the
// number in its low bits, like a ZooKeeper transaction ID. Revisions can thus be compared as
// integers in memory, between routers, and as fencing tokens at runners. Revisions of the first
// era equal the plain numbers of the store, which routers without support for eras use.
//
// The package has no I/O and no clock.
package storerev

import (
	"github.com/gravitational/trace"
)

const (
	// numberBits is the width of the number. It lasts 35 years at 1000 changes per second.
	numberBits = 40
	// eraBits is the width of the era. A revision has 53 bits in total, so it stays exact where
	// JSON numbers are decoded as float64.
	eraBits = 53 - numberBits

	// MaxNumber and MaxEra are the largest number and era that a Revision can hold.
	MaxNumber = 1<<numberBits - 1
	MaxEra    = 1 << eraBits

	// FirstEra is the era of a store that was never restored from a backup, or that reports no
	// era.
	FirstEra = 1
)

// Revision is a position in the sequence of changes of the store. Later positions are higher.
// The zero value is the position before the first change.
type Revision uint64

// New returns the revision of a number in an era. Era 0 means that the store reports no era and
// is treated as FirstEra. New fails if the number or the era is out of range.
func New(era, number uint64) (Revision, error) {
	era = max(era, FirstEra)
	if era > MaxEra || number > MaxNumber {
		return 0, trace.BadParameter("revision %d of era %d is out of range", number, era)
	}
	return Revision((era-FirstEra)<<numberBits | number), nil
}

// Era returns the era of the revision: FirstEra plus the number of restores before it.
func (r Revision) Era() uint64 { return uint64(r)>>numberBits + FirstEra }

// Number returns the store's own change number within the era.
func (r Revision) Number() uint64 { return uint64(r) & MaxNumber }

// StartOf returns the position before the first change of the era. Eras above MaxEra are treated
// as MaxEra.
func StartOf(era uint64) Revision {
	start, err := New(min(era, MaxEra), 0)
	if err != nil {
		panic("storerev: " + err.Error())
	}
	return start
}

// WrittenAfter reports whether an object at revision r was certainly written after the store
// reached the position. Across eras the order of revisions does not show this, because the object
// may come from the backup, and a backup may be older than the previous era.
func (r Revision) WrittenAfter(position Revision) bool {
	return r.Era() == position.Era() && r > position
}
