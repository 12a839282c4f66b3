package entry

import (
	"maps"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/prefix"
	"github.com/lovagereach/lovagereach/route"
)

// storeTier is one tier of a store host. A disk is slower than the link behind
// which it sits, so what is being read from it delays no reader of the memory
// as it delays another of the disk.
type storeTier struct {
	store ident.Upstream
	slow  bool
}

// underWay is what own imports still move, in bytes.
type underWay struct {
	from map[storeTier]int64
	into map[ident.Upstream]int64
}

func newUnderWay() underWay {
	return underWay{from: make(map[storeTier]int64), into: make(map[ident.Upstream]int64)}
}

// store is what is being read from all tiers of a store host.
func (u underWay) store(id ident.Upstream) int64 {
	return u.from[storeTier{store: id}] + u.from[storeTier{store: id, slow: true}]
}

// forget drops an upstream that is gone.
func (u underWay) forget(id ident.Upstream) {
	delete(u.from, storeTier{store: id})
	delete(u.from, storeTier{store: id, slow: true})
	delete(u.into, id)
}

func moved[K comparable](under map[K]int64, key K, bytes int64) {
	if under[key] += bytes; under[key] <= 0 {
		delete(under, key)
	}
}

// tierOf tells from which tier the plan reads a source.
func (p plan) tierOf(source port.BlockSource) storeTier {
	return storeTier{store: source.Store, slow: p.slow[source.Block]}
}

func tierOfCopy(c prefix.StoredCopy) storeTier {
	return storeTier{store: c.Store, slow: c.Copy.Tier != prefix.Memory}
}

func tierOfRun(run route.Copy) storeTier { return storeTier{store: run.Store, slow: run.Slow} }

// slowOf names the blocks whose copies are on a tier below memory.
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

// beginFetching counts the plan's imports as under way and returns what was
// under way before.
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
		moved(e.fetching.from, p.tierOf(source), sign*source.Bytes)
		moved(e.fetching.into, p.candidate.Upstream, sign*source.Bytes)
	}
}
