package entry

import (
	"context"
	"time"

	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/keep"
	"github.com/lovagereach/lovagereach/prefix"
)

// exportRun is one export in progress.
type exportRun struct {
	keeper *keeper
	plan   keep.Export
	store  port.Store
	// blocks maps a target's block to the planned block.
	blocks  map[port.BlockID]keep.PlannedBlock
	targets map[port.BlockID]port.ExportTarget
}

// export reserves slots on the store, has the engine write them, and requests
// the store to commit what was written. The store arbitrates between entries: a
// block that several entries export at once is reserved only once.
func (k *keeper) export(ctx context.Context, plan keep.Export) {
	storeAddress, storeKnown := k.address(plan.Store)
	engineAddress, engineKnown := k.address(plan.Runner)
	if !storeKnown || !engineKnown {
		k.failAll(plan.Blocks, keep.FailedStore)
		return
	}
	run := &exportRun{
		keeper:  k,
		plan:    plan,
		store:   k.entry.options.Upstreams.Store(storeAddress),
		blocks:  make(map[port.BlockID]keep.PlannedBlock, len(plan.Blocks)),
		targets: make(map[port.BlockID]port.ExportTarget, len(plan.Blocks)),
	}
	targets := run.reserveAll(ctx, storeAddress)
	if len(targets) == 0 {
		return
	}
	result, err := k.entry.options.Upstreams.Engine(engineAddress).Export(ctx, port.ExportRequest{
		Model:   plan.Scope.Model,
		Version: plan.Scope.Version,
		Adapter: plan.Scope.Adapter,
		Targets: targets,
	})
	if err != nil {
		k.logFailure(ctx, "export", err)
	}
	for _, block := range result.Written {
		run.commit(ctx, block)
	}
	// The remaining targets were not written or not reported by the engine.
	for id := range run.targets {
		run.fail(id, keep.FailedEngine)
	}
}

// reserveAll reserves slots until one is refused: a block is useless without
// the preceding ones.
func (r *exportRun) reserveAll(ctx context.Context, address string) []port.ExportTarget {
	var targets []port.ExportTarget
	for i, block := range r.plan.Blocks {
		id := port.BlockID(block.Block.String())
		r.blocks[id] = block
		reservation, err := r.store.Reserve(ctx, port.ReserveRequest{
			Block:    id,
			Team:     r.plan.Scope.Team,
			Bytes:    block.Bytes,
			Tier:     portTier(r.plan.Tier),
			Lifetime: reservationLifetime,
		})
		if err != nil {
			r.keeper.logFailure(ctx, "reserve", err)
			r.keeper.failAll(r.plan.Blocks[i:], keep.FailedStore)
			return targets
		}
		if r.recordReservation(block, reservation) != keep.Write {
			continue
		}
		target := port.ExportTarget{
			Block:      id,
			Store:      r.plan.Store,
			Address:    address,
			Slot:       reservation.State.Slot,
			Generation: reservation.State.Generation,
		}
		r.targets[id] = target
		targets = append(targets, target)
	}
	return targets
}

func (r *exportRun) recordReservation(block keep.PlannedBlock, answer port.Reservation) keep.Step {
	r.keeper.entry.mu.Lock()
	defer r.keeper.entry.mu.Unlock()
	return r.keeper.manager.Reserved(time.Now(), block.ID, keep.Reservation{
		Granted:     answer.Granted,
		Full:        answer.Full,
		Committed:   answer.State.Phase == port.SlotCommitted,
		Incarnation: r.plan.StoreIncarnation,
		Copy:        anyCopyOf(answer.State),
	})
}

// commit requests the store to verify and commit one written block.
func (r *exportRun) commit(ctx context.Context, written port.ExportedBlock) {
	target, ok := r.targets[written.Block]
	if !ok {
		return // not requested
	}
	delete(r.targets, written.Block)
	block := r.blocks[written.Block]
	e := r.keeper.entry
	e.mu.Lock()
	step := r.keeper.manager.Written(time.Now(), block.ID, written.Bytes, written.Checksum)
	e.mu.Unlock()
	if step != keep.Commit {
		return
	}
	state, err := r.store.Commit(ctx, port.CommitRequest{
		Block:      written.Block,
		Slot:       target.Slot,
		Generation: target.Generation,
		Bytes:      written.Bytes,
		Checksum:   written.Checksum,
	})
	if err != nil {
		r.keeper.logFailure(ctx, "commit", err)
		r.fail(written.Block, keep.FailedStore)
		return
	}
	e.mu.Lock()
	committed := r.keeper.manager.Committed(time.Now(), block.ID, anyCopyOf(state))
	e.mu.Unlock()
	if committed {
		e.counts.exportedBlocks.Inc()
		e.counts.exportedBytes.Add(int(written.Bytes))
	}
}

func (r *exportRun) fail(id port.BlockID, failure keep.Failure) {
	r.keeper.entry.mu.Lock()
	defer r.keeper.entry.mu.Unlock()
	r.keeper.manager.Failed(time.Now(), r.blocks[id].ID, failure)
}

// anyCopyOf converts a slot in any phase to a copy.
func anyCopyOf(state port.SlotState) prefix.Copy {
	return prefix.Copy{
		Slot:       state.Slot,
		Generation: state.Generation,
		Bytes:      state.Bytes,
		Checksum:   state.Checksum,
		Tier:       tierOf(state.Tier),
	}
}
