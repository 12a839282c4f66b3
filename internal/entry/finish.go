package entry

import (
	"errors"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/prefix"
	"github.com/lovagereach/lovagereach/quarantine"
	"github.com/lovagereach/lovagereach/route"
	"github.com/lovagereach/lovagereach/upstream"
)

// firstToken handles the first token of the answer: it stops the deadline timer
// and compares the time to first token with the prediction.
func (a *answer) firstToken() {
	if a.deadlineTimer != nil {
		a.deadlineTimer.Stop()
	}
	now := time.Now()
	e := a.entry
	e.mu.Lock()
	e.registry.FirstToken(a.attempt)
	e.removePending(a.attempt.Request, a.plan)
	// The admission limit protects the engines. If it included the import, a
	// slow link would lower the limit while the engines are idle.
	decision := a.plan.decision
	predicted := 2*a.plan.load.NetworkDelay + decision.Wait + decision.Prefill
	if a.joinedImport == nil { // otherwise the predicted wait is for the import of another request
		a.pool.controller.FirstToken(now, predicted, now.Sub(a.generateStarted))
	}
	e.mu.Unlock()
	e.counts.firstToken.Update(now.Sub(a.job.arrived).Seconds())
}

// finish records a complete answer.
func (a *answer) finish(usage port.Usage) {
	e := a.entry
	if usage.Version != "" && usage.Version != a.plan.version {
		// An engine that follows the protocol refuses a version that it doesn't
		// have. Violations are counted, and the version is reported to the
		// caller.
		e.counts.wrongVersion.Inc()
	}
	a.setUsage(usage)
	now := time.Now()
	e.mu.Lock()
	e.registry.Finish(now, a.attempt, upstream.Succeeded)
	e.removePending(a.attempt.Request, a.plan)
	e.tracker.End(a.attempt.Request, a.attempt.Number)
	a.learn(usage)
	e.mu.Unlock()
	e.recordServed(a.job.fingerprint, string(a.job.prompt.Model), a.job.parts)
	e.counts.done.Inc()
	e.counts.countOutcome(outcome.KindDone)
	e.keeper.reportUse(a.job, a.plan, usage)
	a.release()
}

func (a *answer) setUsage(usage port.Usage) {
	a.provenance.Outcome = outcome.KindDone
	a.provenance.PromptTokens = usage.PromptTokens
	a.provenance.ReusedTokens = usage.ReusedTokens
	a.provenance.OutputTokens = usage.OutputTokens
	if usage.Version != "" {
		a.provenance.Version = usage.Version
	}
	e := a.entry
	e.counts.promptTokens.Add(usage.PromptTokens)
	e.counts.reusedTokens.Add(usage.ReusedTokens)
	reused := a.reusedBlocks(usage)
	if reused == 0 {
		return
	}
	a.provenance.KeptPrompt = a.plan.chain.blocks[reused-1]
	a.provenance.KeptFrom = KeptInCache
	if a.importedBlocks > 0 {
		a.provenance.KeptFrom = KeptInStore
	}
}

// reusedBlocks returns how many of the prompt's blocks the engine reused.
func (a *answer) reusedBlocks(usage port.Usage) int {
	return min(usage.ReusedTokens/a.job.model.BlockTokens, len(a.plan.chain.blocks))
}

// learn corrects the directory and the planner by the usage that the engine
// reported. The caller holds the mutex.
func (a *answer) learn(usage port.Usage) {
	e := a.entry
	p := a.plan
	cell := ident.Cell{Model: a.job.prompt.Model, DataCentre: p.candidate.DataCentre}
	reused := a.reusedBlocks(usage)
	if directory := e.cells[cell]; directory != nil && len(p.chain.blocks) > 0 {
		directory.Observe(prefix.Answer{
			Upstream:    p.candidate.Upstream,
			Incarnation: p.candidate.Incarnation,
			Blocks:      p.chain.blocks,
			Claimed:     p.claimed,
			Reused:      min(reused, p.claimed),
			Held:        len(p.chain.blocks),
		})
	}
	if a.provenance.Resumes > 0 {
		return // the times cover only part of the request
	}
	e.planner.Observe(route.Observation{
		Upstream:         p.candidate.Upstream,
		Target:           a.job.class.FirstToken.Within.Std(),
		QueuedTokens:     p.load.QueuedTokens,
		Excess:           p.load.Excess(),
		Wait:             usage.Queue,
		RecomputedTokens: usage.PromptTokens - usage.ReusedTokens,
		Prefill:          usage.Prefill,
		Predicted:        p.decision.FirstToken,
		FirstToken:       a.joinWait + p.decision.Fetch + usage.Queue + usage.Prefill,
	})
}

