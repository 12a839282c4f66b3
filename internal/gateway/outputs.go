package gateway

import (
	"time"

	"github.com/lovagereach/lovagereach/estimate"
)

// expectedOutput returns the tokens that count for the answer to a prompt when it is sent: those that
// its caller expects, corrected by how the hints of its team were off, and the maximum without a hint.
// The caller holds the lock.
func (r *run) expectedOutput(s *state) int {
	prompt := r.request.Prompt
	if !r.gateway.options.Load.UnevenUpstreams {
		return prompt.Output
	}
	hints := s.hints[r.teamName()]
	if hints == nil {
		hints = &estimate.OutputHints{}
	}
	return hints.Expect(prompt.OutputHint, prompt.Output)
}

// expectedSize returns the tokens that a prompt and its answer are expected to take in memory. The
// caller holds the lock.
func (r *run) expectedSize(s *state) int {
	return r.request.Prompt.size() - r.request.Prompt.Output + r.expectedOutput(s)
}

// countEvent counts an event of a stream. An output that is longer than expected counts as twice as
// long, up to its maximum: an event may contain several tokens.
func (r *run) countEvent(p *plan, now time.Time) {
	if p.events > 0 {
		r.pause = max(r.pause, now.Sub(p.eventAt))
	}
	p.events++
	p.eventAt = now
	if p.send.Prompt == nil || p.events <= p.output || p.output >= r.request.Prompt.Output {
		return
	}
	s := r.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.released {
		return
	}
	grown := min(2*p.output, r.request.Prompt.Output) - p.output
	p.output += grown
	p.tokens += grown
	p.upstream.own.Tokens += grown
	r.gateway.meter.outputsGrown.Inc()
}

// observeOutput learns from a complete answer of one upstream how far the hints of the team are off.
// The caller holds the lock.
func (r *run) observeOutput(s *state, p *plan) {
	if p.send.Prompt == nil || r.request.Prompt.OutputHint <= 0 || !r.gateway.options.Load.UnevenUpstreams {
		return
	}
	if r.sends != 1 || r.request.ResumeAfter != "" || r.request.Resumes != "" {
		return
	}
	hints := s.hints[r.teamName()]
	if hints == nil {
		if len(s.hints) >= maxLearned {
			clear(s.hints)
		}
		hints = &estimate.OutputHints{}
		s.hints[r.teamName()] = hints
	}
	hints.Observe(r.request.Prompt.OutputHint, p.events)
}
