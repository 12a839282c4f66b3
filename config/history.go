package config

import "time"

// RevisionMeta says who made a revision, when and how.
type RevisionMeta struct {
	Revision  Revision `cbor:"1,keyasint" json:"revision"`
	Author    string   `cbor:"2,keyasint" json:"author"`
	RequestID string   `cbor:"3,keyasint" json:"request_id"`
	// At is the leader's clock when it took the command, in Unix microseconds.
	At int64 `cbor:"4,keyasint" json:"at_us"`
	// Items is the number of items changed.
	Items int    `cbor:"5,keyasint" json:"items"`
	Note  string `cbor:"6,keyasint,omitempty" json:"note,omitempty"`
}

// Time returns At as a time.
func (m RevisionMeta) Time() time.Time { return time.UnixMicro(m.At) }

// ring keeps the newest of a sequence, oldest first.
type ring[E any] struct {
	items []E
	limit int
}

// push adds an element and returns those that no longer fit.
func (r *ring[E]) push(item E) []E {
	r.items = append(r.items, item)
	return r.trim(len(r.items) - r.limit)
}

// trim removes the oldest n elements. The slice is moved down only when half
// of its array is unused, so that a push costs constant time on average.
func (r *ring[E]) trim(n int) []E {
	if n <= 0 {
		return nil
	}
	gone := r.items[:n:n]
	r.items = r.items[n:]
	if cap(r.items) < len(r.items)+len(r.items)/2 {
		kept := make([]E, len(r.items), 2*len(r.items)+1)
		copy(kept, r.items)
		r.items = kept
	}
	return gone
}
