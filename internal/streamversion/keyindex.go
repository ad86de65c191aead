package streamversion

import "hash/maphash"

// slotNumber is the number of a slot of a keyIndex, from 1 on.
type slotNumber uint32

// noSlot is the number of no slot.
const noSlot slotNumber = 0

// keySlot holds a key. The entry of a free slot is 0.
type keySlot struct {
	key   Key
	entry tableEntry
	// next is the next slot of the same bucket, or the next free one, and nextExpiring is for the table.
	next, nextExpiring slotNumber
}

// keyIndex is a hash table with chains. It takes about half of the memory of a map and of slices with the same keys for each second.
type keyIndex struct {
	seed    maphash.Seed
	slots   []keySlot
	buckets []slotNumber
	free    slotNumber
	count   int
}

// minBuckets is the number of buckets of an empty index. It is a power of two, as is each later number.
const minBuckets = 64

func newKeyIndex() keyIndex {
	return keyIndex{seed: maphash.MakeSeed(), buckets: make([]slotNumber, minBuckets)}
}

func (x *keyIndex) slot(number slotNumber) *keySlot { return &x.slots[number-1] }

func (x *keyIndex) bucket(key Key) *slotNumber {
	return &x.buckets[maphash.Bytes(x.seed, key[:])&uint64(len(x.buckets)-1)]
}

// find returns the slot of the key, noSlot if there is none.
func (x *keyIndex) find(key Key) slotNumber {
	number := *x.bucket(key)
	for number != noSlot && x.slot(number).key != key {
		number = x.slot(number).next
	}
	return number
}

// add adds a key that the index does not have.
func (x *keyIndex) add(key Key, entry tableEntry) slotNumber {
	if x.count >= len(x.buckets) {
		x.grow()
	}
	number := x.free
	if number == noSlot {
		x.slots = append(x.slots, keySlot{})
		number = slotNumber(len(x.slots))
	} else {
		x.free = x.slot(number).next
	}
	bucket := x.bucket(key)
	*x.slot(number) = keySlot{key: key, entry: entry, next: *bucket}
	*bucket = number
	x.count++
	return number
}

// grow doubles the number of buckets.
func (x *keyIndex) grow() {
	x.buckets = make([]slotNumber, 2*len(x.buckets))
	for i := range x.slots {
		if slot := &x.slots[i]; slot.entry != 0 {
			bucket := x.bucket(slot.key)
			slot.next, *bucket = *bucket, slotNumber(i+1)
		}
	}
}

// remove frees the slot.
func (x *keyIndex) remove(number slotNumber) {
	slot := x.slot(number)
	link := x.bucket(slot.key)
	for *link != number {
		link = &x.slot(*link).next
	}
	*link = slot.next
	*slot = keySlot{next: x.free}
	x.free = number
	x.count--
	if x.count == 0 {
		*x = newKeyIndex()
	}
}
