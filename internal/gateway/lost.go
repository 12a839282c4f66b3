package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/lovagereach/lovagereach/internal/decision"
	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/quarantine"
)

const (
	// lostGather is how long after a first send broke off the others at the same
	// upstream are waited for: all connections of a process end with it, but entries
	// notice it one by one.
	lostGather = 10 * time.Millisecond
	// lookTimeout bounds the question whether the upstream's process has ended.
	lookTimeout = 500 * time.Millisecond
	// lostMost bounds the requests noted for one upstream; it runs fewer at a time.
	lostMost = 256
)

// lostSends are the requests that broke off at one life of an upstream, until it is known
// whether the upstream ended or only they did.
type lostSends struct {
	upstream *upstreamState
	requests []lostRequest
}

type lostRequest struct {
	id    string
	print quarantine.Print
}

// print identifies the request across attempts and entries.
func (r *run) print() quarantine.Print {
	if r.printed == (quarantine.Print{}) {
		q := quarantine.Request{
			Service: r.service, Team: r.callerName(), Method: r.request.Method,
			Host: strings.ToLower(r.request.Host), Target: r.request.Target, Body: r.request.Body,
		}
		r.printed = q.Print()
	}
	return r.printed
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
	s, key := r.gateway.state, p.upstream.life()
	l := s.lost[key]
	if l == nil {
		l = &lostSends{upstream: p.upstream}
		s.lost[key] = l
		go r.gateway.look(key, p.send)
	}
	if len(l.requests) < lostMost {
		l.requests = append(l.requests, lostRequest{id: r.request.ID, print: r.print()})
	}
}

// look finds out whether an upstream has ended at which sends broke off.
func (g *Gateway) look(key life, send *Send) {
	ctx, cancel := context.WithTimeout(context.Background(), lookTimeout)
	defer cancel()
	wait.For(ctx, lostGather)
	ended := g.options.Sender.Ended(ctx, send)
	s := g.state
	s.mu.Lock()
	l := s.lost[key]
	delete(s.lost, key)
	if ended {
		g.blame(l, time.Now())
		g.meter.ends.Inc()
	}
	s.mu.Unlock()
	event := &decision.UpstreamLost{Upstream: key.id, Ended: ended}
	for _, request := range l.requests {
		event.Requests = append(event.Requests, request.id)
		event.Prints = append(event.Prints, request.print.String())
	}
	g.options.Decisions.Emit(event)
}
