// Package ledger runs the at-most-once ledger and the audit trace: Machine is
// the replicated state of one ledger group, Server answers entry hosts on the
// control hosts, Client is what an entry host uses.
//
// A Client turns a call that may not be repeated into claim, send and record
// (Do); it keeps one identity for a claim however often the claim is resent,
// and says that a call did not run only when that is certain.
package ledger

import (
	"github.com/lovagereach/lovagereach/audit"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/once"
)

// The methods that a Server answers.
const (
	MethodClaim   port.Method = "ledger/claim"
	MethodRelease port.Method = "ledger/release"
	MethodRecord  port.Method = "ledger/record"
	MethodTrace   port.Method = "ledger/trace"
	MethodQuery   port.Method = "ledger/query"
	MethodLost    port.Method = "ledger/lost"
)

// Methods lists all of them, for registration.
func Methods() []port.Method {
	return []port.Method{MethodClaim, MethodRelease, MethodRecord, MethodTrace, MethodQuery, MethodLost}
}

// Request is the body of every message to a Server. The field that goes with
// the method is set.
type Request struct {
	Group     port.GroupID        `cbor:"1,keyasint"`
	Claim     *once.Claim         `cbor:"2,keyasint,omitempty"`
	Release   *once.Release       `cbor:"3,keyasint,omitempty"`
	Record    *once.Record        `cbor:"4,keyasint,omitempty"`
	Trace     *audit.TraceCommand `cbor:"5,keyasint,omitempty"`
	Query     *audit.Query        `cbor:"6,keyasint,omitempty"`
	LostOwner *once.Owner         `cbor:"7,keyasint,omitempty"`
	// WaitMillis is how long a duplicate's claim may wait for the outcome of
	// the call in flight before it is answered.
	WaitMillis int64 `cbor:"8,keyasint,omitempty"`
}

// ReplyCode says whether a Server could act.
type ReplyCode uint8

// The codes.
const (
	// ReplyInvalid is the zero value, which no Server sends.
	ReplyInvalid ReplyCode = iota
	// ReplyOK: the result is the ledger's.
	ReplyOK
	// ReplyNotLeader: nothing was proposed here.
	ReplyNotLeader
	// ReplyUncertain: the command may or may not be committed.
	ReplyUncertain
	// ReplyNoGroup: this host does not hold the group.
	ReplyNoGroup
	// ReplyBad: the message lacks the field of its method.
	ReplyBad
)

// Reply is the answer to every message.
type Reply struct {
	Code        ReplyCode          `cbor:"1,keyasint"`
	Leader      ident.Host         `cbor:"2,keyasint,omitempty"`
	Result      *once.Result       `cbor:"3,keyasint,omitempty"`
	Trace       *audit.TraceResult `cbor:"4,keyasint,omitempty"`
	QueryResult *audit.Result      `cbor:"5,keyasint,omitempty"`
}

// command is one entry of a ledger group's log: of the ledger or of the trace.
type command struct {
	Once  *once.Command       `cbor:"1,keyasint,omitempty"`
	Trace *audit.TraceCommand `cbor:"2,keyasint,omitempty"`
}

func (c command) encode() []byte { return wire.MustMarshal(c) }

// GroupOf returns the ledger group of a shard.
func GroupOf(shard uint32) port.GroupID { return port.GroupConfig + 1 + port.GroupID(shard) }
