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

// answer relays the answer to one prompt. It implements Answer.
type answer struct {
	entry  *Entry
	job    *job
	ctx    context.Context
	cancel context.CancelCauseFunc
	// deadlineTimer cancels the request if the first token has not arrived by
	// the deadline.
	deadlineTimer *time.Timer
	pool          *pool
	// initialPlan is the plan made at admission, valid for the first attempt
	// only.
	initialPlan *plan

	plan    plan
	attempt upstream.Attempt
	stream  port.TokenStream
	sent    time.Time
	// generateStarted is the time at which the attempt was sent to the engine,
	// after its import.
	generateStarted time.Time
	importedBlocks  int
	attempts        int
	// joinedImport is closed when the import of another request, on which the
	// plan relies, has ended; nil if there is none. joinWait is the time spent
	// waiting for it.
	joinedImport <-chan struct{}
	joinWait     time.Duration

	delivered  int
	provenance Provenance
	// possiblyRan is the outcome of an attempt that may have run. Once it is
	// set, the request is never reported as not run.
	possiblyRan error
	// refused indicates that an engine refused an attempt.
	refused  bool
	finished bool
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
		a.deadlineTimer = time.AfterFunc(time.Until(j.deadline), func() { a.cancel(errDeadline) })
	}
	return a
}

// start waits for admission and makes attempts until an upstream accepts one or
// no further attempt is permitted.
func (a *answer) start() error {
	if err := a.checkQuarantine(); err != nil {
		return err
	}
	defer a.returnTrial()
	if err := a.awaitAdmission(); err != nil {
		return err
	}
	a.entry.creditRetryBudgets(a.job)
	return a.finalOutcome(a.send(nil))
}

// finalOutcome returns the outcome of the request when its last attempt ended
// with err. If the last attempt did not run but an earlier one may have, it is
// the earlier outcome: reporting not-run would be wrong.
func (a *answer) finalOutcome(err error) error {
	if a.possiblyRan != nil && outcome.KindOf(err) == outcome.KindNotRun {
		return a.possiblyRan
	}
	return err
}

// send makes attempts until an upstream accepts one. cause is the error of the
// previous attempt, nil for the first.
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
	if err := a.checkQuarantine(); err != nil {
		return err
	}
	if err := a.dispatch(); err != nil {
		return err
	}
	a.awaitJoinedImport()
	a.fetch()
	a.entry.mu.Lock()
	a.entry.importEnded(a.job.prompt.Request, a.plan)
	a.entry.mu.Unlock()
	if a.ctx.Err() != nil {
		a.finishAttempt(upstream.Cancelled)
		return endedBeforeSend(a.ctx)
	}
	j := a.job
	a.generateStarted = time.Now()
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

// maxDispatches bounds the upstreams chosen for one attempt, in case they leave
// before the attempt is recorded.
const maxDispatches = 3

// dispatch chooses an upstream and records the attempt.
func (a *answer) dispatch() error {
	e := a.entry
	if a.attempts == 0 {
		// The serving lease may have expired while the request was queued.
		if err := e.mayServe(time.Now()); err != nil {
			return err
		}
	}
	for range maxDispatches {
		chosen, err := a.nextPlan()
		if err != nil {
			return err
		}
		e.mu.Lock()
		now := time.Now()
		number := e.tracker.Send(a.job.prompt.Request, chosen.candidate.Upstream)
		attempt := upstream.Attempt{Request: a.job.prompt.Request, Number: number}
		ok := e.registry.Dispatch(now, attempt, chosen.candidate.Upstream, int64(chosen.decision.RecomputeTokens))
		var importDone <-chan struct{}
		if ok {
			if importDone = e.joinableImport(chosen); importDone == nil {
				e.addPending(now, attempt.Request, chosen, a.job.model.BlockTokens)
			}
		}
		e.mu.Unlock()
		if ok {
			a.plan, a.attempt, a.sent, a.importedBlocks = chosen, attempt, now, 0
			a.joinedImport, a.joinWait = importDone, 0
			a.attempts++
			return nil
		}
	}
	return &outcome.NotRun{Reason: outcome.ReasonLeavingUpstream, Detail: "the chosen upstreams left meanwhile", RetryAfter: time.Second}
}

func (a *answer) nextPlan() (plan, error) {
	if a.initialPlan != nil {
		chosen := *a.initialPlan
		a.initialPlan = nil
		return chosen, nil
	}
	return a.entry.choose(a.job)
}

// mayRetry waits for the back-off before another attempt and returns nil, or
// returns the outcome if no further attempt is permitted.
func (a *answer) mayRetry(cause error) error {
	j := a.job
	if len(j.trial) > 0 && a.reachedEngine() || !a.entry.mayRepeat(a.ctx, j.fingerprint, j.parts, j.crashChecks, cause, a.possiblyRan) {
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
		// The deadline applies to the first token, which was delivered in time.
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
		if a.finished {
			return Token{}, errFinished
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
			if err = a.finalOutcome(a.resume(err)); err != nil {
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

var errFinished = errors.New("the answer is over")

// Provenance implements Answer.
func (a *answer) Provenance() Provenance { return a.provenance }

// Close implements Answer.
func (a *answer) Close() {
	if a.finished {
		return
	}
	a.entry.counts.abandoned.Inc()
	a.finishAttempt(upstream.Cancelled)
	a.release()
}

// resume continues a broken stream from the next undelivered token, or returns
// the outcome with which the answer ends.
func (a *answer) resume(cause error) error {
	a.attemptFailed(cause)
	if a.ctx.Err() != nil {
		return a.interrupted()
	}
	if a.delivered > 0 {
		a.job.version, a.job.software = a.plan.version, a.plan.candidate.Software
		if !a.mayResume() {
			return streamBroken(cause)
		}
		// A stream is resumed even if the class is not repeatable: the caller
		// already has the tokens delivered so far, and the remaining ones are
		// generated once.
		cause = &outcome.NotRun{Reason: outcome.ReasonConnectionLost, Detail: cause.Error()}
	}
	if err := a.send(cause); err != nil {
		if a.delivered > 0 {
			return streamBroken(err)
		}
		return err
	}
	if a.delivered > 0 {
		a.provenance.Resumes++
		a.entry.counts.resumes.Inc()
	}
	return nil
}

// streamBroken returns the outcome of an answer that was delivered in part
// only.
func streamBroken(cause error) error {
	return &outcome.Unknown{
		Reason: outcome.ReasonStreamBroken,
		Detail: "the stream broke and could not be resumed: " + cause.Error(),
	}
}

func (a *answer) mayResume() bool {
	if len(a.job.avoid) >= maxResumes {
		return false
	}
	at := retry.Resume(retry.BrokenStream{
		Delivered:     a.delivered,
		Version:       a.plan.version,
		Deterministic: true,
		Upstream:      a.plan.candidate.Upstream,
	})
	return at != retry.ResumeNowhere
}

// maxResumes bounds the resumptions of one answer.
const maxResumes = 4

// interrupted returns the outcome of a request whose context ended after it was
// sent.
func (a *answer) interrupted() error {
	if context.Cause(a.ctx) == errDeadline {
		return &outcome.Unknown{Reason: outcome.ReasonTimeout, Detail: "no token came before the deadline"}
	}
	return &outcome.Unknown{Reason: outcome.ReasonCallerGone, Detail: "the caller left"}
}
