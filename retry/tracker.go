package retry

import (
	"errors"

	"github.com/lovagereach/lovagereach/ident"
)

// ErrTrackerFull reports that too many requests are in flight.
var ErrTrackerFull = errors.New("retry: too many requests in flight")

// ErrDuplicate reports a request id that is already in flight.
var ErrDuplicate = errors.New("retry: request id is already in flight")

// Tracker matches answers to the attempts that were sent. An answer that matches no
// live attempt is dropped and counted, so that a late or crossed answer never reaches
// a caller. It is not safe for concurrent use.
type Tracker struct {
	limit    int
	inFlight map[ident.Request]*attempts
	dropped  Dropped
}

type attempts struct {
	next uint32
	live map[uint32]ident.Upstream
}

// Dropped counts the answers that matched no live attempt.
type Dropped struct {
	// Late counts answers to attempts or requests that had already ended.
	Late uint64
	// Crossed counts answers from an upstream other than the one that the attempt was
	// sent to.
	Crossed uint64
}

// NewTracker returns a tracker for up to limit requests.
func NewTracker(limit int) *Tracker {
	return &Tracker{limit: limit, inFlight: make(map[ident.Request]*attempts)}
}

// Start registers a request.
func (t *Tracker) Start(request ident.Request) error {
	if _, known := t.inFlight[request]; known {
		return ErrDuplicate
	}
	if len(t.inFlight) >= t.limit {
		return ErrTrackerFull
	}
	t.inFlight[request] = &attempts{live: make(map[uint32]ident.Upstream, 1)}
	return nil
}

// Send registers the next attempt of a started request and returns its number,
// starting at 1, or 0 if the request is not in flight.
func (t *Tracker) Send(request ident.Request, upstream ident.Upstream) uint32 {
	a := t.inFlight[request]
	if a == nil {
		return 0
	}
	a.next++
	a.live[a.next] = upstream
	return a.next
}

// Match reports whether an answer belongs to a live attempt.
func (t *Tracker) Match(request ident.Request, attempt uint32, upstream ident.Upstream) bool {
	a := t.inFlight[request]
	if a == nil {
		t.dropped.Late++
		return false
	}
	sentTo, live := a.live[attempt]
	switch {
	case !live:
		t.dropped.Late++
		return false
	case sentTo != upstream:
		t.dropped.Crossed++
		return false
	}
	return true
}

// End ends one attempt; later answers to it are dropped.
func (t *Tracker) End(request ident.Request, attempt uint32) {
	if a := t.inFlight[request]; a != nil {
		delete(a.live, attempt)
	}
}

// Finish ends a request and all its attempts.
func (t *Tracker) Finish(request ident.Request) { delete(t.inFlight, request) }

// InFlight returns the number of requests in flight.
func (t *Tracker) InFlight() int { return len(t.inFlight) }

// Dropped returns the counts of dropped answers.
func (t *Tracker) Dropped() Dropped { return t.dropped }
