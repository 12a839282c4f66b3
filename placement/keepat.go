package placement

import (
	"math"
	"time"
)

const (
	// smallPrefill is the longest prefill time of a small part. It is shorter than the
	// first-byte latency of a slow store.
	smallPrefill = 6 * time.Millisecond
	// maxFastFirstByte is the longest first-byte latency of a fast store. Small parts go to
	// fast stores.
	maxFastFirstByte = 2 * time.Millisecond
	// largePartFill is the fraction of a fast store that large parts may fill. The rest is
	// reserved for small parts, which no other store serves in time.
	largePartFill = 0.55
	// maxFill is the fraction of a store that may be filled. The rest covers transfers that
	// are in progress and not yet reported.
	maxFill = 0.97
)

// KeepAt returns the index of the store in which to keep a part, or -1 for none. All
// entries compute the same store as long as they see the same stores open and with
// capacity.
//
// A small part goes to a fast store. It goes to a slow store only if no fast one has
// capacity and fetching costs less than recomputing.
func KeepAt(rates *Rates, salt string, part Part, tokenBytes int, stores []Store) int {
	if rates.small(part) {
		if index := rendezvous(salt, part, stores, func(s *Store) bool { return s.fast() && s.fits(maxFill, part) }); index >= 0 {
			return index
		}
		return rendezvous(salt, part, stores, func(s *Store) bool {
			return !s.fast() && s.fits(maxFill, part) && rates.fetchIsCheaper(s, part, tokenBytes)
		})
	}
	return rendezvous(salt, part, stores, func(s *Store) bool {
		share := maxFill
		if s.fast() {
			share = largePartFill
		}
		return s.fits(share, part)
	})
}

// rendezvous returns the index of the open and eligible store with the highest weighted
// rendezvous hash, or -1 if there is none.
func rendezvous(salt string, part Part, stores []Store, eligible func(*Store) bool) int {
	best, bestScore := -1, math.Inf(-1)
	for i := range stores {
		store := &stores[i]
		if !store.Open || !eligible(store) {
			continue
		}
		score := weightedScore(hash(store.Address, salt+"/"+part.ID), float64(store.Capacity)*store.LinkMbps)
		if score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// small reports whether a runner prefills a part in less than smallPrefill.
func (r *Rates) small(part Part) bool {
	return float64(part.Tokens)/r.PrefillPerMs < milliseconds(smallPrefill)
}

// fetchIsCheaper reports whether fetching a part from a store in the runner's data centre
// costs less than recomputing it.
func (r *Rates) fetchIsCheaper(s *Store, part Part, tokenBytes int) bool {
	fetch := milliseconds(s.FirstByte)
	if s.LinkMbps > 0 {
		fetch += float64(part.Tokens) * float64(tokenBytes) * 8 / (s.LinkMbps * 1000)
	}
	return fetch < r.recomputeMs(part)
}

// recomputeMs returns the cost of recomputing a part, in milliseconds of waiting.
func (r *Rates) recomputeMs(part Part) float64 {
	return float64(part.Tokens) * (r.RecomputeMsPerToken + 1/r.PrefillPerMs)
}

// fast reports whether the store is fast enough for small parts.
func (s *Store) fast() bool { return s.FirstByte <= maxFastFirstByte }

// fits reports whether a part leaves the store filled to at most the given fraction of its
// capacity.
func (s *Store) fits(share float64, part Part) bool {
	return float64(s.Used+part.Tokens) <= share*float64(s.Capacity)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// weightedScore returns the score for weighted rendezvous hashing: each store wins in
// proportion to its weight.
func weightedScore(h uint64, weight float64) float64 {
	unit := (float64(h>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(unit)
}
