package enginemodel

import (
	"container/list"

	"github.com/clovertiller/clovertiller/internal/engineapi"
	"github.com/clovertiller/clovertiller/internal/prefix"
)

// cachedBlock is a block of prompt tokens whose keys and values are cached.
type cachedBlock struct {
	block    engineapi.Block
	pinCount int
	// element is the block's element of evictionOrder, or nil while the block is pinned.
	element *list.Element
}

// blockCache is a cache of limited size that evicts the least recently used unpinned block. Of
// the blocks of a chain, it evicts deeper ones before shallower ones.
type blockCache struct {
	capacity int
	blocks   map[uint64]*cachedBlock
	// evictionOrder holds the unpinned blocks, least recently used first.
	evictionOrder *list.List
	// added and removed are the changes since the last call of Engine.TakeCacheChanges.
	added   []engineapi.Block
	removed []engineapi.Block
}

func newBlockCache(capacity int) *blockCache {
	return &blockCache{capacity: capacity, blocks: map[uint64]*cachedBlock{}, evictionOrder: list.New()}
}

// cachedDepth returns the number of blocks of the chain that are cached without a gap from its
// start.
func (c *blockCache) cachedDepth(chain prefix.Chain) int {
	for i, hash := range chain {
		if c.blocks[hash] == nil {
			return i
		}
	}
	return len(chain)
}

// pin protects a cached block from eviction until unpin. It returns false if the block isn't
// cached.
func (c *blockCache) pin(hash uint64) bool {
	cached := c.blocks[hash]
	if cached == nil {
		return false
	}
	if cached.element != nil {
		c.evictionOrder.Remove(cached.element)
		cached.element = nil
	}
	cached.pinCount++
	return true
}

// insert adds a block and pins it. It returns false if the cache is full of pinned blocks; the
// block is then computed but not cached.
func (c *blockCache) insert(block engineapi.Block) bool {
	if c.pin(block.Hash) {
		return true
	}
	if len(c.blocks) >= c.capacity && !c.evict() {
		return false
	}
	c.blocks[block.Hash] = &cachedBlock{block: block, pinCount: 1}
	c.added = append(c.added, block)
	return true
}

// evict removes the least recently used unpinned block. It returns false if there is none.
func (c *blockCache) evict() bool {
	oldest := c.evictionOrder.Front()
	if oldest == nil {
		return false
	}
	victim := oldest.Value.(*cachedBlock)
	c.evictionOrder.Remove(oldest)
	delete(c.blocks, victim.block.Hash)
	c.removed = append(c.removed, victim.block)
	return true
}

// unpin releases pinned blocks of a chain, which are given from its start on. It releases the
// deepest block first, so that the start of the chain, which other prompts share, is evicted last.
func (c *blockCache) unpin(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		cached := c.blocks[hashes[i]]
		if cached == nil || cached.pinCount == 0 {
			continue
		}
		cached.pinCount--
		if cached.pinCount == 0 {
			cached.element = c.evictionOrder.PushBack(cached)
		}
	}
}

// clear empties the cache. Cached blocks are useless after a load of new weights.
func (c *blockCache) clear() {
	for _, cached := range c.blocks {
		c.removed = append(c.removed, cached.block)
	}
	c.blocks = map[uint64]*cachedBlock{}
	c.evictionOrder.Init()
}

// allBlocks returns all cached blocks in no particular order.
func (c *blockCache) allBlocks() []engineapi.Block {
	blocks := make([]engineapi.Block, 0, len(c.blocks))
	for _, cached := range c.blocks {
		blocks = append(blocks, cached.block)
	}
	return blocks
}
