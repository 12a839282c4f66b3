package standin

import (
	"container/list"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
)

// content identifies the input from which a block was computed. A block may be
// used only for the same prompt prefix and the same weights.
type content struct {
	Model   ident.Model
	Version ident.Version
	Adapter ident.Adapter
	// Prefix is the hash of all tokens up to the end of the block.
	Prefix uint64
}

// blockCache is an engine's LRU cache of blocks. It is not safe for concurrent
// use.
type blockCache struct {
	capacity int
	recent   *list.List // of *cachedBlock, most recent first
	byID     map[port.BlockID]*list.Element
	onChange func(port.CacheEventKind, port.BlockID, *port.SlotState)
	wrong    uint64 // uses refused because the content differs
}

type cachedBlock struct {
	id      port.BlockID
	content content
}

func newBlockCache(capacity int, onChange func(port.CacheEventKind, port.BlockID, *port.SlotState)) *blockCache {
	return &blockCache{capacity: capacity, recent: list.New(), byID: make(map[port.BlockID]*list.Element), onChange: onChange}
}

// use reports whether the cache contains the block with this content, and marks
// it as recently used. A block with the same ID and other content is counted in
// wrong and not used: the request named a wrong block, which must never happen.
func (c *blockCache) use(id port.BlockID, want content) bool {
	element, ok := c.byID[id]
	if !ok {
		return false
	}
	if element.Value.(*cachedBlock).content != want {
		c.wrong++
		return false
	}
	c.recent.MoveToFront(element)
	return true
}

// get returns the content of a block without marking it as used.
func (c *blockCache) get(id port.BlockID) (content, bool) {
	element, ok := c.byID[id]
	if !ok {
		return content{}, false
	}
	return element.Value.(*cachedBlock).content, true
}

// put stores a block and evicts the least recently used ones beyond the
// capacity.
func (c *blockCache) put(id port.BlockID, value content) {
	if element, ok := c.byID[id]; ok {
		element.Value.(*cachedBlock).content = value
		c.recent.MoveToFront(element)
		return
	}
	for c.recent.Len() >= c.capacity {
		c.evictOldest()
	}
	c.byID[id] = c.recent.PushFront(&cachedBlock{id: id, content: value})
	c.onChange(port.CacheStored, id, nil)
}

func (c *blockCache) evictOldest() {
	oldest := c.recent.Back()
	id := oldest.Value.(*cachedBlock).id
	c.recent.Remove(oldest)
	delete(c.byID, id)
	c.onChange(port.CacheRemoved, id, nil)
}

func (c *blockCache) clear() {
	c.recent.Init()
	clear(c.byID)
	c.onChange(port.CacheCleared, "", nil)
}

func (c *blockCache) len() int  { return c.recent.Len() }
func (c *blockCache) free() int { return c.capacity - c.recent.Len() }

// states returns the states of all blocks, each with this size in bytes.
func (c *blockCache) states(bytes int64) []port.SlotState {
	states := make([]port.SlotState, 0, c.recent.Len())
	for element := c.recent.Front(); element != nil; element = element.Next() {
		id := element.Value.(*cachedBlock).id
		states = append(states, port.SlotState{Block: id, Phase: port.SlotCommitted, Bytes: bytes})
	}
	return states
}
