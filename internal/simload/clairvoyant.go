package simload

import (
	"github.com/lovagereach/lovagereach/admit"
	"github.com/lovagereach/lovagereach/prefix"
	"github.com/lovagereach/lovagereach/route"
)

// newClairvoyant returns the product's policy with a single entry that has exact
// knowledge of the queue of every engine and the blocks of every cache and store
// host.
func newClairvoyant(r Run) policy {
	r.Tuning.Exact = true
	// The single entry sends the load of all entries.
	r.Tuning.Admit.Limit.Initial = admit.DefaultInitial * r.Workload.Entries
	return newCluster(r)
}

// offerExact returns the engines with their exact state, sorted by the length of
// the cached prefix, longest first.
func (en *entry) offerExact(j *job) []route.Candidate {
	var out []route.Candidate
	for _, e := range en.cluster.sim.engines {
		if e.leaving {
			continue
		}
		out = append(out, route.Candidate{
			Upstream: e.name, DataCentre: e.dc, Slots: e.spec.slots,
			Running: e.running, Queued: e.queue.len(), QueuedTokens: e.queuedTokens(),
			CachedTokens:       len(e.cache.longest(j.req.blocks)) * blockTokens,
			PendingImportBytes: en.enginePending[e.name],
			LinkBytesPerSecond: int64(e.spec.linkRate),
			NetworkDelay:       networkDelay, Overlaps: e.spec.overlaps,
		})
	}
	sortCandidates(out)
	return out[:min(len(out), route.MaxCandidates)]
}

// locateExact returns an existing copy of a block, in memory rather than on disk.
func (en *entry) locateExact(id prefix.BlockID) (prefix.StoredCopy, bool) {
	var best prefix.StoredCopy
	found := false
	for _, st := range en.cluster.sim.stores {
		h, tier := st.find(id)
		if h == nil || !st.alive || found && tier >= best.Copy.Tier {
			continue
		}
		best = prefix.StoredCopy{Store: st.name, Incarnation: st.incarnation, Block: id, Copy: copyOf(h, tier)}
		found = true
	}
	return best, found
}
