package upstream

import "time"

// Summary is the aggregate state of a pool that is sent to other processes: one
// record for each cell instead of one for each upstream.
type Summary struct {
	// Offered is the number of upstreams that get work, Ejected the number of
	// ejected ones.
	Offered, Ejected int
	// Slots is the number of requests that the offered upstreams run
	// concurrently, weighted by slow start and probation. Requests is their
	// estimated number of running and queued requests.
	Slots        float64
	Requests     float64
	QueuedTokens float64
	FreeBlocks   int64
	// LinkBusy is the mean utilization of their links, 0 to 1.
	LinkBusy float64
}

// Summary returns the summary of a pool. It iterates over the whole pool, so it
// is for the exchange between processes once a second and not for decisions on
// requests.
func (r *Registry) Summary(now time.Time, key Pool) Summary {
	r.Advance(now)
	p := r.pools[key]
	if p == nil {
		return Summary{}
	}
	sum := Summary{
		Offered: len(p.lists[offeredList]),
		Ejected: len(p.lists[ejectedList]),
	}
	for _, i := range p.lists[offeredList] {
		s := &r.slots[i]
		load := s.load.estimate(now, r.othersPerOwn(s))
		sum.Slots += float64(s.announced.Slots) * r.weight(now, s)
		sum.Requests += load.Requests
		sum.QueuedTokens += load.QueuedTokens
		sum.FreeBlocks += load.FreeBlocks
		sum.LinkBusy += load.LinkBusy
	}
	sum.LinkBusy /= float64(max(sum.Offered, 1))
	return sum
}
