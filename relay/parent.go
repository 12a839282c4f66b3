package relay

import (
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/lease"
	"github.com/lovagereach/lovagereach/member"
)

// Configs is a parent's source of configuration: the replicated state at the leader, a feed
// at a relay.
type Configs interface {
	Current() *config.Snapshot
	Since(held config.Revision) config.Update
}

// Members is a parent's source of membership: the directory at the leader, a feed at a relay.
type Members interface {
	Version() member.Version
	Since(have member.Version) (member.Update, bool)
}

// Parent grants leases to its children. It is not safe for concurrent use.
type Parent struct {
	granter  *lease.Granter
	registry *member.Registry
	configs  Configs
	members  Members
	// sent is the revision that each child was last sent or reported as held, so that a
	// push contains only what is missing.
	sent map[ident.Host]config.Revision
}

// NewParent returns a parent that grants leases from now on.
func NewParent(opts ParentOptions, now time.Time, configs Configs, members Members) (*Parent, error) {
	registry, err := member.NewRegistry(opts.Registry)
	if err != nil {
		return nil, err
	}
	parent := &Parent{
		granter:  lease.NewGranter(opts.Lease, now, lease.Revision(configs.Current().Revision())),
		registry: registry,
		configs:  configs,
		members:  members,
		sent:     make(map[ident.Host]config.Revision),
	}
	return parent, nil
}

// Committed records that a revision was committed or, at a relay, received.
func (p *Parent) Committed(now time.Time, revision config.Revision) {
	p.granter.Committed(now, lease.Revision(revision))
}

// Term returns the length of a lease without a limit.
func (p *Parent) Term() time.Duration { return p.granter.Term() }

// EarlierLeasesEnd returns when the leases granted by earlier parents have expired.
func (p *Parent) EarlierLeasesEnd() time.Time { return p.granter.EarlierLeasesEnd() }

// Release ends a lease at its holder's request.
func (p *Parent) Release(id lease.HolderID) { p.granter.Release(id) }

// Renew answers a child's renewal. limit is the longest lease that may be granted now; at a
// relay it is the rest of its own lease. The leader must have confirmed its leadership after
// the renewal arrived. The answer confirms the batch, so the caller must forward
// r.Descendants before it sends the answer.
func (p *Parent) Renew(now time.Time, r Renewal, limit time.Duration) Renewed {
	answer := Renewed{Number: r.Number, Verdict: p.heartbeat(now, r)}
	if answer.Verdict != member.VerdictAccepted {
		answer.Refused = RefusedNotMember
		return answer
	}
	answer.Batch = r.Batch
	p.grant(now, r, limit, &answer)
	p.catchUp(r, &answer)
	return answer
}

// heartbeat passes the heartbeat to the registry and returns its verdict.
func (p *Parent) heartbeat(now time.Time, r Renewal) member.Verdict {
	if r.Claim != nil {
		return p.registry.Heartbeat(now, *r.Claim)
	}
	return p.registry.ShortHeartbeat(now, r.Host, r.Stamp, r.State)
}

// grant sets the answer's lease term, or the reason for which no lease is granted.
func (p *Parent) grant(now time.Time, r Renewal, limit time.Duration, answer *Renewed) {
	id := lease.HolderID{Host: r.Host, Incarnation: r.Stamp.Incarnation}
	if r.State == member.StateDown {
		p.granter.Release(id)
		answer.Refused = RefusedNotMember
		return
	}
	if limit < MinTerm {
		p.granter.Ack(id, lease.Revision(r.InForce))
		answer.Refused = RefusedNoLease
		return
	}
	grant := p.granter.Renew(now, id, lease.Revision(r.InForce))
	answer.Refused = grant.Refused
	if grant.Refused == "" {
		answer.Term = min(grant.Term, limit)
	}
}

// catchUp adds the membership that, by its renewal, the child lacks. It also records the
// child's configuration revision, so that Push repeats a lost push.
func (p *Parent) catchUp(r Renewal, answer *Renewed) {
	if update, behind := p.members.Since(r.Members); behind {
		answer.Members = &update
	}
	p.sent[r.Host] = r.Held
}

// Ack processes a child's acknowledgement that a revision is in force at it and all its
// descendants.
func (p *Parent) Ack(ack Ack) {
	id := lease.HolderID{Host: ack.Host, Incarnation: ack.Incarnation}
	p.granter.Ack(id, lease.Revision(ack.InForce))
}

// InForce returns the latest revision in force at every descendant that may serve.
func (p *Parent) InForce(now time.Time) config.Revision {
	return config.Revision(p.granter.InForce(now))
}

// NextExpiry returns when InForce may advance without a message, by the expiry of leases; zero
// if it can't.
func (p *Parent) NextExpiry(now time.Time) time.Time { return p.granter.NextExpiry(now) }

// Tick marks children down whose heartbeats have timed out.
func (p *Parent) Tick(now time.Time) { p.registry.Tick(now) }

// Changes returns the claims of direct children that changed since the last call.
func (p *Parent) Changes() []member.Member {
	changes := p.registry.Changes()
	for _, m := range changes {
		if m.State == member.StateDown {
			delete(p.sent, m.Host)
		}
	}
	return changes
}

// Children returns every known child, including those that are down.
func (p *Parent) Children() []member.Member { return p.registry.All() }

// Holders returns the leases that may be in use.
func (p *Parent) Holders(now time.Time) []lease.HolderStatus { return p.granter.Holders(now) }

// Push returns the configuration that a child has not been sent yet, empty if there is none.
// A lost push is repeated after the next renewal. Membership is never pushed: when many
// processes start at the same time, each would cause a message to all others.
func (p *Parent) Push(child ident.Host) config.Update {
	held, known := p.sent[child]
	if !known {
		return config.Update{}
	}
	update := p.configs.Since(held)
	if !update.Empty() {
		p.sent[child] = p.configs.Current().Revision()
	}
	return update
}
