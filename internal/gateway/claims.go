package gateway

import (
	"time"

	"github.com/lovagereach/lovagereach/quarantine"
	"github.com/lovagereach/lovagereach/resumption"
)

// refutedWithin is the time within which the report of a crash reaches the control hosts: one that
// they receive later is of another crash.
const refutedWithin = time.Second

// claimCrash keeps the claim that an upstream which refuses connections has crashed, until it is known
// whether it has. The caller holds the lock.
func (g *Gateway) claimCrash(claim quarantine.Claim) {
	s := g.state
	s.claims.Add(claim)
	if u := s.upstreams[claim.Incarnation.Upstream]; u != nil && u.record.StartedMs == claim.Incarnation.StartedMs {
		s.reach.Connected(claim.Incarnation.Upstream, false, claim.Noticed)
	}
}

// resolveClaims reports the claimed crashes that are proved by now, and those reported that are refuted.
func (g *Gateway) resolveClaims(now time.Time) {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.claims.Len() == 0 {
		return
	}
	proved, refuted := s.claims.Resolve(s.sighting, s.restartKnownWithin, now)
	for _, claim := range proved {
		if !claim.Reported {
			g.reportCrash(claim.Incarnation, claim.Attempts, claim.Noticed, now)
		}
	}
	for _, claim := range refuted {
		if claim.Reported {
			g.meter.refutedCrashes.Inc()
			g.reports.refute(claim.Incarnation, claim.RunsSince.Add(refutedWithin))
		}
	}
}

// sighting returns what this entry sees of an incarnation, by the state of the control hosts and by
// its own connections. The caller holds the lock.
func (s *state) sighting(i quarantine.Incarnation) quarantine.Sighting {
	u := s.upstreams[i.Upstream]
	switch {
	case u == nil || u.record.StartedMs != i.StartedMs:
		return quarantine.Replaced
	case u.silent || s.reach.Lost(i.Upstream) || s.clockNow().Sub(s.rosterAsOf) >= resumption.SettleTime:
		return quarantine.Unseen
	}
	return quarantine.Runs
}
