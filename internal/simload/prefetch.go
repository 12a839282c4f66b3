package simload

import (
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/keep"
	"github.com/lovagereach/lovagereach/prefix"
	"github.com/lovagereach/lovagereach/upstream"
)

// prefetch imports the blocks of a prompt into the least loaded engine before the
// expected next request.
func (k *keeper) prefetch(f keep.Prefetch) {
	e := k.pickEngine(f.Scope)
	if e == nil {
		return
	}
	var sources []source
	var pins []keep.PinID
	for _, block := range f.Blocks {
		pin, ok := k.manager.Pin(k.entry.now(), f.Scope, block)
		if !ok {
			break
		}
		pins = append(pins, pin.ID)
		sources = append(sources, source{
			id:         block,
			store:      k.entry.cluster.stores[pin.Source.Store],
			generation: pin.Source.Copy.Generation,
			slow:       pin.Source.Copy.Tier == prefix.Disk,
		})
	}
	// No request waits for the blocks, so that they may be evicted again.
	noJob := &job{state: jobGone}
	k.entry.cluster.sim.startImport(e, noJob, sources, func(*importer) { k.unpin(pins) })
}

// pickEngine returns the least loaded engine with a free slot for the scope, nil if
// none.
func (k *keeper) pickEngine(scope prefix.Scope) *engine {
	en := k.entry
	var best *engine
	score := 0.0
	for _, dc := range en.cluster.sim.work.DataCentres {
		pool := upstream.EnginePool(ident.Cell{Model: theModel, DataCentre: dc}, scope.Version, "")
		for _, c := range en.registry.Pick(en.now(), k.random, pool, 1, nil) {
			// A prefetch is speculative and must not delay a caller.
			idle := c.Load.Requests < float64(c.Slots)
			if idle && (best == nil || c.Score < score) {
				best, score = en.cluster.engines[c.Upstream], c.Score
			}
		}
	}
	return best
}
