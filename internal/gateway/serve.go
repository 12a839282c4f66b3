package gateway

import (
	"cmp"
	"context"
	"errors"
	"io"
	"time"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/quarantine"
)

// serve sends the request until it has a final answer.
func (r *run) serve(ctx context.Context, respond Responder) {
	for {
		err := r.attempt(ctx, respond)
		if err == nil {
			respond.Done()
			r.logEnd(nil)
			return
		}
		again, final := r.again(ctx, err)
		if again {
			r.logAgain(err)
			continue
		}
		r.logEnd(final)
		if r.begun {
			respond.Abort()
		} else {
			respond.Refuse(final)
		}
		return
	}
}

// refusedError is an upstream's statement that it did not run the request.
type refusedError struct {
	refusal Refusal
	// sameUpstream tells that the same upstream may be asked again: it only
	// lacked the weight version that was asked for.
	sameUpstream bool
}

// Error implements error.
func (e *refusedError) Error() string { return "refused by upstream: " + e.refusal.String() }

// repeatError is an upstream's failure that is not passed on, because the
// request may be repeated and the budget has granted it.
type repeatError struct{ status int }

// Error implements error.
func (e *repeatError) Error() string { return "failed by upstream" }

// errCallerGone reports that the caller no longer reads.
var errCallerGone = errors.New("the caller has gone")

// again decides whether the request is sent once more after err, and returns
// the caller's final answer when not.
func (r *run) again(ctx context.Context, err error) (bool, error) {
	now := time.Now()
	var unsent *outcome.NotRun
	isUnsent := errors.As(err, &unsent)
	var refused *refusedError
	isRefused := errors.As(err, &refused)
	var repeat *repeatError
	switch {
	case errors.Is(err, errCallerGone) || errors.Is(ctx.Err(), context.Canceled):
		return false, &outcome.Unknown{Reason: outcome.ReasonCallerGone, Detail: err.Error()}
	case r.deadline.Sub(now) < leastWait:
		return false, r.late(err)
	case isUnsent && unsent.Reason != outcome.ReasonDial:
		// Nothing was tried: no upstream is known, or none had room.
		return false, r.refusal(unsent.Reason, unsent.RetryAfter, unsent.Detail)
	case isUnsent:
		// No byte has left: this was no send, and any kind of request may try
		// the next upstream.
		r.unsent++
		if r.unsent < maxUnsent {
			return true, nil
		}
		return false, r.refusal(unsent.Reason, comeBack, unsent.Detail)
	case isRefused:
		if (refused.sameUpstream || r.sends < r.attempts()) && r.sends < r.attempts()+1 && r.takeBudget(now) {
			return true, nil
		}
		return false, r.refusal(outcome.ReasonRefused, comeBackFull, err.Error())
	case errors.As(err, &repeat):
		return true, nil
	case r.suspected():
		return false, unknownOf(err)
	case r.mayRepeat() && r.sends < r.attempts() && r.takeBudget(now):
		return true, nil
	}
	return false, unknownOf(err)
}

// unknownOf is the final answer after a send that may have run.
func unknownOf(err error) error {
	var unknown *outcome.Unknown
	if errors.As(err, &unknown) {
		return unknown
	}
	return &outcome.Unknown{Reason: outcome.ReasonBadAnswer, Detail: err.Error()}
}

// mayRepeat reports whether the request may run once more: a resumable stream
// at any time, a safe request while the caller has nothing of an answer.
func (r *run) mayRepeat() bool {
	return r.route.Repeatable() && (r.route.Kind == catalog.Stream || !r.begun)
}

// refusal states that the request has not run or, when an earlier send may
// have, that nothing is known.
func (r *run) refusal(reason outcome.Reason, after time.Duration, detail string) error {
	if r.mayHaveRun {
		return &outcome.Unknown{Reason: reason, Detail: detail}
	}
	return notRun(reason, after, detail)
}

// late is the final answer at the deadline.
func (r *run) late(cause error) error {
	if r.mayHaveRun {
		return &outcome.Unknown{Reason: outcome.ReasonTimeout, Detail: cause.Error()}
	}
	return notRun(outcome.ReasonDeadline, 0, "the time was up: "+cause.Error())
}

// attempts is the most upstreams that the request may be sent to.
func (r *run) attempts() int { return max(r.route.Attempts, 1) }

func (r *run) takeBudget(now time.Time) bool {
	s := r.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	allowed := s.budgets.take(r.service, cmp.Or(s.takers, s.entries), now)
	if !allowed {
		r.gateway.meter.budget.Inc()
	}
	return allowed
}

