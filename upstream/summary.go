package upstream

import "time"

// Summary is what other processes need to know of a pool: one line for each
// cell instead of one for each upstream.
type Summary struct {
	// Offered is how many upstreams get work, Ejected how many are ejected.
	Offered, Ejected int
	// Slots is how many requests the offered run at once, weighted by slow
	// start and probation; Requests what they are estimated to have.
	Slots        float64
	Requests     float64
	QueuedTokens float64
	FreeBlocks   int64
	// LinkBusy is the mean share of their links in use, 0 to 1.
	LinkBusy float64
}

// Summary adds up a pool. It walks the pool, so it is for the exchange between
// processes once a second and not for a decision on a request.
func (r *Registry) Summary(now time.Time, key Pool) Summary {
	r.Advance(now)
	p := r.pools[key]
	if p == nil {
		return Summary{}
	}
	sum := Summary{
		Offered: len(p.lists[offered]),
		Ejected: len(p.lists[setAside]),
	}
	for _, i := range p.lists[offered] {
		s := &r.slots[i]
		load := s.load.estimate(now, r.others(s))
		sum.Slots += float64(s.announced.Slots) * r.weight(now, s)
		sum.Requests += load.Requests
		sum.QueuedTokens += load.QueuedTokens
		sum.FreeBlocks += load.FreeBlocks
		sum.LinkBusy += load.LinkBusy
	}
	sum.LinkBusy /= float64(max(sum.Offered, 1))
	return sum
}
