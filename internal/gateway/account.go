package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/lovagereach/lovagereach/outcome"
)

// release ends the accounting of a send whose result indicates nothing about the health of its
// upstream.
func (r *run) release(p *plan) {
	s := r.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release(p)
}

// release ends the accounting of a send and dispatches waiting requests to the freed capacity.
// The caller holds the lock.
func (s *state) release(p *plan) {
	if p.released {
		return
	}
	p.released = true
	p.upstream.own.Requests--
	s.reach.Ended(p.upstream.record.ID)
	p.upstream.own.Tokens -= p.tokens
	if id := p.upstream.record.ID; p.upstream.own.Requests == 0 && s.activeUpstreams[id] == p.upstream {
		delete(s.activeUpstreams, id)
	}
	if !p.answerStarted {
		s.prefillDone(p)
		p.failReads()
	}
	s.dispatchTo(p.upstream, time.Now())
}

// prefillDone ends the accounting of the pending prefill and fetches of a send. The caller
// holds the lock.
func (s *state) prefillDone(p *plan) {
	p.upstream.own.Unread -= p.prefillTokens
	if p.send.Prompt == nil {
		return
	}
	p.endTransfers()
}

// cancel releases a plan that is not sent. The caller holds the lock.
func (s *state) cancel(p *plan) {
	s.release(p)
	s.dropPendingSaves(p)
}

// complete records that an answer was received to its end; good indicates a success.
func (r *run) complete(p *plan, good bool) {
	s := r.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release(p)
	wasEjected := p.upstream.health.consecutive > 0
	p.upstream.health.answered(good, time.Now())
	p.upstream.recordRecovery(time.Now())
	r.observeOutput(s, p)
	if wasEjected {
		r.gateway.logHealth(p.upstream, false, nil)
	}
}

// recordLoad applies the load that an upstream reported with an answer. It is newer than the
// load reported by the other entries, and the next report of theirs replaces it.
func (r *run) recordLoad(p *plan, load *Load) {
	if load == nil {
		return
	}
	s := r.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	r.recordPace(s, p, load, now)
	p.upstream.queued, p.upstream.queuedAt, p.upstream.loadAt = load.Waiting, now, now
	p.upstream.others.Requests = max(load.Running+load.Waiting-p.upstream.own.Requests, 0)
	s.loadedByOthers[p.upstream] = struct{}{}
}

// recordAnswerStart records that the answer has begun, so the runner has finished the prefill.
func (r *run) recordAnswerStart(p *plan) {
	s := r.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reach.Received(p.upstream.record.ID, time.Now())
	if !p.answerStarted && !p.released {
		p.answerStarted = true
		s.prefillDone(p)
		now := time.Now()
		r.gateway.observeBegin(p, now)
		p.endReads(now)
		s.occupyLinksWithSaves(p, &r.gateway.options.Rates, now)
		s.observePrefill(p, now)
		r.measurePace(s, p, now)
		if r.small() && !p.late {
			// Upstreams serve late requests behind others.
			s.learnedOf(r.service).first.observe(now.Sub(p.sent))
		}
		r.gateway.observeFetches(p, now)
		r.observePrediction(p, now)
		s.dispatchTo(p.upstream, now)
	}
}

// recordFailure records that a send ended without a complete answer. If the caller has gone
// away, the health of the upstream stays unchanged.
func (r *run) recordFailure(ctx context.Context, p *plan, cause error) {
	s := r.gateway.state
	var unsent *outcome.NotRun
	sent := !errors.As(cause, &unsent)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release(p)
	r.tried[p.upstream] = true
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	now := time.Now()
	p.upstream.health.failed(now)
	s.recordBrokenSend(p.upstream, cause, now)
	if !p.headCame || !isBadAnswer(cause) {
		// Bytes that are no answer after a head came from the process that the head came from.
		s.recordDisconnect(p.upstream, cause)
	}
	if ctx.Err() == nil {
		s.recordPathFailure(p.upstream, cause, now)
	}
	if sent && !p.checked {
		r.recordLost(p, false)
	}
	r.gateway.logHealth(p.upstream, true, cause)
	s.dropPendingSaves(p)
}

// isBadAnswer reports whether a send failed because of the bytes of its answer.
func isBadAnswer(cause error) bool {
	var unknown *outcome.Unknown
	return errors.As(cause, &unknown) && unknown.Reason == outcome.ReasonBadAnswer
}

// dropPendingSaves removes the pending saves of a send that failed.
func (s *state) dropPendingSaves(p *plan) {
	if p.send.Prompt == nil {
		return
	}
	for i, address := range p.send.Prompt.Save {
		if store := s.stores[address]; address != "" && store != nil {
			store.pending.remove(p.keys[i])
		}
	}
}
