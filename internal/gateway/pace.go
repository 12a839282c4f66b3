package gateway

import "time"

// slowdownOf predicts by which factor work takes longer than usual at an upstream, 1 without the
// option. The caller holds the lock, as for the functions below.
func (r *run) slowdownOf(s *state, u *upstreamState, now time.Time) float64 {
	if !r.gateway.options.Load.UnevenUpstreams {
		return 1
	}
	return s.learnedOf(r.service).pace.Factor(&u.pace, now)
}

// recordPace records what an upstream stated with an answer about the time that work takes, and
// whether the answer waited behind no other request as far as the upstream states.
func (r *run) recordPace(s *state, p *plan, load *Load, now time.Time) {
	p.alone = load.Running <= 1 && load.Waiting == 0
	p.logged.UpstreamSlowdown = load.Slowdown
	if r.gateway.options.Load.UnevenUpstreams {
		s.learnedOf(r.service).pace.State(&p.upstream.pace, load.Slowdown, now)
	}
}

// measurePace compares the time to the beginning of an answer with the prediction, if the runner had
// no other work that could have delayed it and computed all of the prompt.
func (r *run) measurePace(s *state, p *plan, now time.Time) {
	if !r.gateway.options.Load.UnevenUpstreams || p.send.Prompt == nil || !p.choice.FullPrefill || p.logged.Requests > 0 || !p.alone {
		return
	}
	l := s.learnedOf(r.service)
	predicted := l.prefill.BaseMs() + float64(r.request.Prompt.size()-r.request.Prompt.Output)/l.prefill.PerMs()
	l.pace.Measure(&p.upstream.pace, milliseconds(now.Sub(p.sent))/(predicted*p.slowdown), now)
}

// loadCost is the cost in milliseconds of one more request at a replica of a plain service with a
// number of requests.
func (r *run) loadCost(s *state, u *upstreamState, load float64, now time.Time) float64 {
	if r.gateway.options.Load.UnevenUpstreams {
		load = (load + 1) * r.slowdownOf(s, u, now)
	}
	return load * r.gateway.options.Rates.SlotMs / float64(max(u.record.Slots, 1))
}

// slow reports whether an upstream counts as slow, as a metric.
func (s *state) slow(u *upstreamState, now time.Time) bool {
	l := s.learned[u.record.Service]
	return l != nil && l.pace.Factor(&u.pace, now) >= slowThreshold
}
