package ledger

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/once"
	"github.com/lovagereach/lovagereach/outcome"
)

// holdMargin is the time that a claim is held beyond its caller's deadline, so
// that the outcome can be recorded.
const holdMargin = 10 * time.Second

// Call is a call that must run at most once.
type Call struct {
	Key     once.Key
	Digest  once.Digest
	Request ident.Request
	Class   ident.Class
}

// Result is the answer to a Call.
type Result struct {
	Answer once.Answer
	// Replayed reports whether the answer was recorded for an earlier request.
	Replayed bool
}

// SendFunc sends the call once. It returns the answer to record, or an error of
// package outcome. It returns *outcome.NotRun only if no byte was written or
// the upstream reports that it did not run the call.
type SendFunc func(ctx context.Context) (once.Answer, error)

// Do runs a call at most once: it claims the key, sends the call and records
// the outcome. The error is an outcome. ctx must have a deadline. After the key
// is granted only that deadline ends the call; a cancellation by the caller
// doesn't.
//
// The claim is committed before the first byte is sent. The answer is returned
// after it is recorded, so that a duplicate gets the same answer. If the ledger
// doesn't commit it within RecordWait, the answer is returned anyway and
// recording continues in the background.
func (c *Client) Do(ctx context.Context, call Call, send SendFunc) (Result, error) {
	c.unresolved.Add(1)
	defer c.unresolved.Add(-1)
	self, assigned := c.awaitSelf(ctx)
	if !assigned {
		return Result{}, unavailable(errNoAnswer)
	}
	claim := once.Claim{
		Key: call.Key, Digest: call.Digest, Owner: self, ID: newClaimID(),
		HoldMillis: c.holdMillis(ctx), Request: call.Request, Class: call.Class,
	}
	last, err := c.claim(ctx, claim)
	result := last.result
	if last.doubtful && (err != nil || result.Status != once.StatusGranted) {
		// A copy of the claim may still be granted the key. This call won't use
		// it, so the claim is released.
		c.resolveLater(releaseOf(last.group, claim, outcome.ReasonLedgerDown))
	}
	if err != nil {
		return Result{}, unavailable(err)
	}
	switch result.Status {
	case once.StatusGranted:
		return c.sendClaimed(ctx, last.group, claim, send)
	case once.StatusInFlight:
		return Result{}, &outcome.Unknown{Reason: outcome.ReasonTimeout, Detail: "the first call under this key is still in flight"}
	case once.StatusAnswered:
		return Result{Answer: *result.Answer, Replayed: true}, result.Err()
	default:
		return Result{}, result.Err()
	}
}

func (c *Client) sendClaimed(ctx context.Context, group port.GroupID, claim once.Claim, send SendFunc) (Result, error) {
	if err := ctx.Err(); err != nil {
		c.resolve(ctx, releaseOf(group, claim, outcome.ReasonCallerGone))
		return Result{}, &outcome.NotRun{Reason: outcome.ReasonCallerGone, Detail: "the deadline passed or the caller left before the call was sent"}
	}
	sending, cancel := detached(ctx)
	defer cancel()
	answer, err := send(sending)
	var notRun *outcome.NotRun
	if errors.As(err, &notRun) {
		c.resolve(ctx, releaseOf(group, claim, notRun.Reason))
		return Result{}, err
	}
	answer = answerOf(answer, err, claim.Request)
	record := &once.Record{Key: claim.Key, ID: claim.ID, Answer: answer.LimitBody()}
	c.resolve(ctx, resolution{group: group, record: record})
	return Result{Answer: answer}, answer.Err()
}

// detached returns a context with the deadline of ctx but without its
// cancellation. If the caller's connection breaks while the call is being sent,
// the call continues and a resend gets its answer; an aborted call would leave
// the outcome unknown.
func detached(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	ctx = context.WithoutCancel(ctx)
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

// answerOf converts the result of a SendFunc into the answer to record.
func answerOf(answer once.Answer, err error, request ident.Request) once.Answer {
	answer.Request = request
	var failed *outcome.Failed
	var unknown *outcome.Unknown
	switch {
	case err == nil:
		answer.Kind = outcome.KindDone
	case errors.As(err, &failed):
		answer.Kind, answer.Reason, answer.Detail = outcome.KindFailed, failed.Reason, failed.Detail
		answer.Status = failed.Status
	case errors.As(err, &unknown):
		answer.Kind, answer.Reason, answer.Detail = outcome.KindUnknown, unknown.Reason, unknown.Detail
	default:
		answer.Kind, answer.Reason, answer.Detail = outcome.KindUnknown, outcome.ReasonConnectionLost, err.Error()
	}
	return answer
}

func releaseOf(group port.GroupID, claim once.Claim, reason outcome.Reason) resolution {
	return resolution{group: group, release: &once.Release{
		Key: claim.Key, Digest: claim.Digest, Owner: claim.Owner, ID: claim.ID, Reason: reason,
	}}
}

func (c *Client) holdMillis(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(0, deadline.Sub(c.options.Now()).Milliseconds()) + holdMargin.Milliseconds()
}

func newClaimID() once.ClaimID {
	var id once.ClaimID
	// crypto/rand.Read never fails.
	rand.Read(id[:])
	return id
}
