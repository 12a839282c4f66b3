package relay

import (
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/lease"
	"github.com/lovagereach/lovagereach/member"
)

// Configs is where a parent takes configuration from: the replicated state at
// the leader, a feed at a relay.
type Configs interface {
	Current() *config.Snapshot
	Since(held config.Revision) config.Update
}

// Members is where a parent takes membership from: the directory at the
// leader, a feed at a relay.
type Members interface {
	Version() member.Version
	Since(have member.Version) (member.Update, bool)
}

// Parent grants leases to the processes below. It is not safe for concurrent
// use.
type Parent struct {
	granter  *lease.Granter
	registry *member.Registry
	configs  Configs
	members  Members
	// sent is the revision each child has been sent or has said to hold, so
	// that a push carries only what is missing.
	sent map[ident.Host]config.Revision
}

// NewParent returns a parent that grants from now on.
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

// Committed tells the parent that a revision was committed or, at a relay, has
// arrived.
func (p *Parent) Committed(now time.Time, revision config.Revision) {
	p.granter.Committed(now, lease.Revision(revision))
}

// Term returns the length of a lease that nothing limits.
func (p *Parent) Term() time.Duration { return p.granter.Term() }

// EarlierLeasesEnd returns when the leases of earlier parents have ended.
func (p *Parent) EarlierLeasesEnd() time.Time { return p.granter.EarlierLeasesEnd() }

// Release ends a lease at its holder's wish.
func (p *Parent) Release(id lease.HolderID) { p.granter.Release(id) }

// Renew answers a child. limit is the longest lease that may be granted now: at
// a relay what is left of its own. The leader calls Renew only after it has
// proved, since the renewal arrived, that it still leads. The caller passes
// r.Below on before it sends the answer, which confirms the batch.
func (p *Parent) Renew(now time.Time, r Renewal, limit time.Duration) Renewed {
	answer := Renewed{Number: r.Number, Verdict: p.beat(now, r)}
	if answer.Verdict != member.VerdictAccepted {
		answer.Refused = RefusedNotMember
		return answer
	}
	answer.Batch = r.Batch
	p.grant(now, r, limit, &answer)
	p.catchUp(r, &answer)
	return answer
}

func (p *Parent) beat(now time.Time, r Renewal) member.Verdict {
	if r.Claim != nil {
		return p.registry.Heartbeat(now, *r.Claim)
	}
	return p.registry.ShortHeartbeat(now, r.Host, r.Stamp, r.State)
}

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

// catchUp adds the membership that the child lacks by its own account, and
// notes which configuration it has, so that Push makes a lost push good.
func (p *Parent) catchUp(r Renewal, answer *Renewed) {
	if update, behind := p.members.Since(r.Members); behind {
		answer.Members = &update
	}
	p.sent[r.Host] = r.Held
}

// Ack takes a child's word that a revision is in force at and below it.
func (p *Parent) Ack(ack Ack) {
	id := lease.HolderID{Host: ack.Host, Incarnation: ack.Incarnation}
	p.granter.Ack(id, lease.Revision(ack.InForce))
}

// InForce returns the latest revision in force at every process below that may
// serve.
func (p *Parent) InForce(now time.Time) config.Revision {
	return config.Revision(p.granter.InForce(now))
}

// NextExpiry returns when InForce may move without a message, zero if it can't.
func (p *Parent) NextExpiry(now time.Time) time.Time { return p.granter.NextExpiry(now) }

// Tick marks silent children down.
func (p *Parent) Tick(now time.Time) { p.registry.Tick(now) }

// Changes returns what changed among the direct children since the last call.
func (p *Parent) Changes() []member.Member {
	changes := p.registry.Changes()
	for _, m := range changes {
		if m.State == member.StateDown {
			delete(p.sent, m.Host)
		}
	}
	return changes
}

// Children returns every child known, those down included.
func (p *Parent) Children() []member.Member { return p.registry.All() }

// Holders lists the leases that may be in use.
func (p *Parent) Holders(now time.Time) []lease.HolderStatus { return p.granter.Holders(now) }

// Push returns the configuration that a child has not been sent yet; it is
// empty if the child has all. A push that gets lost is made good after the next
// renewal. Membership is never pushed: when many processes start at once, each
// would cause a message to all others.
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
