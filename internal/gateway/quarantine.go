package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/quarantine"
)

// reportRetryDelay is the pause before a failed report is sent again.
const reportRetryDelay = 100 * time.Millisecond

// verdicts holds the requests, and the parts of prompts, that crash upstreams, as reported by the
// control hosts.
type verdicts struct {
	revision              uint64
	quarantined, suspects map[quarantine.Fingerprint]bool
	parts                 partVerdicts
}

// applyQuarantine applies the verdicts of the control hosts. Requests that this entry has
// served lately are still sent, and the entry reports them as served, which clears them. The
// caller holds the lock.
func (g *Gateway) applyQuarantine(view *steward.QuarantineView, now time.Time) {
	s := g.state
	if view == nil || view.Revision < s.verdicts.revision {
		return
	}
	s.verdicts = verdicts{
		revision:    view.Revision,
		quarantined: make(map[quarantine.Fingerprint]bool, len(view.Quarantined)), suspects: make(map[quarantine.Fingerprint]bool, len(view.Suspects)),
		parts: s.verdicts.parts,
	}
	var cleared []quarantine.Fingerprint
	add := func(reported []quarantine.Fingerprint, into map[quarantine.Fingerprint]bool) {
		for _, p := range reported {
			if s.served.Requests.Has(p, now) {
				cleared = append(cleared, p)
				continue
			}
			into[p] = true
		}
	}
	add(view.Quarantined, s.verdicts.quarantined)
	add(view.Suspects, s.verdicts.suspects)
	cleared = append(cleared, s.applyParts(view, now)...)
	s.releaseQuarantined()
	g.reports.add(steward.Report{Served: cleared})
}

// releaseQuarantined ends the wait of requests that were quarantined while they waited for
// capacity. The caller holds the lock.
func (s *state) releaseQuarantined() {
	release := func(w *waiter) bool {
		quarantined := s.verdicts.quarantined[w.run.fingerprint] || w.run.hasQuarantinedPart()
		if quarantined {
			w.granted <- nil
		}
		return quarantined
	}
	if s.shares != nil {
		for _, w := range s.shares.waiters {
			if release(w) {
				s.shares.remove(w)
			}
		}
		return
	}
	s.waiting = slices.DeleteFunc(s.waiting, release)
}

// recordServed records that the request was served completely.
func (r *run) recordServed() {
	s, p := r.gateway.state, r.fingerprint
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	r.gateway.meter.served(now)
	s.served.Record(p, r.parts, now)
	cleared := s.verdicts.parts.clear(r.parts, now)
	if s.verdicts.quarantined[p] || s.verdicts.suspects[p] {
		delete(s.verdicts.quarantined, p)
		delete(s.verdicts.suspects, p)
		cleared = append(cleared, p)
	}
	unserved := s.unserved.RecordServed(r.service, r.parts, maps.Keys(s.verdicts.parts.suspected), now)
	r.gateway.reports.add(steward.Report{Served: cleared, Unserved: unserved})
}

// quarantineError returns why the request must be sent to no upstream, nil if it may be sent.
func (r *run) quarantineError() error {
	s := r.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.verdicts.quarantined[r.fingerprint] {
		return quarantine.ErrQuarantined
	}
	return r.partError(time.Now())
}

// suspected reports whether one more crash under the request would quarantine it. The retry is
// then left to its caller: a retry by this entry could crash one more upstream before the
// verdict is known, or meet the request that crashes them a third time.
func (r *run) suspected(ctx context.Context) bool {
	s, p := r.gateway.state, r.fingerprint
	s.mu.Lock()
	reported, served := s.verdicts.quarantined[p] || s.verdicts.suspects[p], s.served.Requests.Has(p, time.Now())
	reported = reported || s.verdicts.parts.suspects(r.parts)
	s.mu.Unlock()
	return reported || !served && r.crashChecks.Suspect(ctx)
}

// reports merges everything to be reported to the control hosts into one pending report. The
// oldest crashes are dropped while no control host is reachable.
type reports struct {
	mu      sync.Mutex
	pending steward.Report
	// noticed holds when the pending crashes were noticed.
	noticed quarantine.CrashTimes
	// refuted holds until when upstreams are known not to have crashed, of those that are pending.
	refuted quarantine.CrashTimes
	// ready holds an item while a report is pending.
	ready chan struct{}
}

