package entry

import (
	"maps"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/prefix"
	"github.com/lovagereach/lovagereach/route"
)

// storeTier is one tier of a store host. A disk is slower than the host's link,
// so a read from the disk delays other reads from the disk but not reads from
// memory.
type storeTier struct {
	store ident.Upstream
	slow  bool
}

// fetchingBytes is the volume, in bytes, of this entry's imports in progress,
// by source and by destination.
type fetchingBytes struct {
	from map[storeTier]int64
	into map[ident.Upstream]int64
}

func newFetchingBytes() fetchingBytes {
	return fetchingBytes{from: make(map[storeTier]int64), into: make(map[ident.Upstream]int64)}
}

// fromStore returns the bytes being read from all tiers of a store host.
func (u fetchingBytes) fromStore(id ident.Upstream) int64 {
	return u.from[storeTier{store: id}] + u.from[storeTier{store: id, slow: true}]
}

// forget removes an upstream that is gone.
func (u fetchingBytes) forget(id ident.Upstream) {
	delete(u.from, storeTier{store: id})
	delete(u.from, storeTier{store: id, slow: true})
	delete(u.into, id)
}

func addBytes[K comparable](under map[K]int64, key K, bytes int64) {
	if under[key] += bytes; under[key] <= 0 {
		delete(under, key)
	}
}

// tierOf returns the tier from which the plan reads a source.
func (p plan) tierOf(source port.BlockSource) storeTier {
	return storeTier{store: source.Store, slow: p.slowBlocks[source.Block]}
}

func tierOfCopy(c prefix.StoredCopy) storeTier {
	return storeTier{store: c.Store, slow: c.Copy.Tier != prefix.Memory}
}

func tierOfRun(run route.Copy) storeTier { return storeTier{store: run.Store, slow: run.Slow} }

// slowOf returns the blocks whose copies are in a tier below memory.
func slowOf(decision route.Decision, located []prefix.StoredCopy) map[port.BlockID]bool {
	if len(decision.Parts) == 0 {
		return nil
	}
	var slow map[port.BlockID]bool
	for _, c := range located {
		if !tierOfCopy(c).slow || c.Store == "" {
			continue
		}
		if slow == nil {
			slow = make(map[port.BlockID]bool)
		}
		slow[port.BlockID(c.Block.String())] = true
	}
	return slow
}

// beginFetching counts the plan's imports as in progress and returns the
// previous volume by source.
func (e *Entry) beginFetching(p plan) map[storeTier]int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := maps.Clone(e.fetching.from)
	e.countFetching(p, 1)
	return before
}

func (e *Entry) endFetching(p plan) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.countFetching(p, -1)
}

func (e *Entry) countFetching(p plan, sign int64) {
	for _, source := range p.sources {
		addBytes(e.fetching.from, p.tierOf(source), sign*source.Bytes)
		addBytes(e.fetching.into, p.candidate.Upstream, sign*source.Bytes)
	}
}
