package gateway

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/internal/decision"
	"github.com/lovagereach/lovagereach/internal/eventstream"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/sequence"
)

// firstEvent is the number of a stream's first event.
const firstEvent = 1

// eventsAfter returns a checker of the events that follow the last one that a caller has. Any may follow
// one without a number, or where upstreams needn't resume a stream.
func eventsAfter(last string, resumable bool) sequence.Checker {
	if last == "" {
		return sequence.StartingAt(firstEvent)
	}
	number, valid := eventstream.ParseID(last)
	if !valid || !resumable || number == math.MaxUint64 {
		return sequence.StartingAnywhere()
	}
	return sequence.StartingAt(number + 1)
}

// isStream reports whether a success is a stream of events.
func (r *run) isStream() bool { return r.route.Kind == catalog.Stream }

// Reasons why bytes of an answer are not what is due, labels of a metric.
const (
	// invalidSyntax: they are no event.
	invalidSyntax = "syntax"
	// invalidID: an event without a number.
	invalidID = "id"
	// invalidPosition: another event than the one that is due.
	invalidPosition = "position"
	// invalidEnd: an end before anything that an answer consists of.
	invalidEnd = "end"
)

var invalidReasons = []string{invalidSyntax, invalidID, invalidPosition, invalidEnd}

// invalidError reports bytes of an answer that are not what is due.
type invalidError struct {
	reason, detail string
	// id is the identity of what came, where event due was due.
	id  string
	due uint64
	// claimed indicates that the event is due by what the caller says that it has only.
	claimed bool
}

// Error implements error.
func (e *invalidError) Error() string {
	return fmt.Sprintf("%s: event %q where %d was due: %s", e.reason, e.id, e.due, e.detail)
}

// checkPiece returns an error for a piece of a stream that is not the event that is due.
func (r *run) checkPiece(answer *Answer, piece Piece) error {
	if !r.isStream() || answer.Status/100 != 2 || piece.Comment {
		return nil
	}
	due, _ := r.events.Due()
	number, valid := eventstream.ParseID(piece.ID)
	if !valid {
		return &invalidError{reason: invalidID, detail: "no number", id: piece.ID, due: due}
	}
	if position := r.events.Observe(number); position != sequence.Due {
		claimed := r.request.ResumeAfter != "" && r.lastEvent == r.request.ResumeAfter
		return &invalidError{reason: invalidPosition, detail: position.String(), id: piece.ID, due: due, claimed: claimed}
	}
	return nil
}

// invalid returns the part of an answer that is not what is due, nil if the answer ended for another reason.
func (r *run) invalid(cause error) *invalidError {
	var invalid *invalidError
	var syntax *eventstream.SyntaxError
	switch {
	case errors.As(cause, &invalid):
		return invalid
	case errors.As(cause, &syntax) || errors.Is(cause, eventstream.ErrTooLong):
		due, _ := r.events.Due()
		return &invalidError{reason: invalidSyntax, detail: cause.Error(), due: due}
	}
	return nil
}

// rejected logs and counts an answer of an upstream, or of another entry if p is nil, that ended with an
// error because of its bytes. It returns the answer's outcome, nil if it is whole.
func (r *run) rejected(cause error, p *plan) error {
	invalid := r.invalid(cause)
	if invalid == nil {
		return cause
	}
	event := &decision.InvalidAnswer{
		Request: r.request.ID, Route: r.route.Name, Upstream: r.forwardedTo,
		Reason: invalid.reason, Detail: invalid.detail, ID: invalid.id, Due: invalid.due, Send: r.sends, Begun: r.headSent,
	}
	if p != nil {
		event.Upstream, event.Software = p.send.Upstream, p.origin.Software
	}
	r.gateway.meter.invalid[invalid.reason].Inc()
	r.gateway.options.Decisions.Emit(event)
	return &outcome.Unknown{Reason: outcome.ReasonBadAnswer, Detail: invalid.Error()}
}

// failed records that the answer to a send ended with an error, and returns its outcome.
func (r *run) failed(ctx context.Context, p *plan, cause error) error {
	invalid, err := r.invalid(cause), r.rejected(cause, p)
	if invalid != nil && invalid.claimed {
		// Otherwise a caller could have upstreams avoided by what it says that it has.
		r.release(p)
		r.tried[p.upstream] = true
		return err
	}
	if invalid != nil {
		s := r.gateway.state
		s.mu.Lock()
		p.upstream.framing.invalidAt = time.Now()
		s.mu.Unlock()
	}
	r.recordFailure(ctx, p, err)
	return err
}

// checkEnd returns an error if an answer whose body has ended can't be whole.
func (f *forwarder) checkEnd() error {
	r := f.run
	due, _ := r.events.Due()
	switch {
	case f.answer.Status/100 != 2 || f.pieces > 0:
	case r.isStream() && r.lastEvent == "":
		return &invalidError{reason: invalidEnd, detail: "a stream without events", due: due}
	case f.answer.Unframed:
		return &invalidError{reason: invalidEnd, detail: "neither a body nor its length", due: due}
	}
	return nil
}
