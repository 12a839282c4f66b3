package upstream

import (
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// Report takes an upstream's load report and tells whether it was news.
func (r *Registry) Report(now time.Time, report Report) bool {
	r.Advance(now)
	i, ok := r.index[report.Upstream]
	if !ok || r.slots[i].announced.Incarnation != report.Incarnation {
		r.stats.OldReport++
		return false
	}
	report.Running = max(report.Running, 0)
	report.Queued = max(report.Queued, 0)
	report.QueuedTokens = max(report.QueuedTokens, 0)
	s := &r.slots[i]
	if !s.load.take(report, now, r.opts.Transit, r.opts.ContactTimeout) {
		r.stats.OldReport++
		return false
	}
	r.shares[s.announced.Kind].observe(s.load.counted(), report.Running+report.Queued)
	return true
}

// Dispatch records that an attempt is being sent to an upstream. tokens is
// its prompt work, without what is reused. It returns false when the upstream
// is not offered any more; the caller must then choose again.
func (r *Registry) Dispatch(now time.Time, attempt Attempt, upstream ident.Upstream, tokens int64) bool {
	r.Advance(now)
	i, ok := r.index[upstream]
	if !ok || r.slots[i].listing != offered {
		return false
	}
	if _, twice := r.flights[attempt]; twice || len(r.flights) >= r.opts.MaxInFlight {
		r.stats.Untracked++
		return true
	}
	s := &r.slots[i]
	f := &flight{upstream: i, generation: s.generation, sent: now, tokens: tokens}
	r.flights[attempt] = f
	s.load.send(f)
	return true
}

// FirstToken records that an attempt's prompt work is done.
func (r *Registry) FirstToken(attempt Attempt) {
	f, ok := r.flights[attempt]
	if !ok {
		return
	}
	if s := r.slotOf(f); s != nil {
		s.load.prefilled(f)
	}
}

// Finish records the end of an attempt. An attempt that is not in flight is
// counted and changes nothing.
func (r *Registry) Finish(now time.Time, attempt Attempt, result Result) {
	r.Advance(now)
	f, ok := r.flights[attempt]
	if !ok {
		r.stats.Unmatched++
		return
	}
	delete(r.flights, attempt)
	s := r.slotOf(f)
	if s == nil {
		return
	}
	s.load.finish(f, now)
	if s.health.observe(result, &r.opts.Health) {
		r.eject(now, f.upstream)
	}
}

// slotOf returns the slot a flight was sent to, nil if the upstream has gone
// or lives again since.
func (r *Registry) slotOf(f *flight) *slot {
	s := &r.slots[f.upstream]
	if !s.used || s.generation != f.generation {
		return nil
	}
	return s
}

// eject takes an upstream out of its pools for a while, unless that would
// leave one of them without capacity: then a bad upstream is better than none.
func (r *Registry) eject(now time.Time, i uint32) {
	s := &r.slots[i]
	if s.health.phase == ejected {
		return
	}
	for _, at := range s.places {
		if !at.pool.maySetAside(r.opts.MaxEjected) {
			r.stats.Spared++
			return
		}
	}
	r.stats.Ejected++
	s.health.eject(now, &r.opts.Health)
	r.refresh(now, i)
}
