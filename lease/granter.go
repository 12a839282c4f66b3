package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// Bounds and defaults of a Granter.
const (
	// DefaultTerm is how long a serving lease lasts. An entry that is cut off
	// stops within it, so it also bounds how long a change waits for one.
	DefaultTerm = 3 * time.Second
	// DefaultAckGrace is how long an entry may hold a revision that is no
	// longer the latest and still have its lease renewed.
	DefaultAckGrace = 2 * time.Second
	// MaxHolders bounds the leases of one granter.
	MaxHolders = 4096
	// maxPending bounds the commit times kept; an entry further behind than
	// that is behind for too long.
	maxPending = 1024
)

// Revision is a committed revision of what the leases protect.
type Revision uint64

// HolderID is one incarnation of an entry. A restarted entry is another holder: the
// lease of its former incarnation counts until it ends or is released.
type HolderID struct {
	Host        ident.Host        `cbor:"1,keyasint" json:"host"`
	Incarnation ident.Incarnation `cbor:"2,keyasint" json:"incarnation"`
}

// Options configure a Granter. Zero values mean the defaults.
type Options struct {
	Term     time.Duration
	AckGrace time.Duration
	// NoEarlierLeases skips the wait for leases of earlier granters. It is for
	// the first epoch of a new control group, and for a relay, whose leases
	// never outlast the one it holds itself: whoever granted that one already
	// waits for it.
	NoEarlierLeases bool
}

func (o Options) withDefaults() Options {
	o.Term = cmp.Or(o.Term, DefaultTerm)
	o.AckGrace = cmp.Or(o.AckGrace, DefaultAckGrace)
	return o
}

// RefusalReason says why a renewal was refused.
type RefusalReason string

// The reasons for refusing a renewal.
const (
	// RefusedBehind: the entry holds an old revision and must first take and
	// acknowledge a newer one.
	RefusedBehind RefusalReason = "behind"
	// RefusedFull: there are MaxHolders leases already.
	RefusedFull RefusalReason = "too-many-holders"
)

// Grant answers a renewal. Refused is empty when the lease was granted.
type Grant struct {
	Term    time.Duration
	Refused RefusalReason
}

type holding struct {
	expiry time.Time
	acked  Revision
}

type commit struct {
	revision Revision
	at       time.Time
}

// Granter is the leader's side of the serving leases. A new one is made for
// each epoch, after the epoch's own command was applied, so that it knows every
// revision an earlier leader can have committed. It is not safe for concurrent
// use.
type Granter struct {
	opts Options
	// quietUntil is when the leases of earlier leaders have all ended. Who
	// holds them and what they have acknowledged is not known here.
	quietUntil time.Time
	// floor is the latest revision when the granter was made. An earlier
	// leader may have reported it in force, so nobody behind it gets a lease.
	floor     Revision
	committed Revision
	inForce   Revision
	pending   []commit
	holders   map[HolderID]*holding
}

// NewGranter returns the granter of an epoch that starts now.
func NewGranter(opts Options, now time.Time, committed Revision) *Granter {
	opts = opts.withDefaults()
	quietUntil := now.Add(GranterTerm(opts.Term))
	if opts.NoEarlierLeases {
		quietUntil = now
	}
	return &Granter{
		opts:       opts,
		quietUntil: quietUntil,
		floor:      committed,
		committed:  committed,
		pending:    []commit{{revision: committed, at: now}},
		holders:    make(map[HolderID]*holding),
	}
}

// Committed takes note of a newly committed revision.
func (g *Granter) Committed(now time.Time, revision Revision) {
	if revision <= g.committed {
		return
	}
	g.committed = revision
	g.pending = append(g.pending, commit{revision: revision, at: now})
	if len(g.pending) > maxPending {
		g.pending = slices.Delete(g.pending, 0, len(g.pending)-maxPending)
	}
}

