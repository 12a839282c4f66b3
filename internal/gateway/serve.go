package gateway

import (
	"cmp"
	"context"
	"errors"
	"io"
	"time"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/outcome"
)

// serve sends the request until it has a final answer.
func (r *run) serve(ctx context.Context, respond Responder) {
	defer r.returnTrial()
	for {
		err := r.attempt(ctx, respond)
		if err == nil {
			respond.Done()
			r.logEnd(nil)
			return
		}
		retry, final := r.shouldRetry(ctx, err)
		if retry {
			r.logRetry(err)
			continue
		}
		if r.forwardUnconfirmed(ctx, respond) {
			r.logEnd(nil)
			return
		}
		r.logEnd(final)
		if r.headSent {
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
	// sameUpstream indicates that the same upstream may be tried again, since it only lacked
	// the requested weight version.
	sameUpstream bool
}

// Error implements error.
func (e *refusedError) Error() string { return "refused by upstream: " + e.refusal.String() }

// retryError is an upstream's failure that is not forwarded, because the request may be
// repeated and the budget has allowed the retry.
type retryError struct{ status int }

// Error implements error.
func (e *retryError) Error() string { return "failed by upstream" }

// errCallerGone indicates that the caller has closed its connection.
var errCallerGone = errors.New("the caller has gone")

// shouldRetry decides whether the request is sent once more after err. If not, it returns the
// final answer for the caller.
func (r *run) shouldRetry(ctx context.Context, err error) (bool, error) {
	now := time.Now()
	var unsent *outcome.NotRun
	isUnsent := errors.As(err, &unsent)
	var refused *refusedError
	isRefused := errors.As(err, &refused)
	var failed *retryError
	switch {
	case errors.Is(err, errCallerGone) || errors.Is(ctx.Err(), context.Canceled):
		return false, &outcome.Unknown{Reason: outcome.ReasonCallerGone, Detail: err.Error()}
	case r.deadline.Sub(now) < minWait:
		return false, r.deadlineError(err)
	case connectionsUsed(err) && r.mayAwaitConnection():
		return true, nil
	case isUnsent && !triesNext(unsent.Reason):
		// Nothing was tried: no upstream is known, or none had capacity or a connection left.
		return false, r.refusal(unsent.Reason, unsent.RetryAfter, unsent.Detail)
	case isUnsent:
		// No byte was sent, so this doesn't count as a send, and any kind of request may try
		// the next upstream.
		r.unsent++
		if r.unsent < maxUnsent && !r.reachesNothing(now) {
			return true, nil
		}
		return false, r.refusal(unsent.Reason, defaultRetryAfter, unsent.Detail)
	case isRefused:
		if !r.isTrial() && (refused.sameUpstream || r.sends < r.maxAttempts()) && r.sends < r.maxAttempts()+1 && r.takeRetryBudget(now) {
			return true, nil
		}
		return false, r.refusal(outcome.ReasonRefused, r.retryAfterRefusal(now), err.Error())
	case errors.As(err, &failed) || errors.Is(err, errUnconfirmed):
		return true, nil
	case r.handedOver:
		return false, unknownOutcome(err)
	case r.mayRepeat() && r.sends < r.maxAttempts() && !r.suspected(ctx) && r.takeRetryBudget(time.Now()):
		return true, nil
	}
	return false, unknownOutcome(err)
}

// triesNext reports whether a request that was not sent to an upstream may be sent to the next one.
func triesNext(reason outcome.Reason) bool {
	return reason == outcome.ReasonDial || reason == ReasonRestarted || reason == ReasonOldWeights
}

// unknownOutcome returns the final answer after a send that may have run.
func unknownOutcome(err error) error {
	var unknown *outcome.Unknown
	if errors.As(err, &unknown) {
		return unknown
	}
	return &outcome.Unknown{Reason: outcome.ReasonBadAnswer, Detail: err.Error()}
}

// mayRepeat reports whether the request may run once more: a resumable stream at any time, a
// safe request while the caller has received nothing of an answer.
func (r *run) mayRepeat() bool {
	return r.route.Repeatable() && (r.route.Kind == catalog.Stream || !r.headSent) && !r.origin.Uncertain && !r.isTrial()
}

// refusal returns an error that the request has not run or, if an earlier send may have run,
// that its outcome is unknown.
func (r *run) refusal(reason outcome.Reason, after time.Duration, detail string) error {
	if r.mayHaveRun {
		return &outcome.Unknown{Reason: reason, Detail: detail}
	}
	return notRun(reason, after, detail)
}

// deadlineError returns the final answer at the deadline.
func (r *run) deadlineError(cause error) error {
	if r.mayHaveRun {
		return &outcome.Unknown{Reason: outcome.ReasonTimeout, Detail: cause.Error()}
	}
	return notRun(outcome.ReasonDeadline, 0, "the time was up: "+cause.Error())
}

// maxAttempts is the largest number of upstreams that the request may be sent to.
func (r *run) maxAttempts() int { return max(r.route.Attempts, 1) }

func (r *run) takeRetryBudget(now time.Time) bool {
	s := r.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	allowed := s.budgets.allowRetry(r.service, cmp.Or(s.activeEntries, s.entries), now)
	if !allowed {
		r.gateway.meter.budgetRefusals.Inc()
	}
	return allowed
}

// attempt makes one send and forwards its answer. A nil error means that the caller has a
// complete answer.
func (r *run) attempt(ctx context.Context, respond Responder) error {
	if err := r.checkQuarantine(ctx); err != nil {
		return err
	}
	if peer, found := r.choosePeer(time.Now()); found {
		return r.sendToPeer(ctx, respond, peer)
	}
	if err := r.resolveOrigin(ctx); err != nil {
		return err
	}
	p, err := r.await(ctx)
	if err != nil {
		return err
	}
	if err := r.stillWanted(ctx); err != nil {
		s := r.gateway.state
		s.mu.Lock()
		s.cancel(p)
		s.mu.Unlock()
		return err
	}
	r.registerOrigin(p)
	sendCtx, ended, err := r.trackBegin(ctx, p)
	if err != nil {
		return err
	}
	defer ended()
	sendCtx, stop := r.boundConfirmation(sendCtx, p)
	defer stop()
	answer, err := r.gateway.options.Sender.Send(sendCtx, p.send)
	if connectionsUsed(err) {
		r.recordConnectionsUsed(p)
		return err
	}
	if err != nil {
		var unsent *outcome.NotRun
		if !errors.As(err, &unsent) {
			r.sends++
			r.mayHaveRun = true
		}
		if ended := cmp.Or(r.recordOverdue(p), r.recordSilent(p)); ended != nil {
			return ended
		}
		r.recordFailure(ctx, p, err)
		return err
	}
	r.sends++
	p.headCame = true
	defer answer.Body.Close()
	r.recordReceived(p)
	r.observeIncarnation(p, answer)
	r.recordLoad(p, answer.Load)
	r.recordLimit(p, answer.Limit)
	r.recordBrittle(p, answer.Brittle)
	r.recordBackOff(p, answer.BackOff)
	r.recordLeaving(p, answer.Leaving)
	if answer.Refusal != NotRefused {
		return r.handleRefusal(p, answer)
	}
	r.mayHaveRun = true
	r.confirmVersion(p)
	if r.held != nil && answer.Status/100 != 2 {
		answer.Body.Close()
		r.complete(p, answer.Status < 500)
		return &outcome.Unknown{Reason: outcome.ReasonBadAnswer, Detail: "a whole answer was to be confirmed, and a failure was answered"}
	}
	if r.retriesFailure(answer) {
		answer.Body.Close()
		r.complete(p, false)
		r.tried[p.upstream] = true
		return &retryError{status: answer.Status}
	}
	if r.headSent && answer.Status/100 != 2 {
		// The caller has received some of the events. If the body of a failure were forwarded
		// and the answer ended normally, a part of the stream would look complete.
		answer.Body.Close()
		r.complete(p, answer.Status < 500)
		r.tried[p.upstream] = true
		return &outcome.Unknown{Reason: outcome.ReasonBadAnswer, Detail: "the stream was to go on, and a failure was answered"}
	}
	return r.forward(ctx, respond, p, answer)
}

// stillWanted returns the reason why a request with a plan must not be sent any more, nil if
// it may. The conditions checked before may have changed if the process was suspended.
func (r *run) stillWanted(ctx context.Context) error {
	if err := r.quarantineError(); err != nil {
		return err
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled), r.request.Left != nil && r.request.Left():
		return errCallerGone
	case time.Until(r.deadline) < minWait:
		return &outcome.NotRun{Reason: outcome.ReasonDeadline, Detail: "the time was up before it was sent"}
	}
	return nil
}

// retriesFailure reports whether a failure answered by the upstream is not forwarded and the
// request is sent to another upstream.
func (r *run) retriesFailure(answer *Answer) bool {
	now := time.Now()
	return answer.Status >= 500 && !r.headSent && r.route.Repeatable() && !r.isTrial() && r.sends < r.maxAttempts() &&
		r.deadline.Sub(now) > minWait && r.takeRetryBudget(now)
}

// handleRefusal handles an upstream's statement that it did not run the request.
func (r *run) handleRefusal(p *plan, answer *Answer) error {
	answer.Body.Close()
	s := r.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release(p)
	s.dropPendingSaves(p)
	refused := &refusedError{refusal: answer.Refusal}
	switch answer.Refusal {
	case OtherUpstream:
		p.upstream.health.replaced = true
	case OtherVersion:
		if p.send.Prompt == nil {
			// A send without a prompt names no weight version: try another upstream.
			break
		}
		if newest := s.weights[r.request.Prompt.Model]; p.send.Prompt.Version < newest {
			r.guessed[p.upstream] = newest
			refused.sameUpstream = true
			return refused
		}
		p.upstream.versionUnknownUntil = time.Now().Add(s.announceWithin)
	case Full:
		now := time.Now()
		p.upstream.fullUntil = now.Add(fullFor)
		s.pauseBrittle(p.upstream, now)
	}
	r.tried[p.upstream] = true
	return refused
}

// confirmVersion records a guessed version once the runner has accepted it. If it were
// recorded earlier, a runner between two versions would attract prompts and refuse all of
// them.
func (r *run) confirmVersion(p *plan) {
	if r.guessed[p.upstream] == 0 {
		return
	}
	s := r.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	p.upstream.learn(r.request.Prompt.Model, p.send.Prompt.Version)
}

// forward forwards an answer to its end. A body that isn't read to its end is closed before the send
// is released: a waiting request is sent immediately then, and needs the connection.
func (r *run) forward(ctx context.Context, respond Responder, p *plan, answer *Answer) error {
	fw := &forwarder{run: r, respond: respond, answer: answer, buffering: r.route.Kind == catalog.Safe}
	begun := false
	for {
		piece, err := answer.Body.Next()
		if errors.Is(err, io.EOF) {
			return r.finish(ctx, p, fw)
		}
		if err == nil {
			err = r.checkPiece(answer, piece)
		}
		if err != nil {
			answer.Body.Close()
			if ended := cmp.Or(r.recordOverdue(p), r.recordSilent(p)); ended != nil {
				return ended
			}
			return r.failed(ctx, p, err)
		}
		if !piece.Comment {
			r.recordPiece(p)
			if !begun && answer.Status/100 == 2 {
				r.recordBegin(p)
				begun = true
			}
		}
		if err := fw.piece(piece); err != nil {
			answer.Body.Close()
			r.release(p)
			return err
		}
	}
}

// recordPiece records that a piece of an answer has come.
func (r *run) recordPiece(p *plan) {
	r.recordAnswerStart(p)
	r.countEvent(p, time.Now())
	if r.first == 0 {
		r.first = time.Since(r.request.Arrived)
	}
}

// finish handles the end of an answer's body.
func (r *run) finish(ctx context.Context, p *plan, fw *forwarder) error {
	var err error
	if fw.answer.Unframed {
		r.unframed = true
		r.gateway.meter.unframed.Inc()
		err = r.confirmEnd(ctx, p)
	}
	if err == nil {
		err = fw.checkEnd()
	}
	if err != nil {
		return r.failed(ctx, p, err)
	}
	if r.asksForRest(p, fw) {
		r.complete(p, true)
		r.tried[p.upstream] = true
		return errUnconfirmed
	}
	if r.endsChunks(fw) {
		r.complete(p, true)
		r.tried[p.upstream] = true
		return unfinished()
	}
	if err := fw.end(); err != nil {
		fw.answer.Body.Close()
		r.release(p)
		return err
	}
	r.complete(p, fw.answer.Status < 500)
	if fw.answer.Status/100 == 2 {
		r.recordServed()
		r.forgetOrigin()
	}
	return nil
}

// forwarder forwards one answer to the caller. A short answer to a safe request is buffered
// until it is complete: once the caller has received a part of it, the request can't be
// repeated, since the caller would get the head of one answer with the body of another.
type forwarder struct {
	run       *run
	respond   Responder
	answer    *Answer
	buffering bool
	buffered  []byte
	// pieces is the number of pieces of the answer, without comments.
	pieces int
}

func (f *forwarder) piece(piece Piece) error {
	if piece.Comment {
		if !f.run.headSent {
			return nil
		}
	} else {
		f.pieces++
		if f.run.isStream() {
			f.run.goesOn()
		}
	}
	if f.buffering && len(f.buffered)+len(piece.Data) <= maxBuffered {
		f.buffered = append(f.buffered, piece.Data...)
		return nil
	}
	if err := f.begin(); err != nil {
		return err
	}
	if f.respond.Piece(piece.Data) != nil {
		return errCallerGone
	}
	if piece.ID != "" {
		f.run.lastEvent = piece.ID
	}
	return nil
}

// begin forwards the head, once, and the buffered data.
func (f *forwarder) begin() error {
	f.buffering = false
	if !f.run.headSent {
		if f.respond.Begin(f.answer) != nil {
			return errCallerGone
		}
		f.run.headSent, f.run.headUnframed = true, f.answer.Unframed
		f.run.status = f.answer.Status
	}
	if len(f.buffered) > 0 {
		if f.respond.Piece(f.buffered) != nil {
			return errCallerGone
		}
		f.buffered = nil
	}
	return nil
}

// end forwards what is buffered of a complete answer. Of two answers without framing the longer one is
// taken.
func (f *forwarder) end() error {
	if held := f.run.held; held != nil && f.answer.Unframed && f.buffering && len(held.buffered) > len(f.buffered) {
		return held.begin()
	}
	return f.begin()
}
