package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/lovagereach/lovagereach/internal/decision"
	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/quarantine"
)

// printed takes the request's print.
func (r *run) printed() quarantine.Fingerprint {
	q := quarantine.Request{
		Service: r.service, Team: r.callerName(), Method: r.request.Method,
		Host: strings.ToLower(r.request.Host), Target: r.request.Target, Body: r.request.Body,
	}
	return q.Fingerprint()
}

// callerName is the team that holds the caller's key, also on a route that asks for
// none.
func (r *run) callerName() string {
	if r.team == nil {
		if team := r.index.Team(r.request.Key); team != nil {
			return team.Name
		}
	}
	return r.teamName()
}

// noteLost notes that a send broke off, and looks once whether its upstream has
// ended. The caller holds the lock.
func (r *run) noteLost(p *plan) {
	life := quarantine.Incarnation{Upstream: p.upstream.record.ID, StartedMs: p.upstream.record.StartedMs}
	if r.gateway.state.lost.Add(life, quarantine.Attempt{Request: r.request.ID, Print: r.print}) {
		go r.gateway.look(life, p.send)
	}
}

// look finds out whether an upstream has ended at which sends broke off.
func (g *Gateway) look(life quarantine.Incarnation, send *Send) {
	ctx, cancel := context.WithTimeout(context.Background(), quarantine.LookTimeout)
	defer cancel()
	wait.For(ctx, quarantine.LookAfter)
	ended := g.options.Sender.Crashed(ctx, send)
	s := g.state
	s.mu.Lock()
	attempts := s.lost.Take(life)
	if ended {
		g.blame(life, attempts, time.Now())
		g.meter.ends.Inc()
	}
	s.mu.Unlock()
	event := &decision.UpstreamLost{Upstream: life.Upstream, Crashed: ended}
	for _, a := range attempts {
		event.Requests = append(event.Requests, a.Request)
		event.Fingerprints = append(event.Fingerprints, a.Print.String())
	}
	g.options.Decisions.Emit(event)
}
