// Package ledger implements the at-most-once ledger and the audit trace.
// Machine is the replicated state of one ledger group, Server runs on control
// hosts and answers entry hosts, and Client is the entry host's side.
//
// Client.Do runs a call that must not be repeated in three steps: claim, send
// and record. All resends of a claim have the same claim ID, and a call is
// reported as not run only when that is certain.
package ledger

import (
	"github.com/lovagereach/lovagereach/audit"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/once"
)

// Peer methods of a Server.
const (
	MethodClaim   port.Method = "ledger/claim"
	MethodRelease port.Method = "ledger/release"
	MethodRecord  port.Method = "ledger/record"
	MethodTrace   port.Method = "ledger/trace"
	MethodQuery   port.Method = "ledger/query"
	MethodLost    port.Method = "ledger/lost"
)

// Methods returns all peer methods of a Server, for registration.
func Methods() []port.Method {
	return []port.Method{MethodClaim, MethodRelease, MethodRecord, MethodTrace, MethodQuery, MethodLost}
}

// Request is the body of all messages to a Server. Only the field of the
// message's method is set.
type Request struct {
	Group     port.GroupID        `cbor:"1,keyasint"`
	Claim     *once.Claim         `cbor:"2,keyasint,omitempty"`
	Release   *once.Release       `cbor:"3,keyasint,omitempty"`
	Record    *once.Record        `cbor:"4,keyasint,omitempty"`
	Trace     *audit.TraceCommand `cbor:"5,keyasint,omitempty"`
	Query     *audit.Query        `cbor:"6,keyasint,omitempty"`
	LostOwner *once.Owner         `cbor:"7,keyasint,omitempty"`
	// WaitMillis is how long the server may delay its reply to a duplicate's
	// claim until the call in flight is resolved.
	WaitMillis int64 `cbor:"8,keyasint,omitempty"`
}

// ReplyCode is the status of a Reply.
type ReplyCode uint8

// Values of ReplyCode.
const (
	// ReplyInvalid is the zero value. It is never sent.
	ReplyInvalid ReplyCode = iota
	// ReplyOK means that the reply contains the group's result.
	ReplyOK
	// ReplyNotLeader means that this host doesn't lead and proposed nothing.
	ReplyNotLeader
	// ReplyUncertain means that the command may or may not be committed.
	ReplyUncertain
	// ReplyNoGroup means that this host has no replica of the group.
	ReplyNoGroup
	// ReplyBad means that the message lacks the field of its method.
	ReplyBad
)

// Reply is the answer to a Request.
type Reply struct {
	Code        ReplyCode          `cbor:"1,keyasint"`
	Leader      ident.Host         `cbor:"2,keyasint,omitempty"`
	Result      *once.Result       `cbor:"3,keyasint,omitempty"`
	Trace       *audit.TraceResult `cbor:"4,keyasint,omitempty"`
	QueryResult *audit.Result      `cbor:"5,keyasint,omitempty"`
}

// command is one entry of a ledger group's log: a command of the ledger or of
// the trace. Exactly one field is set.
type command struct {
	Once  *once.Command       `cbor:"1,keyasint,omitempty"`
	Trace *audit.TraceCommand `cbor:"2,keyasint,omitempty"`
}

func (c command) encode() []byte { return wire.MustMarshal(c) }

// GroupOf returns the ledger group of a shard.
func GroupOf(shard uint32) port.GroupID { return port.GroupConfig + 1 + port.GroupID(shard) }
