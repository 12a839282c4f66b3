// Package api defines what operators and a control host say to each other over
// HTTP, in JSON or CBOR.
package api

import (
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
)

// Paths of the operators' listener.
const (
	PathConfig  = "/v1/config"
	PathHistory = "/v1/history"
	PathDiff    = "/v1/diff"
	PathStatus  = "/v1/status"
	PathMembers = "/v1/members"
	PathDump    = "/v1/dump"
	PathAudit   = "/v1/audit"
)

// MaxWait is the longest that an apply waits for its change to be in force.
const MaxWait = 60 * time.Second

// Content types.
const (
	TypeJSON = "application/json"
	TypeCBOR = "application/cbor"
)

// Code is a stable cause of an error.
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

// Error answers a request that failed.
type Error struct {
	Code    Code   `json:"code" cbor:"1,keyasint"`
	Message string `json:"message" cbor:"2,keyasint"`
	// Next says what to do.
	Next     string           `json:"next,omitempty" cbor:"3,keyasint,omitempty"`
	Problems []config.Problem `json:"problems,omitempty" cbor:"4,keyasint,omitempty"`
	// Winner is the revision that a conflicting change lost to.
	Winner *config.RevisionMeta `json:"winner,omitempty" cbor:"5,keyasint,omitempty"`
	// Revision is the latest committed one, where known.
	Revision config.Revision `json:"revision,omitempty" cbor:"6,keyasint,omitempty"`
	// Leader is the URL of the leader's operators' listener.
	Leader string `json:"leader,omitempty" cbor:"7,keyasint,omitempty"`
}

// Error implements error.
func (e *Error) Error() string { return e.Message }

// ApplyRequest asks for a configuration.
type ApplyRequest struct {
	// RequestID identifies the change: the same request sent again is applied
	// at most once.
	RequestID string `json:"request_id" cbor:"1,keyasint"`
	// Base is the revision that the change was made on. If it is no longer the
	// latest, another change won and this one is a conflict.
	Base   config.Revision `json:"base" cbor:"2,keyasint"`
	Note   string          `json:"note,omitempty" cbor:"3,keyasint,omitempty"`
	DryRun bool            `json:"dry_run,omitempty" cbor:"4,keyasint,omitempty"`
	// File names the document in errors.
	File string `json:"file,omitempty" cbor:"5,keyasint,omitempty"`
	// YAML is the whole document as text; errors name its lines.
	YAML string `json:"yaml,omitempty" cbor:"6,keyasint,omitempty"`
	// WaitMillis is how long to wait for the change to be in force.
	WaitMillis int64 `json:"wait_ms,omitempty" cbor:"7,keyasint,omitempty"`
	// Delta stands in place of YAML: the changes that lead from Base to the
	// document, empty when Base is not the latest revision. Content is the
	// SHA-256 of the document in hexadecimal; a resend repeats it.
	Delta   *config.Delta       `json:"delta,omitempty" cbor:"8,keyasint,omitempty"`
	Content *config.TokenDigest `json:"content,omitempty" cbor:"9,keyasint,omitempty"`
}

// ApplyAnswer tells what became of it.
type ApplyAnswer struct {
	RequestID string          `json:"request_id" cbor:"1,keyasint"`
	Verdict   config.Verdict  `json:"verdict" cbor:"2,keyasint"`
	Revision  config.Revision `json:"revision" cbor:"3,keyasint"`
	// Repeated tells that this is the first answer to the request id again.
	Repeated bool `json:"repeated,omitempty" cbor:"4,keyasint,omitempty"`
	// InForce tells that every entry that may serve has the revision.
	InForce bool         `json:"in_force" cbor:"5,keyasint"`
	DryRun  bool         `json:"dry_run,omitempty" cbor:"6,keyasint,omitempty"`
	Delta   config.Delta `json:"delta" cbor:"7,keyasint"`
}

// ConfigAnswer is the latest committed configuration.
type ConfigAnswer struct {
	Revision config.Revision `json:"revision" cbor:"1,keyasint"`
	Document config.Document `json:"document" cbor:"2,keyasint"`
}

// HistoryAnswer lists revisions, newest first.
type HistoryAnswer struct {
	Revisions []config.RevisionMeta `json:"revisions" cbor:"1,keyasint"`
}

// DiffAnswer is what changed between two revisions.
type DiffAnswer struct {
	Delta config.Delta `json:"delta" cbor:"1,keyasint"`
}

// Member is one control host.
type Member struct {
	Host    ident.Host `json:"host" cbor:"1,keyasint"`
	Address string     `json:"address" cbor:"2,keyasint"`
	// Role is "voter" or "learner".
	Role   string `json:"role" cbor:"3,keyasint"`
	Leader bool   `json:"leader,omitempty" cbor:"4,keyasint,omitempty"`
}

// MembersAnswer lists the control hosts.
type MembersAnswer struct {
	Members []Member `json:"members" cbor:"1,keyasint"`
}

// MemberAction is a change of the control group.
type MemberAction string

// The changes of the control group, one at a time.
const (
	ActionAddLearner MemberAction = "add-learner"
	ActionPromote    MemberAction = "promote"
	ActionRemove     MemberAction = "remove"
	// ActionReplace takes a host with a new or wiped disk in again.
	ActionReplace MemberAction = "replace"
)

// MemberRequest asks for one change of the control group.
type MemberRequest struct {
	Action MemberAction `json:"action" cbor:"1,keyasint"`
	Host   ident.Host   `json:"host" cbor:"2,keyasint"`
}
