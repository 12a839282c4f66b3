package entry

import (
	"context"
	"errors"
	"time"

	"github.com/lovagereach/lovagereach/admit"
	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/retry"
)

// errDeadline is the cancellation cause of a request whose first token did not
// arrive by the deadline.
var errDeadline = errors.New("the request's deadline has passed")

// Prompt implements Service.
func (e *Entry) Prompt(ctx context.Context, prompt Prompt) (Answer, error) {
	j, err := e.newJob(prompt)
	if err != nil {
		e.counts.refused.Inc()
		return nil, err
	}
	if err := e.begin(prompt.Request, j.deadline); err != nil {
		e.counts.refused.Inc()
		return nil, err
	}
	a := newAnswer(ctx, e, j)
	if err := a.start(); err != nil {
		a.fail(err)
		return nil, err
	}
	return a, nil
}

// newJob resolves model, class and deadline under the caller's configuration.
func (e *Entry) newJob(prompt Prompt) (*job, error) {
	now := time.Now()
	if err := e.mayServe(now); err != nil {
		return nil, err
	}
	var err error
	if prompt.Caller, err = e.refreshCaller(prompt.Caller); err != nil {
		return nil, err
	}
	model, ok := prompt.Caller.snapshot.Model(prompt.Model)
	if !ok {
		return nil, &outcome.NotRun{
			Reason: outcome.ReasonBadRequest,
			Detail: "there is no model \"" + limitName(string(prompt.Model)) + "\"",
		}
	}
	class, err := classOf(prompt.Caller, prompt.Class, config.KindModel)
	if err != nil {
		return nil, err
	}
	return &job{
		prompt:      prompt,
		fingerprint: promptFingerprint(&prompt),
		parts:       promptParts(&prompt, model.BlockTokens),
		model:       model,
		class:       class,
		arrived:     now,
		deadline:    deadlineOf(now, prompt.Deadline, class),
	}, nil
}

// deadlineOf returns the earlier of the caller's deadline and that of the
// class, or the zero time if neither is set.
func deadlineOf(now time.Time, requested time.Duration, class *config.Class) time.Time {
	wait := class.Deadline.Std()
	if requested > 0 && (wait <= 0 || requested < wait) {
		wait = requested
	}
	if wait <= 0 {
		return time.Time{}
	}
	return now.Add(wait)
}

// begin registers a request with a deadline, zero for none. After success the caller must call end.
func (e *Entry) begin(id requestID, deadline time.Time) error {
	if !e.drain.enter(deadline) {
		return errClosed
	}
	e.mu.Lock()
	err := e.tracker.Start(id)
	e.mu.Unlock()
	if err == nil {
		return nil
	}
	e.drain.leave()
	if errors.Is(err, retry.ErrDuplicate) {
		return &outcome.NotRun{Reason: outcome.ReasonBadRequest, Detail: "a request with this id is in flight already"}
	}
	return &outcome.NotRun{Reason: outcome.ReasonOverloaded, Detail: "too many requests in flight at this entry", RetryAfter: time.Second}
}

func (e *Entry) end(id requestID) {
	e.mu.Lock()
	e.tracker.Finish(id)
	e.mu.Unlock()
	e.drain.leave()
}

// awaitAdmission waits for admission to the model's pool.
func (a *answer) awaitAdmission() error {
	j := a.job
	expected, err := a.entry.expect(j)
	if err != nil {
		return err
	}
	p, grant, err := a.entry.enter(a.ctx, poolKey{model: j.prompt.Model}, j.prompt.Caller.snapshot, admit.Request{
		ID:       j.prompt.Request,
		Team:     j.prompt.Caller.Team(),
		Class:    j.class.Name,
		Cost:     float64(expected.decision.RecomputeTokens + j.prompt.MaxTokens),
		Target:   j.arrived.Add(j.class.FirstToken.Within.Std()),
		Deadline: j.deadline,
		Service:  expected.decision.Prefill + expected.decision.Fetch,
	})
	if err != nil {
		return err
	}
	a.pool = p
	j.priority = grant.Priority
	if grant.Waited == 0 {
		a.initialPlan = &expected
	}
	return nil
}

// expect plans the request as if it started immediately. Admission uses the
// plan's cost, and a request that is admitted without waiting uses the plan
// itself.
func (e *Entry) expect(j *job) (plan, error) { return e.choose(j) }
