package gateway

import "time"

// minDispatchPause is the minimum time until waiting requests are tried again without an event: each
// time all upstreams of their services are looked at.
const minDispatchPause = 5 * time.Millisecond

// wakeup dispatches the waiting requests when the first upstream is due that may get no request yet:
// no event need happen at this entry at that time.
type wakeup struct {
	timer *time.Timer
	// at is the time that the timer is set to, zero if it isn't set.
	at time.Time
}

// dueAt returns when a request may be sent to an upstream: now or before if it may be sent now. The
// caller holds the lock.
func (s *state) dueAt(u *upstreamState, coldRate float64, now time.Time) time.Time {
	due := later(later(u.pausedUntil, u.backOffUntil), u.connectionsUsedUntil)
	due = later(due, s.coldDueAt(u, coldRate, now))
	return later(due, s.limits.DueAt(u.record.ID, now))
}

// dispatchAt sets the time of the next dispatch unless one is due before; the zero time sets none.
// The caller holds the lock.
func (s *state) dispatchAt(due, now time.Time) {
	if due.IsZero() {
		return
	}
	due = later(due, now.Add(minDispatchPause))
	if w := &s.wakeup; w.at.IsZero() || due.Before(w.at) {
		w.at = due
		if w.timer == nil {
			w.timer = time.AfterFunc(due.Sub(now), s.wake)
			return
		}
		w.timer.Reset(due.Sub(now))
	}
}

// wake dispatches the waiting requests.
func (s *state) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wakeup.at = time.Time{}
	s.dispatch(time.Now())
}

// earlier returns the earlier one of two times, of which zero is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
