package entry

import (
	"context"
	"errors"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/retry"
	"github.com/lovagereach/lovagereach/upstream"
)

type requestID = ident.Request

// answer relays one prompt's answer. It implements Answer.
type answer struct {
	entry  *Entry
	job    *job
	ctx    context.Context
	cancel context.CancelCauseFunc
	// overdue ends the wait for the first token.
	overdue *time.Timer
	pool    *pool
	// next is a plan made at admission, good for the first attempt only.
	next *plan

	plan    plan
	attempt upstream.Attempt
	stream  port.TokenStream
	sent    time.Time
	// began is when the attempt reached for the engine, after its import.
	began    time.Time
	imported int
	attempts int
	// joining ends with the import of another request that the plan builds on,
	// and joined is how long that was waited for.
	joining <-chan struct{}
	joined  time.Duration

	delivered  int
	provenance Provenance
	// ran is the outcome of an attempt that may have run; once there is one,
	// the request is never said not to have run.
	ran  error
	over bool
}

func newAnswer(ctx context.Context, e *Entry, j *job) *answer {
	a := &answer{
		entry: e,
		job:   j,
		provenance: Provenance{
			Request: j.prompt.Request,
			Outcome: outcome.KindUnknown,
			Class:   j.class.Name,
		},
	}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	if !j.deadline.IsZero() {
		a.overdue = time.AfterFunc(time.Until(j.deadline), func() { a.cancel(errDeadline) })
	}
	return a
}

// start takes a place and sends the first attempt, or further ones as long as
// they are certain not to have run.
func (a *answer) start() error {
	if err := a.entry.mayRun(a.job.print); err != nil {
		return err
	}
	if err := a.admitted(); err != nil {
		return err
	}
	a.entry.firstAttempt(a.job)
	return a.verdict(a.send(nil))
}

// verdict is the outcome of the request when its last attempt ended with err.
// A last attempt that found no upstream did not run, but one before it may
// have; a caller told not-run would then be told an untruth.
func (a *answer) verdict(err error) error {
	if a.ran != nil && outcome.KindOf(err) == outcome.KindNotRun {
		return a.ran
	}
	return err
}

// send makes attempts until one is accepted by an upstream. cause is the error
// that ended the attempt before, nil for the first.
func (a *answer) send(cause error) error {
	for {
		if cause != nil {
			if err := a.mayRetry(cause); err != nil {
				return err
			}
		}
		cause = a.try()
		if cause == nil {
			return nil
		}
	}
}

// try makes one attempt.
func (a *answer) try() error {
	if err := a.entry.mayRun(a.job.print); err != nil {
		return err
	}
	if err := a.place(); err != nil {
		return err
	}
	a.join()
	a.fetch()
	a.entry.mu.Lock()
	a.entry.landed(a.job.prompt.Request, a.plan)
	a.entry.mu.Unlock()
	if a.ctx.Err() != nil {
		a.finishAttempt(upstream.Cancelled)
		return endedBeforeSend(a.ctx)
	}
	j := a.job
	a.began = time.Now()
	stream, err := a.entry.options.Upstreams.Engine(a.plan.candidate.Address).Generate(a.ctx, port.GenerateRequest{
		Request:   j.prompt.Request,
		Attempt:   a.attempt.Number,
		Model:     j.prompt.Model,
		Version:   a.plan.version,
		Adapter:   j.prompt.Adapter,
		Tokens:    j.prompt.Tokens,
		Blocks:    a.plan.chain.ids,
		MaxTokens: j.prompt.MaxTokens,
		Priority:  j.priority,
		ResumeAt:  a.delivered,
		Seed:      j.prompt.Seed,
	})
	if err != nil {
		a.attemptFailed(err)
		return err
	}
	a.stream = stream
	a.provenance.Upstream = a.plan.candidate.Upstream
	a.provenance.Version = a.plan.version
	return nil
}

// maxPlaces bounds how often an upstream may leave between choice and send.
const maxPlaces = 3

// place chooses an upstream and records that the attempt is being sent.
func (a *answer) place() error {
	e := a.entry
	if a.attempts == 0 {
		// The lease may have run out while the request waited in the queue.
		if err := e.mayServe(time.Now()); err != nil {
			return err
		}
	}
	for range maxPlaces {
		chosen, err := a.choice()
		if err != nil {
			return err
		}
		e.mu.Lock()
		now := time.Now()
		number := e.tracker.Send(a.job.prompt.Request, chosen.candidate.Upstream)
		attempt := upstream.Attempt{Request: a.job.prompt.Request, Number: number}
		ok := e.registry.Dispatch(now, attempt, chosen.candidate.Upstream, int64(chosen.decision.RecomputeTokens))
		var joining <-chan struct{}
		if ok {
			if joining = e.joins(chosen); joining == nil {
				e.bring(now, attempt.Request, chosen, a.job.model.BlockTokens)
			}
		}
		e.mu.Unlock()
		if ok {
			a.plan, a.attempt, a.sent, a.imported = chosen, attempt, now, 0
			a.joining, a.joined = joining, 0
			a.attempts++
			return nil
		}
	}
	return &outcome.NotRun{Reason: outcome.ReasonLeavingUpstream, Detail: "the chosen upstreams left meanwhile", RetryAfter: time.Second}
}

