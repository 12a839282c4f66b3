package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/quarantine"
)

const (
	// trialTimeout bounds the wait for the control hosts' answer to a request for a trial.
	trialTimeout = 500 * time.Millisecond
	// trialRetryDelay is the delay until an entry asks for a trial of the same part again.
	trialRetryDelay = time.Second
	// minPartRetry is the shortest Retry-After for a request with a quarantined part.
	minPartRetry = time.Second
)

// partVerdicts holds the parts of prompts that crash upstreams, as reported by the control hosts.
type partVerdicts struct {
	quarantined, suspected map[quarantine.Fingerprint]partVerdict
}

// partVerdict is what is known of one part.
type partVerdict struct {
	// firstCrash is the time, not earlier than it was, of the first crash that counts against the
	// part. A part of which a request was served since is sound.
	firstCrash time.Time
	// due is the time at which the next trial of a quarantined part is due, dueShared that with
	// other quarantined parts, and asked the time at which this entry last asked for one.
	due, dueShared, asked time.Time
}

// applyParts applies the control hosts' verdicts on parts, and returns the parts that this entry has
// seen served since: they are sound. The caller holds the lock.
func (s *state) applyParts(view *steward.QuarantineView, now time.Time) (cleared []quarantine.Fingerprint) {
	before := s.verdicts.parts
	millis := func(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
	verdictsOf := func(parts []steward.PartView) map[quarantine.Fingerprint]partVerdict {
		verdicts := make(map[quarantine.Fingerprint]partVerdict, len(parts))
		for _, p := range parts {
			v := partVerdict{firstCrash: now.Add(-millis(p.FirstCrashMs)), due: now.Add(millis(p.DueMs)), dueShared: now.Add(millis(p.DueSharedMs)), asked: before.quarantined[p.Part].asked}
			if s.served.Parts.HasSince(p.Part, v.firstCrash, now) {
				cleared = append(cleared, p.Part)
				continue
			}
			verdicts[p.Part] = v
		}
		return verdicts
	}
	s.verdicts.parts = partVerdicts{quarantined: verdictsOf(view.Parts), suspected: verdictsOf(view.PartSuspects)}
	return cleared
}

// clear removes the parts of a request that was served now, and returns those that were listed for its
// team or for all.
func (v *partVerdicts) clear(parts []quarantine.Fingerprint, now time.Time) (cleared []quarantine.Fingerprint) {
	for _, list := range []map[quarantine.Fingerprint]partVerdict{v.quarantined, v.suspected} {
		if len(list) == 0 {
			continue
		}
		for _, part := range parts {
			served := func(scope quarantine.Fingerprint) bool {
				verdict, found := list[scope]
				return found && now.After(verdict.firstCrash)
			}
			if slices.ContainsFunc(part.Scopes(), served) {
				cleared = append(cleared, part)
			}
		}
		for _, part := range cleared {
			delete(list, part)
		}
	}
	return cleared
}

// listed reports whether a part is quarantined or suspected, for its team or for all.
func (v *partVerdicts) listed(part quarantine.Fingerprint) bool {
	return slices.ContainsFunc(part.Scopes(), func(scope quarantine.Fingerprint) bool {
		_, quarantined := v.quarantined[scope]
		_, suspected := v.suspected[scope]
		return quarantined || suspected
	})
}

// suspects reports whether one of the parts is quarantined or suspected.
func (v *partVerdicts) suspects(parts []quarantine.Fingerprint) bool {
	return slices.ContainsFunc(parts, v.listed)
}

// quarantinedParts returns the quarantined parts of the request's prompt. The caller holds the lock.
func (r *run) quarantinedParts() []quarantine.Fingerprint {
	quarantined := r.gateway.state.verdicts.parts.quarantined
	if len(quarantined) == 0 {
		return nil
	}
	var list []quarantine.Fingerprint
	for _, part := range r.parts {
		if _, found := quarantined[part]; found {
			list = append(list, part)
		}
	}
	return list
}

// hasQuarantinedPart reports whether the request must not be sent because of a part of its prompt.
// The caller holds the lock.
func (r *run) hasQuarantinedPart() bool {
	return slices.ContainsFunc(r.quarantinedParts(), func(part quarantine.Fingerprint) bool { return !slices.Contains(r.trials, part) })
}

// partError returns the refusal of a request with a quarantined part, nil if it may be sent. The
// caller holds the lock.
func (r *run) partError(now time.Time) error {
	if !r.hasQuarantinedPart() {
		return nil
	}
	due := r.trialDue()
	return r.refusal(outcome.ReasonQuarantinedPart, max(due.Sub(now), minPartRetry), "requests with a part of this prompt have crashed the upstreams that ran them; they are sent again, one at a time, to find out whether the part is sound")
}

// trialDue returns when a trial of the request's quarantined parts is due. The caller holds the lock.
func (r *run) trialDue() time.Time {
	var due time.Time
	parts := r.quarantinedParts()
	for _, part := range parts {
		verdict := r.gateway.state.verdicts.parts.quarantined[part]
		at := verdict.due
		if len(parts) > 1 {
			at = verdict.dueShared
		}
		if at.After(due) {
			due = at
		}
	}
	return due
}

// isTrial reports whether the request is sent although a part of its prompt is quarantined: it is
// sent once.
func (r *run) isTrial() bool { return len(r.trials) > 0 }

// returnTrial reports a trial that reached no upstream. One that was refused counts: upstreams that
// refuse many requests, as after a start, would get one trial after the other.
func (r *run) returnTrial() {
	if r.isTrial() && r.sends == 0 && !r.mayHaveRun {
		r.gateway.reports.add(steward.Report{Unused: [][]quarantine.Fingerprint{r.trials}})
	}
}

// checkQuarantine returns why the request must be sent to no upstream, nil if it may be sent. If a
// trial of its quarantined parts is due, it asks the control hosts for one.
func (r *run) checkQuarantine(ctx context.Context) error {
	err := r.quarantineError()
	if err == nil || !r.mayTry(time.Now()) {
		return err
	}
	s := r.gateway.state
	s.mu.Lock()
	parts := r.quarantinedParts()
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	if !r.gateway.options.RequestTrial(ctx, parts) {
		return err
	}
	r.gateway.meter.trials.Inc()
	r.trials = parts
	return r.quarantineError()
}

// mayTry reports whether to ask for a trial with this request, and records that it is done.
func (r *run) mayTry(now time.Time) bool {
	s := r.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.gateway.options.RequestTrial == nil || r.isTrial() || r.mayHaveRun || s.verdicts.quarantined[r.fingerprint] || !s.reachesAny(r.service) {
		return false
	}
	parts, verdicts := r.quarantinedParts(), s.verdicts.parts.quarantined
	asked := func(part quarantine.Fingerprint) bool { return now.Sub(verdicts[part].asked) < trialRetryDelay }
	if now.Before(r.trialDue()) || slices.ContainsFunc(parts, asked) {
		return false
	}
	for _, part := range parts {
		verdict := verdicts[part]
		verdict.asked = now
		verdicts[part] = verdict
	}
	return true
}
