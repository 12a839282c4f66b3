package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/internal/decision"
	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/resumption"
)

const (
	// restartIntervals is the number of announcement intervals within which the control hosts
	// miss an upstream.
	restartIntervals = 3
	// findTimeout bounds the search for what began a stream: two network transits, and a busy
	// control host.
	findTimeout = 250 * time.Millisecond
	// connectMargin is how long before a connection was established its upstream may have been
	// restarted at the latest, for the difference between readings of two clocks.
	connectMargin = 50 * time.Millisecond
)

// Labels of the metric that counts resumed streams.
const (
	byEntry        = "entry"
	byCaller       = "caller"
	sameVersion    = "same"
	otherVersion   = "other"
	unknownVersion = "unknown"
)

// continuation is a way in which a stream went on.
type continuation struct{ by, version string }

// resumable reports whether the request is for a stream that may be resumed.
func (r *run) resumable() bool { return r.route.Kind == catalog.Stream && r.route.Resumable }

// resumed reports whether the run goes on with a stream whose first events the caller has.
func (r *run) resumed() bool { return r.lastEvent != "" || r.request.Resumes != "" }

// originKey identifies the stream across its attempts.
func (r *run) originKey() resumption.Key {
	first := r.request.ID
	if r.request.Resumes != "" {
		first = r.request.Resumes
	}
	return resumption.NewKey(r.callerTeam(), first)
}

// resolveOrigin finds out which software version began the stream that a caller resumes. It
// returns an error if that isn't known.
func (r *run) resolveOrigin(ctx context.Context) error {
	if r.pinned || !r.resumable() || !r.resumed() {
		return nil
	}
	origin, known := r.knownOrigin()
	if !known {
		answered := false
		if origin, known, answered = r.findOrigin(ctx); !known {
			if errors.Is(ctx.Err(), context.Canceled) {
				return errCallerGone
			}
			after := defaultRetryAfter
			if answered {
				after = retryAfterLoad
			}
			return r.refusal(ReasonOrigin, after, "the software version that began the stream is not known")
		}
	}
	if origin.Uncertain {
		return r.refusal(ReasonOrigin, retryAfterLoad, "the upstream that began the stream may have been restarted with another software version")
	}
	r.pin(origin)
	return nil
}

// pin restricts the run to a software version, and to the service that has it if the route still
// leads there.
func (r *run) pin(origin resumption.Origin) {
	r.origin, r.pinned = origin, true
	if origin.Service == r.service || !slices.ContainsFunc(r.route.Targets, func(t catalog.Target) bool { return t.Service == origin.Service && t.Weight > 0 }) {
		return
	}
	r.service = origin.Service
	r.fingerprint, r.parts = r.computeFingerprint(), r.partFingerprints()
	if r.request.Prompt != nil {
		r.smallUpTo = r.smallLimit(r.index.Service(r.service))
	}
}

// knownOrigin returns what this entry knows of what began the stream: its own record or, as long
// as the service has one software version, that one.
func (r *run) knownOrigin() (resumption.Origin, bool) {
	s := r.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if record, found := s.origins.Get(r.originKey(), time.Now()); found {
		return record.Origin, true
	}
	software, known := s.versions.Only(r.service, time.Time{}, s.rosterAsOf, s.clockNow())
	return resumption.Origin{Service: r.service, Software: software}, known
}

