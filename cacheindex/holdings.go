// Package cacheindex keeps which parts of prompts stand whole in which store.
//
// A store neither checks who reads nor drops anything by itself, so that a read
// is safe only while the part is known to be whole in the store's present life.
// A Shelf is that knowledge for one store. It closes when the store can't be
// asked or has begun another life, and opens after a pause that is longer than
// any reader may go on with what it knew before: between the two lives a part
// may stand half written under a name that readers remember as whole.
//
// A Book holds the shelves of all stores. The leader's is written by the stores'
// events; control hosts and entries keep theirs alike by asking for what they
// lack (Question, Update). What can happen, and what keeps a reader's book right:
//
//	event                              the reader's book
//	it lags by a few records           is told them by place in the journal
//	another host answers, same leader  the same: places are passed on unchanged
//	another leader                     is told, by source, what follows the last
//	                                   event that it holds (Held)
//	a source began another life        is told that shelf whole, after Cleared
//	it lacks more than a page          relies on nothing until it has the rest
//	it knows more than who answers     is told nothing, and keeps what it has
//	parts are retired                  is told at each change of hosts, for that
//	                                   is no event of the source
package cacheindex

import "time"

// Key names a part: the salt under which it was made, and its identity.
type Key struct {
	Salt string `cbor:"1,keyasint"`
	Part string `cbor:"2,keyasint"`
}

// Change is one part that became whole, or ended with zero tokens. With as many
// tokens below zero it is retired: it stands whole and takes its room, but is
// about to be freed, and nobody may read it or keep it there again.
type Change struct {
	Key    Key `cbor:"1,keyasint"`
	Tokens int `cbor:"2,keyasint"`
}

// MaxParts bounds the parts of one shelf. A part takes about 120 bytes, so a
// shelf stays under 16 MB.
const MaxParts = 1 << 17

// Inventory is what one store is known to hold. It is not safe for concurrent use.
type Inventory struct {
	life   uint64
	parts  map[Key]int
	tokens int
	// retired is the number of parts that are retired.
	retired int
	opens   time.Time
	closed  bool
}

// NewInventory returns a closed shelf of a store that was not asked yet.
func NewInventory() *Inventory {
	return &Inventory{parts: make(map[Key]int), closed: true}
}

// Incarnation returns the life of the store that the shelf describes.
func (s *Inventory) Incarnation() uint64 { return s.life }

// Tokens returns the tokens of the parts that take room in the store.
func (s *Inventory) Tokens() int { return s.tokens }

// Len returns the number of parts known to be whole.
func (s *Inventory) Len() int { return len(s.parts) }

// Replace replaces all that is known by a listing of the store's present life.
// The shelf opens pause later.
func (s *Inventory) Replace(life uint64, held []Change, now time.Time, pause time.Duration) {
	s.life = life
	s.parts = make(map[Key]int, len(held))
	s.tokens, s.retired = 0, 0
	s.closed = false
	s.opens = now.Add(pause)
	for _, change := range held {
		s.Apply(change)
	}
}

// Clear empties the shelf for another life of its store and closes it.
func (s *Inventory) Clear(life uint64) {
	*s = Inventory{life: life, parts: make(map[Key]int), closed: true}
}

// Reopen opens a closed shelf again, pause later, when its store is found in
// the same life and nothing was missed of it.
func (s *Inventory) Reopen(now time.Time, pause time.Duration) {
	s.closed = false
	s.opens = now.Add(pause)
}

// Apply takes in one change.
func (s *Inventory) Apply(change Change) {
	held, known := s.parts[change.Key]
	switch {
	case change.Tokens == 0:
		s.tokens -= size(held)
		s.retired -= retired(held)
		delete(s.parts, change.Key)
	case !known && len(s.parts) >= MaxParts:
	case change.Tokens > 0 && held < 0:
		// A late event does not bring a retired part back.
	default:
		s.tokens += size(change.Tokens) - size(held)
		s.retired += retired(change.Tokens) - retired(held)
		s.parts[change.Key] = change.Tokens
	}
}

// size is the room that a part takes.
func size(tokens int) int { return max(tokens, -tokens) }

// retired counts a part that is retired.
func retired(tokens int) int {
	if tokens < 0 {
		return 1
	}
	return 0
}

// Close marks a store that can't be asked. A later Begin opens it again.
func (s *Inventory) Close() { s.closed = true }

// Open reports whether the store may be read from and written to.
func (s *Inventory) Open(now time.Time) bool {
	return !s.closed && !now.Before(s.opens)
}

// Closed reports whether the store can't be asked.
func (s *Inventory) Closed() bool { return s.closed }

// ReadableTokens returns the tokens of a part that stands whole and may be read, 0 when
// it does not.
func (s *Inventory) ReadableTokens(key Key) int { return max(s.parts[key], 0) }

// Holds reports whether a part stands in the store, retired or not.
func (s *Inventory) Holds(key Key) bool { return s.parts[key] != 0 }

// Retired reports whether a part is about to be freed.
func (s *Inventory) Retired(key Key) bool { return s.parts[key] < 0 }

// All lists the parts, in no order; those that are retired with their tokens
// below zero.
func (s *Inventory) All() []Change {
	all := make([]Change, 0, len(s.parts))
	for key, tokens := range s.parts {
		all = append(all, Change{Key: key, Tokens: tokens})
	}
	return all
}