// Renew answers an entry that holds acked and asks for a lease. The caller has
// proved after the request arrived that it still leads.
func (g *Granter) Renew(now time.Time, id HolderID, acked Revision) Grant {
	held, found := g.holders[id]
	if found && !now.Before(held.expiry) {
		delete(g.holders, id)
		found = false
	}
	if found {
		held.acked = max(held.acked, acked)
		acked = held.acked
	}
	// A lease for a revision below one that was reported in force would let
	// that revision revert at this entry.
	if acked < g.floor || acked < g.InForce(now) || g.overdue(now, acked) {
		return Grant{Refused: RefusedBehind}
	}
	if !found {
		if g.full(now) {
			return Grant{Refused: RefusedFull}
		}
		held = &holding{acked: acked}
		g.holders[id] = held
	}
	held.expiry = now.Add(GranterTerm(g.opts.Term))
	return Grant{Term: g.opts.Term}
}

func (g *Granter) full(now time.Time) bool {
	if len(g.holders) >= MaxHolders {
		g.expire(now)
	}
	return len(g.holders) >= MaxHolders
}

// overdue tells whether the revision after acked was committed longer than
// AckGrace ago. Refusing the renewal then bounds how long one entry that takes
// no updates can hold back a revision: AckGrace and one lease.
func (g *Granter) overdue(now time.Time, acked Revision) bool {
	if acked >= g.committed {
		return false
	}
	at, _ := slices.BinarySearchFunc(g.pending, acked+1, func(c commit, revision Revision) int {
		return cmp.Compare(c.revision, revision)
	})
	return now.Sub(g.pending[at].at) > g.opts.AckGrace
}

// Ack takes an entry's word that it holds a revision.
func (g *Granter) Ack(id HolderID, revision Revision) {
	if held, found := g.holders[id]; found {
		held.acked = max(held.acked, revision)
	}
}

// Release ends a lease at its holder's wish. The holder has stopped using it
// before it said so.
func (g *Granter) Release(id HolderID) {
	delete(g.holders, id)
}

func (g *Granter) expire(now time.Time) {
	for id, held := range g.holders {
		if !now.Before(held.expiry) {
			delete(g.holders, id)
		}
	}
}

// InForce returns the latest revision that is in force: every lease that may
// still be in use belongs to an entry that has acknowledged it. It never goes
// back. Zero means that nothing is known to be in force yet. While nothing is
// pending the call takes constant time.
func (g *Granter) InForce(now time.Time) Revision {
	if g.inForce == g.committed || now.Before(g.quietUntil) {
		return g.inForce
	}
	lowest := g.committed
	for _, held := range g.holders {
		if now.Before(held.expiry) {
			lowest = min(lowest, held.acked)
		}
	}
	g.inForce = max(g.inForce, lowest)
	return g.inForce
}

// NextExpiry returns when InForce should be asked again if no acknowledgement
// arrives before; zero when everything committed is in force.
func (g *Granter) NextExpiry(now time.Time) time.Time {
	if g.InForce(now) >= g.committed {
		return time.Time{}
	}
	if now.Before(g.quietUntil) {
		return g.quietUntil
	}
	var next time.Time
	for _, held := range g.holders {
		if held.acked >= g.committed || !now.Before(held.expiry) {
			continue
		}
		if next.IsZero() || held.expiry.Before(next) {
			next = held.expiry
		}
	}
	return next
}

// HolderStatus describes one lease.
type HolderStatus struct {
	ID    HolderID `json:"id" cbor:"1,keyasint"`
	Acked Revision `json:"acked" cbor:"2,keyasint"`
	// Remaining is how long the lease may still be in use.
	Remaining time.Duration `json:"remaining" cbor:"3,keyasint"`
}

// Holders lists the leases that may be in use, by host.
func (g *Granter) Holders(now time.Time) []HolderStatus {
	g.expire(now)
	list := make([]HolderStatus, 0, len(g.holders))
	for id, held := range g.holders {
		list = append(list, HolderStatus{ID: id, Acked: held.acked, Remaining: held.expiry.Sub(now)})
	}
	slices.SortFunc(list, func(a, b HolderStatus) int {
		return cmp.Or(cmp.Compare(a.ID.Host, b.ID.Host), cmp.Compare(a.ID.Incarnation, b.ID.Incarnation))
	})
	return list
}

// Term returns the length of the leases granted.
func (g *Granter) Term() time.Duration { return g.opts.Term }

// EarlierLeasesEnd returns when the leases of earlier leaders have ended.
func (g *Granter) EarlierLeasesEnd() time.Time { return g.quietUntil }
