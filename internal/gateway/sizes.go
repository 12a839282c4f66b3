package gateway

import (
	"time"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/internal/decision"
	"github.com/lovagereach/lovagereach/partition"
)

// divideEvery is how long a division of a service's upstreams holds: each takes a hash of every
// upstream.
const divideEvery = 100 * time.Millisecond

// divided is the division of a service's upstreams between small and large prompts.
type divided struct {
	work     partition.Work
	division partition.Division
	at       time.Time
}

// ofSize returns the candidates for a prompt that serve prompts of its size. A short prompt that
// arrives at a runner behind long ones, which other entries have just sent, waits for their prefill.
// If none of them has capacity, all candidates are returned.
func (r *run) ofSize(s *state, service *catalog.Service, candidates []*upstreamState, n need, now time.Time) []*upstreamState {
	if !r.gateway.options.Load.UnevenUpstreams {
		return candidates
	}
	division := s.divisionOf(service.Name, now)
	if !division.Divided() {
		return candidates
	}
	own := make([]*upstreamState, 0, len(candidates))
	usable := false
	for _, u := range candidates {
		if division.Serves(partition.Rank(u.record.ID), n.small) {
			own = append(own, u)
			usable = usable || r.hasRoom(s, u, n, now)
		}
	}
	if usable {
		return own
	}
	r.gateway.meter.sizeSpills.Inc()
	return candidates
}

// hasRoom reports whether a sound upstream has capacity for a prompt without pending prefill that
// takes too long.
func (r *run) hasRoom(s *state, u *upstreamState, n need, now time.Time) bool {
	return u.own.Unread+u.others.Unread <= n.maxPendingPrefill && r.penalty(u, now) < noCapacityCost && s.mayUse(u, n, now)
}

// divisionOf returns the division of a service's upstreams. The caller holds the lock, as for the
// functions below.
func (s *state) divisionOf(service string, now time.Time) partition.Division {
	d := &s.learnedOf(service).divided
	if now.Sub(d.at) < divideEvery {
		return d.division
	}
	serving := s.serving[service]
	ranks := make([]uint64, len(serving))
	for i, u := range serving {
		ranks[i] = partition.Rank(u.record.ID)
	}
	d.division, d.at = partition.Divide(ranks, d.work.SmallShare()), now
	return d.division
}

// observeWork records the work for a prompt that was answered: its prefill, and its share of a
// runner's slots for as long as it held one. If one part of the upstreams is congested, its prompts
// take longer, and it gets more upstreams.
func (r *run) observeWork(s *state, p *plan, now time.Time) {
	if p.send.Prompt == nil || !r.gateway.options.Load.UnevenUpstreams {
		return
	}
	l := s.learnedOf(r.service)
	held := milliseconds(now.Sub(p.sent)) / float64(max(p.upstream.record.Slots, 1))
	l.divided.work.Observe(r.small(), float64(p.prefillTokens)/l.prefill.PerMs()+held)
}

// sizeOf returns which prompts an upstream serves, as a log field.
func (s *state) sizeOf(u *upstreamState) string {
	l := s.learned[u.record.Service]
	if l == nil || !l.divided.division.Divided() {
		return ""
	}
	if l.divided.division.Serves(partition.Rank(u.record.ID), true) {
		return decision.Small
	}
	return decision.Large
}
