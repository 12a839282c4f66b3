package entry

import (
	"context"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/crash"
	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/quarantine"
	"github.com/lovagereach/lovagereach/upstream"
)

const (
	// probeWorkers bounds the concurrent probes of lost upstreams and maxProbes
	// the queued ones: all upstreams of a rack may be lost at once.
	probeWorkers, maxProbes = 8, 256
	// maxCompared bounds the upstreams that are connected to when one refuses
	// connections.
	maxCompared = 3
	// claimSettle is the time after which an upstream that crashed is no longer
	// in contact by its earlier announcements.
	claimSettle = upstream.DefaultContactTimeout + 500*time.Millisecond
	// refutedWithin is the time within which the report of a crash reaches the other
	// entries: one that they receive later is of another crash.
	refutedWithin = time.Second
)

// recordLost records that the connection of an attempt broke. The first such
// attempt since the last probe of the incarnation queues a new probe. It returns
// the check whether the upstream has crashed.
func (e *Entry) recordLost(id ident.Upstream, incarnation ident.Incarnation, address string, a quarantine.Attempt) *crash.Check {
	lost := quarantine.Incarnation{Upstream: string(id), StartedMs: uint64(incarnation)}
	e.mu.Lock()
	first := e.crashes.lost.Add(lost, a)
	if first {
		e.crashes.checks[lost] = crash.NewCheck()
	}
	check := e.crashes.checks[lost]
	e.mu.Unlock()
	if !first {
		return check
	}
	select {
	case e.probes <- probe{incarnation: lost, address: address, at: time.Now().Add(quarantine.CheckDelay)}:
	default:
		// The queue is full. The next attempt whose connection breaks there
		// queues the probe.
		e.mu.Lock()
		e.crashes.endCheck(lost, crash.Unclear)
		e.mu.Unlock()
	}
	return check
}

// endCheck ends the check whether an upstream has crashed, and returns the
// attempts that broke off there.
func (n *crashState) endCheck(incarnation quarantine.Incarnation, state crash.State) []quarantine.Attempt {
	n.checks[incarnation].End(state)
	delete(n.checks, incarnation)
	return n.lost.Take(incarnation)
}

// probe is a pending check whether an upstream has crashed.
type probe struct {
	incarnation quarantine.Incarnation
	address     string
	at          time.Time
}

func (e *Entry) probeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-e.probes:
			wait.For(ctx, time.Until(next.at))
			e.probe(ctx, next.incarnation, next.address)
		}
	}
}

// probe checks whether an upstream has crashed and, if so, reports the crash to
// the other entries.
func (e *Entry) probe(ctx context.Context, incarnation quarantine.Incarnation, address string) {
	ctx, cancel := context.WithTimeout(ctx, quarantine.CheckTimeout)
	defer cancel()
	check := func(ctx context.Context) crash.State { return e.options.Upstreams.CheckProcess(ctx, address) }
	state := crash.Confirm(ctx, check, func() []func(context.Context) bool { return e.comparisons(incarnation) })
	now := time.Now()
	e.mu.Lock()
	attempts := e.crashes.endCheck(incarnation, state)
	if len(attempts) > 0 {
		e.crashes.unserved.RecordLost(e.crashes.blame(incarnation, attempts, now).Parts, attempts[0].Service)
	}
	if state == crash.Refused || state == crash.Crashed {
		e.crashes.claims.Add(quarantine.Claim{Incarnation: incarnation, Attempts: attempts, Noticed: now, Reported: state == crash.Crashed})
	}
	e.mu.Unlock()
	if state == crash.Crashed {
		e.reportCrash(incarnation, attempts, now)
	}
	if state == crash.Running {
		attempts = slices.DeleteFunc(attempts, func(a quarantine.Attempt) bool { return a.Ended })
	}
	if len(attempts) > 0 {
		e.options.Log.Info("upstream lost", "upstream", incarnation.Upstream, "ended", state == crash.Crashed,
			"all_refuse", state == crash.Refused, "under_way", len(attempts))
	}
}

// comparisons returns connections to some other upstreams, those that are not
// being checked themselves first.
func (e *Entry) comparisons(incarnation quarantine.Incarnation) []func(context.Context) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	others := e.registry.Others(time.Now(), e.options.Random, ident.Upstream(incarnation.Upstream), nil)
	checked := func(p upstream.Presence) int {
		if e.crashes.checks[quarantine.Incarnation{Upstream: string(p.Upstream), StartedMs: uint64(p.Incarnation)}] != nil {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(others, func(a, b upstream.Presence) int { return checked(a) - checked(b) })
	var connections []func(context.Context) bool
	for _, other := range others[:min(len(others), maxCompared)] {
		connections = append(connections, func(ctx context.Context) bool {
			return e.options.Upstreams.CheckProcess(ctx, other.Address) == crash.Running
		})
	}
	return connections
}

// blame returns the crash of an upstream with what may have caused it.
func (n *crashState) blame(incarnation quarantine.Incarnation, attempts []quarantine.Attempt, now time.Time) quarantine.Crash {
	return quarantine.NewCrash(incarnation, attempts, &n.served, n.tracker.ListsPart, now)
}

// reportCrash records the crash of an upstream, noticed at some time, and sends
// it to the other entries if it may have a cause.
func (e *Entry) reportCrash(incarnation quarantine.Incarnation, attempts []quarantine.Attempt, noticed time.Time) {
	now := time.Now()
	e.mu.Lock()
	found := e.crashes.blame(incarnation, attempts, now)
	blamed := len(found.Fingerprints)+len(found.Parts) > 0
	if blamed {
		e.crashes.own = append(e.crashes.own, ownCrash{crash: found, seenAt: noticed})
		e.crashes.own = e.crashes.own[max(len(e.crashes.own)-maxOwnCrashes, 0):]
	}
	e.mu.Unlock()
	if blamed {
		e.counts.upstreamCrashes.Inc()
		message := crashMessage{Crashes: []crashReport{{Crash: found, Age: now.Sub(noticed)}}}
		e.applyCrashes(message)
		e.sendCrashes(message)
	}
}

// resolveClaims reports the claimed crashes that are proved by now, and those
// reported that are refuted.
func (e *Entry) resolveClaims(now time.Time) {
	e.mu.Lock()
	sighting := func(i quarantine.Incarnation) quarantine.Sighting {
		known, registered := e.registry.Presence(now, ident.Upstream(i.Upstream))
		switch {
		case !registered || uint64(known.Incarnation) != i.StartedMs:
			return quarantine.Replaced
		case !known.InContact:
			return quarantine.Unseen
		}
		return quarantine.Runs
	}
	proved, refuted := e.crashes.claims.Resolve(sighting, claimSettle, now)
	e.mu.Unlock()
	for _, claim := range proved {
		if !claim.Reported {
			e.reportCrash(claim.Incarnation, claim.Attempts, claim.Noticed)
		}
	}
	var message crashMessage
	for _, claim := range refuted {
		if claim.Reported {
			message.Refuted = append(message.Refuted, quarantine.Refuted{Incarnation: claim.Incarnation, Age: now.Sub(claim.RunsSince.Add(refutedWithin))})
		}
	}
	if len(message.Refuted) > 0 {
		e.options.Log.Info("crashes refuted", "upstreams", len(message.Refuted))
		e.applyCrashes(message)
		e.sendCrashes(message)
	}
}
