package gateway

import (
	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/internal/decision"
	"github.com/lovagereach/lovagereach/internal/eventstream"
	"github.com/lovagereach/lovagereach/sequence"
)

// firstEvent is the number of a stream's first event.
const firstEvent = 1

// eventsAfter returns a checker of the events that follow the last one that a caller has. A stream whose
// caller names an event without a number may go on with any.
func eventsAfter(last string) sequence.Checker {
	if last == "" {
		return sequence.StartingAt(firstEvent)
	}
	number, valid := eventstream.ParseID(last)
	if !valid {
		return sequence.StartingAnywhere()
	}
	return sequence.StartingAt(number + 1)
}

// Reasons why bytes of an answer are not what is due, labels of a metric.
const (
	invalidSyntax   = "syntax"
	invalidID       = "id"
	invalidPosition = "position"
)

var invalidReasons = []string{invalidSyntax, invalidID, invalidPosition}

// checkEvent logs and counts a piece of a stream that is not the event that is due.
func (r *run) checkEvent(p *plan, piece Piece) {
	if r.route.Kind != catalog.Stream {
		return
	}
	due, _ := r.events.Due()
	number, valid := eventstream.ParseID(piece.ID)
	reason, detail := "", ""
	switch {
	case piece.Problem != nil:
		reason, detail = invalidSyntax, piece.Problem.Error()
	case !valid:
		reason = invalidID
	default:
		if position := r.events.Observe(number); position != sequence.Due {
			reason, detail = invalidPosition, position.String()
		}
	}
	if reason == "" {
		return
	}
	r.gateway.meter.invalid[reason].Inc()
	r.gateway.options.Decisions.Emit(&decision.InvalidAnswer{
		Request: r.request.ID, Route: r.route.Name, Upstream: p.send.Upstream, Software: p.origin.Software,
		Reason: reason, Detail: detail, ID: piece.ID, Due: due, Send: r.sends, Begun: r.headSent,
	})
}
