package coldstart

import (
	"cmp"
	"math/bits"
	"slices"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/rendezvous"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

const (
	// pageObjects is the number of objects that a page has on average at most.
	pageObjects = 1024
	// maxPages bounds the number of pages.
	maxPages = 1 << 16
	// runnersPerService is the number of runners of each service in each page, if there are that many.
	runnersPerService = 4
)

// Position returns the position of a name on the ring of hashes.
func Position(name string) uint64 { return rendezvous.KeyOf(name) }

// Range is one of Count equal parts of the ring. Count is a power of two.
type Range struct{ Index, Count uint32 }

// rangeAt returns the range that contains the position.
func rangeAt(position uint64, count uint32) Range {
	shift := 64 - bits.Len32(count-1)
	return Range{Index: uint32(position >> shift), Count: count}
}

// IsValid reports whether the range is a part of the ring.
func (r Range) IsValid() bool {
	return r.Count > 0 && r.Count <= maxPages && bits.OnesCount32(r.Count) == 1 && r.Index < r.Count
}

// start returns the first position of the range.
func (r Range) start() uint64 { return uint64(r.Index) << (64 - bits.Len32(r.Count-1)) }

// next returns the first position after the range, 0 after the last one of the ring.
func (r Range) next() uint64 { return Range{(r.Index + 1) % r.Count, r.Count}.start() }

// Contains reports whether the position is in the range.
func (r Range) Contains(position uint64) bool { return rangeAt(position, r.Count) == r }

// Page is a part of a directory of runners.
type Page struct {
	// Range is the range of which the page has all objects. Its Count is 0 if there is none.
	Range Range
	// Objects are the objects of the range and a few others of each service.
	Objects []v1.Object
	// Through is the revision through which the objects are current.
	Through storerev.Revision
}

// Pager cuts a directory into pages. It is immutable.
type Pager struct {
	through storerev.Revision
	count   uint32
	// all holds the objects in the order of their positions, and byService those of each service.
	all       []positioned
	byService [][]positioned
	complete  bool
}

type positioned struct {
	position uint64
	object   v1.Object
}

// PagerConfig configures a Pager.
type PagerConfig struct {
	Objects []v1.Object
	// Through is the revision through which the objects are current.
	Through storerev.Revision
	// Complete is set if the objects are the whole directory.
	Complete bool
	// ServiceOf returns the service of the named runner, empty if it is unknown.
	ServiceOf func(name string) string
}

// NewPager returns a pager of the objects.
func NewPager(config PagerConfig) *Pager {
	p := &Pager{through: config.Through, complete: config.Complete, count: pageCount(len(config.Objects))}
	services := map[string][]positioned{}
	for _, object := range config.Objects {
		p.all = append(p.all, positioned{Position(object.Name), object})
	}
	slices.SortFunc(p.all, func(a, b positioned) int { return cmp.Compare(a.position, b.position) })
	for _, entry := range p.all {
		if service := config.ServiceOf(entry.object.Name); service != "" {
			services[service] = append(services[service], entry)
		}
	}
	for _, service := range services {
		p.byService = append(p.byService, service)
	}
	return p
}

// pageCount returns the number of pages of a directory with the given number of objects.
func pageCount(objects int) uint32 {
	count := uint32(1)
	for int(count)*pageObjects < objects && count < maxPages {
		count *= 2
	}
	return count
}

// Through returns the revision through which the pages are current.
func (p *Pager) Through() storerev.Revision { return p.through }

// IsComplete reports whether the pages make up the whole directory.
func (p *Pager) IsComplete() bool { return p.complete }

// RangeAt returns the range of the page that contains the position.
func (p *Pager) RangeAt(position uint64) Range { return rangeAt(position, p.count) }

// Page returns the page of the range, which RangeAt returned.
func (p *Pager) Page(r Range) Page {
	page := Page{Through: p.through}
	if p.complete {
		page.Range = r
	}
	first := search(p.all, r.start())
	for _, entry := range p.all[first:] {
		if !r.Contains(entry.position) {
			break
		}
		page.Objects = append(page.Objects, entry.object)
	}
	for _, service := range p.byService {
		page.Objects = append(page.Objects, missingOfService(service, r)...)
	}
	return page
}

// missingOfService returns the runners of a service that a page of the range needs beside those in the
// range. They are the next ones on the ring, so that pages of different ranges have different ones.
func missingOfService(service []positioned, r Range) (missing []v1.Object) {
	first := search(service, r.start())
	for i := range min(runnersPerService, len(service)) {
		entry := service[(first+i)%len(service)]
		if !r.Contains(entry.position) {
			missing = append(missing, entry.object)
		}
	}
	return missing
}

// search returns the index of the first entry at or after the position.
func search(entries []positioned, position uint64) int {
	index, _ := slices.BinarySearchFunc(entries, position, func(entry positioned, target uint64) int { return cmp.Compare(entry.position, target) })
	return index
}
