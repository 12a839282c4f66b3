package simload

import (
	"container/list"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/prefix"
)

// origin is the actual origin of a block's content. No policy can access it; the
// checker uses it to detect wrong blocks.
type origin struct {
	team    ident.Team
	version ident.Version
}

// cachedBlock is a block in a cache or tier.
type cachedBlock struct {
	id     prefix.BlockID
	origin origin
	pins   int
	// generation is the generation of the slot on a store host.
	generation uint64
	where      *list.Element
}

// cache holds blocks and evicts the least recently used unpinned block.
type cache struct {
	capacity int
	blocks   map[prefix.BlockID]*cachedBlock
	recent   *list.List // of *cachedBlock, least recent at the back
	// onEvict is called for each evicted block. If nil, nothing is evicted.
	onEvict func(*cachedBlock)
}

func newCache(capacity int, onEvict func(*cachedBlock)) *cache {
	return &cache{
		capacity: capacity,
		blocks:   make(map[prefix.BlockID]*cachedBlock),
		recent:   list.New(),
		onEvict:  onEvict,
	}
}

// put adds a block. It returns nil if the cache is full and no block can be
// evicted.
func (c *cache) put(id prefix.BlockID, from origin) *cachedBlock {
	if h := c.blocks[id]; h != nil {
		c.recent.MoveToFront(h.where)
		return h
	}
	if len(c.blocks) >= c.capacity && !c.evict() {
		return nil
	}
	h := &cachedBlock{id: id, origin: from}
	h.where = c.recent.PushFront(h)
	c.blocks[id] = h
	return h
}

func (c *cache) evict() bool {
	if c.onEvict == nil {
		return false
	}
	for e := c.recent.Back(); e != nil; e = e.Prev() {
		h := e.Value.(*cachedBlock)
		if h.pins > 0 {
			continue
		}
		c.remove(h.id)
		c.onEvict(h)
		return true
	}
	return false
}

func (c *cache) remove(id prefix.BlockID) {
	if h := c.blocks[id]; h != nil {
		c.recent.Remove(h.where)
		delete(c.blocks, id)
	}
}

// longest returns the longest cached prefix of blocks.
func (c *cache) longest(blocks []prefix.BlockID) []*cachedBlock {
	var out []*cachedBlock
	for _, id := range blocks {
		h := c.blocks[id]
		if h == nil {
			break
		}
		out = append(out, h)
	}
	return out
}

// markUsed marks blocks as used, the first of the chain as most recent.
func (c *cache) markUsed(blocks []*cachedBlock) {
	for i := len(blocks) - 1; i >= 0; i-- {
		c.recent.MoveToFront(blocks[i].where)
	}
}
