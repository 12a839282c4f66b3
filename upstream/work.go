package upstream

import (
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// Report applies an upstream's load report. It returns false for a report that
// is not newer, or is of an unknown upstream or another incarnation.
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
	if !s.load.apply(report, now, r.opts.Transit, r.opts.ContactTimeout) {
		r.stats.OldReport++
		return false
	}
	r.shares[s.announced.Kind].observe(s.load.ownReported(), report.Running+report.Queued)
	return true
}

// Dispatch records that an attempt is being sent to an upstream. tokens is the
// number of prompt tokens to prefill, without reused ones. It returns false when
// the upstream is no longer offered; the caller must then choose again.
func (r *Registry) Dispatch(now time.Time, attempt Attempt, upstream ident.Upstream, tokens int64) bool {
	r.Advance(now)
	i, ok := r.index[upstream]
	if !ok || r.slots[i].listKind != offeredList {
		return false
	}
	if _, twice := r.inFlight[attempt]; twice || len(r.inFlight) >= r.opts.MaxInFlight {
		r.stats.Untracked++
		return true
	}
	s := &r.slots[i]
	a := &sentAttempt{upstream: i, generation: s.generation, sentAt: now, tokens: tokens}
	r.inFlight[attempt] = a
	s.load.send(a)
	return true
}

// FirstToken records that the prefill of an attempt is complete.
func (r *Registry) FirstToken(attempt Attempt) {
	a, ok := r.inFlight[attempt]
	if !ok {
		return
	}
	if s := r.slotFor(a); s != nil {
		s.load.prefilled(a)
	}
}

// Finish records the result of an attempt. An attempt that is not in flight is
// counted in Stats.Unmatched and changes nothing else.
func (r *Registry) Finish(now time.Time, attempt Attempt, result Result) {
	r.Advance(now)
	a, ok := r.inFlight[attempt]
	if !ok {
		r.stats.Unmatched++
		return
	}
	delete(r.inFlight, attempt)
	s := r.slotFor(a)
	if s == nil {
		return
	}
	s.load.finish(a, now)
	if s.health.observe(result, &r.opts.Health) {
		r.eject(now, a.upstream)
	}
}

// BackOff records that an upstream which refused an attempt wants no requests for a time. It is
// called before Finish. A shorter time than one stated before changes nothing.
func (r *Registry) BackOff(now time.Time, attempt Attempt, wait time.Duration) {
	a, ok := r.inFlight[attempt]
	if !ok {
		return
	}
	if s := r.slotFor(a); s != nil && now.Add(wait).After(s.backOffUntil) {
		s.backOffUntil = now.Add(wait)
	}
}

// slotFor returns the slot that an attempt was sent to, nil if the upstream was
// removed or has a new incarnation.
func (r *Registry) slotFor(a *sentAttempt) *slot {
	s := &r.slots[a.upstream]
	if !s.used || s.generation != a.generation {
		return nil
	}
	return s
}

// eject ejects an upstream for the time that its health gives, unless more than
// MaxEjected of one of its pools would be ejected: a failing upstream is better
// than too little capacity.
func (r *Registry) eject(now time.Time, i uint32) {
	s := &r.slots[i]
	if s.health.phase == ejected {
		return
	}
	for _, m := range s.memberships {
		if !m.pool.mayEject(r.opts.MaxEjected) {
			r.stats.Spared++
			return
		}
	}
	r.stats.Ejected++
	s.health.eject(now, &r.opts.Health)
	r.refresh(now, i)
}
