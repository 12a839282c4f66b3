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

// NewChild returns a child without a parent. self.State is the state in which the process
// starts.
func NewChild(self member.Member) *Child {
	return &Child{self: self, configs: config.NewFeed(), members: member.NewFeed()}
}

// Assign sets the incarnation in the child's claim. It must be called before the first
// renewal.
func (c *Child) Assign(incarnation ident.Incarnation) {
	c.self.Stamp.Incarnation = incarnation
}

// Attach starts a session with another parent, or a new one with the same parent after it
// refused the last session. The lease held stays valid until it expires, because the parent
// that granted it waits for its expiry.
func (c *Child) Attach() {
	c.self.Stamp.Session++
	c.accepted = false
}

// Drain makes renewals, from the next one on, report that no more callers should be directed
// to this process.
func (c *Child) Drain() {
	if c.self.State == member.StateAlive {
		c.self.State = member.StateDraining
		c.accepted = false
	}
}

// Leave releases the lease and makes the next renewal the last one.
func (c *Child) Leave() {
	c.self.State = member.StateDown
	c.accepted = false
	c.holder.Release()
}

// Renewal returns the renewal to send now. inForce is the latest revision in force at all
// descendants; an entry, which has none, passes Revision.
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

// Effect describes what a message from the parent changed.
type Effect struct {
	// Granted is set if the answer was expected and granted a lease.
	Granted bool
	// ConfigChanged is set if the configuration advanced.
	ConfigChanged bool
	// MembersChanged is set if the membership advanced.
	MembersChanged bool
	// Reattach is set if the parent refuses this session: the child has to Attach and
	// retry, with another parent if this one is full.
	Reattach bool
	// Behind is set if an update starts after the version held: the child has to renew
	// now to receive what is missing.
	Behind bool
	// Err is set if an update was invalid. The update was not applied.
	Err error
}

// Renewed applies the answer to a renewal.
func (c *Child) Renewed(answer Renewed) Effect {
	var effect Effect
	if answer.Members != nil {
		err := c.members.Apply(*answer.Members)
		effect.MembersChanged = err == nil
		// A stale update comes from a parent that lags; a later one won't be stale.
		if !errors.Is(err, member.ErrStale) {
			effect.recordError(err, member.ErrGap)
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

// Pushed applies a configuration update from the parent.
func (c *Child) Pushed(update config.Update) Effect {
	var effect Effect
	changed, err := c.configs.Apply(update)
	effect.ConfigChanged = changed
	effect.recordError(err, config.ErrGap)
	return effect
}

// recordError sets Behind if err is gap, and Err for any other error.
func (e *Effect) recordError(err, gap error) {
	switch {
	case err == nil:
	case errors.Is(err, gap):
		e.Behind = true
	default:
		e.Err = err
	}
}

// Ack returns the acknowledgement that a revision is in force at this process and all its
// descendants.
func (c *Child) Ack(inForce config.Revision) Ack {
	return Ack{
		Host:        c.self.Host,
		Incarnation: c.self.Stamp.Incarnation,
		InForce:     min(inForce, c.Revision()),
	}
}

// Serving reports whether new requests may be served now. A draining process still serves,
// since callers that already have its address may send requests.
func (c *Child) Serving(now time.Time) bool {
	return c.self.State != member.StateDown && c.holder.Valid(now)
}

// Expiry returns when the lease expires unless it is renewed.
func (c *Child) Expiry() time.Time { return c.holder.Expiry() }

// Revision returns the configuration revision held.
func (c *Child) Revision() config.Revision { return c.configs.Current().Revision() }

// Config returns the configuration held.
func (c *Child) Config() *config.Snapshot { return c.configs.Current() }

// Members returns the membership held.
func (c *Child) Members() *member.View { return &c.members.View }

// Self returns the process's own claim.
func (c *Child) Self() member.Member { return c.self }
