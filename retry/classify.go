package retry

import (
	"fmt"
	"time"

	"github.com/lovagereach/lovagereach/outcome"
)

// Evidence is what was observed of one attempt on its connection.
type Evidence struct {
	// DialFailed is set if no connection was established.
	DialFailed bool
	// Wrote is set if at least one byte of the request was handed to the connection.
	// It must be set unless that can be ruled out.
	Wrote bool
	// Refused is set if the upstream itself stated, for this request and attempt,
	// that it did not run it.
	Refused bool
	// RetryAfter is how long a refusing upstream wants no further requests, 0 if it stated no
	// time.
	RetryAfter time.Duration
	// Answered is set if the status and header of an answer arrived.
	Answered bool
	// Status is the answer's HTTP status.
	Status int
	// Complete is set if the complete answer arrived and matched the attempt.
	Complete bool
	// Mismatched is set if the answer named another request or attempt.
	Mismatched bool
	// TimedOut is set if the attempt was ended by its deadline.
	TimedOut bool
	// CallerGone is set if the caller disconnected.
	CallerGone bool
	// Cause is the error that ended the attempt, if any.
	Cause error
}

const minErrorStatus = 500

// Classify returns nil if the attempt succeeded, else *outcome.NotRun,
// *outcome.Failed or *outcome.Unknown. It returns NotRun only if the evidence proves
// that the request did not run.
func Classify(e Evidence) error {
	switch {
	case e.Mismatched:
		return &outcome.Unknown{Reason: outcome.ReasonBadAnswer, Detail: "the answer names another request"}
	case e.Refused:
		return &outcome.NotRun{Reason: outcome.ReasonRefused, Detail: "the upstream states that it did not run the request", RetryAfter: e.RetryAfter}
	case e.Complete && e.Status >= minErrorStatus:
		detail := fmt.Sprintf("the upstream answered with status %d", e.Status)
		return &outcome.Failed{Reason: outcome.ReasonUpstreamError, Detail: detail, Status: e.Status}
	case e.Complete:
		return nil
	case e.DialFailed && !e.Wrote:
		return &outcome.NotRun{Reason: outcome.ReasonDial, Detail: detail("no connection to the upstream", e.Cause)}
	case !e.Wrote && !e.Answered:
		return &outcome.NotRun{Reason: unsentReason(e), Detail: detail("no byte was sent", e.Cause)}
	case e.Answered:
		return &outcome.Unknown{Reason: outcome.ReasonStreamBroken, Detail: detail("the answer broke off", e.Cause)}
	case e.TimedOut:
		return &outcome.Unknown{Reason: outcome.ReasonTimeout, Detail: "no answer before the deadline"}
	default:
		return &outcome.Unknown{Reason: outcome.ReasonConnectionLost, Detail: detail("the connection ended before the answer", e.Cause)}
	}
}

func unsentReason(e Evidence) outcome.Reason {
	switch {
	case e.CallerGone:
		return outcome.ReasonCallerGone
	case e.TimedOut:
		return outcome.ReasonDeadline
	default:
		return outcome.ReasonConnectionLost
	}
}

func detail(text string, cause error) string {
	if cause == nil {
		return text
	}
	return text + ": " + cause.Error()
}
