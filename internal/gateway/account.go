package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/lovagereach/lovagereach/outcome"
)

// finish ends the accounting of a send that says nothing of its upstream.
func (r *run) finish(p *plan) {
	s := r.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle(p)
}

// settle ends the accounting of a send and lets others have its room. The
// caller holds the lock.
func (s *state) settle(p *plan) {
	if p.done {
		return
	}
	p.done = true
	p.upstream.own.Requests--
	p.upstream.own.Tokens -= p.tokens
	if id := p.upstream.record.ID; p.upstream.own.Requests == 0 && s.engaged[id] == p.upstream {
		delete(s.engaged, id)
	}
	if !p.begun {
		s.read(p)
	}
	s.dispatch(time.Now())
}

// read ends the accounting of what a runner had to fetch and read. The caller
// holds the lock.
func (s *state) read(p *plan) {
	p.upstream.own.Unread -= p.reads
	if p.send.Prompt == nil {
		return
	}
	for i, source := range p.sources {
		if source != nil {
			source.own -= p.send.Prompt.Fetch[i].Tokens
		}
	}
}

// unsend gives back what a plan was granted that is not sent. The caller holds the
// lock.
func (s *state) unsend(p *plan) {
	s.settle(p)
	s.forgetPending(p)
}

// whole notes an answer that came to its end.
func (r *run) whole(p *plan, good bool) {
	s := r.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle(p)
	avoided := p.upstream.trust.inRow > 0
	p.upstream.trust.answered(good, time.Now())
	p.upstream.noteBack(time.Now())
	if avoided {
		r.gateway.believe(p.upstream, false, nil)
	}
}

// noteLoad takes in what an upstream says of itself with an answer. It is newer
// than what the other entries told; the next word of theirs replaces it.
func (r *run) noteLoad(p *plan, load *Load) {
	if load == nil {
		return
	}
	s := r.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	p.upstream.others.Requests = max(load.Running+load.Waiting-p.upstream.own.Requests, 0)
	s.laden[p.upstream] = struct{}{}
}

// noteBegun notes that the runner has read the prompt.
func (r *run) noteBegun(p *plan) {
	s := r.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if !p.begun && !p.done {
		p.begun = true
		s.read(p)
		now := time.Now()
		s.noteReading(p, now)
		r.gateway.notePace(p, now)
		s.dispatch(time.Now())
	}
}

// fail notes that a send ended without a whole answer. A caller that went away
// says nothing of the upstream.
func (r *run) fail(ctx context.Context, p *plan, cause error) {
	s := r.gateway.state
	var unsent *outcome.NotRun
	sent := !errors.As(cause, &unsent)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle(p)
	r.tried[p.upstream] = true
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	now := time.Now()
	p.upstream.trust.failed(now)
	s.noteEnded(p.upstream, cause, now)
	if sent {
		r.noteLost(p)
	}
	r.gateway.believe(p.upstream, true, cause)
	s.forgetPending(p)
}

// forgetPending takes back the saves of a send that failed.
func (s *state) forgetPending(p *plan) {
	if p.send.Prompt == nil {
		return
	}
	for i, address := range p.send.Prompt.Save {
		if store := s.stores[address]; address != "" && store != nil {
			delete(store.pending, p.keys[i])
		}
	}
}