func newReports() *reports { return &reports{ready: make(chan struct{}, 1)} }

// add adds a report to the pending one.
func (q *reports) add(r steward.Report) {
	if r.Empty() {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range r.Crashes {
		q.noticed.Record(c.Incarnation, time.Now().Add(-c.Age))
	}
	q.merge(q.pending, r)
}

// refute reports that an upstream has not crashed before a time.
func (q *reports) refute(incarnation quarantine.Incarnation, until time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refuted.Record(incarnation, until)
	q.merge(q.pending, steward.Report{Refuted: []quarantine.Refuted{{Incarnation: incarnation}}})
}

// putBack restores a report that could not be sent. It is older than the pending one.
func (q *reports) putBack(r steward.Report) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.merge(r, q.pending)
}

// merge makes two reports pending, the older one first. The caller holds the lock.
func (q *reports) merge(older, newer steward.Report) {
	q.pending = steward.Report{Crashes: latest(older.Crashes, newer.Crashes), Served: latest(older.Served, newer.Served), Unused: latest(older.Unused, newer.Unused), Unserved: latest(older.Unserved, newer.Unserved), Refuted: latest(older.Refuted, newer.Refuted)}
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// latest concatenates two lists, the older one first, and drops the oldest items beyond the
// bound.
func latest[T any](older, newer []T) []T {
	list := slices.Concat(older, newer)
	return list[max(len(list)-steward.MaxReported, 0):]
}

// take removes and returns the pending report.
func (q *reports) take() steward.Report {
	q.mu.Lock()
	defer q.mu.Unlock()
	r, now := q.pending, time.Now()
	r.Crashes = slices.DeleteFunc(r.Crashes, func(c quarantine.Crash) bool {
		return slices.ContainsFunc(r.Refuted, func(f quarantine.Refuted) bool { return f.Incarnation == c.Incarnation })
	})
	for i := range r.Crashes {
		r.Crashes[i].Age = q.noticed.Age(r.Crashes[i].Incarnation, now)
	}
	for i := range r.Refuted {
		r.Refuted[i].Age = q.refuted.Age(r.Refuted[i].Incarnation, now)
	}
	q.pending = steward.Report{}
	return r
}

// forgetSent forgets the times of crashes, and of refuted ones, that are no longer pending.
func (q *reports) forgetSent() {
	q.mu.Lock()
	defer q.mu.Unlock()
	var pending []quarantine.Incarnation
	for _, c := range q.pending.Crashes {
		pending = append(pending, c.Incarnation)
	}
	q.noticed.Sync(pending, time.Now())
	pending = pending[:0]
	for _, r := range q.pending.Refuted {
		pending = append(pending, r.Incarnation)
	}
	q.refuted.Sync(pending, time.Now())
}

// Report sends this entry's reports on requests that crash upstreams to the control hosts
// until ctx ends. It repeats a report that could not be sent.
func (g *Gateway) Report(ctx context.Context, send func(context.Context, *steward.Report) error) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.reports.ready:
		}
		r := g.reports.take()
		if send(ctx, &r) == nil {
			g.reports.forgetSent()
			continue
		}
		g.reports.putBack(r)
		wait.For(ctx, reportRetryDelay)
	}
}

// reportCrash reports the requests that were under way at an upstream when it crashed, as was noticed
// at some time. The caller holds the lock.
func (g *Gateway) reportCrash(incarnation quarantine.Incarnation, attempts []quarantine.Attempt, noticed, now time.Time) {
	g.meter.crashes.Inc()
	s := g.state
	crash := quarantine.NewCrash(incarnation, attempts, &s.served, s.verdicts.parts.listed, now)
	if len(attempts) > 0 {
		s.unserved.RecordLost(crash.Parts, attempts[0].Service)
	}
	if len(crash.Fingerprints)+len(crash.Parts) > 0 {
		crash.Age = now.Sub(noticed)
		g.reports.add(steward.Report{Crashes: []quarantine.Crash{crash}})
	}
}
