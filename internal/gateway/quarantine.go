package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/quarantine"
)

// reportAgain is the pause before a report is told again.
const reportAgain = 100 * time.Millisecond

// verdicts are what this entry was told of requests that end upstreams.
type verdicts struct {
	revision       uint64
	held, suspects map[quarantine.Fingerprint]bool
}

// judgeBy takes in what the control hosts tell. What this entry has served lately it
// sends on all the same, and has it cleared. The caller holds the lock.
func (g *Gateway) judgeBy(view *steward.QuarantineView, now time.Time) {
	s := g.state
	if view == nil || view.Revision < s.verdicts.revision {
		return
	}
	s.verdicts = verdicts{
		revision: view.Revision,
		held:     make(map[quarantine.Fingerprint]bool, len(view.Quarantined)), suspects: make(map[quarantine.Fingerprint]bool, len(view.Suspects)),
	}
	var cleared []quarantine.Fingerprint
	take := func(told []quarantine.Fingerprint, into map[quarantine.Fingerprint]bool) {
		for _, p := range told {
			if s.served.Has(p, now) {
				cleared = append(cleared, p)
				continue
			}
			into[p] = true
		}
	}
	take(view.Quarantined, s.verdicts.held)
	take(view.Suspects, s.verdicts.suspects)
	s.releaseHeld()
	g.reports.add(steward.Report{Served: cleared})
}

// releaseHeld ends the wait of requests that were judged while they waited for room.
// The caller holds the lock.
func (s *state) releaseHeld() {
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool {
		held := s.verdicts.held[w.run.print]
		if held {
			w.granted <- nil
		}
		return held
	})
}

// noteServed notes that the request was served whole.
func (r *run) noteServed() {
	s, p := r.gateway.state, r.print
	s.mu.Lock()
	defer s.mu.Unlock()
	s.served.Record(p, time.Now())
	if s.verdicts.held[p] || s.verdicts.suspects[p] {
		delete(s.verdicts.held, p)
		delete(s.verdicts.suspects, p)
		r.gateway.reports.add(steward.Report{Served: []quarantine.Fingerprint{p}})
	}
}

// held reports whether the request is to be sent to no upstream.
func (r *run) held() bool {
	s, p := r.gateway.state, r.print
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.verdicts.held[p]
}

// suspected reports whether one more end under the request decides that it is held. It
// is then for its caller to repeat it: by ourselves we would end one more before we know.
func (r *run) suspected() bool {
	s, p := r.gateway.state, r.print
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.verdicts.held[p] || s.verdicts.suspects[p]
}

// reports gather what is to be told to the control hosts, at most one report. The oldest
// ends yield while no control host is reached.
type reports struct {
	mu      sync.Mutex
	pending steward.Report
	// ready holds an item while something is pending.
	ready chan struct{}
}

func newReports() *reports { return &reports{ready: make(chan struct{}, 1)} }

// add takes in what is to be told.
func (q *reports) add(r steward.Report) {
	if r.Empty() {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.join(q.pending, r)
}

// addAgain takes in what failed to be told. It is older than what came meanwhile.
func (q *reports) addAgain(r steward.Report) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.join(r, q.pending)
}

// join makes two reports pending, the older one first. The caller holds the lock.
func (q *reports) join(older, newer steward.Report) {
	q.pending = steward.Report{Crashes: latest(older.Crashes, newer.Crashes), Served: latest(older.Served, newer.Served)}
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// latest joins two lists, the older one first, and leaves out the oldest beyond the bound.
func latest[T any](older, newer []T) []T {
	list := slices.Concat(older, newer)
	return list[max(len(list)-steward.MaxReported, 0):]
}

// take returns what is to be told.
func (q *reports) take() steward.Report {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.pending
	q.pending = steward.Report{}
	return r
}

// Report tells control hosts, until ctx ends, what this entry sees of requests that end
// upstreams. What fails to be told is told again.
func (g *Gateway) Report(ctx context.Context, tell func(context.Context, *steward.Report) error) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.reports.ready:
		}
		r := g.reports.take()
		if tell(ctx, &r) == nil {
			continue
		}
		g.reports.addAgain(r)
		wait.For(ctx, reportAgain)
	}
}

// blame reports the requests that were under way at an upstream when it ended. The
// caller holds the lock.
func (g *Gateway) blame(life quarantine.Incarnation, attempts []quarantine.Attempt, now time.Time) {
	if end := quarantine.Blame(life, attempts, &g.state.served, now); len(end.Prints) > 0 {
		g.reports.add(steward.Report{Crashes: []quarantine.Crash{end}})
	}
}
