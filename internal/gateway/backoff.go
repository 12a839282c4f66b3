package gateway

import (
	"time"

	"github.com/lovagereach/lovagereach/internal/decision"
)

// backOffGrace is how long after an upstream asked an entry to back off requests may still reach it
// that were on their way.
const backOffGrace = 500 * time.Millisecond

// maxBackOff bounds the time for which an upstream gets no requests because of one answer.
const maxBackOff = 24 * time.Hour

// recordBackOff records how long an upstream wants no requests from this entry. A later, shorter
// time ends an earlier one no sooner.
func (r *run) recordBackOff(p *plan, wait time.Duration) {
	if wait <= 0 {
		return
	}
	s := r.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	u, now := p.upstream, time.Now()
	until := now.Add(min(wait, maxBackOff))
	if !until.After(u.backOffUntil) {
		return
	}
	if !u.backsOff(now) {
		u.backOffFrom = now
		r.gateway.options.Decisions.Emit(&decision.UpstreamBackOff{Upstream: u.record.ID, Wait: wait})
	}
	u.backOffUntil = until
}

// backsOff reports whether the upstream wants no requests from this entry now.
func (u *upstreamState) backsOff(now time.Time) bool { return now.Before(u.backOffUntil) }

// countBackOff counts a send to an upstream that wants none. The caller holds the lock.
func (g *Gateway) countBackOff(u *upstreamState, now time.Time) {
	if u.backsOff(now) && now.Sub(u.backOffFrom) > backOffGrace {
		g.meter.backOffSends.Inc()
	}
}

// backedOffFor returns the time until the first upstream that may run the request wants requests
// again, zero if one does now. The caller holds the lock.
func (r *run) backedOffFor(s *state, now time.Time) time.Duration {
	fits := r.softwareFilter(s)
	shortest := time.Duration(0)
	for _, u := range s.serving[r.service] {
		switch left := u.backOffUntil.Sub(now); {
		case r.excludes(s, u, fits):
		case left <= 0:
			return 0
		case shortest == 0 || left < shortest:
			shortest = left
		}
	}
	return shortest
}

// retryAfterRefusal returns the time after which the caller of a request that upstreams refused
// should retry.
func (r *run) retryAfterRefusal(now time.Time) time.Duration {
	s := r.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.backedOffFor(s, now) == 0 {
		return retryAfterFull
	}
	return r.retryAfter(s, now)
}
