package config

import "time"

// RevisionMeta describes a revision: its author, time and size.
type RevisionMeta struct {
	Revision  Revision `cbor:"1,keyasint" json:"revision"`
	Author    string   `cbor:"2,keyasint" json:"author"`
	RequestID string   `cbor:"3,keyasint" json:"request_id"`
	// At is the wall clock of the leader when it received the command, in Unix
	// microseconds.
	At int64 `cbor:"4,keyasint" json:"at_us"`
	// Items is the number of items changed.
	Items int    `cbor:"5,keyasint" json:"items"`
	Note  string `cbor:"6,keyasint,omitempty" json:"note,omitempty"`
}

// Time returns At as a time.
func (m RevisionMeta) Time() time.Time { return time.UnixMicro(m.At) }

// ring keeps the newest limit elements of a sequence, oldest first.
type ring[E any] struct {
	items []E
	limit int
}

// push adds an element and returns the elements evicted by it.
func (r *ring[E]) push(item E) []E {
	r.items = append(r.items, item)
	return r.trim(len(r.items) - r.limit)
}

// trim removes and returns the oldest n elements. It copies the rest to a new
// array only when the remaining capacity falls below one and a half times the
// length, so that a push takes amortized constant time.
func (r *ring[E]) trim(n int) []E {
	if n <= 0 {
		return nil
	}
	evicted := r.items[:n:n]
	r.items = r.items[n:]
	if cap(r.items) < len(r.items)+len(r.items)/2 {
		kept := make([]E, len(r.items), 2*len(r.items)+1)
		copy(kept, r.items)
		r.items = kept
	}
	return evicted
}
