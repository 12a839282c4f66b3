package gateway

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/lovagereach/lovagereach/placement"
	"github.com/lovagereach/lovagereach/staleload"
)

// maxUnreported is the longest time for which work counts as not reported. Work sent earlier has
// been done or is late, and a longer one would only make choices as even as they are already.
const maxUnreported = time.Second

// reportAge is the age of the other entries' loads: the control hosts got them at any time within
// the interval of reports, and pass them on to each other at any time within another one.
func (s *state) reportAge(now time.Time) time.Duration {
	return min(max(now.Sub(s.loadsAt), 0)+s.reportInterval.Mean(), maxUnreported)
}

// othersRate is the rate of the work per millisecond that the other entries send to a service, as
// far as they send as much as this one.
func (s *state) othersRate(service string, now time.Time) float64 {
	return s.learnedOf(service).sentWork.PerMs(now) * float64(s.sendingEntries()-1)
}

// recordWork counts the work of a send. The caller holds the lock, as for the functions below.
func (r *run) recordWork(s *state, p *plan, now time.Time) {
	work := 1.0
	if p.send.Prompt != nil {
		work = float64(p.prefillTokens)
	}
	s.learnedOf(r.service).sentWork.Add(work, now)
}

// expectOthers adds to the candidates for a prompt what the other entries are expected to have sent
// since their reports, and makes the choice a draw among those that cost about the same.
func (r *run) expectOthers(s *state, prompt *placement.Prompt, rates *placement.Rates, candidates []*upstreamState, runners []placement.Runner, now time.Time) {
	age := s.reportAge(now)
	prefilled := rates.PrefillPerMs * milliseconds(age)
	loads := make([]staleload.Upstream, len(runners))
	open := 0.0
	for i, u := range candidates {
		// A runner that has had less work than time since the report takes some at no wait: its load
		// is below zero.
		loads[i] = staleload.Upstream{Load: float64(u.own.Unread+u.others.Unread) - prefilled, Capacity: 1, Age: age}
		if runners[i].Full || runners[i].HealthPenalty >= ejectedCost {
			loads[i].Load = math.Inf(1)
			continue
		}
		open++
	}
	// More than the runners prefill isn't sent for long: it waits at the entries.
	perMs := min(s.othersRate(r.service, now), open*rates.PrefillPerMs)
	spread := staleload.Expect(loads, perMs, maxUnreported)
	for i, load := range loads {
		if work := spread.Work(load); work > 0 {
			runners[i].Unreported = max(int(load.Load+work)-runners[i].PendingPrefill, 0)
		}
		runners[i].Room = spread.Room(load)
	}
	prompt.Draw, prompt.ToleranceMs = rand.Uint64(), spread.Mean/rates.PrefillPerMs
}

// unreportedRequests returns the requests that the other entries are expected to have sent to the
// replicas of a plain service since their loads were known, nil if that isn't expected.
func (r *run) unreportedRequests(s *state, candidates []*upstreamState, now time.Time) []float64 {
	if !r.gateway.options.Load.ExpectOthers {
		return nil
	}
	age := s.reportAge(now)
	loads := make([]staleload.Upstream, len(candidates))
	slots := 0.0
	for i, u := range candidates {
		capacity := float64(max(u.record.Slots, 1))
		loads[i] = staleload.Upstream{Load: float64(u.own.Requests+u.others.Requests) / capacity, Capacity: capacity, Age: min(age, now.Sub(u.loadAt))}
		if now.Before(u.health.ejectedUntil) || u.silent {
			loads[i].Load = math.Inf(1)
			continue
		}
		slots += capacity
	}
	spread := staleload.Expect(loads, min(s.othersRate(r.service, now), slots/milliseconds(age)), maxUnreported)
	requests := make([]float64, len(loads))
	for i, load := range loads {
		requests[i] = spread.Work(load) * load.Capacity
	}
	return requests
}

// maxPendingPrefill returns how long the pending prefill of a runner may take in milliseconds if a
// large prompt is added. Where choices account for pending prefill that isn't reported yet, small
// prompts find other runners, and half of the prompt's own target bounds it.
func (r *run) maxPendingPrefill() float64 {
	if r.gateway.options.Load.ExpectOthers && r.route.Target > 0 {
		return max(milliseconds(r.route.Target)/2, maxPendingPrefillMs)
	}
	return maxPendingPrefillMs
}

// predict returns the time from the send of a prompt to its first event by the entry's view.
func (s *state) predict(p *plan, service string, runner *placement.Runner) time.Duration {
	prefill := s.prefillOf(service)
	ms := prefill.BaseMs() + p.fetchMs + float64(p.prefillTokens+runner.PendingPrefill+runner.Unreported)/prefill.PerMs()
	return time.Duration(ms * float64(time.Millisecond))
}

// observePrediction compares the time to the first event with the predicted one.
func (r *run) observePrediction(p *plan, now time.Time) {
	p.took = now.Sub(p.sent)
	if p.predicted == 0 {
		return
	}
	excess := p.took - p.predicted
	r.gateway.meter.excess.Update(max(excess, 0).Seconds())
	if excess > r.route.Target && r.route.Target > 0 {
		r.gateway.meter.behindPrediction.Inc()
	}
}
