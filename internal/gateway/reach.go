package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/internal/decision"
	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/roster"
)

const (
	// probeCheck is the interval between checks of the paths to upstreams.
	probeCheck = 100 * time.Millisecond
	// probeTimeout is the time within which a connection must be established.
	probeTimeout = 400 * time.Millisecond
	// comparedCandidates bounds the upstreams drawn at random to compare lost ones with.
	comparedCandidates = 16
	// unreachedStep is the step in percent in which the share of unreached upstreams is reported.
	unreachedStep = 10
)

// recordReceived records that an upstream has answered.
func (r *run) recordReceived(p *plan) {
	s := r.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.upstreams[p.upstream.record.ID] == p.upstream {
		s.reach.Received(p.upstream.record.ID, time.Now())
	}
}

// recordPathFailure records a send that failed on its way. The caller holds the lock.
func (s *state) recordPathFailure(u *upstreamState, cause error, now time.Time) {
	if s.upstreams[u.record.ID] != u {
		return
	}
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
	tracked := slices.DeleteFunc(s.trackedUpstreams(), func(id string) bool { return s.upstreams[id].record.Service != service })
	return s.reach.Share(tracked, len(s.serving[service]), now)
}

// trackedUpstreams lists, in random order, the serving upstreams whose paths are tracked and that
// the control hosts have contact with.
func (s *state) trackedUpstreams() []string {
	list := slices.DeleteFunc(s.reach.Tracked(), func(id string) bool {
		u := s.upstreams[id]
		return u == nil || u.silent || u.record.State != roster.Serving
	})
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// someUpstreams returns up to comparedCandidates upstreams, drawn at random, that the control hosts
// have contact with.
func (s *state) someUpstreams() []string {
	var list []string
	for _, serving := range s.serving {
		for range min(len(serving), comparedCandidates) {
			if u := serving[rand.IntN(len(serving))]; !u.silent && !slices.Contains(list, u.record.ID) {
				list = append(list, u.record.ID)
			}
		}
	}
	return list[:min(len(list), comparedCandidates)]
}

// reachesAny reports whether some upstream of a service may be connected to.
func (s *state) reachesAny(service string) bool {
	return slices.ContainsFunc(s.serving[service], func(u *upstreamState) bool { return !u.silent && !s.reach.Lost(u.record.ID) })
}

// ProbeUpstreams opens connections to upstreams whose paths are in doubt, until ctx ends.
func (g *Gateway) ProbeUpstreams(ctx context.Context) {
	for wait.For(ctx, probeCheck) {
		g.resolveClaims(time.Now())
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
	if !s.reach.InDoubt(now) {
		g.updateUnreached(0)
		return nil
	}
	tracked := s.trackedUpstreams()
	total := 0
	for _, serving := range s.serving {
		total += len(serving)
	}
	g.updateUnreached(1 - s.reach.Share(tracked, total, now))
	var sends []*Send
	for _, id := range s.reach.Probes(append(tracked, s.someUpstreams()...), now) {
		record := &s.upstreams[id].record
		sends = append(sends, &Send{Upstream: id, Address: record.Address, StartedMs: record.StartedMs})
	}
	return sends
}

// updateUnreached records the share of unreached upstreams. The caller holds the lock.
func (g *Gateway) updateUnreached(share float64) {
	unreached := int(100*share) / unreachedStep * unreachedStep
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
