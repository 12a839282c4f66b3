package gateway

import "github.com/lovagereach/lovagereach/catalog"

// maxRank is the lowest rank that upstreams know.
const maxRank = 9

// sendRank is the rank that an upstream is told. Runners admit prompts by it. Within each rank of the
// configuration, small prompts precede large ones: the prefill of a large one takes as long as many
// small ones, which other entries may send to the same runner before its load is known to them. If
// the configuration uses too many ranks to leave room for that, all sizes have the same rank.
func (r *run) sendRank() int {
	rank := min(max(r.rank(), 0), maxRank)
	if !r.gateway.options.Load.UnevenUpstreams || 2*lowestRank(r.index.Document())+1 > maxRank {
		return rank
	}
	if r.small() {
		return 2 * rank
	}
	return 2*rank + 1
}

// lowestRank returns the rank that is served last in a configuration.
func lowestRank(d *catalog.Document) int {
	lowest := 0
	for i := range d.Routes {
		lowest = max(lowest, d.Routes[i].Priority)
	}
	for i := range d.Teams {
		if rank := d.Teams[i].Priority; rank != nil {
			lowest = max(lowest, *rank)
		}
	}
	return lowest
}
