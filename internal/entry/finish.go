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

// firstToken records how the first token compares with the prediction.
func (a *answer) firstToken() {
	if a.overdue != nil {
		a.overdue.Stop()
	}
	now := time.Now()
	e := a.entry
	e.mu.Lock()
	e.registry.FirstToken(a.attempt)
	e.brought(a.attempt.Request, a.plan)
	// The limit guards the engines: with the import in it, a slow link would
	// lower the limit while they are idle.
	decision := a.plan.decision
	predicted := 2*a.plan.load.NetworkDelay + decision.Wait + decision.Prefill
	if a.joining == nil { // else the predicted wait is for another's import
		a.pool.controller.FirstToken(now, predicted, now.Sub(a.began))
	}
	e.mu.Unlock()
	e.counts.firstToken.Update(now.Sub(a.job.arrived).Seconds())
}

// finish records a whole answer.
func (a *answer) finish(usage port.Usage) {
	e := a.entry
	if usage.Version != "" && usage.Version != a.plan.version {
		// The engine refuses a version it does not have, so this can't happen
		// with one that keeps the contract; it is counted and shown.
		e.counts.wrongVersion.Inc()
	}
	a.setUsage(usage)
	now := time.Now()
	e.mu.Lock()
	e.registry.Finish(now, a.attempt, upstream.Succeeded)
	e.brought(a.attempt.Request, a.plan)
	e.tracker.End(a.attempt.Request, a.attempt.Number)
	a.learn(usage)
	e.mu.Unlock()
	e.noteServed(a.job.print)
	e.counts.done.Inc()
	e.counts.ended(outcome.KindDone)
	e.keeper.used(a.job, a.plan, usage)
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
	if a.imported > 0 {
		a.provenance.KeptFrom = KeptInStore
	}
}

// reusedBlocks is how many of the prompt's blocks the engine reused.
func (a *answer) reusedBlocks(usage port.Usage) int {
	return min(usage.ReusedTokens/a.job.model.BlockTokens, len(a.plan.chain.blocks))
}

// learn corrects directory and planner by what the answer showed. The caller
// holds the mutex.
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
		return // the times are not those of one whole request
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
		FirstToken:       a.joined + p.decision.Fetch + usage.Queue + usage.Prefill,
	})
}

// attemptFailed records what a failed attempt tells about its upstream.
func (a *answer) attemptFailed(err error) {
	if outcome.KindOf(err) != outcome.KindNotRun {
		a.ran = err
		if a.ctx.Err() == nil {
			c := a.plan.candidate
			a.entry.noteLost(c.Upstream, c.Incarnation, c.Address, quarantine.Attempt{Request: a.attempt.Request.String(), Print: a.job.print})
		}
	}
	result := upstream.Failed
	var notRun *outcome.NotRun
	var unknown *outcome.Unknown
	switch {
	case a.ctx.Err() != nil:
		result = upstream.Cancelled
	case errors.As(err, &notRun) && notRun.Reason == outcome.ReasonRefused:
		// A refusal for want of room says that the upstream is well.
		result = upstream.Succeeded
		a.overloaded()
	case errors.As(err, &unknown) && unknown.Reason == outcome.ReasonTimeout:
		result = upstream.Stalled
	}
	a.entry.options.Log.Warn("attempt failed", "request", a.attempt.Request.String(), "attempt", a.attempt.Number,
		"upstream", string(a.plan.candidate.Upstream), "tokens", a.delivered, "err", err)
	a.finishAttempt(result)
}

func (a *answer) overloaded() {
	a.entry.mu.Lock()
	a.pool.controller.Overloaded(time.Now())
	a.entry.mu.Unlock()
}

// finishAttempt ends the current attempt and cancels its stream.
func (a *answer) finishAttempt(result upstream.Result) {
	if a.stream != nil {
		_ = a.stream.Close() // the attempt is over whatever Close says
		a.stream = nil
	}
	e := a.entry
	e.mu.Lock()
	e.registry.Finish(time.Now(), a.attempt, result)
	e.brought(a.attempt.Request, a.plan)
	e.tracker.End(a.attempt.Request, a.attempt.Number)
	e.mu.Unlock()
}

// fail ends the answer with an outcome other than done.
func (a *answer) fail(err error) {
	a.provenance.Outcome = outcome.KindOf(err)
	a.entry.counts.ended(a.provenance.Outcome)
	a.release()
}

// release gives back everything the request holds.
func (a *answer) release() {
	if a.over {
		return
	}
	a.over = true
	if a.overdue != nil {
		a.overdue.Stop()
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

// firstAttempt lets the request pay into the retry budgets.
func (e *Entry) firstAttempt(j *job) {
	e.mu.Lock()
	e.budgets.First(j.prompt.Caller.Team(), j.class.Name)
	e.mu.Unlock()
}
