// Package outcome defines the outcomes of requests in terms that a caller can act on.
//
// The most important distinction is between a request that certainly did not run
// and one that may have run. They are two types, NotRun and Unknown, so that code
// cannot convert one into the other by accident: a NotRun is created only where no
// byte of the request can have reached an upstream.
package outcome

import (
	"fmt"
	"time"
)

// Kind is the class of an outcome. Its values are part of the wire format.
type Kind uint8

// The kinds of outcome. The zero value is invalid so that a missing assignment is
// detected.
const (
	KindInvalid Kind = iota
	// KindDone means that the upstream answered completely.
	KindDone
	// KindFailed means that the upstream ran the request and reported a failure.
	KindFailed
	// KindNotRun means that no upstream has run the request or will run it.
	KindNotRun
	// KindUnknown means that an upstream may have run the request.
	KindUnknown
)

var kindNames = [...]string{
	KindInvalid: "invalid",
	KindDone:    "done",
	KindFailed:  "failed-by-upstream",
	KindNotRun:  "not-run",
	KindUnknown: "unknown",
}

// String returns the name used in headers, errors and logs.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return kindNames[KindInvalid]
}

// ParseKind parses the format of String.
func ParseKind(text string) (Kind, bool) {
	for kind, name := range kindNames {
		if name == text && Kind(kind) != KindInvalid {
			return Kind(kind), true
		}
	}
	return KindInvalid, false
}

// Reason is a stable, machine-readable cause, such as "team-limit".
type Reason string

// Reasons shared by several packages. A package may define more next to the decisions
// that use them.
const (
	ReasonBadRequest       Reason = "bad-request"
	ReasonUnauthorized     Reason = "unauthorized"
	ReasonNoUpstream       Reason = "no-upstream"
	ReasonNoServingLease   Reason = "no-serving-lease"
	ReasonOverloaded       Reason = "overloaded"
	ReasonTeamLimit        Reason = "team-limit"
	ReasonDeadline         Reason = "deadline-unreachable"
	ReasonDraining         Reason = "draining"
	ReasonKeyRequired      Reason = "idempotency-key-required"
	ReasonKeyConflict      Reason = "idempotency-key-conflict"
	ReasonKeyExpired       Reason = "idempotency-key-expired"
	ReasonLedgerDown       Reason = "ledger-unavailable"
	ReasonDial             Reason = "dial-failed"
	ReasonRefused          Reason = "refused-by-upstream"
	ReasonConnectionLost   Reason = "connection-lost"
	ReasonTimeout          Reason = "timeout"
	ReasonBadAnswer        Reason = "bad-answer"
	ReasonStreamBroken     Reason = "stream-broken"
	ReasonCallerGone       Reason = "caller-gone"
	ReasonOwnerLost        Reason = "owner-lost"
	ReasonUpstreamError    Reason = "upstream-error"
	ReasonLeavingUpstream  Reason = "upstream-leaving"
	ReasonRetriesExhausted Reason = "retries-exhausted"
	// ReasonCrashesUpstreams means that earlier attempts of the same request crashed the
	// upstreams that ran them and that this attempt was not sent.
	ReasonCrashesUpstreams Reason = "ends-upstreams"
	// ReasonQuarantinedPart means that requests with a part of this one's prompt crashed the
	// upstreams that ran them and that this one was not sent.
	ReasonQuarantinedPart Reason = "quarantined-part"
)

// NotRun states that no byte of a request can have reached an upstream that might
// run it. It is an error so that functions return it as such.
type NotRun struct {
	Reason Reason
	// Detail is an explanation for people; it contains no secrets.
	Detail string
	// RetryAfter is the time after which the caller should retry; zero means that it
	// should not retry or that the time is unknown.
	RetryAfter time.Duration
}

// Error implements error.
func (n *NotRun) Error() string {
	return fmt.Sprintf("not run (%s): %s", n.Reason, n.Detail)
}

// Unknown states that an upstream may have run a request and that the outcome is not
// known.
type Unknown struct {
	Reason Reason
	Detail string
}

// Error implements error.
func (u *Unknown) Error() string {
	return fmt.Sprintf("unknown (%s): %s", u.Reason, u.Detail)
}

// Failed states that an upstream ran a request and reported a failure.
type Failed struct {
	Reason Reason
	Detail string
	// Status is the upstream's HTTP status, zero if there is none.
	Status int
}

// Error implements error.
func (f *Failed) Error() string {
	return fmt.Sprintf("failed by upstream (%s, status %d): %s", f.Reason, f.Status, f.Detail)
}