// attemptFailed records a failed attempt and its result for the health of the
// upstream.
func (a *answer) attemptFailed(err error) {
	if outcome.KindOf(err) != outcome.KindNotRun {
		a.possiblyRan = err
		if a.ctx.Err() == nil {
			c := a.plan.candidate
			check := a.entry.recordLost(c.Upstream, c.Incarnation, c.Address, quarantine.Attempt{Request: a.attempt.Request.String(), Service: string(a.job.prompt.Model), Fingerprint: a.job.fingerprint, Parts: a.job.parts, Sent: a.sent})
			a.job.crashChecks = append(a.job.crashChecks, check)
		}
	}
	result := upstream.Failed
	var notRun *outcome.NotRun
	var unknown *outcome.Unknown
	switch {
	case a.ctx.Err() != nil:
		result = upstream.Cancelled
	case errors.As(err, &notRun) && notRun.Reason == outcome.ReasonRefused:
		// A refusal for lack of capacity shows that the upstream is healthy.
		result = upstream.Succeeded
		a.refused = true
		a.overloaded()
		a.backOff(backOffOf(err))
	case errors.As(err, &unknown) && unknown.Reason == outcome.ReasonTimeout:
		result = upstream.Stalled
	}
	a.entry.options.Log.Warn("attempt failed", "request", a.attempt.Request.String(), "attempt", a.attempt.Number,
		"upstream", string(a.plan.candidate.Upstream), "tokens", a.delivered, "err", err)
	a.finishAttempt(result)
}

// backOffOf returns how long the upstream that refused an attempt wants no requests, 0 for an
// attempt that was not refused, or without a time.
func backOffOf(err error) time.Duration {
	var refused *outcome.NotRun
	if errors.As(err, &refused) && refused.Reason == outcome.ReasonRefused {
		return refused.RetryAfter
	}
	return 0
}

// backOff records that the upstream of the current attempt wants no requests for a time.
func (a *answer) backOff(wait time.Duration) {
	a.entry.mu.Lock()
	defer a.entry.mu.Unlock()
	a.entry.registry.BackOff(time.Now(), a.attempt, wait)
}

func (a *answer) overloaded() {
	a.entry.mu.Lock()
	a.pool.controller.Overloaded(time.Now())
	a.entry.mu.Unlock()
}

// finishAttempt ends the current attempt and closes its stream.
func (a *answer) finishAttempt(result upstream.Result) {
	if a.stream != nil {
		_ = a.stream.Close() // the attempt has ended regardless of the error
		a.stream = nil
	}
	e := a.entry
	e.mu.Lock()
	e.registry.Finish(time.Now(), a.attempt, result)
	e.removePending(a.attempt.Request, a.plan)
	e.tracker.End(a.attempt.Request, a.attempt.Number)
	e.mu.Unlock()
}

// fail ends the answer with an outcome other than done.
func (a *answer) fail(err error) {
	a.provenance.Outcome = outcome.KindOf(err)
	a.entry.counts.countOutcome(a.provenance.Outcome)
	a.release()
}

// release frees all resources of the request.
func (a *answer) release() {
	if a.finished {
		return
	}
	a.finished = true
	if a.deadlineTimer != nil {
		a.deadlineTimer.Stop()
	}
	if a.stream != nil {
		_ = a.stream.Close()
		a.stream = nil
	}
	a.cancel(nil)
	if a.pool != nil {
		a.pool.leave(a.job.prompt.Request)
	}
	a.entry.end(a.job.prompt.Request)
}

// creditRetryBudgets credits the retry budgets of team and class for a
// request's first attempt.
func (e *Entry) creditRetryBudgets(j *job) {
	e.mu.Lock()
	e.budgets.First(j.prompt.Caller.Team(), j.class.Name)
	e.mu.Unlock()
}
