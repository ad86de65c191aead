package enginemodel

import (
	"container/list"

	"github.com/clovertiller/clovertiller/internal/engineapi"
	"github.com/clovertiller/clovertiller/internal/prefix"
)

// cachedBlock is one block of a prompt's key-value cache.
type cachedBlock struct {
	block engineapi.Block
	pins  int
	// element is the block's place in the eviction order while unpinned.
	element *list.Element
}

// blockCache is a cache of limited size that evicts the least recently used
// unpinned block, deeper blocks of a chain before shallower ones.
type blockCache struct {
	capacity int
	blocks   map[uint64]*cachedBlock
	// order holds unpinned blocks, least recently used first.
	order   *list.List
	added   []engineapi.Block
	removed []engineapi.Block
}

func newBlockCache(capacity int) *blockCache {
	return &blockCache{capacity: capacity, blocks: map[uint64]*cachedBlock{}, order: list.New()}
}

// depth returns how many blocks from the start of the chain are cached.
func (c *blockCache) depth(chain prefix.Chain) int {
	for i, hash := range chain {
		if c.blocks[hash] == nil {
			return i
		}
	}
	return len(chain)
}

// pin keeps a cached block from eviction until unpin.
func (c *blockCache) pin(hash uint64) bool {
	cached := c.blocks[hash]
	if cached == nil {
		return false
	}
	if cached.element != nil {
		c.order.Remove(cached.element)
		cached.element = nil
	}
	cached.pins++
	return true
}

// insert adds a block, pinned. It returns false when every block is pinned and
// there is no room; the block is then computed but not kept.
func (c *blockCache) insert(block engineapi.Block) bool {
	if c.pin(block.Hash) {
		return true
	}
	if len(c.blocks) >= c.capacity && !c.evict() {
		return false
	}
	c.blocks[block.Hash] = &cachedBlock{block: block, pins: 1}
	c.added = append(c.added, block)
	return true
}

func (c *blockCache) evict() bool {
	oldest := c.order.Front()
	if oldest == nil {
		return false
	}
	victim := oldest.Value.(*cachedBlock)
	c.order.Remove(oldest)
	delete(c.blocks, victim.block.Hash)
	c.removed = append(c.removed, victim.block)
	return true
}

// unpin releases the first depth blocks of a chain, deepest first, so that the
// shared start of the chain is evicted last.
func (c *blockCache) unpin(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		cached := c.blocks[hashes[i]]
		if cached == nil || cached.pins == 0 {
			continue
		}
		cached.pins--
		if cached.pins == 0 {
			cached.element = c.order.PushBack(cached)
		}
	}
}

// clear empties the cache, as a load of new weights does.
func (c *blockCache) clear() {
	for _, cached := range c.blocks {
		c.removed = append(c.removed, cached.block)
	}
	c.blocks = map[uint64]*cachedBlock{}
	c.order.Init()
}

// list returns all cached blocks.
func (c *blockCache) list() []engineapi.Block {
	blocks := make([]engineapi.Block, 0, len(c.blocks))
	for _, cached := range c.blocks {
		blocks = append(blocks, cached.block)
	}
	return blocks
}
