package simload

import (
	"strings"
	"time"
)

// Fault is a failure at a given time of a run.
type Fault struct {
	Name string
	At   time.Duration
	// Lasts is the duration, zero for a permanent fault.
	Lasts time.Duration
	apply func(*sim)
	undo  func(*sim)
}

func (f Fault) schedule(s *sim) {
	s.clock.after(f.At, func() { f.apply(s) })
	if f.Lasts > 0 && f.undo != nil {
		s.clock.after(f.At+f.Lasts, func() { f.undo(s) })
	}
}

func faultNames(faults []Fault) string {
	names := make([]string, 0, len(faults))
	for _, f := range faults {
		names = append(names, f.Name)
	}
	if len(names) == 0 {
		return "quiet"
	}
	return strings.Join(names, "+")
}

// slowLinkFactor is the factor by which the rate of a slow link is reduced.
const slowLinkFactor = 0.1

// faultsOf returns the faults of a workload. Each starts after one third of the
// measured part of the run.
func faultsOf(w *Workload) []Fault {
	at := w.WarmUp + (w.Duration-w.WarmUp)/3
	lasts := (w.Duration - w.WarmUp) / 6
	return []Fault{
		{Name: "store-dies", At: at, apply: func(s *sim) { s.stores[0].crash(s.clock.at) }},
		{Name: "store-returns-empty", At: at, Lasts: lasts,
			apply: func(s *sim) { s.stores[0].crash(s.clock.at) },
			undo:  func(s *sim) { s.stores[0].restart() }},
		{Name: "store-full", At: at, apply: func(s *sim) { s.stores[0].full = true }},
		{Name: "link-slow", At: at, Lasts: lasts,
			apply: func(s *sim) { s.stores[0].link.rate *= slowLinkFactor },
			undo:  func(s *sim) { s.stores[0].link.rate /= slowLinkFactor }},
		{Name: "entry-dies", At: at, apply: func(s *sim) { s.crashEntry(0) }},
		{Name: "engine-leaves", At: at, apply: func(s *sim) { s.engines[0].leaving = true }},
		{Name: "engine-dies", At: at, apply: func(s *sim) { s.engines[1].crash(s) }},
		{Name: "version-swap", At: at, apply: func(s *sim) { s.swapVersion() }},
		{Name: "events-lost", At: at, Lasts: lasts,
			apply: func(s *sim) { s.loseEvents(true) },
			undo:  func(s *sim) { s.loseEvents(false) }},
	}
}

// loseEvents sets whether the cache events of half of the engines and of one store
// host are dropped.
func (s *sim) loseEvents(lost bool) {
	for i, e := range s.engines {
		if i%2 == 0 {
			e.feed.lost = lost
		}
	}
	s.stores[0].feed.lost = lost
}

// retryDelay is the time in which a caller detects a lost connection, requests
// another address and resends its request.
const retryDelay = 200 * time.Millisecond

// crashEntry stops one entry. Its callers retry at another one.
func (s *sim) crashEntry(index int) {
	s.down[index] = true
	if p, ok := s.policy.(interface{ entryCrashed(int) }); ok {
		p.entryCrashed(index)
	}
}

// crash stops an engine without a departure announcement. Its callers retry.
func (e *engine) crash(s *sim) {
	e.leaving, e.silent, e.dead = true, true, true
	e.incarnation++
	var lost []*job
	lost = append(lost, e.queue.items...)
	lost = append(lost, e.active...)
	e.queue.items, e.prefill.items, e.active = nil, nil, nil
	for _, j := range lost {
		s.retry(j)
	}
}

// retry resends a request after its connection was lost. A new job replaces the
// old one, whose later events have no effect.
func (s *sim) retry(old *job) {
	if old.finished {
		return
	}
	s.policy.lost(old)
	j := &job{req: old.req, arrived: old.arrived, answered: old.answered, computed: old.computed, decision: old.decision}
	old.finished, old.state, old.successor = true, jobGone, j
	s.results.replace(old, j)
	s.clock.after(retryDelay, func() {
		if !j.finished {
			s.begin(j)
		}
	})
}
