package relay

import (
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/lease"
	"github.com/lovagereach/lovagereach/member"
)

// maxBelow bounds the claims one renewal carries; the rest follows with the
// next.
const maxBelow = 256

// Relay stands between a parent and children. It is not safe for concurrent
// use.
type Relay struct {
	up   *Child
	down *Parent
	// unsent holds claims about children that no batch carries yet, the
	// latest for each host. batch is under way until its number is confirmed.
	unsent  map[ident.Host]member.Member
	batch   []member.Member
	batchID uint64
	// reported is the last revision acknowledged upwards.
	reported config.Revision
}

// NewRelay returns a relay that is attached to nobody and grants nothing yet.
func NewRelay(self member.Member, opts ParentOptions, now time.Time) (*Relay, error) {
	opts.Lease.NoEarlierLeases = true
	up := NewChild(self)
	down, err := NewParent(opts, now, up.configs, up.members)
	if err != nil {
		return nil, err
	}
	return &Relay{up: up, down: down, unsent: make(map[ident.Host]member.Member)}, nil
}

// Child returns the link to the parent, for its state. Messages go through Relay.
func (r *Relay) Child() *Child { return r.up }

// Parent returns the side towards the children, for its state.
func (r *Relay) Parent() *Parent { return r.down }

// Attach begins a session with another parent. The new parent knows nothing of
// the children, so all of them are reported again.
func (r *Relay) Attach() {
	r.up.Attach()
	r.batch = nil
	for _, m := range r.down.Children() {
		r.unsent[m.Host] = m
	}
}

// Renewal returns the message for the parent.
func (r *Relay) Renewal(now time.Time) Renewal {
	renewal := r.up.Renewal(now, r.InForce(now))
	r.fillBatch()
	if len(r.batch) > 0 {
		renewal.Batch = r.batchID
		renewal.Descendants = r.batch
	}
	return renewal
}

// fillBatch starts a batch when none is under way.
func (r *Relay) fillBatch() {
	for _, m := range r.down.Changes() {
		r.unsent[m.Host] = m
	}
	if len(r.batch) > 0 || len(r.unsent) == 0 {
		return
	}
	r.batchID++
	r.batch = make([]member.Member, 0, min(len(r.unsent), maxBelow))
	for host, m := range r.unsent {
		if len(r.batch) == maxBelow {
			break
		}
		r.batch = append(r.batch, m)
		delete(r.unsent, host)
	}
	member.SortByHost(r.batch)
}

// InForce returns the latest revision in force at every child that may serve.
func (r *Relay) InForce(now time.Time) config.Revision {
	return min(r.down.InForce(now), r.up.Revision())
}

// Renewed takes the parent's answer.
func (r *Relay) Renewed(answer Renewed) Effect {
	if answer.Batch == r.batchID {
		r.batch = nil
	}
	return r.up.Renewed(answer)
}

// Pushed takes a configuration from the parent.
func (r *Relay) Pushed(now time.Time, update config.Update) Effect {
	effect := r.up.Pushed(update)
	if effect.ConfigChanged {
		r.down.Committed(now, r.up.Revision())
	}
	return effect
}

// ChildRenewal answers a child. The lease it grants ends before the relay's
// own: if the relay is cut off, its children stop serving no later than the
// parent counts on. HolderTerm covers the drift between the two clocks.
func (r *Relay) ChildRenewal(now time.Time, renewal Renewal) Renewed {
	left := r.up.Expiry().Sub(now)
	return r.down.Renew(now, renewal, lease.HolderTerm(left))
}

// ChildAck takes a child's acknowledgement.
func (r *Relay) ChildAck(ack Ack) { r.down.Ack(ack) }

// Ack returns the word for the parent that more is in force below than was
// told before, and false when there is nothing new.
func (r *Relay) Ack(now time.Time) (Ack, bool) {
	inForce := r.InForce(now)
	if inForce <= r.reported {
		return Ack{}, false
	}
	r.reported = inForce
	return r.up.Ack(inForce), true
}

// Push returns the configuration that a child has not been sent.
func (r *Relay) Push(child ident.Host) config.Update { return r.down.Push(child) }

// Tick marks silent children down.
func (r *Relay) Tick(now time.Time) { r.down.Tick(now) }
