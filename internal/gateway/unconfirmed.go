package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/outcome"
)

const (
	// doubtFor is how long the ends of an upstream's answers are doubted after it sent bytes that are no
	// answer.
	doubtFor = 30 * time.Second
	// minConfirmTime bounds the time until the answer that is to confirm an end begins, if that is more
	// than twice the time that the first answer took.
	minConfirmTime = 250 * time.Millisecond
)

// errUnconfirmed reports an answer that has ended in order, but whose end another upstream is asked to
// confirm.
var errUnconfirmed = errors.New("the end of the answer is not confirmed")

// framing is what is known of how an upstream ends its answers.
type framing struct {
	// framed indicates that it has sent answers with a length or chunks, so that one without may have been
	// cut off.
	framed bool
	// invalidAt is when it last sent bytes that are no answer.
	invalidAt time.Time
}

// doubtsEnd reports whether an answer that has ended in order may still lack its end.
func (r *run) doubtsEnd(p *plan, fw *forwarder, now time.Time) bool {
	s := r.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	known := &p.upstream.framing
	if !fw.answer.Unframed {
		known.framed = true
		return r.isStream() && now.Sub(known.invalidAt) < doubtFor
	}
	return known.framed || r.endsChunks(fw)
}

// endsChunks reports whether an answer without framing goes on with a stream that the caller gets in
// chunks, whose end would state that it is whole.
func (r *run) endsChunks(fw *forwarder) bool {
	return fw.answer.Unframed && r.isStream() && r.headSent && !r.headUnframed
}

// asksForRest decides whether another upstream is to confirm the end of an answer: of a stream by going on
// after its last event, of a safe request by answering too.
func (r *run) asksForRest(p *plan, fw *forwarder) bool {
	now := time.Now()
	took := now.Sub(p.sent)
	within := max(2*took, minConfirmTime)
	isStream := r.resumable() && r.lastEvent != ""
	isBuffered := r.route.Kind == catalog.Safe && fw.buffering
	switch {
	case fw.answer.Status/100 != 2 || !isStream && !isBuffered || !r.doubtsEnd(p, fw, now):
		return false
	case !r.mayRepeat() || r.sends >= r.maxAttempts() || r.deadline.Sub(now) < within || !r.takeRetryBudget(now):
		return false
	}
	if !r.confirming {
		r.confirming, r.fullDeadline = true, r.deadline
	}
	r.deadline = now.Add(within)
	switch {
	case isStream:
		r.ended = !r.endsChunks(fw)
	case r.held == nil || len(fw.buffered) > len(r.held.buffered):
		r.held = fw
	}
	return true
}

// timeForAnswer is the time that an upstream has for its answer. The rest of a stream whose end is to be
// confirmed may take any time, once it has begun.
func (r *run) timeForAnswer(now time.Time) time.Duration {
	if r.confirming && r.isStream() {
		return r.fullDeadline.Sub(now)
	}
	return r.deadline.Sub(now)
}

// goesOn records that a stream whose end was doubted goes on, so that its deadline applies again.
func (r *run) goesOn() {
	if r.confirming {
		r.confirming, r.deadline = false, r.fullDeadline
	}
	r.ended = false
}

// boundConfirmation returns a context for a send, which ends if the send is to confirm an end and nothing of
// its answer comes in time, and a function to call at the end of the send.
func (r *run) boundConfirmation(ctx context.Context, p *plan) (context.Context, func()) {
	if !r.confirming {
		return ctx, func() {}
	}
	s := r.gateway.state
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(time.Until(r.deadline), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !p.answerStarted {
			p.silent = true
			cancel()
		}
	})
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

// recordSilent records the end of a send that confirmed nothing in time, and returns the reason, nil for any
// other send. It tells nothing of the upstream's health, as the time may be short.
func (r *run) recordSilent(p *plan) error {
	s := r.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if !p.silent {
		return nil
	}
	s.cancel(p)
	r.tried[p.upstream] = true
	return &outcome.Unknown{Reason: outcome.ReasonTimeout, Detail: "the end of the answer was not confirmed in time"}
}

// forwardUnconfirmed ends a request whose answer has ended, if its end could not be confirmed, with what
// its first upstream stated. It reports false if there is no such answer.
func (r *run) forwardUnconfirmed(ctx context.Context, respond Responder) bool {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return false
	case r.headSent && r.ended:
	case !r.headSent && r.held != nil && r.held.begin() == nil:
	default:
		return false
	}
	respond.Done()
	return true
}

// unfinished is the outcome of a stream that can't be ended as whole.
func unfinished() error {
	return &outcome.Unknown{Reason: outcome.ReasonStreamBroken, Detail: "the rest of a stream in chunks came without, and its end is not confirmed"}
}
