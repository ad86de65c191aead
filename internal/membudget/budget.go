// Package membudget bounds the memory that all open requests of a process hold together.
//
// A request, or a connection that waits for one, is a Holder. If there is no room for what it needs, it waits until others release
// theirs, and evicts holders that have not arrived whole yet: what is whole is kept until it has been served.
package membudget

import (
	"container/list"
	"sync"
	"time"
)

// Class is what a Holder waits for. It determines whether the Holder may be evicted.
type Class uint8

const (
	// Whole holders have arrived and are not evicted.
	Whole Class = iota
	// Idle connections have no request.
	Idle
	// ReceivingHead connections have a part of the head of a request.
	ReceivingHead
	// ReceivingBody requests have a part of their body.
	ReceivingBody
)

// String returns the name of the class in logs and metrics.
func (c Class) String() string {
	return [...]string{"whole", "idle connection", "head", "body"}[c]
}

const (
	// stallTime is how long nothing of a body arrives before its holder may be evicted.
	stallTime = 250 * time.Millisecond
	// maxWait is how long a holder waits for others to release memory before it evicts the oldest body, although that
	// is still arriving.
	maxWait = time.Second
	// checkInterval is how often a waiting holder looks for one that has stalled.
	checkInterval = 50 * time.Millisecond
)

// Config is the configuration of a Budget.
type Config struct {
	// Limit is the number of bytes that all holders together may have. The last Reserve of them are for holders of at most SmallBytes,
	// and for HoldNow, so that a few large holders do not keep all others out.
	Limit, Reserve, SmallBytes int64
	// Now returns the time.
	Now func() time.Time
	// OnEvict is called for each evicted holder, if it is set. It must not call the Budget.
	OnEvict func(class Class)
}

// Budget is what all holders share.
type Budget struct {
	config Config

	mutex sync.Mutex
	held  int64
	// leaving is the part of held that evicted holders have not released yet.
	leaving int64
	// holders are those that are registered, oldest first.
	holders *list.List
	// released is closed when a holder releases memory, and replaced.
	released chan struct{}
}

// Holder is a request or a connection that holds memory. It is released once.
type Holder struct {
	budget  *Budget
	evict   func()
	element *list.Element
	class   Class
	bytes   int64
	// arrivedAt is when something of it last arrived.
	arrivedAt time.Time
	isEvicted bool
}

// New returns a budget of which nothing is held.
func New(config Config) *Budget {
	return &Budget{config: config, holders: list.New(), released: make(chan struct{})}
}

// Held returns the number of bytes that all holders have.
func (b *Budget) Held() int64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.held
}

// Register adds a holder without memory. evict makes it release what it holds soon, must return at once and must not call the Budget.
func (b *Budget) Register(class Class, evict func()) *Holder {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	h := &Holder{budget: b, evict: evict, class: class, arrivedAt: b.config.Now()}
	h.element = b.holders.PushBack(h)
	return h
}

// SetClass records what the holder waits for now.
func (h *Holder) SetClass(class Class) {
	h.budget.mutex.Lock()
	defer h.budget.mutex.Unlock()
	h.class, h.arrivedAt = class, h.budget.config.Now()
}

// Arrived records that something of the holder has arrived.
func (h *Holder) Arrived() {
	h.budget.mutex.Lock()
	defer h.budget.mutex.Unlock()
	h.arrivedAt = h.budget.config.Now()
}

// IsEvicted reports whether the holder has been evicted.
func (h *Holder) IsEvicted() bool {
	h.budget.mutex.Lock()
	defer h.budget.mutex.Unlock()
	return h.isEvicted
}

// TryHold adds bytes to what the holder has, and reports whether there was room. It evicts nothing.
func (h *Holder) TryHold(bytes int64) bool {
	h.budget.mutex.Lock()
	defer h.budget.mutex.Unlock()
	return h.tryHold(bytes)
}

// limit returns the number of bytes up to which the holder may be given more. The mutex must be held.
func (h *Holder) limit(bytes int64) int64 {
	config := h.budget.config
	if h.bytes+bytes <= config.SmallBytes {
		return config.Limit
	}
	return config.Limit - config.Reserve
}

