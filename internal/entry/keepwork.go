package entry

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/lovagereach/lovagereach/cell"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/keep"
	"github.com/lovagereach/lovagereach/prefix"
)

// runPlans asks the manager what to do until ctx ends.
func (k *keeper) runPlans(ctx context.Context) {
	plans := time.NewTicker(planEvery)
	defer plans.Stop()
	statuses := time.NewTicker(statusEvery)
	defer statuses.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-plans.C:
			k.planOnce(time.Now())
		case <-statuses.C:
			k.readStatuses(ctx)
		}
	}
}

// runWork carries out one piece of work after the other until ctx ends.
func (k *keeper) runWork(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case do := <-k.work:
			bounded, cancel := context.WithTimeout(ctx, keepTimeout)
			do(bounded)
			cancel()
		}
	}
}

func (k *keeper) planOnce(now time.Time) {
	e := k.entry
	peers := e.options.Control.Entries()
	k.followBudgets()
	e.mu.Lock()
	k.follow(now, k.membersOf(peers))
	plan := k.manager.Plan(now, e.options.Random)
	e.mu.Unlock()
	for _, export := range plan.Exports {
		if !k.queue(func(ctx context.Context) { k.export(ctx, export) }) {
			k.failAll(export.Blocks, keep.FailedRace)
		}
	}
	for _, free := range plan.Frees {
		if !k.queue(func(ctx context.Context) { k.free(ctx, free) }) {
			k.freed(free, false)
		}
	}
	for _, prefetch := range plan.Prefetches {
		if prefetch.Timed() {
			k.queue(func(ctx context.Context) { k.prefetch(ctx, prefetch) })
		}
	}
}

// homeDelay is how long a change of the entries must last before prompts change
// their homes.
const homeDelay = 5 * time.Second

// follow takes the entries as they are seen now. One that misses a few lease
// renewals is back in a moment; if its prompts went to other homes meanwhile,
// and back again, what was not yet exported of them would be forgotten twice.
// The caller holds the mutex.
func (k *keeper) follow(now time.Time, members []cell.Member) {
	switch {
	case slices.Equal(members, k.members):
		k.proposed = nil
	case k.manager.Prompts() == 0:
		k.setMembers(now, members)
	case !slices.Equal(members, k.proposed):
		k.proposed, k.changed = members, now
	case now.Sub(k.changed) >= homeDelay:
		k.setMembers(now, members)
	}
}

// membersOf lists the entries in order, this one always among them: it knows
// best that it lives.
func (k *keeper) membersOf(peers []Peer) []cell.Member {
	own := k.entry.options
	members := []cell.Member{{Host: own.Host, DataCentre: own.DataCentre}}
	for _, peer := range peers {
		if peer.Host != own.Host {
			members = append(members, cell.Member{Host: peer.Host, DataCentre: peer.DataCentre})
		}
	}
	slices.SortFunc(members, func(a, b cell.Member) int { return strings.Compare(string(a.Host), string(b.Host)) })
	return members
}

// queue reports whether there was room for the work.
func (k *keeper) queue(do func(context.Context)) bool {
	select {
	case k.work <- do:
		return true
	default:
		k.entry.counts.keepDropped.Inc()
		return false
	}
}

// readStatuses asks each store host for its room and links.
func (k *keeper) readStatuses(ctx context.Context) {
	e := k.entry
	e.mu.Lock()
	stores := make(map[ident.Upstream]*followed)
	for id, f := range e.followed {
		if f.kind == port.KindStore {
			stores[id] = f
		}
	}
	e.mu.Unlock()
	for id, f := range stores {
		k.queue(func(ctx context.Context) { k.readStatus(ctx, id, f) })
	}
}

func (k *keeper) readStatus(ctx context.Context, id ident.Upstream, f *followed) {
	e := k.entry
	e.mu.Lock()
	address, centre := f.address, f.announced.DataCentre
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, statusEvery)
	defer cancel()
	status, err := e.options.Upstreams.Store(address).Status(ctx)
	if err != nil {
		e.options.Log.Debug("store status not read", "store", string(id), "err", err)
		return
	}
	seen := keep.StoreStatus{
		Store:              id,
		Incarnation:        status.Incarnation,
		DataCentre:         centre,
		LinkBytesPerSecond: status.LinkBytesPerSecond,
		LinkBusy:           status.LinkBusy,
	}
	for _, tier := range status.Tiers {
		at := tierOf(tier.Tier)
		seen.Capacity[at], seen.Used[at] = tier.Capacity, tier.Used
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.followed[id] == f && f.incarnation == seen.Incarnation {
		k.manager.StoreSeen(time.Now(), seen)
	}
}

func tierOf(tier port.Tier) prefix.Tier {
	if tier == port.TierDisk {
		return prefix.Disk
	}
	return prefix.Memory
}

func portTier(tier prefix.Tier) port.Tier {
	if tier == prefix.Disk {
		return port.TierDisk
	}
	return port.TierMemory
}

// address returns where a followed upstream is.
func (k *keeper) address(id ident.Upstream) (string, bool) {
	k.entry.mu.Lock()
	defer k.entry.mu.Unlock()
	f := k.entry.followed[id]
	if f == nil {
		return "", false
	}
	return f.address, true
}

func (k *keeper) failAll(blocks []keep.PlannedBlock, failure keep.Failure) {
	k.entry.mu.Lock()
	defer k.entry.mu.Unlock()
	now := time.Now()
	for _, block := range blocks {
		k.manager.Failed(now, block.ID, failure)
	}
}

// free releases one slot of a store host.
func (k *keeper) free(ctx context.Context, free keep.Free) {
	address, ok := k.address(free.Store)
	if !ok {
		k.freed(free, false)
		return
	}
	err := k.entry.options.Upstreams.Store(address).Free(ctx, port.BlockID(free.Block.String()), free.Generation)
	if err != nil {
		k.failed(ctx, "free", err)
	}
	k.freed(free, err == nil)
}

func (k *keeper) freed(free keep.Free, done bool) {
	k.entry.mu.Lock()
	defer k.entry.mu.Unlock()
	k.manager.Freed(time.Now(), free.ID, done)
	if done {
		k.entry.stores.Retract(free.Store, free.Block)
	}
}

// failed logs a failure unless the entry is stopping.
func (k *keeper) failed(ctx context.Context, step string, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	k.entry.counts.keepFailures.Inc()
	k.entry.options.Log.Warn("kept prompt", "step", step, "err", err)
}
