package entry

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/lovagereach/lovagereach/admit"
	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/crash"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/once"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/quarantine"
	"github.com/lovagereach/lovagereach/retry"
	"github.com/lovagereach/lovagereach/upstream"
)

const (
	// servicePicks is the number of replicas per data centre that are
	// considered.
	servicePicks = 3
	// maxServiceAnswer bounds, in bytes, the answer to a call that is not
	// repeatable: it is held in memory to be recorded.
	maxServiceAnswer = 4 << 20
	// recordTurns is the number of long answers that are recorded at the same time.
	recordTurns = 8
	// defaultServiceDeadline is used when neither class nor caller sets a
	// deadline.
	defaultServiceDeadline = 30 * time.Second
)

// serviceJob is one service call being served, across its attempts.
type serviceJob struct {
	call       ServiceCall
	class      *config.Class
	repeatable bool
	deadline   time.Time
	attempts   int
	avoid      []ident.Upstream
	// possiblyRan is the outcome of an attempt that may have run; see
	// answer.finalOutcome.
	possiblyRan error
	// fingerprint identifies the call for quarantine.
	fingerprint quarantine.Fingerprint
	// crashChecks are the checks of the upstreams at which its attempts broke off.
	crashChecks crash.Checks
}

// Call implements Service.
func (e *Entry) Call(ctx context.Context, call ServiceCall) (ServiceAnswer, error) {
	j, err := e.newServiceJob(call)
	if err != nil {
		e.counts.refused.Inc()
		return ServiceAnswer{}, err
	}
	if err := e.begin(call.Request, j.deadline); err != nil {
		e.counts.refused.Inc()
		return ServiceAnswer{}, err
	}
	e.counts.serviceCalls.Inc()
	ctx, cancel := context.WithDeadlineCause(ctx, j.deadline, errDeadline)
	release := func() {
		cancel()
		e.end(call.Request)
	}
	answer, err := e.runService(ctx, j)
	e.counts.countOutcome(outcome.KindOf(err))
	if err != nil {
		release()
		return ServiceAnswer{}, err
	}
	answer.Body = &releasingBody{ReadCloser: answer.Body, release: release}
	return answer, nil
}

func (e *Entry) newServiceJob(call ServiceCall) (*serviceJob, error) {
	now := time.Now()
	if err := e.mayServe(now); err != nil {
		return nil, err
	}
	var err error
	if call.Caller, err = e.refreshCaller(call.Caller); err != nil {
		return nil, err
	}
	service, ok := call.Caller.snapshot.Service(call.Service)
	if !ok {
		return nil, &outcome.NotRun{
			Reason: outcome.ReasonBadRequest,
			Detail: "there is no service \"" + limitName(string(call.Service)) + "\"",
		}
	}
	class, err := classOf(call.Caller, service.Class, config.KindService)
	if err != nil {
		return nil, err
	}
	path, _, _ := strings.Cut(call.Path, "?")
	j := &serviceJob{
		call:        call,
		class:       class,
		repeatable:  service.RepeatableCall(call.Method, path),
		deadline:    deadlineOf(now, call.Deadline, class),
		fingerprint: callFingerprint(&call),
	}
	if j.deadline.IsZero() {
		j.deadline = now.Add(defaultServiceDeadline)
	}
	if !j.repeatable && call.Key == "" {
		return nil, &outcome.NotRun{
			Reason: outcome.ReasonKeyRequired,
			Detail: "this call may not be repeated; send an Idempotency-Key header, and the same one when you resend it",
		}
	}
	return j, nil
}

// runService waits for admission to the service's pool and runs the call.
func (e *Entry) runService(ctx context.Context, j *serviceJob) (ServiceAnswer, error) {
	if j.repeatable {
		// A call that is not repeatable consults the ledger first, which may
		// have a recorded outcome.
		if err := e.checkQuarantine(j.fingerprint); err != nil {
			return ServiceAnswer{}, err
		}
	}
	key := poolKey{service: j.call.Service}
	p, _, err := e.enter(ctx, key, j.call.Caller.snapshot, admit.Request{
		ID:       j.call.Request,
		Team:     j.call.Caller.Team(),
		Class:    j.class.Name,
		Target:   time.Now().Add(j.class.FirstToken.Within.Std()),
		Deadline: j.deadline,
	})
	if err != nil {
		return ServiceAnswer{}, err
	}
	defer p.leave(j.call.Request)
	if j.repeatable {
		return e.runRepeatable(ctx, j)
	}
	return e.runOnce(ctx, j)
}

