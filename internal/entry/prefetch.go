package entry

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/keep"
	"github.com/lovagereach/lovagereach/prefix"
	"github.com/lovagereach/lovagereach/upstream"
)

// pins maps blocks to the pins on their copies during one import.
type pins map[port.BlockID]keep.PinID

// pin pins each copy that this entry keeps, so that it isn't freed while the
// engine reads it, and removes copies that may no longer be read from sources.
// Copies kept by other entries are not pinned: if such a slot has been freed,
// the store refuses its generation, which costs a recomputation. The caller
// holds the mutex.
func (k *keeper) pin(now time.Time, scope prefix.Scope, sources []port.BlockSource) ([]port.BlockSource, pins) {
	pinned := make(pins, len(sources))
	readable := sources[:0]
	for _, source := range sources {
		block, err := prefix.ParseBlockID(string(source.Block))
		if err != nil {
			continue
		}
		if k.manager.Phase(block) == keep.Absent {
			readable = append(readable, source)
			continue
		}
		pin, ok := k.manager.Pin(now, scope, block)
		if !ok || pin.Source.Store != source.Store || pin.Source.Copy.Generation != source.Generation {
			if ok {
				k.manager.Unpin(now, pin.ID, 0)
			}
			continue
		}
		pinned[source.Block] = pin.ID
		readable = append(readable, source)
	}
	return readable, pinned
}

// unpin releases the pins. Copies of blocks in missing are dropped, since the
// directory was wrong about them.
func (k *keeper) unpin(pinned pins, missing []port.BlockID) {
	if len(pinned) == 0 {
		return
	}
	k.entry.mu.Lock()
	defer k.entry.mu.Unlock()
	now := time.Now()
	for _, block := range missing {
		if id, ok := pinned[block]; ok {
			k.manager.Unpin(now, id, keep.FailedVerify)
			delete(pinned, block)
		}
	}
	for _, id := range pinned {
		k.manager.Unpin(now, id, 0)
	}
}

// prefetch imports a prompt into the least loaded engine before the prompt's
// expected return.
func (k *keeper) prefetch(ctx context.Context, plan keep.Prefetch) {
	e := k.entry
	request, err := ident.NewRequest(rand.Reader)
	if err != nil {
		return
	}
	e.mu.Lock()
	engine, ok := k.pickEngine(plan.Scope)
	var sources []port.BlockSource
	var pinned pins
	if ok {
		sources, pinned = k.pin(time.Now(), plan.Scope, k.sourcesOf(plan.Blocks))
	}
	e.mu.Unlock()
	defer func() { k.unpin(pinned, nil) }()
	if len(sources) == 0 {
		return
	}
	result, err := e.options.Upstreams.Engine(engine.Address).Import(ctx, port.ImportRequest{
		Request: request,
		Model:   plan.Scope.Model,
		Version: plan.Scope.Version,
		Adapter: plan.Scope.Adapter,
		Sources: sources,
	})
	if err != nil {
		k.logFailure(ctx, "prefetch", err)
		return
	}
	e.counts.prefetchedBlocks.Add(len(result.Present))
}

// pickEngine returns the least loaded engine with a free slot for the scope.
// The caller holds the mutex.
func (k *keeper) pickEngine(scope prefix.Scope) (upstream.Candidate, bool) {
	e := k.entry
	var picks []upstream.Candidate
	for _, centre := range e.centres[poolKey{model: scope.Model}] {
		key := upstream.EnginePool(ident.Cell{Model: scope.Model, DataCentre: centre}, scope.Version, scope.Adapter)
		picks = e.registry.Pick(time.Now(), e.options.Random, key, 1, picks)
	}
	var best upstream.Candidate
	found := false
	for _, pick := range picks {
		// A prefetch is speculative and must not delay a caller.
		idle := pick.Load.Requests < float64(pick.Slots)
		if idle && (!found || pick.Score < best.Score) {
			best, found = pick, true
		}
	}
	return best, found
}

// sourcesOf returns the copies of the blocks, up to the first that has none.
// The caller holds the mutex.
func (k *keeper) sourcesOf(blocks []prefix.BlockID) []port.BlockSource {
	var out []port.BlockSource
	for _, block := range blocks {
		source, ok := k.manager.Source(block)
		f := k.entry.followed[source.Store]
		if !ok || f == nil {
			break
		}
		out = append(out, sourceOf(block, source.Store, f.address, source.Copy))
	}
	return out
}

func sourceOf(block prefix.BlockID, store ident.Upstream, address string, kept prefix.Copy) port.BlockSource {
	return port.BlockSource{
		Block:      port.BlockID(block.String()),
		Store:      store,
		Address:    address,
		Slot:       kept.Slot,
		Generation: kept.Generation,
		Bytes:      kept.Bytes,
		Checksum:   kept.Checksum,
	}
}
