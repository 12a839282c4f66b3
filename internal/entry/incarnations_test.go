package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/keep"
	"github.com/lovagereach/lovagereach/prefix"
)

// firstStoredEvent returns the first cache event of an incarnation, which
// stores a block.
func firstStoredEvent(id ident.Upstream, incarnation ident.Incarnation, block prefix.BlockID) port.CacheEvents {
	name := port.BlockID(block.String())
	return port.CacheEvents{Upstream: id, Incarnation: incarnation, Events: []port.CacheEvent{{
		Sequence: 1, Kind: port.CacheStored, Block: name,
		State: &port.SlotState{Block: name, Phase: port.SlotCommitted, Slot: "0", Generation: 3, Bytes: 10, Tier: port.TierMemory},
	}}}
}

// An engine and a store host restart after their clocks have stepped back. The
// entry's view of their caches must be that of the current incarnations, also
// after delayed messages of the previous ones, and prompts must be kept again.
func TestCachesAreFollowedAfterClockStepsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const previous, current = 9, 4
		b := newTestEntry(t)
		store, engine := b.store(t, "cellar"), b.engine(t, "runner-1")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go b.Run(ctx)
		announceFor := func(incarnation ident.Incarnation, length time.Duration) {
			store.incarnation.number.Store(uint64(incarnation))
			engine.incarnation.number.Store(uint64(incarnation))
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Second) {
				for _, message := range b.announced {
					message.Incarnation = incarnation
					if _, err := b.Announce(message); err != nil {
						t.Errorf("incarnation %d was refused: %v", incarnation, err)
					}
				}
			}
		}
		blocks := b.blocks(t, testVersion)
		announceFor(previous, 3*time.Second)
		b.mustServe(t, 1)
		announceFor(previous, 5*time.Second)
		exported := len(store.commits)
		if exported == 0 {
			t.Fatal("the prompt was not kept in the previous incarnation")
		}
		time.Sleep(6 * time.Second)
		announceFor(current, 3*time.Second)
		for _, id := range []ident.Upstream{"cellar", "runner-1"} {
			for _, late := range []port.CacheEvents{firstStoredEvent(id, previous, blocks[1]), firstStoredEvent(id, current, blocks[0])} {
				if _, err := b.Events(late); err != nil {
					t.Error(err)
				}
			}
		}
		b.mu.Lock()
		directory := b.cells[ident.Cell{Model: testModel, DataCentre: testCentre}]
		if got := directory.Longest(blocks, nil); len(got) != 1 || got[0].Incarnation != current || got[0].Blocks != 1 {
			t.Errorf("the directory lists %+v for the engine, want one block of its current incarnation", got)
		}
		if got := b.stores.Copies(blocks[0], nil); len(got) != 1 || got[0].Incarnation != current {
			t.Errorf("copies of the first block are %+v, want one of the current incarnation", got)
		}
		if got := b.stores.Copies(blocks[1], nil); len(got) != 0 {
			t.Errorf("copies of the second block are %+v, want none", got)
		}
		b.mu.Unlock()
		b.mustServe(t, 2)
		announceFor(current, 5*time.Second)
		cancel()
		synctest.Wait()
		if len(store.commits) == exported {
			t.Error("the prompt was not kept in the current incarnation")
		}
		for _, block := range blocks {
			if phase := b.keeper.manager.Phase(block); phase != keep.Committed {
				t.Errorf("phase of block %v is %v", block, phase)
			}
		}
	})
}