// runRepeatable forwards a call until it is answered or the policy permits no
// further attempt.
func (e *Entry) runRepeatable(ctx context.Context, j *serviceJob) (ServiceAnswer, error) {
	for {
		answer, err := e.forwardHedged(ctx, j)
		if err == nil {
			return answer, nil
		}
		if err := e.mayRetryCall(ctx, j, err); err != nil {
			return ServiceAnswer{}, err
		}
	}
}

// runOnce sends the call if the ledger grants its claim, and otherwise returns
// the recorded answer.
func (e *Entry) runOnce(ctx context.Context, j *serviceJob) (ServiceAnswer, error) {
	key := once.Key{Team: j.call.Caller.Team(), Service: j.call.Service, Text: j.call.Key}
	if err := key.Validate(); err != nil {
		return ServiceAnswer{}, &outcome.NotRun{Reason: outcome.ReasonBadRequest, Detail: err.Error()}
	}
	var sent ServiceAnswer
	done, err := e.options.Ledger.Do(ctx, OnceCall{
		Key:     key,
		Digest:  once.DigestCall(j.call.Method, j.call.Path, j.call.Body),
		Request: j.call.Request,
		Class:   j.class.Name,
	}, func(ctx context.Context) (once.Answer, error) {
		var err error
		sent, err = e.sendOnce(ctx, j)
		if err != nil {
			return once.Answer{}, err
		}
		return e.recordAnswer(ctx, &sent)
	})
	if err != nil {
		return ServiceAnswer{}, err
	}
	if !done.Replayed {
		return sent, nil
	}
	e.counts.repeatedCalls.Inc()
	return e.replayAnswer(j, done.Answer)
}

// sendOnce forwards the call. It tries another replica only if the call was
// provably not sent or not run.
func (e *Entry) sendOnce(ctx context.Context, j *serviceJob) (ServiceAnswer, error) {
	for {
		answer, err := e.forward(ctx, j)
		if err == nil {
			return answer, nil
		}
		if outcome.KindOf(err) != outcome.KindNotRun {
			return ServiceAnswer{}, err
		}
		if err := e.mayRetryCall(ctx, j, err); err != nil {
			return ServiceAnswer{}, err
		}
	}
}

// forward makes one attempt.
func (e *Entry) forward(ctx context.Context, j *serviceJob) (ServiceAnswer, error) {
	if err := e.checkQuarantine(j.fingerprint); err != nil {
		return ServiceAnswer{}, err
	}
	chosen, attempt, err := e.dispatchCall(j)
	if err != nil {
		return ServiceAnswer{}, err
	}
	sent := time.Now()
	answer, err := e.options.Upstreams.Service(chosen.Address).Forward(ctx, port.ServiceCall{
		Request: j.call.Request,
		Attempt: attempt.Number,
		Method:  j.call.Method,
		Path:    j.call.Path,
		Header:  j.call.Header,
		Body:    j.call.Body,
		Key:     j.call.Key,
	})
	e.mu.Lock()
	e.registry.FirstToken(attempt)
	e.registry.BackOff(time.Now(), attempt, backOffOf(err))
	e.registry.Finish(time.Now(), attempt, resultOf(ctx, err))
	e.tracker.End(attempt.Request, attempt.Number)
	e.recordCall(j, time.Since(sent), err)
	e.mu.Unlock()
	record := func(ended bool) *crash.Check {
		return e.recordLost(chosen.Upstream, chosen.Incarnation, chosen.Address,
			quarantine.Attempt{Request: attempt.Request.String(), Fingerprint: j.fingerprint, Sent: sent, Ended: ended})
	}
	broke := func() {
		if ctx.Err() == nil {
			j.crashChecks = append(j.crashChecks, record(false))
		}
	}
	if outcome.KindOf(err) == outcome.KindUnknown {
		broke()
	}
	if err != nil {
		e.options.Log.Warn("service call failed", "request", attempt.Request.String(), "attempt", attempt.Number,
			"upstream", string(chosen.Upstream), "err", err)
		return ServiceAnswer{}, err
	}
	body := &observedBody{ReadCloser: answer.Body, served: func() { e.recordServed(j.fingerprint, string(j.call.Service), nil) }, lost: broke}
	if answer.Unframed {
		body.confirm = func() error { return confirmEnd(ctx, record(true)) }
	}
	return ServiceAnswer{
		Status:   answer.Status,
		Header:   answer.Header,
		Body:     body,
		Length:   answer.Length,
		Unframed: answer.Unframed,
		Provenance: Provenance{
			Request:  j.call.Request,
			Outcome:  outcome.KindDone,
			Class:    j.class.Name,
			Upstream: chosen.Upstream,
		},
	}, nil
}

