// Package once implements the at-most-once ledger, which decides whether a call
// that must not be repeated may be sent.
//
// A Ledger is a replicated state machine: it changes only through commands
// committed by a quorum, takes its time from those commands, and returns the
// same results on every replica. An entry host claims an idempotency key before
// it sends the call and records the outcome afterwards. A later claim of the
// same key gets the recorded outcome, waits while the call is in flight, or
// gets the outcome "unknown"; the call is never sent a second time.
//
// See docs/OUTCOMES.md for the guarantees and their duration, and
// docs/design/once.md for the design.
package once