func (a *answer) choice() (plan, error) {
	if a.next != nil {
		chosen := *a.next
		a.next = nil
		return chosen, nil
	}
	return a.entry.choose(a.job)
}

// mayRetry waits before another attempt, or returns the outcome to answer.
func (a *answer) mayRetry(cause error) error {
	j := a.job
	if !a.entry.mayRepeat(j.print, cause, a.ran) {
		return cause
	}
	call := retry.Call{
		Team:       j.prompt.Caller.Team(),
		Class:      j.class.Name,
		Repeatable: j.class.Repeatable,
		Attempts:   a.attempts,
		Deadline:   j.deadline,
		Expected:   a.plan.decision.FirstToken,
	}
	if a.delivered > 0 {
		// The first token came in time; what is left is to end the answer.
		call.Deadline = time.Time{}
	}
	e := a.entry
	e.mu.Lock()
	decision := e.policy.Next(time.Now(), call, cause, e.options.Random)
	e.mu.Unlock()
	if decision.Action != retry.ActionRetry {
		return cause
	}
	j.avoid = append(j.avoid, a.plan.candidate.Upstream)
	e.counts.retries.Inc()
	pause := time.NewTimer(decision.Delay)
	defer pause.Stop()
	select {
	case <-pause.C:
		return nil
	case <-a.ctx.Done():
		return cause
	}
}

// Next implements Answer.
func (a *answer) Next() (Token, error) {
	for {
		if a.over {
			return Token{}, errOver
		}
		event, err := a.stream.Next(a.ctx)
		if err == nil && event.Index != a.delivered {
			if event.Index < a.delivered {
				a.entry.counts.dropped.Inc()
				continue
			}
			err = &outcome.Unknown{Reason: outcome.ReasonBadAnswer, Detail: "the upstream left out tokens"}
		}
		if err != nil {
			if err = a.verdict(a.resume(err)); err != nil {
				a.fail(err)
				return Token{}, err
			}
			continue
		}
		if event.Done {
			a.finish(event.Usage)
			return Token{Index: a.delivered, Done: true, FinishReason: event.FinishReason}, nil
		}
		if a.delivered == 0 {
			a.firstToken()
		}
		a.delivered++
		return Token{Index: event.Index, Text: event.Text}, nil
	}
}

var errOver = errors.New("the answer is over")

// Provenance implements Answer.
func (a *answer) Provenance() Provenance { return a.provenance }

// Close implements Answer.
func (a *answer) Close() {
	if a.over {
		return
	}
	a.entry.counts.abandoned.Inc()
	a.finishAttempt(upstream.Cancelled)
	a.release()
}

// resume takes a broken stream up again at the token reached, or returns the
// outcome that ends it.
func (a *answer) resume(cause error) error {
	a.attemptFailed(cause)
	if a.ctx.Err() != nil {
		return a.interrupted()
	}
	if a.delivered > 0 {
		a.job.version = a.plan.version
		if !a.mayResume() {
			return broken(cause)
		}
		// A stream is resumed whatever the class says of repeats: the caller
		// has its beginning, and the rest runs once.
		cause = &outcome.NotRun{Reason: outcome.ReasonConnectionLost, Detail: cause.Error()}
	}
	if err := a.send(cause); err != nil {
		if a.delivered > 0 {
			return broken(err)
		}
		return err
	}
	if a.delivered > 0 {
		a.provenance.Resumes++
		a.entry.counts.resumes.Inc()
	}
	return nil
}

// broken is the outcome of an answer of which the caller has a part only.
func broken(cause error) error {
	return &outcome.Unknown{
		Reason: outcome.ReasonStreamBroken,
		Detail: "the stream broke and could not be resumed: " + cause.Error(),
	}
}

func (a *answer) mayResume() bool {
	if len(a.job.avoid) >= maxResumes {
		return false
	}
	at := retry.Resume(retry.Broken{
		Delivered:     a.delivered,
		Version:       a.plan.version,
		Deterministic: true,
		Upstream:      a.plan.candidate.Upstream,
	})
	return at != retry.ResumeNowhere
}

// maxResumes bounds how often one answer is taken up again.
const maxResumes = 4

// interrupted is the outcome of a request whose context ended after it was
// sent.
func (a *answer) interrupted() error {
	if context.Cause(a.ctx) == errDeadline {
		return &outcome.Unknown{Reason: outcome.ReasonTimeout, Detail: "no token came before the deadline"}
	}
	return &outcome.Unknown{Reason: outcome.ReasonCallerGone, Detail: "the caller left"}
}
