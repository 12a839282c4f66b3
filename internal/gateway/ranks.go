package gateway

const (
	// maxRank is the lowest rank that upstreams know.
	maxRank = 9
	// lateRanks is added to the ranks of late requests, so that upstreams too serve them behind those
	// that can be in time.
	lateRanks = 1
)

// sendRank is the rank that an upstream is told. Runners admit prompts by it. Within each rank of the
// configuration, small prompts precede large ones: the prefill of a large one takes as long as many
// small ones, which other entries may send to the same runner before its load is known to them. If
// the configuration uses too many ranks to leave room for that, all sizes have the same rank.
func (r *run) sendRank() int {
	rank := r.rankBySize()
	if r.late {
		rank = min(rank+lateRanks, maxRank)
	}
	return rank
}

func (r *run) rankBySize() int {
	rank := min(max(r.rank(), 0), maxRank)
	if !r.gateway.options.Load.UnevenUpstreams || 2*r.index.LowestRank()+1 > maxRank {
		return rank
	}
	if r.small() {
		return 2 * rank
	}
	return 2*rank + 1
}
