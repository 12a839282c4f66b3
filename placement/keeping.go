package placement

import (
	"math"
	"time"
)

const (
	// smallPart is the size in tokens below which a part is read sooner than
	// a store with a slow first byte begins to send it.
	smallPart = 2000
	// quickFirst is the longest first byte of a store for small parts.
	quickFirst = 2 * time.Millisecond
	// largeShare is how much of a quick store large parts may fill, so that
	// small ones, which no other store serves in time, find room.
	largeShare = 0.55
	// fullShare leaves room for what is on its way and not yet told.
	fullShare = 0.97
)

// KeepAt returns the store to keep a part in, -1 for none. All entries compute
// the same store as long as they see the same ones open and with room.
func KeepAt(salt string, part Part, stores []Store) int {
	best, top := -1, math.Inf(-1)
	for i := range stores {
		store := &stores[i]
		if !store.Open || !store.roomFor(part) {
			continue
		}
		score := weighted(hash(store.Address, salt+"/"+part.ID), float64(store.Capacity)*store.LinkMbps)
		if score > top {
			best, top = i, score
		}
	}
	return best
}

func (s *Store) roomFor(part Part) bool {
	share := fullShare
	quick := s.FirstByte <= quickFirst
	if part.Tokens < smallPart && !quick {
		return false
	}
	if part.Tokens >= smallPart && quick {
		share = largeShare
	}
	return float64(s.Used+part.Tokens) <= share*float64(s.Capacity)
}

// weighted is the score of weighted rendezvous hashing: each store wins in
// proportion to its weight.
func weighted(h uint64, weight float64) float64 {
	unit := (float64(h>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(unit)
}
