package gateway

import (
	"cmp"
	"time"

	"github.com/lovagereach/lovagereach/estimate"
	"github.com/lovagereach/lovagereach/pace"
	"github.com/lovagereach/lovagereach/placement"
	"github.com/lovagereach/lovagereach/retry"
	"github.com/lovagereach/lovagereach/staleload"
)

// maxLearned bounds the services whose estimates are kept; each takes about 200 bytes.
const maxLearned = 1024

// learned is what an entry has observed of one service.
type learned struct {
	// idle is learned from prompts that idle runners have computed, prefill from those that have
	// found no pending prefill.
	prefill, idle *estimate.PrefillTime
	size          *estimate.Size
	// retries spaces the retries of callers whose requests found no capacity, smallRetries
	// those of small requests.
	retries, smallRetries retry.Schedule
	// brittle is what the service's upstreams stated about refusals.
	brittle brittle
	// sentWork is the rate of the work that this entry sends: pending prefill in tokens or, for a
	// plain service, requests.
	sentWork staleload.Rate
	// pace is the pace of its upstreams.
	pace pace.Service
	// first is the time until the answers to small requests begin.
	first firstTime
}

// retriesOf returns the retry schedule for the request's caller.
func (s *state) retriesOf(r *run) *retry.Schedule {
	l := s.learnedOf(r.service)
	if r.small() {
		return &l.smallRetries
	}
	return &l.retries
}

// learnedOf returns the estimates of a service. The caller holds the lock, as for the
// functions below unless they state otherwise.
func (s *state) learnedOf(service string) *learned {
	l := s.learned[service]
	if l == nil {
		if len(s.learned) >= maxLearned {
			clear(s.learned)
		}
		l = &learned{
			prefill: estimate.NewPrefillTime(s.startPerMs, initialBaseTime),
			idle:    estimate.NewPrefillTime(s.startPerMs, initialBaseTime),
			size:    estimate.NewSize(smallTokens),
		}
		s.setStart(service, l)
		s.learned[service] = l
	}
	return l
}

func (s *state) prefillOf(service string) *estimate.PrefillTime {
	return s.learnedOf(service).prefillTime()
}

// prefillTime returns the estimate from idle runners if there are enough observations: at others
// prompts wait for work that is not known, and seem to be computed more slowly.
func (l *learned) prefillTime() *estimate.PrefillTime {
	if l.idle.Sampled() {
		return l.idle
	}
	return l.prefill
}

// ratesOf returns the rates for choices among a service's runners.
func (s *state) ratesOf(service string, rates placement.Rates) placement.Rates {
	rates.PrefillPerMs = s.prefillOf(service).PerMs()
	return rates
}

// observePrefill learns the prefill rate from a prompt whose answer has begun: if its runner was idle
// and computed all of the prompt, and from others under load, when hardly a runner is idle. Fetches
// take longer than predicted under load, and are left out.
func (s *state) observePrefill(p *plan, now time.Time) {
	if p.send.Prompt == nil {
		return
	}
	l, took := s.learnedOf(p.upstream.record.Service), now.Sub(p.sent)
	if !p.late && p.choice.FullPrefill && p.logged.Requests == 0 {
		l.idle.Observe(p.send.Request.Prompt.size()-p.send.Request.Prompt.Output, took)
	}
	switch {
	case p.late || p.logged.PendingPrefill > 0 || p.logged.Fetched > 0:
	case p.uncachedTokens > 0:
		l.prefill.ObserveBusy(p.uncachedTokens, took)
	case s.exchange.enabled:
		l.observeAnyPrefill(p, took)
	}
}

// observeSize records the size in tokens of a prompt and returns the size up to which a prompt
// is small. It takes the lock.
func (s *state) observeSize(service string, tokens int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := s.learnedOf(service).size
	size.Observe(tokens)
	return size.Small()
}

// observeWait records the time limit of a request and returns the longest one on its route. It
// takes the lock.
func (s *state) observeWait(route string, timeout time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	longest := s.usualWaits[route]
	if longest == nil {
		if len(s.usualWaits) >= maxLearned {
			clear(s.usualWaits)
		}
		longest = &estimate.Longest{}
		s.usualWaits[route] = longest
	}
	longest.Observe(timeout)
	return longest.Value()
}

// slowestPrefill is the prefill rate of the slowest service in tokens per millisecond.
func (s *state) slowestPrefill() float64 {
	slowest := 0.0
	for _, l := range s.learned {
		if perMs := l.prefillTime().PerMs(); slowest == 0 || perMs < slowest {
			slowest = perMs
		}
	}
	return cmp.Or(slowest, s.startPerMs)
}

// largestSmallSize is the largest size in tokens of a small prompt over all services.
func (s *state) largestSmallSize() float64 {
	largest := 0
	for _, l := range s.learned {
		largest = max(largest, l.size.Small())
	}
	return float64(largest)
}
