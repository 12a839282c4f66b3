package gateway

import (
	"cmp"
	"time"

	"github.com/lovagereach/lovagereach/estimate"
	"github.com/lovagereach/lovagereach/placement"
	"github.com/lovagereach/lovagereach/retry"
)

// maxLearned bounds the services whose estimates are kept; about 200 bytes each.
const maxLearned = 1024

// learned is what an entry has observed of one service.
type learned struct {
	reading *estimate.PrefillTime
	size    *estimate.Size
	// returns says when callers come back whose requests found no room: light ones
	// and the others.
	returns, lightReturns retry.Schedule
}

// returnsOf is the schedule that the request's caller comes back by.
func (s *state) returnsOf(r *run) *retry.Schedule {
	l := s.learnedOf(r.service)
	if r.light() {
		return &l.lightReturns
	}
	return &l.returns
}

// learnedOf returns the estimates of a service. The caller holds the lock, as for
// what follows.
func (s *state) learnedOf(service string) *learned {
	l := s.learned[service]
	if l == nil {
		if len(s.learned) >= maxLearned {
			clear(s.learned)
		}
		l = &learned{
			reading: estimate.NewPrefillTime(s.startPerMs, firstEvent),
			size:    estimate.NewSize(lightTokens),
		}
		s.learned[service] = l
	}
	return l
}

func (s *state) readingOf(service string) *estimate.PrefillTime { return s.learnedOf(service).reading }

// ratesOf are the rates that choices among a service's runners go by.
func (s *state) ratesOf(service string, rates placement.Rates) placement.Rates {
	rates.PrefillPerMs = s.readingOf(service).PerMs()
	return rates
}

// noteReading learns from a prompt whose answer has begun how fast its runner reads,
// if the runner had nothing else to do and read all of it.
func (s *state) noteReading(p *plan, now time.Time) {
	if p.send.Prompt == nil || !p.choice.Certain || p.logged.Requests > 0 {
		return
	}
	s.readingOf(p.upstream.record.Service).Observe(p.send.Request.Prompt.size()-p.send.Request.Prompt.Output, now.Sub(p.sent))
}

// noteSize takes in the size of a prompt that comes, and returns up to which size
// it counts as light. It takes the lock.
func (s *state) noteSize(service string, tokens int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := s.learnedOf(service).size
	size.Observe(tokens)
	return size.Small()
}

// noteTime takes in the time that a request came with, and returns the longest that
// requests on its route come with. It takes the lock.
func (s *state) noteTime(route string, patience time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	usual := s.times[route]
	if usual == nil {
		if len(s.times) >= maxLearned {
			clear(s.times)
		}
		usual = &estimate.Longest{}
		s.times[route] = usual
	}
	usual.Observe(patience)
	return usual.Value()
}

// slowestReading is the reading pace in tokens a millisecond of the slowest service.
func (s *state) slowestReading() float64 {
	slowest := 0.0
	for _, l := range s.learned {
		if perMs := l.reading.PerMs(); slowest == 0 || perMs < slowest {
			slowest = perMs
		}
	}
	return cmp.Or(slowest, s.startPerMs)
}

// largestLight is the largest size in tokens that counts as light at any service.
func (s *state) largestLight() float64 {
	largest := 0
	for _, l := range s.learned {
		largest = max(largest, l.size.Small())
	}
	return float64(largest)
}
