package relay

import (
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/lease"
	"github.com/lovagereach/lovagereach/member"
)

// Renewal is the lease renewal and heartbeat that a child sends every RenewEvery.
type Renewal struct {
	// Number is repeated in the answer.
	Number uint64       `cbor:"1,keyasint"`
	Host   ident.Host   `cbor:"2,keyasint"`
	Stamp  member.Stamp `cbor:"3,keyasint"`
	State  member.State `cbor:"4,keyasint"`
	// Claim is the child's complete description. It is sent until the parent has
	// accepted it, and omitted afterwards.
	Claim *member.Member `cbor:"5,keyasint,omitempty"`
	// Held is the revision the child has; InForce is the latest revision in force at the
	// child and all its descendants. For an entry the two are equal.
	Held    config.Revision `cbor:"6,keyasint"`
	InForce config.Revision `cbor:"7,keyasint"`
	// Members is the version of the membership that the child has.
	Members member.Version `cbor:"8,keyasint"`
	// Descendants are the changed claims of the processes below a relay, with batch number
	// Batch. They are repeated until the parent confirms the batch.
	Batch       uint64          `cbor:"9,keyasint,omitempty"`
	Descendants []member.Member `cbor:"10,keyasint,omitempty"`
}

// Renewed is the answer to a Renewal.
type Renewed struct {
	// Number is the number of the Renewal answered.
	Number uint64 `cbor:"1,keyasint"`
	// Verdict is the parent's decision about the child's heartbeat.
	Verdict member.Verdict `cbor:"2,keyasint"`
	// Term is the length of the lease granted; it is zero if Refused has a reason.
	Term    time.Duration       `cbor:"3,keyasint,omitempty"`
	Refused lease.RefusalReason `cbor:"4,keyasint,omitempty"`
	// Members updates the child's membership, nil if it is up to date. The configuration,
	// which can be large, is sent separately.
	Members *member.Update `cbor:"5,keyasint,omitempty"`
	// Batch is the highest number of a batch of Descendants that the parent has.
	Batch uint64 `cbor:"6,keyasint,omitempty"`
}

// Ack reports to a parent that a revision is in force at a child and all its descendants.
type Ack struct {
	Host        ident.Host        `cbor:"1,keyasint"`
	Incarnation ident.Incarnation `cbor:"2,keyasint"`
	InForce     config.Revision   `cbor:"3,keyasint"`
}

// Reasons for refusing a lease, besides those of package lease.
const (
	// RefusedNoLease means that less than MinTerm is left of the relay's own lease.
	RefusedNoLease lease.RefusalReason = "relay-without-lease"
	// RefusedNotMember means that the heartbeat was not accepted or that the child leaves.
	RefusedNotMember lease.RefusalReason = "not-a-member"
)
