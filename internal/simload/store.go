package simload

import (
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/prefix"
)

// storeSpec holds the parameters shared by the store hosts of a workload.
type storeSpec struct {
	memoryBlocks, diskBlocks int
	linkRate, diskRate       float64 // bytes per second
}

// store is a store host with memory and disk behind a limited link. It evicts
// nothing itself; the entry that keeps blocks there frees them.
type store struct {
	name        ident.Upstream
	dc          ident.DataCentre
	incarnation ident.Incarnation
	link, disk  *link
	tiers       [prefix.TierCount]*cache
	reserved    map[prefix.BlockID]slot
	// writing is the number of reserved slots of each tier.
	writing [prefix.TierCount]int
	feed    feed
	alive   bool
	// full makes the host refuse new blocks.
	full bool
	// lastBusy is the link's busy time at the last report.
	lastBusy  time.Duration
	crashedAt time.Duration
	// generations is the number of slots granted over all incarnations of the
	// host.
	generations uint64
}

func newStore(s *sim, name ident.Upstream, dc ident.DataCentre, spec *storeSpec) *store {
	st := &store{
		name: name, dc: dc, incarnation: 1, alive: true,
		link:     &link{clock: &s.clock, rate: spec.linkRate},
		disk:     &link{clock: &s.clock, rate: spec.diskRate},
		reserved: make(map[prefix.BlockID]slot),
	}
	st.feed = newFeed(s, name)
	st.tiers[prefix.Memory] = newCache(spec.memoryBlocks, nil)
	st.tiers[prefix.Disk] = newCache(spec.diskBlocks, nil)
	return st
}

// slot is a reserved slot for one block.
type slot struct {
	tier       prefix.Tier
	generation uint64
}

func (st *store) reservedGeneration(id prefix.BlockID) uint64 { return st.reserved[id].generation }

// reservation is a store host's answer to a request for a slot.
type reservation uint8

const (
	granted reservation = iota
	tierFull
	inProgress
	alreadyStored
	unreachable
)

// reserve reserves a slot for a block. A block can be reserved by one writer at a
// time.
func (st *store) reserve(id prefix.BlockID, tier prefix.Tier) reservation {
	if !st.alive {
		return unreachable
	}
	if h, _ := st.find(id); h != nil {
		return alreadyStored
	}
	if _, ok := st.reserved[id]; ok {
		return inProgress
	}
	t := st.tiers[tier]
	if st.full || len(t.blocks)+st.writing[tier] >= t.capacity {
		return tierFull
	}
	st.generations++
	st.reserved[id] = slot{tier, st.generations}
	st.writing[tier]++
	return granted
}

// release removes a reservation.
func (st *store) release(id prefix.BlockID) {
	if s, ok := st.reserved[id]; ok {
		delete(st.reserved, id)
		st.writing[s.tier]--
	}
}

// commit makes a written block readable, unless the host has crashed since the
// reservation.
func (st *store) commit(id prefix.BlockID, from origin, incarnation ident.Incarnation) (prefix.Copy, bool) {
	s, ok := st.reserved[id]
	if !ok || !st.alive || st.incarnation != incarnation {
		return prefix.Copy{}, false
	}
	st.release(id)
	h := st.tiers[s.tier].put(id, from)
	h.generation = s.generation
	c := copyOf(h, s.tier)
	st.feed.stored(id, &c)
	return c, true
}

func copyOf(h *cachedBlock, tier prefix.Tier) prefix.Copy {
	return prefix.Copy{Slot: "slot", Generation: h.generation, Bytes: blockBytes, Checksum: 1, Tier: tier}
}

// find returns a committed block and its tier.
func (st *store) find(id prefix.BlockID) (*cachedBlock, prefix.Tier) {
	for tier, c := range st.tiers {
		if h := c.blocks[id]; h != nil {
			return h, prefix.Tier(tier)
		}
	}
	return nil, 0
}

// open returns a block and its tier if its generation is the given one.
func (st *store) open(id prefix.BlockID, generation uint64) (*cachedBlock, prefix.Tier) {
	h, tier := st.find(id)
	if !st.alive || h == nil || h.generation != generation {
		return nil, 0
	}
	return h, tier
}

// free releases a slot if its generation still matches.
func (st *store) free(id prefix.BlockID, generation uint64) bool {
	h, tier := st.open(id, generation)
	if h == nil {
		return false
	}
	st.tiers[tier].remove(id)
	st.feed.removed(id)
	return true
}

// list returns all committed blocks in a reproducible order.
func (st *store) list() []prefix.HeldBlock {
	var out []prefix.HeldBlock
	for tier, c := range st.tiers {
		for at := c.recent.Back(); at != nil; at = at.Prev() {
			h := at.Value.(*cachedBlock)
			copied := copyOf(h, prefix.Tier(tier))
			out = append(out, prefix.HeldBlock{Block: h.id, Copy: &copied})
		}
	}
	return out
}

// crash stops the host, which loses all blocks and reservations.
func (st *store) crash(at time.Duration) {
	st.crashedAt = at
	st.alive = false
	st.incarnation++
	st.feed.sequence = 0
	st.feed.batch = nil
	for _, tier := range st.tiers {
		clear(tier.blocks)
		tier.recent.Init()
	}
	clear(st.reserved)
	st.writing = [prefix.TierCount]int{}
}

// restart restarts the host, empty and as a new incarnation.
func (st *store) restart() { st.alive = true }
