package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/lovagereach/lovagereach/outcome"
)

// errClosed is the refusal of requests after the drain has ended, or that might
// not end before the process.
var errClosed = &outcome.NotRun{
	Reason:     outcome.ReasonDraining,
	Detail:     "this entry is shutting down; ask another one",
	RetryAfter: time.Second,
}

var errLeaving = errors.New("leaving: no new callers are sent here")

// drainState is the progress of a graceful shutdown.
type drainState struct {
	mu      sync.Mutex
	open    int
	leaving bool
	closed  bool
	// endsAt is when the entry ends even if requests are open, zero if that is not known.
	endsAt time.Time
	// keptUntil is the latest expiry of the address answers that name this
	// entry.
	keptUntil time.Time
	// idle is closed when closed is set and no request is open.
	idle chan struct{}
}

// enter counts a new request as open. It returns false if the entry is closed, or
// ends before the request's deadline, which is zero if there is none: the answer
// might be cut.
func (d *drainState) enter(deadline time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || !d.endsAt.IsZero() && deadline.After(d.endsAt) {
		return false
	}
	d.open++
	return true
}

func (d *drainState) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open--
	d.signal()
}

func (d *drainState) signal() {
	if !d.closed || d.open > 0 {
		return
	}
	select {
	case <-d.idle:
	default:
		close(d.idle)
	}
}

func (d *drainState) isLeaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaving
}

// extendKeptUntil records that a caller may use this entry until the given
// time.
func (d *drainState) extendKeptUntil(until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if until.After(d.keptUntil) {
		d.keptUntil = until
	}
}

// startLeaving marks the entry as leaving. It returns the time until which
// callers may still arrive: the latest expiry of address answers given by this
// entry or, until peersUntil, by other entries.
func (d *drainState) startLeaving(peersUntil, endsAt time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving, d.endsAt = true, endsAt
	if peersUntil.After(d.keptUntil) {
		return peersUntil
	}
	return d.keptUntil
}

// leaveNotice is how long other entries may continue to name an entry that has
// announced its leaving. The announcement is sent with the lease renewals, one
// per second.
const leaveNotice = 2 * time.Second

// answerReserve is how long before the entry ends the last answers begin at the
// latest.
const answerReserve = 200 * time.Millisecond

func (d *drainState) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	d.signal()
}

// Drain shuts down gracefully. It first removes the entry from address answers,
// so that no new callers are directed to it. The entry continues to serve until
// the last address answer that names it has expired, because callers with such
// an answer do not request another address before and would be refused. Drain
// then refuses new requests and returns when all open requests have ended, or
// with the error of ctx when ctx ends. Requests whose deadline is later than that
// of ctx are refused from the beginning.
func (e *Entry) Drain(ctx context.Context) error {
	endsAt, bounded := ctx.Deadline()
	if bounded {
		endsAt = endsAt.Add(-answerReserve)
	}
	until := e.drain.startLeaving(time.Now().Add(leaveNotice+e.options.KeepAddress), endsAt)
	e.options.Control.Leave()
	e.options.Log.Info("draining", "serving_until", until)
	wait := time.NewTimer(time.Until(until))
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	e.drain.close()
	select {
	case <-e.drain.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Ready implements Service.
func (e *Entry) Ready() error {
	if e.drain.isLeaving() {
		return errLeaving
	}
	return e.mayServe(time.Now())
}
