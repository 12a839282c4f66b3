package entry

import (
	"context"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/prefix"
)

const (
	// maxRepairs bounds the queued snapshot reads. A read that is dropped
	// because the queue is full is requested again at the next tick.
	maxRepairs = 256
	// repairWorkers bounds the concurrent snapshot reads.
	repairWorkers = 2
	// repairTimeout bounds one snapshot read.
	repairTimeout = 5 * time.Second
	// missedTicks is the number of consecutive ticks without an offer from the
	// registry after which an upstream is forgotten.
	missedTicks = 20
)

// requestRepair queues a read of an upstream's snapshot. The caller holds the
// mutex.
func (e *Entry) requestRepair(id ident.Upstream, f *followed) {
	if f.repairing {
		return
	}
	select {
	case e.repairs <- id:
		f.repairing = true
	default:
	}
}

func (e *Entry) repairLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-e.repairs:
			e.repair(ctx, id)
		}
	}
}

// repair reads the snapshot of an upstream and replaces the upstream's blocks
// in the directories.
func (e *Entry) repair(ctx context.Context, id ident.Upstream) {
	e.mu.Lock()
	f := e.followed[id]
	if f == nil {
		e.mu.Unlock()
		return
	}
	kind, address := f.kind, f.address
	e.mu.Unlock()

	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	snapshot, err := e.readBlocks(ctx, kind, address)

	e.mu.Lock()
	defer e.mu.Unlock()
	f.repairing = false
	if err != nil {
		e.counts.repairFailures.Inc()
		e.options.Log.Warn("failed to read snapshot", "upstream", string(id), "err", err)
		return
	}
	if e.followed[id] != f || snapshot.Incarnation != f.incarnation {
		return
	}
	repaired := snapshotOf(id, snapshot)
	e.eachDirectory(f, func(directory *prefix.Directory) { directory.ApplySnapshot(repaired) })
	e.counts.repairs.Inc()
}

func (e *Entry) readBlocks(ctx context.Context, kind port.UpstreamKind, address string) (port.BlockSnapshot, error) {
	if kind == port.KindStore {
		return e.options.Upstreams.Store(address).Blocks(ctx)
	}
	return e.options.Upstreams.Engine(address).Blocks(ctx)
}

func snapshotOf(id ident.Upstream, in port.BlockSnapshot) prefix.Snapshot {
	out := prefix.Snapshot{
		Upstream:    id,
		Incarnation: in.Incarnation,
		Sequence:    in.Sequence,
		Blocks:      make([]prefix.HeldBlock, 0, len(in.Blocks)),
	}
	for _, state := range in.Blocks {
		block, err := prefix.ParseBlockID(string(state.Block))
		if err != nil {
			continue
		}
		out.Blocks = append(out.Blocks, prefix.HeldBlock{Block: block, Copy: copyOf(state)})
	}
	return out
}

// housekeeping expires leases in the absence of other events, requests
// snapshots that are due, forgets upstreams that are gone, and sends departures
// and crashes to the other entries.
func (e *Entry) housekeeping(ctx context.Context) {
	ticker := time.NewTicker(e.options.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := time.Now()
			e.sendDepartures(e.tick(now))
			e.resolveClaims(now)
			e.sendCrashes(e.crashesDue(now))
		}
	}
}

// crashesDue returns the crashes to send to the other entries.
func (e *Entry) crashesDue(now time.Time) crashMessage {
	peers := e.options.Control.Entries()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes.due(now, e.options.Host, peers)
}

// tick does one round of housekeeping and returns the departures to send to the
// other entries.
func (e *Entry) tick(now time.Time) []departureNotice {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.registry.Advance(now)
	for id, f := range e.followed {
		if _, offered := e.registry.Candidate(now, f.pool, id); offered {
			f.missed = 0
			continue
		}
		if f.missed++; f.missed > missedTicks {
			e.forget(id, f)
		}
	}
	var stale []ident.Upstream
	stale = e.stores.Stale(stale)
	for _, directory := range e.cells {
		stale = directory.Stale(stale)
	}
	for _, id := range stale {
		if f := e.followed[id]; f != nil {
			e.requestRepair(id, f)
		}
	}
	return e.departures.due(now)
}

// forget removes an upstream that is gone. The caller holds the mutex.
func (e *Entry) forget(id ident.Upstream, f *followed) {
	e.eachDirectory(f, func(directory *prefix.Directory) { directory.Forget(id, f.incarnation) })
	e.countSlots(f, -1)
	e.planner.Forget(id)
	if f.kind == port.KindStore {
		e.keeper.manager.RemoveStore(id, f.incarnation)
	} else {
		e.keeper.manager.RemoveRunner(id, f.incarnation)
	}
	delete(e.followed, id)
	e.fetching.forget(id)
}
