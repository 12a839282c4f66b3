// Package cacheindex tracks which parts of prompts are stored completely in which
// store.
//
// A store neither checks its readers nor evicts anything by itself, so that a read is
// safe only while the part is known to be complete in the store's current
// incarnation. An Inventory is that knowledge for one store. It is closed when the
// store is unreachable or has started another incarnation, and opens after a pause
// that is longer than any reader may act on what it knew before: between the two
// incarnations a part may be half written under a name that readers still take for
// complete.
//
// An Index holds the inventories of all stores. The leader's index is written from
// the stores' events. Control hosts and entries update theirs by querying for what
// they lack (Query, Update). How a reader's index stays correct in each case:
//
//	event                                 the reader's index
//	it lags by a few records              gets them by position in the change log
//	another host answers, same leader     the same: positions are forwarded unchanged
//	another leader answers                gets, by source, what follows the last event
//	                                      that it has (Progress)
//	a source starts a new incarnation     gets that inventory completely, after Cleared
//	it lacks more than a page             is not used until it has the rest
//	it is ahead of the host that answers  gets nothing, and keeps its content
//	parts are retired                     gets them at each change of hosts, because
//	                                      retiring is not an event of the source
package cacheindex

import "time"

// Key identifies a part: the salt under which it was computed, and its ID.
type Key struct {
	Salt string `cbor:"1,keyasint"`
	Part string `cbor:"2,keyasint"`
}

// Change is one part that became complete, or that was removed if Tokens is zero. If
// Tokens is negative, the part is retired and has -Tokens tokens: it is still complete and
// takes up that much capacity, but is about to be freed and must be neither read nor
// stored there again.
type Change struct {
	Key    Key `cbor:"1,keyasint"`
	Tokens int `cbor:"2,keyasint"`
}

// MaxParts bounds the parts of one inventory. A part takes about 120 bytes, so that an
// inventory stays under 16 MB.
const MaxParts = 1 << 17

// Inventory is the known content of one store. It is not safe for concurrent use.
type Inventory struct {
	incarnation uint64
	parts       map[Key]int
	tokens      int
	// retired is the number of retired parts.
	retired int
	opensAt time.Time
	closed  bool
}

// NewInventory returns a closed inventory of a store that was not queried yet.
func NewInventory() *Inventory {
	return &Inventory{parts: make(map[Key]int), closed: true}
}

// Incarnation returns the incarnation of the store that the inventory describes.
func (s *Inventory) Incarnation() uint64 { return s.incarnation }

// Tokens returns the tokens of all parts that take up capacity in the store.
func (s *Inventory) Tokens() int { return s.tokens }

// Len returns the number of parts known to be complete.
func (s *Inventory) Len() int { return len(s.parts) }

// Replace replaces the content with the listing of the store's current incarnation. The
// inventory opens after the given pause.
func (s *Inventory) Replace(incarnation uint64, held []Change, now time.Time, pause time.Duration) {
	s.incarnation = incarnation
	s.parts = make(map[Key]int, len(held))
	s.tokens, s.retired = 0, 0
	s.closed = false
	s.opensAt = now.Add(pause)
	for _, change := range held {
		s.Apply(change)
	}
}

// Clear empties the inventory for another incarnation of its store and closes it.
func (s *Inventory) Clear(incarnation uint64) {
	*s = Inventory{incarnation: incarnation, parts: make(map[Key]int), closed: true}
}

// Reopen opens a closed inventory after the given pause, when its store is found in the
// same incarnation and no event was missed.
func (s *Inventory) Reopen(now time.Time, pause time.Duration) {
	s.closed = false
	s.opensAt = now.Add(pause)
}

// Apply applies one change.
func (s *Inventory) Apply(change Change) {
	held, known := s.parts[change.Key]
	switch {
	case change.Tokens == 0:
		s.tokens -= size(held)
		s.retired -= retired(held)
		delete(s.parts, change.Key)
	case !known && len(s.parts) >= MaxParts:
	case change.Tokens > 0 && held < 0:
		// A stale event does not restore a retired part.
	default:
		s.tokens += size(change.Tokens) - size(held)
		s.retired += retired(change.Tokens) - retired(held)
		s.parts[change.Key] = change.Tokens
	}
}

// size returns the capacity in tokens that a part takes up.
func size(tokens int) int { return max(tokens, -tokens) }

// retired returns 1 for a retired part and 0 for others.
func retired(tokens int) int {
	if tokens < 0 {
		return 1
	}
	return 0
}

// Close marks the store as unreachable. Replace or Reopen opens the inventory again.
func (s *Inventory) Close() { s.closed = true }

// Open reports whether the store may be read from and written to.
func (s *Inventory) Open(now time.Time) bool {
	return !s.closed && !now.Before(s.opensAt)
}

// Closed reports whether the store is unreachable.
func (s *Inventory) Closed() bool { return s.closed }

// ReadableTokens returns the tokens of a part that is complete and may be read, or 0 if
// there is none.
func (s *Inventory) ReadableTokens(key Key) int { return max(s.parts[key], 0) }

// Holds reports whether a part is in the store, retired or not.
func (s *Inventory) Holds(key Key) bool { return s.parts[key] != 0 }

// Retired reports whether a part is about to be freed.
func (s *Inventory) Retired(key Key) bool { return s.parts[key] < 0 }

// All returns the parts in no particular order; retired parts have negative tokens.
func (s *Inventory) All() []Change {
	all := make([]Change, 0, len(s.parts))
	for key, tokens := range s.parts {
		all = append(all, Change{Key: key, Tokens: tokens})
	}
	return all
}