// findOrigin asks the control hosts what began the stream. answered is set if all of them answered
// that they don't know.
func (r *run) findOrigin(ctx context.Context) (origin resumption.Origin, known, answered bool) {
	origins := r.gateway.options.Origins
	if origins == nil {
		return origin, false, false
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	key := r.originKey()
	hosts := resumption.Holders(key, origins.Hosts())
	if leader := origins.Leader(); leader != "" && !slices.Contains(hosts, leader) {
		hosts = append(hosts, leader)
	}
	answers := make(chan *steward.OriginAnswer, len(hosts))
	for _, host := range hosts {
		go func() {
			answer, err := origins.ExchangeOrigins(ctx, host, &steward.OriginRequest{Find: &key, Service: r.service})
			if err != nil {
				answer = nil
			}
			answers <- answer
		}()
	}
	answered = len(hosts) > 0
	for range hosts {
		answer := <-answers
		switch {
		case answer == nil:
			answered = false
		case answer.Found != nil:
			return answer.Found.Origin, true, true
		case answer.Known && !known:
			// A record that another host has takes precedence.
			origin, known = resumption.Origin{Service: r.service, Software: answer.Only}, true
		}
	}
	return origin, known, answered
}

// softwareFilter returns whether an upstream has a software version at which the request may run:
// the one that began its stream or, for a new stream, one that all entries know of. The caller
// holds the lock.
func (r *run) softwareFilter(s *state) func(*upstreamState) bool {
	switch {
	case r.pinned:
		confirms := statesStart(r.index.Service(r.service))
		isRecent := s.clockNow().Sub(s.rosterAsOf) < resumption.SettleTime
		return func(u *upstreamState) bool {
			mayBeRestarted := u.record.StartedMs != 0 && !isRecent || s.originAt(u).Uncertain
			return u.record.Software == r.origin.Software && (confirms || !mayBeRestarted)
		}
	case r.resumable() && s.versions.Count(r.service) > 1:
		at := s.clockNow()
		return func(u *upstreamState) bool { return s.versions.Usable(r.service, u.record.Software, at) }
	}
	return func(*upstreamState) bool { return true }
}

// statesStart reports whether the upstreams of a service state their start time on request, so that
// the sender can confirm their incarnation. Only engines do.
func statesStart(service *catalog.Service) bool { return service != nil && service.Engine != nil }

// originAt returns what begins a stream that is sent to an upstream now.
func (s *state) originAt(u *upstreamState) resumption.Origin {
	origin := resumption.Origin{Service: u.record.Service, Software: u.record.Software}
	switch {
	case s.versions.Count(origin.Service) == 0:
		return origin
	case u.record.StartedMs == 0:
		// It is never restarted under its ID.
		origin.Uncertain = origin.Software == ""
		return origin
	}
	// A restart is announced within restartKnownWithin, or the upstream is silent by then.
	isKnown := s.rosterAsOf.Sub(u.disconnectedAt) >= s.restartKnownWithin && s.clockNow().Sub(s.rosterAsOf) < s.restartKnownWithin
	origin.Uncertain = origin.Software == "" || u.silent || !isKnown
	return origin
}

// recordDisconnect records a failed send after which the upstream may have been restarted: all but one
// that waited in vain or was not tried. The caller holds the lock.
func (s *state) recordDisconnect(u *upstreamState, cause error) {
	var unsent *outcome.NotRun
	var unknown *outcome.Unknown
	switch {
	case errors.As(cause, &unsent) && unsent.Reason != outcome.ReasonDial && unsent.Reason != ReasonRestarted:
	case errors.As(cause, &unknown) && unknown.Reason == outcome.ReasonTimeout:
	default:
		s.doubtIncarnation(u, s.clockNow())
	}
}

// doubtIncarnation records that an upstream may have been restarted at a time or since. The caller
// holds the lock.
func (s *state) doubtIncarnation(u *upstreamState, at time.Time) {
	if u.disconnectedAt.IsZero() || s.rosterAsOf.Sub(u.disconnectedAt) >= s.restartKnownWithin {
		u.disconnectedFrom = at
	}
	u.disconnectedAt = at
}

// observeIncarnation concludes from an answer whether the upstream may have been restarted since
// its latest announcement, and registers the stream again if that changes its origin. An answer
// on a connection that was established before the first disconnect, to a request that was sent
// after the last one, shows that it was not.
func (r *run) observeIncarnation(p *plan, answer *Answer) {
	s, before := r.gateway.state, p.origin
	s.mu.Lock()
	u, now := p.upstream, s.clockNow()
	connected := now.Add(-time.Since(answer.Connected))
	sent := now.Add(-time.Since(p.sent))
	switch {
	case answer.MayHaveRestarted:
		s.doubtIncarnation(u, connected.Add(-connectMargin))
	case u.disconnectedAt.IsZero() || answer.Connected.IsZero():
	case sent.After(u.disconnectedAt) && connected.Before(u.disconnectedFrom):
		u.disconnectedFrom, u.disconnectedAt = time.Time{}, time.Time{}
	}
	p.origin = s.originAt(u)
	s.mu.Unlock()
	if p.origin != before {
		r.registerOrigin(p)
	}
}

// registerOrigin records, before a send, what begins the stream if this send brings its first
// event. Beside other software versions the control hosts are told, while the upstream works.
func (r *run) registerOrigin(p *plan) {
	if !r.resumable() || r.request.ID == "" {
		return
	}
	origin := p.origin
	if r.pinned {
		origin = r.origin
	}
	record := resumption.Record{Key: r.originKey(), Origin: origin, Send: r.sends + r.unsent + r.unconnected + 1}
	s := r.gateway.state
	s.mu.Lock()
	s.origins.Put(record, time.Now())
	several := s.versions.Count(origin.Service) > 1
	s.mu.Unlock()
	if several {
		r.gateway.origins.add(record)
	}
}

// forgetOrigin drops this entry's record of a stream that is complete.
func (r *run) forgetOrigin() {
	if !r.resumable() {
		return
	}
	s := r.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.origins.Delete(r.originKey())
}

// recordBegin records that an upstream's answer begins, with the first event of a stream or one
// at which it goes on.
func (r *run) recordBegin(p *plan) {
	if r.route.Kind != catalog.Stream {
		return
	}
	if !r.resumed() {
		r.origin, r.pinned = p.origin, true
		return
	}
	by, version := byEntry, otherVersion
	if !r.headSent {
		by = byCaller
	}
	switch began, software := r.origin.Software, p.origin.Software; {
	case began == "" || software == "":
		version = unknownVersion
	case began == software:
		version = sameVersion
	}
	r.gateway.meter.continued[continuation{by, version}].Inc()
	r.gateway.options.Decisions.Emit(&decision.StreamResumed{
		Request: r.request.ID, Resumes: r.request.Resumes, After: r.lastEvent, Upstream: p.send.Upstream, Software: p.origin.Software, Began: r.origin.Software,
	})
}