// HoldNow adds bytes to what the holder has. If there is no room, it evicts idle connections or heads instead of waiting, and counts on
// what they are about to release. It returns false if that does not make room.
func (h *Holder) HoldNow(bytes int64) bool {
	b := h.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for !h.isEvicted && b.held-b.leaving+bytes > b.config.Limit {
		if !b.evictOldest(func(other *Holder) bool { return other != h && (other.class == ReceivingHead || other.class == Idle) }) {
			return false
		}
	}
	if h.isEvicted {
		return false
	}
	b.held += bytes
	h.bytes += bytes
	return true
}

// Hold adds bytes to what the holder has, and waits until there is room for them. It returns false if the holder is evicted, if there is no
// room within maxWait and no other holder is older, or if done is closed.
func (h *Holder) Hold(done <-chan struct{}, bytes int64) bool {
	b, since := h.budget, h.budget.config.Now()
	for {
		b.mutex.Lock()
		if h.tryHold(bytes) {
			b.mutex.Unlock()
			return true
		}
		if h.isEvicted || bytes > h.limit(bytes) || !b.makeRoom(h, bytes, since) {
			b.mutex.Unlock()
			return false
		}
		released := b.released
		b.mutex.Unlock()
		select {
		case <-released:
		case <-time.After(checkInterval):
		case <-done:
			return false
		}
	}
}

// tryHold is TryHold. The mutex must be held.
func (h *Holder) tryHold(bytes int64) bool {
	b := h.budget
	if h.isEvicted || b.held+bytes > h.limit(bytes) {
		return false
	}
	b.held += bytes
	h.bytes += bytes
	h.arrivedAt = b.config.Now()
	return true
}

// makeRoom evicts holders until what is left makes room for the bytes of one that waits since the time. It returns false if the waiting
// one is itself the oldest. The mutex must be held.
func (b *Budget) makeRoom(waiting *Holder, bytes int64, since time.Time) bool {
	now := b.config.Now()
	isLate := now.Sub(since) >= maxWait
	for b.held-b.leaving+bytes > waiting.limit(bytes) {
		isVictim := func(h *Holder) bool {
			switch h.class {
			case Idle, ReceivingHead:
				return true
			case ReceivingBody:
				return h.bytes > 0 && (isLate || h != waiting && now.Sub(h.arrivedAt) >= stallTime)
			}
			return false
		}
		if !b.evictOldest(isVictim) {
			return !isLate
		}
		if waiting.isEvicted {
			return false
		}
	}
	return true
}

// evictOldest evicts the oldest holder with memory that may be a victim, and returns false if there is none. The mutex must be held.
func (b *Budget) evictOldest(isVictim func(*Holder) bool) bool {
	for element := b.holders.Front(); element != nil; element = element.Next() {
		h, _ := element.Value.(*Holder)
		if h.isEvicted || h.bytes == 0 || !isVictim(h) {
			continue
		}
		h.isEvicted = true
		b.leaving += h.bytes
		if b.config.OnEvict != nil {
			b.config.OnEvict(h.class)
		}
		h.evict()
		return true
	}
	return false
}

// Shrink releases some of what the holder has.
func (h *Holder) Shrink(bytes int64) {
	h.budget.mutex.Lock()
	defer h.budget.mutex.Unlock()
	h.shrink(bytes)
}

// ShrinkTo releases what the holder has above the number of bytes.
func (h *Holder) ShrinkTo(bytes int64) {
	h.budget.mutex.Lock()
	defer h.budget.mutex.Unlock()
	h.shrink(max(h.bytes-bytes, 0))
}

// Release releases all that the holder has and removes it.
func (h *Holder) Release() {
	b := h.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if h.element == nil {
		return
	}
	h.shrink(h.bytes)
	b.holders.Remove(h.element)
	h.element = nil
}

func (h *Holder) shrink(bytes int64) {
	b := h.budget
	h.bytes -= bytes
	b.held -= bytes
	if h.isEvicted {
		b.leaving -= bytes
	}
	if bytes > 0 {
		close(b.released)
		b.released = make(chan struct{})
	}
}
