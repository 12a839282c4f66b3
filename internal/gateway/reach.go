package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/lovagereach/lovagereach/internal/decision"
	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/outcome"
)

const (
	// probeCheck is the interval between checks of the paths to upstreams.
	probeCheck = 100 * time.Millisecond
	// probeTimeout is the time within which a connection must be established.
	probeTimeout = 400 * time.Millisecond
	// unreachedStep is the step in percent in which the share of unreached upstreams is reported.
	unreachedStep = 10
)

// recordReceived records that an upstream has answered.
func (r *run) recordReceived(p *plan) {
	s := r.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reach.Received(p.upstream.record.ID, time.Now())
}

// recordPathFailure records a send that failed on its way. The caller holds the lock.
func (s *state) recordPathFailure(u *upstreamState, cause error, now time.Time) {
	var unsent *outcome.NotRun
	var unknown *outcome.Unknown
	switch {
	case errors.As(cause, &unsent) && unsent.Reason == outcome.ReasonDial:
		s.reach.Connected(u.record.ID, false, now)
	case errors.As(cause, &unknown) && (unknown.Reason == outcome.ReasonConnectionLost || unknown.Reason == outcome.ReasonTimeout):
		s.reach.Suspect(u.record.ID, now)
	}
}

// reachedShare returns the share of the upstreams of a service that this entry reaches. Upstreams
// that the control hosts have no contact with either don't count. The caller holds the lock.
func (s *state) reachedShare(service string, now time.Time) float64 {
	if !s.reach.InDoubt(now) {
		return 1
	}
	return s.reach.Share(s.contactedUpstreams(service), now)
}

// contactedUpstreams lists the upstreams of a service that the control hosts have contact with, in
// random order.
func (s *state) contactedUpstreams(service string) []string {
	var list []string
	for _, u := range s.serving[service] {
		if !u.silent {
			list = append(list, u.record.ID)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// ProbeUpstreams opens connections to upstreams whose paths are in doubt, until ctx ends.
func (g *Gateway) ProbeUpstreams(ctx context.Context) {
	for wait.For(ctx, probeCheck) {
		for _, send := range g.dueProbes(time.Now()) {
			go g.probe(ctx, send)
		}
	}
}

// dueProbes returns the upstreams to be probed, and updates the share of those unreached.
func (g *Gateway) dueProbes(now time.Time) []*Send {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	var upstreams []string
	if s.reach.InDoubt(now) {
		for service := range s.serving {
			upstreams = append(upstreams, s.contactedUpstreams(service)...)
		}
	}
	g.updateUnreached(upstreams, now)
	var sends []*Send
	for _, id := range s.reach.Probes(upstreams, now) {
		record := &s.upstreams[id].record
		sends = append(sends, &Send{Upstream: id, Address: record.Address, StartedMs: record.StartedMs})
	}
	return sends
}

// updateUnreached computes the share of unreached upstreams. The caller holds the lock.
func (g *Gateway) updateUnreached(upstreams []string, now time.Time) {
	unreached := int(100*(1-g.state.reach.Share(upstreams, now))) / unreachedStep * unreachedStep
	if unreached != g.state.unreached {
		g.state.unreached = unreached
		g.options.Decisions.Emit(&decision.UpstreamsReached{Unreached: unreached})
	}
}

// probe opens a connection to one upstream.
func (g *Gateway) probe(ctx context.Context, send *Send) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	established := g.options.Sender.Connects(ctx, send)
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	g.state.reach.Probed(send.Upstream, established, time.Now())
	g.state.dispatch(time.Now())
}