// confirmEnd returns an error if an answer that ended with its connection, without a length or chunks,
// may have been cut off by a crash.
func confirmEnd(ctx context.Context, check *crash.Check) error {
	if check.Wait(ctx) == crash.Running {
		return nil
	}
	return &outcome.Unknown{Reason: outcome.ReasonConnectionLost, Detail: "the answer ended with its connection, and its upstream has crashed or can't be reached"}
}

func resultOf(ctx context.Context, err error) upstream.Result {
	var unknown *outcome.Unknown
	switch {
	case err == nil:
		return upstream.Succeeded
	case ctx.Err() != nil && context.Cause(ctx) != errDeadline:
		return upstream.Cancelled
	case errors.As(err, &unknown) && unknown.Reason == outcome.ReasonTimeout:
		return upstream.Stalled
	default:
		return upstream.Failed
	}
}

// dispatchCall chooses a replica and records the attempt.
func (e *Entry) dispatchCall(j *serviceJob) (upstream.Candidate, upstream.Attempt, error) {
	if j.attempts == 0 {
		// The serving lease may have expired while the call was queued.
		if err := e.mayServe(time.Now()); err != nil {
			return upstream.Candidate{}, upstream.Attempt{}, err
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	var picks []upstream.Candidate
	for _, centre := range e.centres[poolKey{service: j.call.Service}] {
		picks = e.registry.Pick(now, e.options.Random, upstream.ServicePool(j.call.Service, centre, 0), servicePicks, picks)
	}
	picks = slices.DeleteFunc(picks, func(c upstream.Candidate) bool { return slices.Contains(j.avoid, c.Upstream) })
	slices.SortStableFunc(picks, e.compareReplicas)
	for _, c := range picks {
		number := e.tracker.Send(j.call.Request, c.Upstream)
		attempt := upstream.Attempt{Request: j.call.Request, Number: number}
		if e.registry.Dispatch(now, attempt, c.Upstream, 0) {
			j.attempts++
			j.avoid = append(j.avoid, c.Upstream)
			return c, attempt, nil
		}
	}
	return upstream.Candidate{}, upstream.Attempt{}, &outcome.NotRun{
		Reason:     outcome.ReasonNoUpstream,
		Detail:     "no replica of the service is there",
		RetryAfter: time.Second,
	}
}

// compareReplicas orders replicas: those in the entry's data centre with a free
// slot first, then by load.
func (e *Entry) compareReplicas(a, b upstream.Candidate) int {
	aFree, bFree := e.localAndFree(a), e.localAndFree(b)
	switch {
	case aFree != bFree && aFree:
		return -1
	case aFree != bFree:
		return 1
	case a.Score < b.Score:
		return -1
	case a.Score > b.Score:
		return 1
	}
	return 0
}

func (e *Entry) localAndFree(c upstream.Candidate) bool {
	return c.DataCentre == e.options.DataCentre && c.Load.Requests < float64(c.Slots)
}

// mayRetryCall waits for the back-off before another attempt and returns nil,
// or returns the outcome if no further attempt is permitted.
func (e *Entry) mayRetryCall(ctx context.Context, j *serviceJob, cause error) error {
	if j.attempts == 0 {
		return cause
	}
	if !e.mayRepeat(ctx, j.fingerprint, nil, j.crashChecks, cause, j.possiblyRan) {
		return j.finalOutcome(cause)
	}
	e.mu.Lock()
	decision := e.policy.Next(time.Now(), retry.Call{
		Team:       j.call.Caller.Team(),
		Class:      j.class.Name,
		Repeatable: j.repeatable,
		Attempts:   j.attempts,
		Deadline:   j.deadline,
	}, cause, e.options.Random)
	e.mu.Unlock()
	if decision.Action != retry.ActionRetry {
		return j.finalOutcome(cause)
	}
	e.counts.retries.Inc()
	pause := time.NewTimer(decision.Delay)
	defer pause.Stop()
	select {
	case <-pause.C:
		return nil
	case <-ctx.Done():
		return j.finalOutcome(cause)
	}
}

// finalOutcome returns err, or the outcome of an earlier attempt that may have
// run if err is not-run.
func (j *serviceJob) finalOutcome(err error) error {
	if j.possiblyRan != nil && outcome.KindOf(err) == outcome.KindNotRun {
		return j.possiblyRan
	}
	return err
}
