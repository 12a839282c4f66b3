package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/internal/crash"
	"github.com/lovagereach/lovagereach/internal/decision"
	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/quarantine"
)

const (
	// maxCompared bounds the upstreams that are connected to when one refuses connections, and
	// maxExamined the upstreams of each service among which they are chosen.
	maxCompared = 3
	maxExamined = 32
)

// computeFingerprint returns the request's fingerprint.
func (r *run) computeFingerprint() quarantine.Fingerprint {
	q := quarantine.Request{
		Service: r.service, Team: r.callerTeam(), Method: r.request.Method,
		Host: strings.ToLower(r.request.Host), Target: r.request.Target, Body: r.request.Body,
	}
	return q.Fingerprint()
}

// partFingerprints returns the fingerprints of the parts that other requests may share, in the requests
// of the caller's team and in those of all teams, without duplicates. The last part belongs to the
// request.
func (r *run) partFingerprints() []quarantine.Fingerprint {
	prompt := r.request.Prompt
	if prompt == nil || len(prompt.Parts) < 2 {
		return nil
	}
	var list []quarantine.Fingerprint
	p := quarantine.Part{Service: r.service, Model: prompt.Model}
	if team := r.caller(); team != nil {
		p.Team, p.Isolated = team.Name, team.Isolated
	}
	for _, part := range prompt.Parts[:len(prompt.Parts)-1] {
		p.ID = part.ID
		if f := p.Fingerprint(); !slices.Contains(list, f) {
			list = append(list, f.Scopes()...)
		}
	}
	return list
}

// caller returns the team that holds the caller's key, also on a route that requires no key, nil if there
// is none.
func (r *run) caller() *catalog.Team {
	if r.team == nil {
		return r.index.Team(r.request.Key)
	}
	return r.team
}

// callerTeam returns the name of the team that holds the caller's key, empty if there is none.
func (r *run) callerTeam() string {
	if team := r.caller(); team != nil {
		return team.Name
	}
	return ""
}

// recordLost records that a send broke off, or that its answer ended with the connection, and, for
// the first one of an incarnation, checks whether its upstream has crashed. The caller holds the
// lock.
func (r *run) recordLost(p *plan, ended bool) *crash.Check {
	s := r.gateway.state
	incarnation := quarantine.Incarnation{Upstream: p.upstream.record.ID, StartedMs: p.upstream.record.StartedMs}
	if s.lost.Add(incarnation, quarantine.Attempt{Request: r.request.ID, Service: r.service, Team: r.callerTeam(), Fingerprint: r.fingerprint, Parts: r.parts, Sent: p.sent, Ended: ended}) {
		s.crashChecks[incarnation] = crash.NewCheck()
		go r.gateway.checkCrash(incarnation, p.send)
	}
	check := s.crashChecks[incarnation]
	r.crashChecks = append(r.crashChecks, check)
	return check
}

// confirmEnd returns an error if an answer that ended with its connection, without a length or
// chunks, may have been cut off by a crash.
func (r *run) confirmEnd(ctx context.Context, p *plan) error {
	s := r.gateway.state
	s.mu.Lock()
	check := r.recordLost(p, true)
	s.mu.Unlock()
	p.checked = true
	if check.Wait(ctx) == crash.Running {
		return nil
	}
	return &outcome.Unknown{Reason: outcome.ReasonConnectionLost, Detail: "the answer ended with its connection, and its upstream has crashed or can't be reached"}
}

// checkCrash checks whether an upstream whose sends broke off has crashed.
func (g *Gateway) checkCrash(incarnation quarantine.Incarnation, send *Send) {
	ctx, cancel := context.WithTimeout(context.Background(), quarantine.CheckTimeout)
	defer cancel()
	wait.For(ctx, quarantine.CheckDelay)
	check := func(ctx context.Context) crash.State { return g.options.Sender.CheckProcess(ctx, send) }
	state := crash.Confirm(ctx, check, func() []func(context.Context) bool { return g.comparisons(incarnation) })
	now := time.Now()
	s := g.state
	s.mu.Lock()
	attempts := s.lost.Take(incarnation)
	s.crashChecks[incarnation].End(state)
	delete(s.crashChecks, incarnation)
	switch state {
	case crash.Crashed:
		g.reportCrash(incarnation, attempts, now, now)
		g.claimCrash(quarantine.Claim{Incarnation: incarnation, Noticed: now, Reported: true})
	case crash.Refused:
		g.claimCrash(quarantine.Claim{Incarnation: incarnation, Attempts: attempts, Noticed: now})
		g.meter.unprovedCrashes.Inc()
	}
	s.mu.Unlock()
	if state == crash.Running {
		attempts = slices.DeleteFunc(attempts, func(a quarantine.Attempt) bool { return a.Ended })
	}
	if len(attempts) == 0 {
		return
	}
	event := &decision.UpstreamLost{Upstream: incarnation.Upstream, Crashed: state == crash.Crashed, Refused: state == crash.Refused}
	parts, teams := make(map[quarantine.Fingerprint]bool), make(map[string]bool)
	for _, a := range attempts {
		event.Requests = append(event.Requests, a.Request)
		event.Fingerprints = append(event.Fingerprints, a.Fingerprint.String())
		for _, part := range a.Parts {
			if isNew(parts, part) && len(event.Parts) < quarantine.MaxParts {
				event.Parts = append(event.Parts, part.String())
			}
		}
		if isNew(teams, a.Team) {
			event.Teams = append(event.Teams, a.Team)
		}
	}
	g.options.Decisions.Emit(event)
}

// comparisons returns connections to some other upstreams, those that are not in doubt themselves first.
func (g *Gateway) comparisons(incarnation quarantine.Incarnation) []func(context.Context) bool {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	var sound, doubtful []*Send
	for _, serving := range s.serving {
		first := rand.IntN(max(len(serving), 1))
		for i := range min(len(serving), maxExamined) {
			u := serving[(first+i)%len(serving)]
			record := &u.record
			send := &Send{Upstream: record.ID, Address: record.Address, StartedMs: record.StartedMs}
			switch {
			case record.ID == incarnation.Upstream || u.silent:
			case s.reach.Lost(record.ID) || s.crashChecks[quarantine.Incarnation{Upstream: record.ID, StartedMs: record.StartedMs}] != nil:
				doubtful = append(doubtful, send)
			default:
				sound = append(sound, send)
			}
		}
	}
	rand.Shuffle(len(sound), func(i, j int) { sound[i], sound[j] = sound[j], sound[i] })
	others := append(sound, doubtful...)
	var connections []func(context.Context) bool
	for _, send := range others[:min(len(others), maxCompared)] {
		connections = append(connections, func(ctx context.Context) bool { return g.options.Sender.Connects(ctx, send) })
	}
	return connections
}

// isNew reports whether an item is not in a set, and adds it.
func isNew[T comparable](set map[T]bool, item T) bool {
	if set[item] {
		return false
	}
	set[item] = true
	return true
}
