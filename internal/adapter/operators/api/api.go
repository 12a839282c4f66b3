// Package api defines the requests and responses of the operators' API of control hosts,
// encoded as JSON or CBOR.
package api

import (
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
)

// URL paths of the operators' listener.
const (
	PathConfig  = "/v1/config"
	PathHistory = "/v1/history"
	PathDiff    = "/v1/diff"
	PathStatus  = "/v1/status"
	PathMembers = "/v1/members"
	PathDump    = "/v1/dump"
	PathAudit   = "/v1/audit"
)

// MaxWait is the maximum time for which an apply waits until its change is in force.
const MaxWait = 60 * time.Second

// Content types.
const (
	TypeJSON = "application/json"
	TypeCBOR = "application/cbor"
)

// Code is a stable identifier of the cause of an error.
type Code string

// The error codes.
const (
	CodeUnauthorized Code = "unauthorized"
	CodeBadRequest   Code = "bad-request"
	CodeInvalid      Code = "invalid-configuration"
	CodeConflict     Code = "conflict"
	CodeReused       Code = "request-id-reused"
	CodeNotLeader    Code = "not-leader"
	// CodeUncertain means that the change may or may not be committed.
	CodeUncertain   Code = "uncertain"
	CodeUnavailable Code = "unavailable"
	CodeNotFound    Code = "not-found"
	CodeRefused     Code = "refused"
)

// Error is the response to a request that failed.
type Error struct {
	Code    Code   `json:"code" cbor:"1,keyasint"`
	Message string `json:"message" cbor:"2,keyasint"`
	// Next is the recommended next step for the operator.
	Next     string           `json:"next,omitempty" cbor:"3,keyasint,omitempty"`
	Problems []config.Problem `json:"problems,omitempty" cbor:"4,keyasint,omitempty"`
	// Winner is the revision that was committed instead of a conflicting change.
	Winner *config.RevisionMeta `json:"winner,omitempty" cbor:"5,keyasint,omitempty"`
	// Revision is the latest committed revision, zero if unknown.
	Revision config.Revision `json:"revision,omitempty" cbor:"6,keyasint,omitempty"`
	// Leader is the URL of the leader's operators' listener.
	Leader string `json:"leader,omitempty" cbor:"7,keyasint,omitempty"`
}

// Error implements error.
func (e *Error) Error() string { return e.Message }

// ApplyRequest is a request to change the configuration.
type ApplyRequest struct {
	// RequestID identifies the change: a request that is sent repeatedly is
	// applied at most once.
	RequestID string `json:"request_id" cbor:"1,keyasint"`
	// Base is the revision on which the change is based. If it isn't the latest
	// one, another change was committed first and this one is refused as a
	// conflict.
	Base   config.Revision `json:"base" cbor:"2,keyasint"`
	Note   string          `json:"note,omitempty" cbor:"3,keyasint,omitempty"`
	DryRun bool            `json:"dry_run,omitempty" cbor:"4,keyasint,omitempty"`
	// File is the name of the document in error messages.
	File string `json:"file,omitempty" cbor:"5,keyasint,omitempty"`
	// YAML is the complete document as text; error messages refer to its lines.
	YAML string `json:"yaml,omitempty" cbor:"6,keyasint,omitempty"`
	// WaitMillis is the maximum time to wait until the change is in force.
	WaitMillis int64 `json:"wait_ms,omitempty" cbor:"7,keyasint,omitempty"`
	// Delta is used instead of YAML. It holds the changes from Base to the
	// document and is empty if Base isn't the latest revision. Content is the
	// SHA-256 of the document in hexadecimal; a repeated request has the same
	// value.
	Delta   *config.Delta       `json:"delta,omitempty" cbor:"8,keyasint,omitempty"`
	Content *config.TokenDigest `json:"content,omitempty" cbor:"9,keyasint,omitempty"`
}

// ApplyAnswer is the response to an ApplyRequest.
type ApplyAnswer struct {
	RequestID string          `json:"request_id" cbor:"1,keyasint"`
	Verdict   config.Verdict  `json:"verdict" cbor:"2,keyasint"`
	Revision  config.Revision `json:"revision" cbor:"3,keyasint"`
	// Repeated is true if the request ID was used before; the result is that of
	// the first request.
	Repeated bool `json:"repeated,omitempty" cbor:"4,keyasint,omitempty"`
	// InForce is true if every entry that may serve has the revision.
	InForce bool         `json:"in_force" cbor:"5,keyasint"`
	DryRun  bool         `json:"dry_run,omitempty" cbor:"6,keyasint,omitempty"`
	Delta   config.Delta `json:"delta" cbor:"7,keyasint"`
}

// ConfigAnswer is the latest committed configuration.
type ConfigAnswer struct {
	Revision config.Revision `json:"revision" cbor:"1,keyasint"`
	Document config.Document `json:"document" cbor:"2,keyasint"`
}

// HistoryAnswer holds revisions, newest first.
type HistoryAnswer struct {
	Revisions []config.RevisionMeta `json:"revisions" cbor:"1,keyasint"`
}

// DiffAnswer holds the changes between two revisions.
type DiffAnswer struct {
	Delta config.Delta `json:"delta" cbor:"1,keyasint"`
}

// Member is a control host in the control group.
type Member struct {
	Host    ident.Host `json:"host" cbor:"1,keyasint"`
	Address string     `json:"address" cbor:"2,keyasint"`
	// Role is "voter" or "learner".
	Role   string `json:"role" cbor:"3,keyasint"`
	Leader bool   `json:"leader,omitempty" cbor:"4,keyasint,omitempty"`
}

// MembersAnswer holds the members of the control group.
type MembersAnswer struct {
	Members []Member `json:"members" cbor:"1,keyasint"`
}

// MemberAction is a kind of membership change.
type MemberAction string

// The membership changes. Only one can be in progress.
const (
	ActionAddLearner MemberAction = "add-learner"
	ActionPromote    MemberAction = "promote"
	ActionRemove     MemberAction = "remove"
	// ActionReplace adds a host again after its disk was replaced or wiped.
	ActionReplace MemberAction = "replace"
)

// MemberRequest is a request for one membership change.
type MemberRequest struct {
	Action MemberAction `json:"action" cbor:"1,keyasint"`
	Host   ident.Host   `json:"host" cbor:"2,keyasint"`
}
