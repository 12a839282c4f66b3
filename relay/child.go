package relay

import (
	"errors"
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/lease"
	"github.com/lovagereach/lovagereach/member"
)

// Child is a process's link to its parent. It is not safe for concurrent use.
type Child struct {
	self    member.Member
	holder  lease.Holder
	configs *config.Feed
	members *member.Feed
	// accepted is set once the parent knows the claim of this session.
	accepted bool
}

// NewChild returns a child that is attached to nobody. The claim's State tells
// whether the process starts out alive.
func NewChild(self member.Member) *Child {
	return &Child{self: self, configs: config.NewFeed(), members: member.NewFeed()}
}

// Assign sets the incarnation in the child's claim. It comes before the first
// renewal.
func (c *Child) Assign(incarnation ident.Incarnation) {
	c.self.Stamp.Incarnation = incarnation
}

// Attach begins a session with another parent, or again with the same one after
// it refused the last. The lease held stays valid until it runs out: whoever
// granted it waits for it.
func (c *Child) Attach() {
	c.self.Stamp.Session++
	c.accepted = false
}

// Drain tells the parent from the next renewal on that callers should be sent
// here no more.
func (c *Child) Drain() {
	if c.self.State == member.StateAlive {
		c.self.State = member.StateDraining
		c.accepted = false
	}
}

// Leave gives the lease up and makes the next renewal the last.
func (c *Child) Leave() {
	c.self.State = member.StateDown
	c.accepted = false
	c.holder.Release()
}

// Renewal returns the message to send now. inForce is the latest revision that
// is in force below; an entry, which has nothing below, passes Revision.
func (c *Child) Renewal(now time.Time, inForce config.Revision) Renewal {
	renewal := Renewal{
		Number:  c.holder.Request(now),
		Host:    c.self.Host,
		Stamp:   c.self.Stamp,
		State:   c.self.State,
		Held:    c.Revision(),
		InForce: min(inForce, c.Revision()),
		Members: c.members.Version(),
	}
	if !c.accepted {
		claim := c.self
		renewal.Claim = &claim
	}
	return renewal
}

// Effect tells what a message from the parent changed.
type Effect struct {
	// Granted: the answer was awaited and brought a lease.
	Granted bool
	// Moved: the configuration moved forward.
	ConfigChanged bool
	// MembersMoved: the membership moved forward.
	MembersChanged bool
	// Reattach: the parent does not take this session; Attach and try again,
	// elsewhere if it is full.
	Reattach bool
	// Behind: a push started after what is held; renew now to catch up.
	Behind bool
	// Err is set when an update could not be applied. It was left out.
	Err error
}

// Renewed takes the answer to a renewal.
func (c *Child) Renewed(answer Renewed) Effect {
	var effect Effect
	if answer.Members != nil {
		err := c.members.Apply(*answer.Members)
		effect.MembersChanged = err == nil
		// A stale update is from a parent that lags; the next one is not.
		if !errors.Is(err, member.ErrStale) {
			effect.note(err, member.ErrGap)
		}
	}
	switch answer.Verdict {
	case member.VerdictAccepted:
		c.accepted = true
	case member.VerdictUnknown:
		c.accepted = false
	default:
		effect.Reattach = c.self.State != member.StateDown
	}
	if answer.Refused == "" && answer.Term > 0 {
		effect.Granted = c.holder.Granted(answer.Number, answer.Term)
	}
	return effect
}

// Pushed takes a configuration from the parent.
func (c *Child) Pushed(update config.Update) Effect {
	var effect Effect
	moved, err := c.configs.Apply(update)
	effect.ConfigChanged = moved
	effect.note(err, config.ErrGap)
	return effect
}

func (e *Effect) note(err, gap error) {
	switch {
	case err == nil:
	case errors.Is(err, gap):
		e.Behind = true
	default:
		e.Err = err
	}
}

// Ack returns the word that a revision is in force here and below.
func (c *Child) Ack(inForce config.Revision) Ack {
	return Ack{
		Host:        c.self.Host,
		Incarnation: c.self.Stamp.Incarnation,
		InForce:     min(inForce, c.Revision()),
	}
}

// Serving reports whether new requests may be served now. A process that
// drains still serves: callers that were told its address may come.
func (c *Child) Serving(now time.Time) bool {
	return c.self.State != member.StateDown && c.holder.Valid(now)
}

// Expiry returns when the lease ends unless it is renewed.
func (c *Child) Expiry() time.Time { return c.holder.Expiry() }

// Revision returns the revision held.
func (c *Child) Revision() config.Revision { return c.configs.Current().Revision() }

// Config returns the configuration held.
func (c *Child) Config() *config.Snapshot { return c.configs.Current() }

// Members returns the membership held.
func (c *Child) Members() *member.View { return &c.members.View }

// Self returns the process's own claim.
func (c *Child) Self() member.Member { return c.self }
