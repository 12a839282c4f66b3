package placement

import (
	"math"
	"time"
)

const (
	// smallRead is the time within which a runner reads a small part: sooner than
	// a store with a slow first byte begins to send it.
	smallRead = 6 * time.Millisecond
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
//
// A small part goes to a quick store. It goes to a slow one only if no quick one
// has room, and if reading it again costs more than the fetch.
func KeepAt(rates *Rates, salt string, part Part, tokenBytes int, stores []Store) int {
	if rates.small(part) {
		if at := rendezvous(salt, part, stores, func(s *Store) bool { return s.quick() && s.roomWithin(fullShare, part) }); at >= 0 {
			return at
		}
		return rendezvous(salt, part, stores, func(s *Store) bool {
			return !s.quick() && s.roomWithin(fullShare, part) && rates.paysFrom(s, part, tokenBytes)
		})
	}
	return rendezvous(salt, part, stores, func(s *Store) bool {
		share := fullShare
		if s.quick() {
			share = largeShare
		}
		return s.roomWithin(share, part)
	})
}

// rendezvous is the open store with the highest weighted hash among those that
// are fit, -1 when there is none.
func rendezvous(salt string, part Part, stores []Store, fit func(*Store) bool) int {
	best, top := -1, math.Inf(-1)
	for i := range stores {
		store := &stores[i]
		if !store.Open || !fit(store) {
			continue
		}
		score := weighted(hash(store.Address, salt+"/"+part.ID), float64(store.Capacity)*store.LinkMbps)
		if score > top {
			best, top = i, score
		}
	}
	return best
}

// small reports whether a runner reads a part within smallRead.
func (r *Rates) small(part Part) bool {
	return float64(part.Tokens)/r.PrefillPerMs < milliseconds(smallRead)
}

// paysFrom reports whether a fetch from a store in its own data centre costs less
// than reading the part again.
func (r *Rates) paysFrom(s *Store, part Part, tokenBytes int) bool {
	fetch := milliseconds(s.FirstByte)
	if s.LinkMbps > 0 {
		fetch += float64(part.Tokens) * float64(tokenBytes) * 8 / (s.LinkMbps * 1000)
	}
	return fetch < r.againMs(part)
}

// againMs weighs reading a part again, in milliseconds of waiting.
func (r *Rates) againMs(part Part) float64 {
	return float64(part.Tokens) * (r.RecomputeMsPerToken + 1/r.PrefillPerMs)
}

func (s *Store) quick() bool { return s.FirstByte <= quickFirst }

func (s *Store) roomWithin(share float64, part Part) bool {
	return float64(s.Used+part.Tokens) <= share*float64(s.Capacity)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// weighted is the score of weighted rendezvous hashing: each store wins in
// proportion to its weight.
func weighted(h uint64, weight float64) float64 {
	unit := (float64(h>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(unit)
}
