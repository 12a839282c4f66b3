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

// cacheEvent is the first event of a life: it has stored a block.
func cacheEvent(id ident.Upstream, incarnation ident.Incarnation, block prefix.BlockID) port.CacheEvents {
	name := port.BlockID(block.String())
	return port.CacheEvents{Upstream: id, Incarnation: incarnation, Events: []port.CacheEvent{{
		Sequence: 1, Kind: port.CacheStored, Block: name,
		State: &port.SlotState{Block: name, Phase: port.SlotCommitted, Slot: "0", Generation: 3, Bytes: 10, Tier: port.TierMemory},
	}}}
}

// An engine and a store host start again, and their clocks have stepped back.
// What the entry knows of their caches must be that of the present lives, also
// after a late word of the former ones, and prompts must be kept again.
func TestCachesAreFollowedAfterClockStepsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const former, present = 9, 4
		b := newBench(t)
		store, engine := b.store(t, "cellar"), b.engine(t, "runner-1")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go b.Run(ctx)
		live := func(incarnation ident.Incarnation, length time.Duration) {
			store.life.number.Store(uint64(incarnation))
			engine.life.number.Store(uint64(incarnation))
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Second) {
				for _, message := range b.announced {
					message.Incarnation = incarnation
					if _, err := b.Announce(message); err != nil {
						t.Errorf("life %d is refused: %v", incarnation, err)
					}
				}
			}
		}
		blocks := b.blocks(t, testVersion)
		live(former, 3*time.Second)
		b.whole(t, 1)
		live(former, 5*time.Second)
		exported := len(store.commits)
		if exported == 0 {
			t.Fatal("the prompt is not kept in the former life")
		}
		time.Sleep(6 * time.Second)
		live(present, 3*time.Second)
		for _, id := range []ident.Upstream{"cellar", "runner-1"} {
			for _, late := range []port.CacheEvents{cacheEvent(id, former, blocks[1]), cacheEvent(id, present, blocks[0])} {
				if _, err := b.Events(late); err != nil {
					t.Error(err)
				}
			}
		}
		b.mu.Lock()
		directory := b.cells[ident.Cell{Model: testModel, DataCentre: testCentre}]
		if got := directory.Longest(blocks, nil); len(got) != 1 || got[0].Incarnation != present || got[0].Blocks != 1 {
			t.Errorf("the engine is thought to hold %+v, want one block of its present life", got)
		}
		if got := b.stores.Copies(blocks[0], nil); len(got) != 1 || got[0].Incarnation != present {
			t.Errorf("copies of the first block are %+v, want that of the present life", got)
		}
		if got := b.stores.Copies(blocks[1], nil); len(got) != 0 {
			t.Errorf("copies of the second block are %+v, want none", got)
		}
		b.mu.Unlock()
		b.whole(t, 2)
		live(present, 5*time.Second)
		cancel()
		synctest.Wait()
		if len(store.commits) == exported {
			t.Error("the prompt is not kept in the present life")
		}
		for _, block := range blocks {
			if phase := b.keeper.manager.Phase(block); phase != keep.Committed {
				t.Errorf("block %v is %v", block, phase)
			}
		}
	})
}
