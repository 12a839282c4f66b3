package relay

import (
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/lease"
	"github.com/lovagereach/lovagereach/member"
)

// maxBatch is the maximum number of claims in one renewal; the others follow in later ones.
const maxBatch = 256

// Relay is a Child of its parent and a Parent of its children. It is not safe for concurrent
// use.
type Relay struct {
	child  *Child
	parent *Parent
	// unsent are the claims of children that are in no batch yet, the latest per host.
	// batch is sent with each renewal until the parent confirms batchID.
	unsent  map[ident.Host]member.Member
	batch   []member.Member
	batchID uint64
	// reported is the last revision acknowledged to the parent.
	reported config.Revision
}

// NewRelay returns a relay that has no parent and grants no leases yet.
func NewRelay(self member.Member, opts ParentOptions, now time.Time) (*Relay, error) {
	opts.Lease.NoEarlierLeases = true
	child := NewChild(self)
	parent, err := NewParent(opts, now, child.configs, child.members)
	if err != nil {
		return nil, err
	}
	return &Relay{child: child, parent: parent, unsent: make(map[ident.Host]member.Member)}, nil
}

// Child returns the side towards the parent, for reading its state. Messages are passed to the
// methods of Relay instead.
func (r *Relay) Child() *Child { return r.child }

// Parent returns the side towards the children, for reading its state.
func (r *Relay) Parent() *Parent { return r.parent }

// Attach starts a session with another parent. The new parent has no claims of the children,
// so all of them are reported again.
func (r *Relay) Attach() {
	r.child.Attach()
	r.batch = nil
	for _, m := range r.parent.Children() {
		r.unsent[m.Host] = m
	}
}

// Renewal returns the next renewal to send to the parent.
func (r *Relay) Renewal(now time.Time) Renewal {
	renewal := r.child.Renewal(now, r.InForce(now))
	r.fillBatch()
	if len(r.batch) > 0 {
		renewal.Batch = r.batchID
		renewal.Descendants = r.batch
	}
	return renewal
}

// fillBatch starts a batch if none is unconfirmed.
func (r *Relay) fillBatch() {
	for _, m := range r.parent.Changes() {
		r.unsent[m.Host] = m
	}
	if len(r.batch) > 0 || len(r.unsent) == 0 {
		return
	}
	r.batchID++
	r.batch = make([]member.Member, 0, min(len(r.unsent), maxBatch))
	for host, m := range r.unsent {
		if len(r.batch) == maxBatch {
			break
		}
		r.batch = append(r.batch, m)
		delete(r.unsent, host)
	}
	member.SortByHost(r.batch)
}

// InForce returns the latest revision that the relay holds and that is in force at every
// child that may serve.
func (r *Relay) InForce(now time.Time) config.Revision {
	return min(r.parent.InForce(now), r.child.Revision())
}

// Renewed applies the parent's answer to a renewal.
func (r *Relay) Renewed(answer Renewed) Effect {
	if answer.Batch == r.batchID {
		r.batch = nil
	}
	return r.child.Renewed(answer)
}

// Pushed applies a configuration update from the parent.
func (r *Relay) Pushed(now time.Time, update config.Update) Effect {
	effect := r.child.Pushed(update)
	if effect.ConfigChanged {
		r.parent.Committed(now, r.child.Revision())
	}
	return effect
}

// ChildRenewal answers a child's renewal. The lease it grants ends before the relay's own, so
// that the children of a disconnected relay stop serving no later than its parent assumes.
// HolderTerm accounts for the drift between the two clocks.
func (r *Relay) ChildRenewal(now time.Time, renewal Renewal) Renewed {
	left := r.child.Expiry().Sub(now)
	return r.parent.Renew(now, renewal, lease.HolderTerm(left))
}

// ChildAck processes a child's acknowledgement.
func (r *Relay) ChildAck(ack Ack) { r.parent.Ack(ack) }

// Ack returns an acknowledgement for the parent if a later revision is in force than the one
// last acknowledged, and false otherwise.
func (r *Relay) Ack(now time.Time) (Ack, bool) {
	inForce := r.InForce(now)
	if inForce <= r.reported {
		return Ack{}, false
	}
	r.reported = inForce
	return r.child.Ack(inForce), true
}

// Push returns the configuration that a child has not been sent yet.
func (r *Relay) Push(child ident.Host) config.Update { return r.parent.Push(child) }

// Tick marks children down whose heartbeats have timed out.
func (r *Relay) Tick(now time.Time) { r.parent.Tick(now) }
