package relay

import (
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/lease"
	"github.com/lovagereach/lovagereach/member"
)

// Renewal is what a child sends a few times a second.
type Renewal struct {
	// Number is repeated by the answer.
	Number uint64       `cbor:"1,keyasint"`
	Host   ident.Host   `cbor:"2,keyasint"`
	Stamp  member.Stamp `cbor:"3,keyasint"`
	State  member.State `cbor:"4,keyasint"`
	// Claim describes the child in full. It is sent until the parent has
	// accepted it; later renewals do without.
	Claim *member.Member `cbor:"5,keyasint,omitempty"`
	// Held is the revision the child has, InForce the latest that is in force
	// at it and below it. For an entry the two are equal.
	Held    config.Revision `cbor:"6,keyasint"`
	InForce config.Revision `cbor:"7,keyasint"`
	// Members is the version of the membership that the child holds.
	Members member.Version `cbor:"8,keyasint"`
	// Below lists what changed among the processes behind a relay, as batch
	// Batch; it is repeated until the parent confirms the batch.
	Batch       uint64          `cbor:"9,keyasint,omitempty"`
	Descendants []member.Member `cbor:"10,keyasint,omitempty"`
}

// Renewed answers a Renewal.
type Renewed struct {
	// Number is that of the Renewal answered.
	Number uint64 `cbor:"1,keyasint"`
	// Verdict is what the parent made of the child's heartbeat.
	Verdict member.Verdict `cbor:"2,keyasint"`
	// Term is the length of the lease granted, zero when Refused says why not.
	Term    time.Duration       `cbor:"3,keyasint,omitempty"`
	Refused lease.RefusalReason `cbor:"4,keyasint,omitempty"`
	// Members brings the child's membership up to date; nil when it is. The
	// configuration, which can be large, travels by itself.
	Members *member.Update `cbor:"5,keyasint,omitempty"`
	// Batch is the highest batch of Below that the parent has.
	Batch uint64 `cbor:"6,keyasint,omitempty"`
}

// Ack tells a parent that a revision is in force at a child and below it.
type Ack struct {
	Host        ident.Host        `cbor:"1,keyasint"`
	Incarnation ident.Incarnation `cbor:"2,keyasint"`
	InForce     config.Revision   `cbor:"3,keyasint"`
}

// Reasons for refusing a lease, besides those of package lease.
const (
	// RefusedNoLease: the relay's own lease has too little time left.
	RefusedNoLease lease.RefusalReason = "relay-without-lease"
	// RefusedNotMember: the heartbeat was not accepted.
	RefusedNotMember lease.RefusalReason = "not-a-member"
)
