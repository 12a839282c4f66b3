package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// Bounds and defaults of a Granter.
const (
	// DefaultTerm is the duration of a serving lease. A partitioned entry stops
	// serving within it, so it also bounds how long such an entry delays a
	// change.
	DefaultTerm = 3 * time.Second
	// DefaultAckGrace is the time after the commit of a revision during which
	// an entry that has not acknowledged it can still renew its lease.
	DefaultAckGrace = 2 * time.Second
	// MaxHolders bounds the leases of one granter.
	MaxHolders = 4096
	// maxCommits bounds the commit times kept. An entry that is further behind
	// counts as behind since the oldest of them.
	maxCommits = 1024
)

// Revision is a committed revision of the state that the leases protect.
type Revision uint64

// HolderID identifies one incarnation of an entry. A restarted entry is a
// different holder; the lease of its previous incarnation counts until it expires
// or is released.
type HolderID struct {
	Host        ident.Host        `cbor:"1,keyasint" json:"host"`
	Incarnation ident.Incarnation `cbor:"2,keyasint" json:"incarnation"`
}

// Options configure a Granter. Zero fields take the defaults.
type Options struct {
	Term     time.Duration
	AckGrace time.Duration
	// NoEarlierLeases skips the wait for leases of earlier granters. It is for
	// the first epoch of a new control group, and for a relay: its leases never
	// outlast the lease that it holds itself, and the granter of that lease
	// already waits for it.
	NoEarlierLeases bool
}

func (o Options) withDefaults() Options {
	o.Term = cmp.Or(o.Term, DefaultTerm)
	o.AckGrace = cmp.Or(o.AckGrace, DefaultAckGrace)
	return o
}

// RefusalReason is the reason why a renewal was refused.
type RefusalReason string

// The reasons for refusing a renewal.
const (
	// RefusedBehind means that the entry holds an old revision and must first
	// apply and acknowledge a newer one.
	RefusedBehind RefusalReason = "behind"
	// RefusedFull means that there are MaxHolders leases already.
	RefusedFull RefusalReason = "too-many-holders"
)

// Grant is the answer to a renewal. Refused is empty if the lease was granted.
type Grant struct {
	Term    time.Duration
	Refused RefusalReason
}

// heldLease is a lease that may be in use.
type heldLease struct {
	expiry time.Time // on the granter's clock
	acked  Revision  // latest revision that the holder has acknowledged
}

// commit is a committed revision and the time of its commit.
type commit struct {
	revision Revision
	at       time.Time
}

// Granter is the leader's side of the serving leases. Each epoch has a new one,
// created after the epoch's own command was applied, so that it knows every
// revision that an earlier leader can have committed. It is not safe for
// concurrent use.
type Granter struct {
	opts Options
	// earlierLeasesEnd is the time by which all leases of earlier leaders have
	// expired. Their holders and acknowledged revisions are not known.
	earlierLeasesEnd time.Time
	// minRevision is the latest revision at the creation of the granter. An
	// earlier leader may have reported it in force, so no entry with an older
	// revision gets a lease.
	minRevision Revision
	committed   Revision
	inForce     Revision
	commits     []commit
	holders     map[HolderID]*heldLease
}

// NewGranter returns the granter of an epoch that starts now, with committed as
// the latest revision.
func NewGranter(opts Options, now time.Time, committed Revision) *Granter {
	opts = opts.withDefaults()
	earlierLeasesEnd := now.Add(GranterTerm(opts.Term))
	if opts.NoEarlierLeases {
		earlierLeasesEnd = now
	}
	return &Granter{
		opts:             opts,
		earlierLeasesEnd: earlierLeasesEnd,
		minRevision:      committed,
		committed:        committed,
		commits:          []commit{{revision: committed, at: now}},
		holders:          make(map[HolderID]*heldLease),
	}
}

// Committed records a newly committed revision.
func (g *Granter) Committed(now time.Time, revision Revision) {
	if revision <= g.committed {
		return
	}
	g.committed = revision
	g.commits = append(g.commits, commit{revision: revision, at: now})
	if len(g.commits) > maxCommits {
		g.commits = slices.Delete(g.commits, 0, len(g.commits)-maxCommits)
	}
}

// Renew grants or refuses a lease to an entry that has acknowledged acked. The
// caller must have confirmed its leadership after the request arrived.
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
	// With a lease, an entry below the revision reported in force would serve
	// by an older one.
	if acked < g.minRevision || acked < g.InForce(now) || g.overdue(now, acked) {
		return Grant{Refused: RefusedBehind}
	}
	if !found {
		if g.atCapacity(now) {
			return Grant{Refused: RefusedFull}
		}
		held = &heldLease{acked: acked}
		g.holders[id] = held
	}
	held.expiry = now.Add(GranterTerm(g.opts.Term))
	return Grant{Term: g.opts.Term}
}

func (g *Granter) atCapacity(now time.Time) bool {
	if len(g.holders) >= MaxHolders {
		g.expire(now)
	}
	return len(g.holders) >= MaxHolders
}

// overdue reports whether the revision after acked was committed more than
// AckGrace ago. Renew then refuses, which limits the delay of a revision by an
// entry that applies no updates to AckGrace and one lease.
func (g *Granter) overdue(now time.Time, acked Revision) bool {
	if acked >= g.committed {
		return false
	}
	at, _ := slices.BinarySearchFunc(g.commits, acked+1, func(c commit, revision Revision) int {
		return cmp.Compare(c.revision, revision)
	})
	return now.Sub(g.commits[at].at) > g.opts.AckGrace
}

// Ack records that an entry has acknowledged a revision.
func (g *Granter) Ack(id HolderID, revision Revision) {
	if held, found := g.holders[id]; found {
		held.acked = max(held.acked, revision)
	}
}

// Release ends a lease on request of its holder, which must have stopped using it
// before.
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

// InForce returns the latest revision that is in force, which means that every
// lease that may still be in use belongs to an entry that has acknowledged it. It
// never decreases. Zero means that no revision is known to be in force yet. The
// call takes constant time when the latest revision is in force.
func (g *Granter) InForce(now time.Time) Revision {
	if g.inForce == g.committed || now.Before(g.earlierLeasesEnd) {
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

// NextExpiry returns the earliest time at which InForce may advance without
// another acknowledgement, so that the caller can check again then. It is zero
// when the latest revision is in force.
func (g *Granter) NextExpiry(now time.Time) time.Time {
	if g.InForce(now) >= g.committed {
		return time.Time{}
	}
	if now.Before(g.earlierLeasesEnd) {
		return g.earlierLeasesEnd
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
	// Remaining is the time for which the lease may still be in use.
	Remaining time.Duration `json:"remaining" cbor:"3,keyasint"`
}

// Holders returns the leases that may be in use, ordered by host and incarnation.
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

// Term returns the duration of the leases granted.
func (g *Granter) Term() time.Duration { return g.opts.Term }

// EarlierLeasesEnd returns the time by which all leases of earlier leaders have
// expired.
func (g *Granter) EarlierLeasesEnd() time.Time { return g.earlierLeasesEnd }
