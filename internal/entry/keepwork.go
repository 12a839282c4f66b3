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

// runPlans runs the planning loop and queries the store hosts until ctx ends.
func (k *keeper) runPlans(ctx context.Context) {
	plans := time.NewTicker(planInterval)
	defer plans.Stop()
	statuses := time.NewTicker(statusInterval)
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

// runWork executes queued operations one after the other until ctx ends.
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
	k.updateMembers(now, k.membersOf(peers))
	plan := k.manager.Plan(now, e.options.Random)
	e.mu.Unlock()
	for _, export := range plan.Exports {
		if !k.queue(func(ctx context.Context) { k.export(ctx, export) }) {
			k.failAll(export.Blocks, keep.FailedRace)
		}
	}
	for _, free := range plan.Frees {
		if !k.queue(func(ctx context.Context) { k.free(ctx, free) }) {
			k.recordFreed(free, false)
		}
	}
	for _, prefetch := range plan.Prefetches {
		if prefetch.Timed() {
			k.queue(func(ctx context.Context) { k.prefetch(ctx, prefetch) })
		}
	}
}

// homeDelay is how long a change of the set of entries must last before prompts
// change their homes.
const homeDelay = 5 * time.Second

// updateMembers adopts a changed set of entries, after homeDelay if this entry
// has prompts. An entry that misses a few lease renewals returns soon; if its
// prompts moved to other homes and back meanwhile, those not yet exported would
// be lost twice. The caller holds the mutex.
func (k *keeper) updateMembers(now time.Time, members []cell.Member) {
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

// membersOf returns the entries sorted by host. This entry is always included,
// even if its own renewals are late.
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

// queue enqueues an operation. It returns false if the queue is full.
func (k *keeper) queue(do func(context.Context)) bool {
	select {
	case k.work <- do:
		return true
	default:
		k.entry.counts.keepDropped.Inc()
		return false
	}
}

// readStatuses queues a query of each store host for its capacity and link
// usage.
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
	ctx, cancel := context.WithTimeout(ctx, statusInterval)
	defer cancel()
	status, err := e.options.Upstreams.Store(address).Status(ctx)
	if err != nil {
		e.options.Log.Debug("failed to read store status", "store", string(id), "err", err)
		return
	}
	current := keep.StoreStatus{
		Store:              id,
		Incarnation:        status.Incarnation,
		DataCentre:         centre,
		LinkBytesPerSecond: status.LinkBytesPerSecond,
		LinkBusy:           status.LinkBusy,
	}
	for _, tier := range status.Tiers {
		at := tierOf(tier.Tier)
		current.Capacity[at], current.Used[at] = tier.Capacity, tier.Used
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.followed[id] == f && f.incarnation == current.Incarnation {
		k.manager.UpdateStore(time.Now(), current)
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

// address returns the address of a followed upstream, and whether it is
// followed.
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
		k.recordFreed(free, false)
		return
	}
	err := k.entry.options.Upstreams.Store(address).Free(ctx, port.BlockID(free.Block.String()), free.Generation)
	if err != nil {
		k.logFailure(ctx, "free", err)
	}
	k.recordFreed(free, err == nil)
}

func (k *keeper) recordFreed(free keep.Free, done bool) {
	k.entry.mu.Lock()
	defer k.entry.mu.Unlock()
	k.manager.Freed(time.Now(), free.ID, done)
	if done {
		k.entry.stores.Retract(free.Store, free.Block)
	}
}

// logFailure counts and logs a failed step, unless the entry is stopping.
func (k *keeper) logFailure(ctx context.Context, step string, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	k.entry.counts.keepFailures.Inc()
	k.entry.options.Log.Warn("operation on a kept prompt failed", "step", step, "err", err)
}
