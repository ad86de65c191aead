package coldstart

import "github.com/clovertiller/clovertiller/internal/storerev"

// Assembly tracks which pages of a directory a router has received until it has all of them. It follows
// the ring of hashes from the router's own position, so that each router begins with another page. The
// caller keeps the objects. An Assembly is not safe for concurrent use.
type Assembly struct {
	// start is where the followed ranges begin, and position where the next one does.
	start, position uint64
	hasRange        bool
	complete        bool
	through         storerev.Revision
	pages           int
}

// NewAssembly returns an assembly that begins at the position.
func NewAssembly(position uint64) *Assembly { return &Assembly{start: position, position: position} }

// Position returns the position that the next page must contain.
func (a *Assembly) Position() uint64 { return a.position }

// Through returns the revision through which the received objects are current, 0 before the first page.
func (a *Assembly) Through() storerev.Revision { return a.through }

// HasRange reports whether a page of a complete directory was received.
func (a *Assembly) HasRange() bool { return a.hasRange }

// Pages returns the number of received pages.
func (a *Assembly) Pages() int { return a.pages }

// IsComplete reports whether all pages were received.
func (a *Assembly) IsComplete() bool { return a.complete }

// Add records a received page.
func (a *Assembly) Add(page Page) {
	a.pages++
	if a.through == 0 || page.Through < a.through {
		a.through = page.Through
	}
	r := page.Range
	if !r.IsValid() || !r.Contains(a.position) {
		return
	}
	if !a.hasRange {
		a.hasRange, a.start, a.position = true, r.start(), r.start()
	}
	// Distances on the ring wrap around. The whole ring has the distance 0.
	advance, remaining := r.next()-a.position, a.start-a.position
	a.position = r.next()
	a.complete = a.complete || r.Count == 1 || remaining != 0 && advance >= remaining
}

// Advance records that the changes up to the revision were applied to all received objects. It returns
// false if changes after the previous revision are missing.
func (a *Assembly) Advance(from, through storerev.Revision) bool {
	if a.through == 0 || from > a.through || through.Era() != a.through.Era() {
		return false
	}
	a.through = max(a.through, through)
	return true
}
