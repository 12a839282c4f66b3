package gateway

import (
	"time"

	"github.com/lovagereach/lovagereach/internal/decision"
	"github.com/lovagereach/lovagereach/ratelimit"
)

// sentSlots is the number of seconds in which the sends to an upstream are counted.
const sentSlots = 4

// sentCount counts the requests sent to an upstream in the last sentSlots seconds.
type sentCount struct {
	slots [sentSlots]struct{ second, requests int64 }
	// began is the time of the first request, loggedAt that of the latest log line.
	began, loggedAt time.Time
}

// second returns the number of the current second. Numbers start at sentSlots, so that the zero
// slot does not count.
func (c *sentCount) second(now time.Time) int64 {
	return sentSlots + int64(now.Sub(c.began)/time.Second)
}

func (c *sentCount) add(now time.Time) {
	if c.began.IsZero() {
		c.began = now
	}
	second := c.second(now)
	slot := &c.slots[second%sentSlots]
	if slot.second != second {
		slot.second, slot.requests = second, 0
	}
	slot.requests++
}

func (c *sentCount) total(now time.Time) int {
	if c.began.IsZero() {
		return 0
	}
	total := int64(0)
	for _, slot := range c.slots {
		if c.second(now)-slot.second < sentSlots {
			total += slot.requests
		}
	}
	return int(total)
}

// recordLimit records what an upstream stated in an answer about its limit. That there is none
// counts as stated when the request was sent: an answer that was delayed on its way must not end
// a limit that was named after it.
func (r *run) recordLimit(p *plan, limit *ratelimit.Limit) {
	if limit == nil {
		return
	}
	s, now := r.gateway.state, time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	record := &p.upstream.record
	if s.upstreams[record.ID] != p.upstream {
		return
	}
	stated := now
	if !limit.Limited {
		stated = p.sent
	}
	if s.limits.Record(record.ID, record.StartedMs, *limit, stated, now) {
		r.gateway.logLimit(p.upstream, now)
	}
}

// countSent counts a send to an upstream. The caller holds the lock.
func (g *Gateway) countSent(u *upstreamState, now time.Time) {
	u.sentCount.add(now)
	if !g.state.limits.Limit(u.record.ID).Limited {
		return
	}
	g.meter.limitedSends.Inc()
	if now.Sub(u.sentCount.loggedAt) >= time.Second {
		g.logLimit(u, now)
	}
}

func (g *Gateway) logLimit(u *upstreamState, now time.Time) {
	u.sentCount.loggedAt = now
	limit := g.state.limits.Limit(u.record.ID)
	g.options.Decisions.Emit(&decision.UpstreamLimit{
		Upstream: u.record.ID, Limited: limit.Limited, PerSecond: limit.PerSecond, Share: g.state.limits.Rate(u.record.ID, now), Sent: u.sentCount.total(now),
	})
}

// cannotWait reports whether a request would wait in vain: all upstreams that may run it either
// want no requests from this entry for longer than it may wait, or name limits of which this
// entry's shares are too small for the requests that wait already.
func (r *run) cannotWait(s *state, now time.Time) bool {
	fits, longest := r.softwareFilter(s), r.longestWait(s.waitLimits, now)
	upstreams, perSecond := 0, 0.0
	for _, u := range s.serving[r.service] {
		if r.tried[u] || r.excludes(s, u, fits) {
			continue
		}
		upstreams++
		if u.backOffUntil.Sub(now) >= longest {
			continue
		}
		if !s.limits.Limit(u.record.ID).Limited {
			return false
		}
		perSecond += s.limits.Rate(u.record.ID, now)
	}
	if upstreams == 0 {
		return false
	}
	return float64(s.ahead(r, now)) > perSecond*longest.Seconds()
}

// ahead counts the requests for the service that are served before r, with r itself.
func (s *state) ahead(r *run, now time.Time) int {
	if s.shares != nil {
		return s.queue(r.service).Ahead(now, r.offer(s, s.shares.nextID(), now))
	}
	ahead := 1
	for _, w := range s.waiting {
		if w.run.service == r.service && !r.precedes(w.run) {
			ahead++
		}
	}
	return ahead
}

// namedLimit returns the requests a second of a limit, nil if there is none.
func namedLimit(limit ratelimit.Limit) *float64 {
	if !limit.Limited {
		return nil
	}
	return &limit.PerSecond
}
