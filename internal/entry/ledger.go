package entry

import (
	"context"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/once"
)

// Ledger is the client of the at-most-once ledger on the control hosts.
type Ledger interface {
	// Do claims the call's key, calls send at most once if the claim is
	// granted, and records the result of send before it returns. The error is
	// an outcome.
	Do(ctx context.Context, call OnceCall, send SendOnce) (OnceDone, error)
}

// OnceCall is a call that must not run more than once.
type OnceCall struct {
	Key     once.Key
	Digest  once.Digest
	Request ident.Request
	Class   ident.Class
}

// SendOnce sends the call and returns the answer to record.
type SendOnce func(ctx context.Context) (once.Answer, error)

// OnceDone is the answer to a call. Replayed is set if it was recorded for an
// earlier request.
type OnceDone struct {
	Answer   once.Answer
	Replayed bool
}
