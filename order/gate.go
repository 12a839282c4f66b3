package order

import (
	"time"

	"github.com/lovagereach/lovagereach/lease"
)

// Times that bound how long an order of a replaced leader can still arrive.
const (
	// LeaderLease is how long after it last proved its leadership a leader may send
	// an order.
	LeaderLease = 2 * time.Second
	// MaxFlight is the longest that an order is under way between the leader's
	// last byte and the engine's reading it. The sender gives up after half of
	// it; the rest covers what the network still delivers from its buffers.
	MaxFlight = 6 * time.Second
	// SendTimeout is when the sender gives up an order without an answer.
	SendTimeout = MaxFlight / 2
)

// Gate tells when a new leader may give orders.
type Gate struct {
	opened time.Time
	first  bool
}

// NewGate returns the gate of an epoch that was committed at opened. first
// marks the first epoch of a group, before which nobody gave orders.
func NewGate(opened time.Time, first bool) Gate { return Gate{opened: opened, first: first} }

// OpenAt returns when an engine may get its first order of a kind.
//
// An engine that ignores fencing tokens would carry out a late order of the old
// leader after ours and undo it, so the new leader waits until none can arrive
// any more. One that checks them refuses such an order once it has seen ours;
// but until then the old leader's order may still start a load that nobody
// counts, so loads wait for every engine.
func (g Gate) OpenAt(kind Kind, checksFence bool) time.Time {
	if g.first || checksFence && kind != LoadVersion {
		return g.opened
	}
	return g.opened.Add(lease.GranterTerm(LeaderLease) + MaxFlight)
}
