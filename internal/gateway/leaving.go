package gateway

import "github.com/lovagereach/lovagereach/internal/decision"

// recordLeaving records that an upstream has stated that it leaves. That is final for its
// incarnation. The control hosts usually know it too, but this entry may be cut off from them.
func (r *run) recordLeaving(p *plan, leaving bool) {
	if !leaving {
		return
	}
	s := r.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.upstream.leaving {
		return
	}
	p.upstream.leaving = true
	r.gateway.options.Decisions.Emit(&decision.UpstreamLeaving{Upstream: p.upstream.record.ID})
}
