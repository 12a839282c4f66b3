package order

import (
	"time"

	"github.com/lovagereach/lovagereach/lease"
)

// Bounds on how long after a change of leader an order of the previous leader can still
// arrive.
const (
	// LeaderLease is how long a leader may send orders after it last confirmed its
	// leadership.
	LeaderLease = 2 * time.Second
	// MaxFlight is the maximum time between the leader's sending the last byte of an
	// order and the engine's reading it. The sender gives up after half of it; the
	// other half covers data that the network still delivers from its buffers.
	MaxFlight = 6 * time.Second
	// SendTimeout is how long the sender waits for the answer to an order.
	SendTimeout = MaxFlight / 2
)

// Gate determines when a new leader may send orders.
type Gate struct {
	start time.Time
	first bool
}

// NewGate returns the gate of an epoch that was committed at start. first is
// true for the first epoch of a control group, which no earlier leader precedes.
func NewGate(start time.Time, first bool) Gate { return Gate{start: start, first: first} }

// OpenAt returns the time from which an engine may be sent orders of the kind.
//
// An engine that ignores fencing tokens would execute a delayed order of the previous
// leader after one of the new leader and so undo it. The new leader therefore waits
// until no such order can arrive any more. An engine that checks tokens refuses the
// delayed order once it has received one with the new token; until then the delayed
// order may still start a load that the new leader doesn't count, so load orders wait
// for every engine.
func (g Gate) OpenAt(kind Kind, checksFence bool) time.Time {
	if g.first || checksFence && kind != LoadVersion {
		return g.start
	}
	return g.start.Add(lease.GranterTerm(LeaderLease) + MaxFlight)
}
