package porttest

import (
	"context"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/outcome"
)

func reserve(block port.BlockID, bytes int64) port.ReserveRequest {
	return port.ReserveRequest{Block: block, Team: "growers", Bytes: bytes, Tier: port.TierMemory, Lifetime: time.Minute}
}

// storeBlock exports block b1 of a prompt from the engine's cache to the store and
// commits it.
func storeBlock(t *testing.T, ctx context.Context, p pair) port.SlotState {
	t.Helper()
	if _, _, err := collect(ctx, p.engine, prompt(1)); err != nil {
		t.Fatal(err)
	}
	reservation, err := p.store.Reserve(ctx, reserve("b1", p.blockBytes))
	if err != nil || !reservation.Granted {
		t.Fatalf("reserve: %+v, %v", reservation, err)
	}
	written := export(t, ctx, p, reservation.State)
	state, err := p.store.Commit(ctx, port.CommitRequest{
		Block:      "b1",
		Slot:       reservation.State.Slot,
		Generation: reservation.State.Generation,
		Bytes:      written.Bytes,
		Checksum:   written.Checksum,
	})
	if err != nil || state.Phase != port.SlotCommitted {
		t.Fatalf("commit: %+v, %v", state, err)
	}
	return state
}

func export(t *testing.T, ctx context.Context, p pair, slot port.SlotState) port.ExportedBlock {
	t.Helper()
	result, err := p.engine.Export(ctx, port.ExportRequest{
		Model:   testModel,
		Version: testVersion,
		Targets: []port.ExportTarget{{Block: slot.Block, Address: p.storeAddress, Slot: slot.Slot, Generation: slot.Generation}},
	})
	if err != nil || len(result.Written) != 1 {
		t.Fatalf("export: %+v, %v", result, err)
	}
	return result.Written[0]
}

func source(p pair, state port.SlotState) port.BlockSource {
	return port.BlockSource{
		Block:      state.Block,
		Address:    p.storeAddress,
		Slot:       state.Slot,
		Generation: state.Generation,
		Bytes:      state.Bytes,
		Checksum:   state.Checksum,
	}
}

// A block that an entry lists as a source may be freed, reused, damaged or incomplete
// when an engine reads it. The engine must report it as missing, so that the prompt is
// recomputed, and must never use it.
func TestImportAcceptsOnlyCommittedBlocks(t *testing.T) {
	cases := map[string]struct {
		change  func(*port.BlockSource)
		free    bool
		present int
	}{
		"as committed":      {present: 1},
		"other generation":  {change: func(s *port.BlockSource) { s.Generation++ }},
		"other slot":        {change: func(s *port.BlockSource) { s.Slot += "x" }},
		"other checksum":    {change: func(s *port.BlockSource) { s.Checksum++ }},
		"shorter":           {change: func(s *port.BlockSource) { s.Bytes-- }},
		"longer":            {change: func(s *port.BlockSource) { s.Bytes++ }},
		"unreachable store": {change: func(s *port.BlockSource) { s.Address = "127.0.0.1:1" }},
		"freed meanwhile":   {free: true},
	}
	for name, open := range pairs {
		for change, c := range cases {
			t.Run(name+"/"+change, func(t *testing.T) {
				p := open(t)
				ctx := plainContext(t)
				state := storeBlock(t, ctx, p)
				from := source(p, state)
				from.Block = "b1"
				if c.change != nil {
					c.change(&from)
				}
				if c.free {
					if err := p.store.Free(ctx, "b1", state.Generation); err != nil {
						t.Fatal(err)
					}
				}
				reader := p.secondEngine(t)
				result, err := reader.Import(ctx, port.ImportRequest{Model: testModel, Version: testVersion, Sources: []port.BlockSource{from}})
				if err != nil || len(result.Present) != c.present || len(result.Missing) != 1-c.present {
					t.Errorf("import: %+v, %v; want %d present", result, err, c.present)
				}
			})
		}
	}
}

// An engine crashes during an export, or a commit is requested for a slot that was not
// written. The store must not make the slot readable.
func TestCommitRefusesUnwrittenSlots(t *testing.T) {
	for name, open := range pairs {
		t.Run(name, func(t *testing.T) {
			p := open(t)
			ctx := plainContext(t)
			reservation, err := p.store.Reserve(ctx, reserve("b1", p.blockBytes))
			if err != nil {
				t.Fatal(err)
			}
			commit := port.CommitRequest{Block: "b1", Slot: reservation.State.Slot, Generation: reservation.State.Generation, Bytes: p.blockBytes}
			_, err = p.store.Commit(ctx, commit)
			wantKind(t, err, outcome.KindFailed)
			states, err := p.store.Stat(ctx, []port.BlockID{"b1", "b2"})
			if err != nil || states[0].Phase != port.SlotReserved || states[1].Phase != port.SlotAbsent {
				t.Errorf("stat: %+v, %v", states, err)
			}
		})
	}
}

// Two entries decide to keep the same block. Only one may write it; the other must get
// the state of the existing slot.
func TestReserveArbitrates(t *testing.T) {
	for name, open := range pairs {
		t.Run(name, func(t *testing.T) {
			p := open(t)
			ctx := plainContext(t)
			first, err := p.store.Reserve(ctx, reserve("b1", p.blockBytes))
			if err != nil || !first.Granted {
				t.Fatalf("first: %+v, %v", first, err)
			}
			second, err := p.store.Reserve(ctx, reserve("b1", p.blockBytes))
			if err != nil || second.Granted || second.State != first.State {
				t.Errorf("second: %+v, %v; want the slot %+v", second, err, first.State)
			}
			full, err := p.store.Reserve(ctx, reserve("b2", 8*p.blockBytes))
			if err != nil || !full.Full || full.Granted {
				t.Errorf("over capacity: %+v, %v", full, err)
			}
			if err := p.store.Free(ctx, "b1", first.State.Generation+1); outcome.KindOf(err) != outcome.KindFailed {
				t.Errorf("free of another generation: %v", err)
			}
			if err := p.store.Free(ctx, "b1", first.State.Generation); err != nil {
				t.Errorf("free: %v", err)
			}
			again, err := p.store.Reserve(ctx, reserve("b1", p.blockBytes))
			if err != nil || !again.Granted || again.State.Generation <= first.State.Generation {
				t.Errorf("after free: %+v, %v; want a higher generation", again, err)
			}
		})
	}
}
