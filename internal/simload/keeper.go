package simload

import (
	"math/rand/v2"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/keep"
	"github.com/lovagereach/lovagereach/prefix"
)

// planPeriod is the interval at which each entry plans exports and frees.
const planPeriod = 100 * time.Millisecond

// keeper executes the decisions of one entry's keep.Manager.
type keeper struct {
	entry   *entry
	manager *keep.Manager
	random  *rand.Rand
}

func newKeeper(en *entry) *keeper {
	options := en.cluster.tuning.Keep
	if options.Share == 0 {
		options.Share = 1 / float64(en.cluster.count())
	}
	manager, err := keep.NewManager(options)
	if err != nil {
		panic(err)
	}
	return &keeper{entry: en, manager: manager, random: rand.New(rand.NewPCG(uint64(en.index), 5))}
}

// recordUse records that an engine now holds a prompt.
func (k *keeper) recordUse(j *job) {
	if k.entry.cluster.tuning.NoStore {
		return
	}
	k.manager.RecordUse(k.entry.now(), keep.Use{
		Scope: scopeOf(j.req), Class: j.req.class.Name, Blocks: j.req.blocks,
		Runner: j.engine.name, RunnerIncarnation: j.engine.incarnation, RunnerDataCentre: j.engine.dc,
		BlockBytes: blockBytes, Saved: seconds(blockTokens / j.engine.spec.prefillRate),
	})
}

func scopeOf(r *request) prefix.Scope {
	return prefix.Scope{Team: r.team, Model: theModel, Version: r.version}
}

// report passes a store host's capacity and load to the manager.
func (k *keeper) report(st *store, linkBusy float64) {
	status := keep.StoreStatus{
		Store: st.name, Incarnation: st.incarnation, DataCentre: st.dc,
		LinkBytesPerSecond: int64(st.link.rate), LinkBusy: linkBusy,
	}
	for tier, c := range st.tiers {
		status.Capacity[tier] = int64(c.capacity) * blockBytes
		status.Used[tier] = int64(len(c.blocks)+st.writing[tier]) * blockBytes
	}
	k.manager.UpdateStore(k.entry.now(), status)
}

func (k *keeper) plan() {
	plan := k.manager.Plan(k.entry.now(), k.random)
	for _, x := range plan.Exports {
		k.export(x)
	}
	for _, f := range plan.Prefetches {
		if f.Timed() && !k.entry.cluster.tuning.NoPrefetch {
			k.prefetch(f)
		}
	}
	for _, f := range plan.Frees {
		st := k.entry.cluster.stores[f.Store]
		st.free(f.Block, f.Generation)
		// A slot that no longer exists counts as freed.
		k.manager.Freed(k.entry.now(), f.ID, st.alive)
	}
}

func (k *keeper) export(e keep.Export) {
	st := k.entry.cluster.stores[e.Store]
	ids := make(map[prefix.BlockID]keep.CopyID, len(e.Blocks))
	x := &exporter{
		engine: k.entry.cluster.engines[e.Runner], store: st, tier: e.Tier, incarnation: e.StoreIncarnation,
	}
	for _, b := range e.Blocks {
		ids[b.Block] = b.ID
		x.blocks = append(x.blocks, b.Block)
	}
	x.reserved = func(id prefix.BlockID, answer reservation) {
		k.reserved(st, ids[id], id, answer)
	}
	x.committed = func(id prefix.BlockID, c prefix.Copy) {
		now := k.entry.now()
		if k.manager.Written(now, ids[id], c.Bytes, c.Checksum) == keep.Commit {
			k.manager.Committed(now, ids[id], c)
		}
	}
	x.failed = func(id prefix.BlockID, why exportFailure) {
		failure := keep.FailedEngine
		if why == storeLost {
			failure = keep.FailedStore
		}
		k.manager.Failed(k.entry.now(), ids[id], failure)
	}
	x.step()
}

func (k *keeper) reserved(st *store, copyID keep.CopyID, id prefix.BlockID, answer reservation) {
	now := k.entry.now()
	if answer == unreachable {
		k.manager.Failed(now, copyID, keep.FailedStore)
		return
	}
	r := keep.Reservation{Granted: answer == granted, Full: answer == tierFull, Incarnation: st.incarnation}
	switch answer {
	case granted:
		// The host's next commit of this block is that of this slot.
		r.Copy = prefix.Copy{Slot: "slot", Generation: st.reservedGeneration(id)}
	case alreadyStored:
		h, tier := st.find(id)
		r.Committed, r.Copy = true, copyOf(h, tier)
	}
	k.manager.Reserved(now, copyID, r)
}

// pin pins the copies that an import reads.
func (k *keeper) pin(j *job, sources []source) []keep.PinID {
	var pins []keep.PinID
	for _, src := range sources {
		if pin, ok := k.manager.Pin(k.entry.now(), scopeOf(j.req), src.id); ok {
			pins = append(pins, pin.ID)
		}
	}
	return pins
}

func (k *keeper) unpin(pins []keep.PinID) {
	for _, id := range pins {
		k.manager.Unpin(k.entry.now(), id, 0)
	}
}

// recordEvictions records the blocks that an engine has evicted; events of store hosts
// are ignored.
func (k *keeper) recordEvictions(name ident.Upstream, incarnation ident.Incarnation, events []prefix.Event) {
	if k.entry.cluster.engines[name] == nil {
		return
	}
	for _, e := range events {
		if e.Kind == prefix.Removed {
			k.manager.RunnerEvicted(k.entry.now(), name, incarnation, e.Block)
		}
	}
}