// attempt makes one send and passes its answer on. A nil error means that the
// caller has a whole answer.
func (r *run) attempt(ctx context.Context, respond Responder) error {
	if r.held() {
		return quarantine.ErrQuarantined
	}
	p, err := r.await(ctx)
	if err != nil {
		return err
	}
	if err := r.stillWanted(ctx); err != nil {
		s := r.gateway.state
		s.mu.Lock()
		s.unsend(p)
		s.mu.Unlock()
		return err
	}
	answer, err := r.gateway.options.Sender.Send(ctx, p.send)
	if err != nil {
		var unsent *outcome.NotRun
		if !errors.As(err, &unsent) {
			r.sends++
			r.mayHaveRun = true
		}
		r.fail(ctx, p, err)
		return err
	}
	r.sends++
	defer answer.Body.Close()
	r.noteLoad(p, answer.Load)
	if answer.Refusal != NotRefused {
		return r.refused(p, answer)
	}
	r.mayHaveRun = true
	r.confirm(p)
	if r.repeats(answer) {
		r.whole(p, false)
		r.tried[p.upstream] = true
		return &repeatError{status: answer.Status}
	}
	if r.begun && answer.Status/100 != 2 {
		// The caller has a part of the events. The body of a failure, passed on and
		// ended as whole, would make a part of the stream look like all of it.
		r.whole(p, answer.Status < 500)
		r.tried[p.upstream] = true
		return &outcome.Unknown{Reason: outcome.ReasonBadAnswer, Detail: "the stream was to go on, and a failure was answered"}
	}
	return r.pass(ctx, respond, p, answer)
}

// stillWanted reports why a request that has found room is not to be sent: what held
// meanwhile may no longer hold when a process that stood still goes on.
func (r *run) stillWanted(ctx context.Context) error {
	switch {
	case r.held():
		return quarantine.ErrQuarantined
	case errors.Is(ctx.Err(), context.Canceled):
		return errCallerGone
	case time.Until(r.deadline) < leastWait:
		return &outcome.NotRun{Reason: outcome.ReasonDeadline, Detail: "the time was up before it was sent"}
	}
	return nil
}

// repeats reports whether a failure that the upstream answered is not passed
// on and the request is sent to another one.
func (r *run) repeats(answer *Answer) bool {
	now := time.Now()
	return answer.Status >= 500 && !r.begun && r.route.Repeatable() && r.sends < r.attempts() &&
		r.deadline.Sub(now) > leastWait && r.takeBudget(now)
}

// refused handles an upstream's statement that it did not run the request.
func (r *run) refused(p *plan, answer *Answer) error {
	s := r.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle(p)
	s.forgetPending(p)
	refused := &refusedError{refusal: answer.Refusal}
	switch answer.Refusal {
	case OtherUpstream:
		p.upstream.trust.gone = true
	case OtherVersion:
		if p.send.Prompt == nil {
			// It named no instance, and no version was asked for: another upstream.
			break
		}
		if newest := s.weights[r.request.Prompt.Model]; p.send.Prompt.Version < newest {
			r.guessed[p.upstream] = newest
			refused.sameUpstream = true
			return refused
		}
		p.upstream.doubtUntil = time.Now().Add(s.wordWithin)
	case Full:
		p.upstream.fullUntil = time.Now().Add(fullFor)
	}
	r.tried[p.upstream] = true
	return refused
}

// confirm believes a version that was guessed, now that the runner has taken it.
// Believed before, a runner between two versions would draw prompts and refuse all.
func (r *run) confirm(p *plan) {
	if r.guessed[p.upstream] == 0 {
		return
	}
	s := r.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	p.upstream.learn(r.request.Prompt.Model, p.send.Prompt.Version)
}

// pass passes an answer on to its end.
func (r *run) pass(ctx context.Context, respond Responder, p *plan, answer *Answer) error {
	relay := &relay{run: r, respond: respond, answer: answer, holds: r.route.Kind == catalog.Safe}
	for {
		piece, err := answer.Body.Next()
		if errors.Is(err, io.EOF) {
			if err := relay.begin(); err != nil {
				r.finish(p)
				return err
			}
			r.whole(p, answer.Status < 500)
			if answer.Status/100 == 2 {
				r.noteServed()
			}
			return nil
		}
		if err != nil {
			r.fail(ctx, p, err)
			return err
		}
		r.noteBegun(p)
		if r.first == 0 {
			r.first = time.Since(r.request.Arrived)
		}
		if err := relay.piece(piece); err != nil {
			r.finish(p)
			return err
		}
	}
}

// relay passes one answer to the caller. The answer to a safe request is held
// back until it is whole, as far as it is short: once the caller has a part of
// it, the request can't be repeated any more, for the caller would get the head
// of one answer with the body of another.
type relay struct {
	run     *run
	respond Responder
	answer  *Answer
	holds   bool
	held    []byte
}

func (l *relay) piece(piece Piece) error {
	if l.holds && len(l.held)+len(piece.Data) <= heldBack {
		l.held = append(l.held, piece.Data...)
		return nil
	}
	if err := l.begin(); err != nil {
		return err
	}
	if l.respond.Piece(piece.Data) != nil {
		return errCallerGone
	}
	if piece.ID != "" {
		l.run.lastEvent = piece.ID
	}
	return nil
}

// begin passes on the head and what was held back, once.
func (l *relay) begin() error {
	l.holds = false
	if !l.run.begun {
		if l.respond.Begin(l.answer) != nil {
			return errCallerGone
		}
		l.run.begun = true
		l.run.status = l.answer.Status
	}
	if len(l.held) > 0 {
		if l.respond.Piece(l.held) != nil {
			return errCallerGone
		}
		l.held = nil
	}
	return nil
}
