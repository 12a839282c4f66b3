package gateway

import (
	"slices"
	"time"
)

const (
	// dispatchDepth bounds the waiting requests of a service that one dispatch considers.
	dispatchDepth = 16
	// replanPause is the minimum time between two choices of an upstream for one waiting request
	// while no upstream frees capacity at this entry. A choice evaluates all upstreams: made for each
	// request at each event, choices use up the processor of an entry in a crowd, and answers,
	// closed connections and reports are read seconds late.
	replanPause = 50 * time.Millisecond
)

// dispatch grants capacity to waiting requests after a change that may concern any upstream. The
// caller holds the lock.
func (s *state) dispatch(now time.Time) {
	s.dispatchWhere(now, func(w *waiter) bool { return now.Sub(w.plannedAt) >= replanPause && s.fitsAny(w) })
}

// dispatchTo grants the capacity that one upstream has freed. The caller holds the lock.
func (s *state) dispatchTo(u *upstreamState, now time.Time) {
	s.dispatchWhere(now, func(w *waiter) bool {
		return w.run.service == u.record.Service && u.hasCapacity(w.need) && (w.waitsFor(u) || now.Sub(w.plannedAt) >= minDispatchPause)
	})
}

// waitsFor reports whether the upstream is the one that was chosen for the request and was full.
func (w *waiter) waitsFor(u *upstreamState) bool {
	return w.run.last != nil && w.run.last.upstream == u
}

// fitsAny reports whether an upstream of the request's service has the least capacity that it takes.
func (s *state) fitsAny(w *waiter) bool {
	return slices.ContainsFunc(s.serving[w.run.service], func(u *upstreamState) bool { return u.hasCapacity(w.need) })
}

// dispatchWhere chooses upstreams for the waiting requests that may find capacity.
func (s *state) dispatchWhere(now time.Time, mayFit func(w *waiter) bool) {
	if s.shares != nil {
		s.dispatchAt(s.shares.dispatch(now, mayFit), now)
		return
	}
	if len(s.waiting) == 0 {
		return
	}
	looked := make(map[string]int, 4)
	var due time.Time
	for at := 0; at < len(s.waiting); {
		w := s.waiting[at]
		if looked[w.run.service] >= dispatchDepth {
			at++
			continue
		}
		looked[w.run.service]++
		if !mayFit(w) {
			due = earlier(due, w.run.dueAt)
			at++
			continue
		}
		w.plannedAt = now
		p, err := w.run.tryPlan(now)
		if p == nil {
			// If err is set, no upstream is available; the request waits until one is.
			if err == nil {
				due = earlier(due, w.run.dueAt)
			}
			at++
			continue
		}
		s.waiting = slices.Delete(s.waiting, at, at+1)
		w.granted <- p
	}
	s.dispatchAt(due, now)
}
