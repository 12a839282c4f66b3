package simload

import (
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/keep"
	"github.com/lovagereach/lovagereach/prefix"
)

// A prompt is prefetched and no request uses it. Its blocks must be in one engine,
// and no copy may remain pinned; otherwise a store host could never free it.
func TestPrefetchImportsBlocks(t *testing.T) {
	r := Run{Workload: short(Merrimack()), Policy: PolicyLovage, Seed: 1}
	c := newCluster(r)
	s := newSim(r, c)
	s.policy.begin(s)
	s.clock.runUntil(3 * time.Second)
	k, st, e := c.entries[0].keeper, s.stores[0], s.engines[0]
	scope := prefix.Scope{Team: "florists", Model: theModel, Version: s.versionFor()}
	blocks := []prefix.BlockID{{1}, {2}, {3}}
	k.manager.RecordUse(k.entry.now(), keep.Use{Scope: scope, Class: "clock-questions", Blocks: blocks,
		Runner: e.name, RunnerIncarnation: e.incarnation, RunnerDataCentre: e.dc, BlockBytes: blockBytes})
	for _, block := range blocks {
		st.reserve(block, prefix.Memory)
		kept, ok := st.commit(block, origin{scope.Team, scope.Version}, st.incarnation)
		if !ok || !k.manager.Adopt(k.entry.now(), keep.Source{Block: block, Store: st.name, Incarnation: st.incarnation, Copy: kept}) {
			t.Fatalf("block %v is not kept", block)
		}
	}
	k.prefetch(keep.Prefetch{Scope: scope, Blocks: blocks})
	if reading := k.reading(); reading != int64(len(blocks))*blockBytes {
		t.Errorf("%d bytes are pinned while they are fetched", reading)
	}
	s.clock.runUntil(4 * time.Second)
	complete := 0
	for _, e := range s.engines {
		if len(e.cache.longest(blocks)) == len(blocks) {
			complete++
		}
	}
	if complete != 1 || k.reading() != 0 {
		t.Errorf("%d engines have the prompt, %d bytes remain pinned", complete, k.reading())
	}
}

// reading returns the number of pinned bytes on the store hosts.
func (k *keeper) reading() int64 {
	total := int64(0)
	for _, view := range k.manager.Stores(k.entry.now()) {
		total += view.Reading
	}
	return total
}
