package upstream

import (
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// step is one event at a time after testStart.
type step struct {
	at time.Duration
	do func(t *testing.T, r *Registry, now time.Time)
}

func announceStep(a Announcement, want AnnounceResult) func(*testing.T, *Registry, time.Time) {
	return func(t *testing.T, r *Registry, now time.Time) {
		t.Helper()
		if got := announce(t, r, now, a); got != want {
			t.Fatalf("announcement at %v: result %d, want %d", now.Sub(testStart), got, want)
		}
	}
}

func departureStep(incarnation ident.Incarnation) func(*testing.T, *Registry, time.Time) {
	return func(_ *testing.T, r *Registry, now time.Time) {
		r.MergeDepartures(now, []Departure{{Upstream: "a", Incarnation: incarnation}})
	}
}

func isOffered(want bool) func(*testing.T, *Registry, time.Time) {
	return func(t *testing.T, r *Registry, now time.Time) {
		t.Helper()
		if got := offers(r, now, "a"); got != want {
			t.Fatalf("upstream %v offered after %v: %v, want %v", "a", now.Sub(testStart), got, want)
		}
		if got := r.Dispatch(now, Attempt{Number: uint32(now.Sub(testStart) / time.Millisecond)}, "a", 0); got != want {
			t.Fatalf("dispatch accepted after %v: %v, want %v", now.Sub(testStart), got, want)
		}
	}
}

func leaving(a Announcement) Announcement {
	a.Leaving = true
	return a
}

func leased(a Announcement, lease time.Duration) Announcement {
	a.Lease = lease
	return a
}

// An upstream leaves, with a departure announcement or by losing contact.
// Requests sent to it afterwards time out or are cut off. It must get no new
// request later than 2 s after its announcement or 5 s after its last contact,
// even if entries that do not know yet still relay its old announcement.
func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	const second = time.Second
	cases := map[string][]step{
		"own departure announcement": {
			{0, announceStep(engine("a", 1), Registered)},
			{second, isOffered(true)},
			{second, announceStep(leaving(engine("a", 1)), Departed)},
			{second, isOffered(false)},
		},
		"stale announcement relayed after the departure": {
			{0, announceStep(engine("a", 1), Registered)},
			{second, announceStep(leaving(engine("a", 1)), Departed)},
			{2 * second, announceStep(engine("a", 1), Refused)},
			{2 * second, isOffered(false)},
			{90 * second, announceStep(engine("a", 1), Refused)},
		},
		"departure received from another entry first": {
			{0, departureStep(1)},
			{second, announceStep(engine("a", 1), Refused)},
			{second, isOffered(false)},
		},
		"departure of a registered upstream received from another entry": {
			{0, announceStep(engine("a", 1), Registered)},
			{second, departureStep(1)},
			{second, isOffered(false)},
		},
		"new incarnation after the departure": {
			{0, announceStep(engine("a", 1), Registered)},
			{second, announceStep(leaving(engine("a", 1)), Departed)},
			{2 * second, announceStep(engine("a", 2), Registered)},
			{2 * second, isOffered(true)},
			{3 * second, departureStep(1)},
			{3 * second, isOffered(true)},
			{4 * second, announceStep(leaving(engine("a", 1)), Refused)},
			{4 * second, isOffered(true)},
		},
		"departure of an unknown incarnation": {
			{0, announceStep(engine("a", 1), Registered)},
			{second, departureStep(2)},
			{second, isOffered(false)},
			{2 * second, announceStep(engine("a", 2), Refused)},
		},
		"contact lost under a long lease": {
			{0, announceStep(leased(engine("a", 1), time.Minute), Registered)},
			{4 * second, isOffered(true)},
			{5 * second, isOffered(false)},
			{59 * second, isOffered(false)},
		},
		"contact lost under a short lease": {
			{0, announceStep(leased(engine("a", 1), second), Registered)},
			{second, isOffered(false)},
		},
		"contact lost, restored and lost again": {
			{0, announceStep(leased(engine("a", 1), time.Minute), Registered)},
			{10 * second, isOffered(false)},
			{11 * second, announceStep(leased(engine("a", 1), time.Minute), Renewed)},
			{12 * second, isOffered(true)},
			{16 * second, isOffered(false)},
		},
		"renewed in time": {
			{0, announceStep(engine("a", 1), Registered)},
			{4 * second, announceStep(engine("a", 1), Renewed)},
			{8 * second, announceStep(engine("a", 1), Renewed)},
			{12 * second, isOffered(true)},
		},
		"new weights announced": {
			{0, announceStep(engine("a", 1), Registered)},
			{second, func(t *testing.T, r *Registry, now time.Time) {
				swapped := engine("a", 1)
				swapped.Models = []Loaded{{Model: "m", Version: "v2"}}
				announce(t, r, now, swapped)
				if offers(r, now, "a") {
					t.Fatal("offered for a version it no longer has loaded")
				}
			}},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			r := testRegistry(t, Options{})
			for _, s := range steps {
				s.do(t, r, testStart.Add(s.at))
			}
		})
	}
}

// An upstream restarts after its clock stepped back, so its new incarnation is
// lower than the previous one. Stale announcements are late by seconds at most,
// so an incarnation that continues to announce itself is the current one. It
// must get work again once the contact timeout of the previous one has passed.
func TestUpstreamRestartedWithEarlierClockIsOffered(t *testing.T) {
	const second = time.Second
	again := leased(engine("a", 4), time.Minute)
	cases := map[string][]step{
		"after a crash": {
			{0, announceStep(leased(engine("a", 9), time.Minute), Registered)},
			{4 * second, announceStep(again, Refused)},
			{5 * second, announceStep(again, Registered)},
			{5 * second, isOffered(true)},
		},
		"after its departure": {
			{0, announceStep(leased(engine("a", 9), time.Minute), Registered)},
			{second, announceStep(leaving(engine("a", 9)), Departed)},
			{2 * second, announceStep(again, Refused)},
			{5 * second, announceStep(again, Refused)},
			{6 * second, announceStep(again, Registered)},
			{6 * second, isOffered(true)},
			{7 * second, departureStep(9)},
			{7 * second, isOffered(true)},
			{8 * second, announceStep(engine("a", 9), Refused)},
			{8 * second, isOffered(true)},
		},
		"and departs again": {
			{0, announceStep(leased(engine("a", 9), time.Minute), Registered)},
			{second, announceStep(leaving(engine("a", 9)), Departed)},
			{6 * second, announceStep(again, Registered)},
			{7 * second, announceStep(leaving(engine("a", 4)), Departed)},
			{7 * second, isOffered(false)},
			{20 * second, announceStep(again, Refused)},
		},
		"before the departure of the previous incarnation arrives": {
			{0, announceStep(again, Registered)},
			{second, departureStep(9)},
			{second, isOffered(false)},
			{5 * second, announceStep(again, Refused)},
			{6 * second, announceStep(again, Renewed)},
			{6 * second, isOffered(true)},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			r := testRegistry(t, Options{})
			for _, s := range steps {
				s.do(t, r, testStart.Add(s.at))
			}
		})
	}
}

// An upstream's clock steps back by an hour while it runs. Its reports must be
// accepted again once no report from before the step can still arrive; otherwise
// its load would stay unchanged for an hour. Reports that arrive out of order
// must be ignored before and after that.
func TestLoadReportsCountAfterClockStepsBack(t *testing.T) {
	const second, step = time.Second, -time.Hour
	r := testRegistry(t, Options{Entries: 1})
	running := func(at time.Duration) int {
		t.Helper()
		got, known := r.Candidate(testStart.Add(at), testPool, "a")
		if !known {
			t.Fatalf("not offered at %v", at)
		}
		return int(got.Load.Requests + 0.5)
	}
	stepped := func(at time.Duration, running int) Report {
		return Report{Upstream: "a", Incarnation: 1, MeasuredAt: testStart.Add(at + step), Running: running}
	}
	for at := time.Duration(0); at <= 20*second; at += second {
		announce(t, r, testStart.Add(at), engine("a", 1))
		switch {
		case at == 0:
			report(at, 7, 1)(t, r, testStart.Add(at))
		case at <= 4*second:
			r.Report(testStart.Add(at), stepped(at, 2))
			if got := running(at); got != 7 {
				t.Errorf("at %v a report that may be stale was applied: %d requests", at, got)
			}
		default:
			r.Report(testStart.Add(at), stepped(at, 2))
			r.Report(testStart.Add(at), stepped(at-second/2, 5))
			if got := running(at); got != 2 {
				t.Errorf("at %v the load is %d requests, want 2 as reported", at, got)
			}
		}
	}
}

// Two incarnations of one upstream have left, and entries send both departures
// repeatedly. Each must be returned as new only once; otherwise entries would
// relay them to each other without end.
func TestEachDepartureIsRelayedOnce(t *testing.T) {
	r := testRegistry(t, Options{})
	departures := []Departure{{Upstream: "a", Incarnation: 9}, {Upstream: "a", Incarnation: 4}}
	added := 0
	for i := range 10 {
		now := testStart.Add(time.Duration(i) * time.Second)
		added += len(r.MergeDepartures(now, departures[i%2:i%2+1]))
	}
	if added > len(departures) {
		t.Errorf("%d departures reported as new, want at most %d", added, len(departures))
	}
	for _, w := range departures {
		if got := announce(t, r, testStart.Add(20*time.Second), engine("a", w.Incarnation)); got != Refused {
			t.Errorf("incarnation %d accepted after its departure: result %d", w.Incarnation, got)
		}
	}
}

func attempt(n uint32) Attempt { return Attempt{Number: n} }

func dispatch(n uint32) func(*testing.T, *Registry, time.Time) {
	return func(t *testing.T, r *Registry, now time.Time) {
		t.Helper()
		if !r.Dispatch(now, attempt(n), "a", 100) {
			t.Fatalf("dispatch of attempt %d refused", n)
		}
	}
}

func finish(n uint32, result Result) func(*testing.T, *Registry, time.Time) {
	return func(_ *testing.T, r *Registry, now time.Time) { r.Finish(now, attempt(n), result) }
}

func report(measured time.Duration, running int, incarnation ident.Incarnation) func(*testing.T, *Registry, time.Time) {
	return func(_ *testing.T, r *Registry, now time.Time) {
		at := testStart.Add(measured)
		r.Report(now, Report{
			Upstream: "a", Incarnation: incarnation,
			MeasuredAt: at, Age: now.Sub(at), Running: running,
		})
	}
}

// Load reports arrive late, twice, out of order and from a previous incarnation.
// An entry that uses them uncorrected sends to an upstream that it has just
// filled, or avoids one whose requests have just finished.
func TestLoadIsCorrectedByOwnWork(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name  string
		steps []step
		want  float64
	}{
		{"no report", []step{{0, dispatch(1)}, {0, dispatch(2)}}, 2},
		{"sent after the measurement", []step{{100 * ms, dispatch(1)}, {200 * ms, report(50*ms, 3, 1)}}, 4},
		{"sent before the measurement", []step{{0, dispatch(1)}, {200 * ms, report(50*ms, 3, 1)}}, 3},
		{"in transit at the measurement", []step{{48 * ms, dispatch(1)}, {200 * ms, report(50*ms, 3, 1)}}, 4},
		{"sent after the report", []step{{100 * ms, report(50*ms, 3, 1)}, {200 * ms, dispatch(1)}}, 4},
		{"finished after the report", []step{
			{0, dispatch(1)}, {100 * ms, report(50*ms, 3, 1)}, {200 * ms, finish(1, Succeeded)}}, 2},
		{"finished between measurement and report", []step{
			{0, dispatch(1)}, {80 * ms, finish(1, Succeeded)}, {100 * ms, report(50*ms, 3, 1)}}, 2},
		{"finished before the measurement", []step{
			{0, dispatch(1)}, {20 * ms, finish(1, Succeeded)}, {100 * ms, report(50*ms, 3, 1)}}, 3},
		{"sent and finished after the report", []step{
			{100 * ms, report(50*ms, 3, 1)}, {120 * ms, dispatch(1)}, {150 * ms, finish(1, Succeeded)}}, 3},
		{"older report after newer", []step{{100 * ms, report(50*ms, 3, 1)}, {200 * ms, report(40*ms, 9, 1)}}, 3},
		{"same report twice", []step{
			{100 * ms, report(50*ms, 3, 1)}, {110 * ms, dispatch(1)}, {200 * ms, report(50*ms, 3, 1)}}, 4},
		{"report of a previous incarnation", []step{
			{10 * ms, announceStep(engine("a", 2), Registered)}, {100 * ms, report(50*ms, 9, 1)}}, 0},
		{"attempt of a previous incarnation", []step{{0, dispatch(1)}, {10 * ms, announceStep(engine("a", 2), Registered)}}, 0},
		{"report below own requests in flight", []step{{0, dispatch(1)}, {0, dispatch(2)}, {200 * ms, report(50*ms, 0, 1)}}, 2},
		{"unknown attempt finished", []step{{100 * ms, report(50*ms, 3, 1)}, {150 * ms, finish(7, Succeeded)}}, 3},
		{"attempt finished twice", []step{
			{0, dispatch(1)}, {100 * ms, report(50*ms, 3, 1)},
			{150 * ms, finish(1, Succeeded)}, {160 * ms, finish(1, Succeeded)}}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := testRegistry(t, Options{Entries: 1})
			announce(t, r, testStart, engine("a", 1))
			for _, s := range c.steps {
				s.do(t, r, testStart.Add(s.at))
			}
			// Assume no other senders; the herd model tests the learned share.
			r.shares[Engine] = shareEstimate{own: 1e9, all: 1e9}
			got, ok := r.Candidate(testStart.Add(300*ms), testPool, "a")
			if !ok || got.Load.Requests < c.want-0.01 || got.Load.Requests > c.want+0.01 {
				t.Fatalf("load %+v, want %v requests", got.Load, c.want)
			}
		})
	}
}

// finishAttempts sends count attempts to one upstream and finishes each with
// result.
func finishAttempts(t *testing.T, r *Registry, now time.Time, name ident.Upstream, count int, result Result) {
	t.Helper()
	for i := range count {
		id := Attempt{Request: ident.Request{byte(len(name)), name[0], byte(i), byte(i >> 8)}, Number: uint32(now.UnixMilli())}
		if !r.Dispatch(now, id, name, 0) {
			return
		}
		r.Finish(now, id, result)
	}
}

// An upstream accepts requests and fails or stalls, so that every caller sent
// there waits in vain. It must be ejected for a limited time, then reinstated on
// probation with a reduced weight, and at full weight after successes. When most
// of a pool fails at the same time the fault is elsewhere; ejecting all of it
// would refuse every request.
func TestEjectionAndProbation(t *testing.T) {
	names := []ident.Upstream{"a", "b", "c", "d", "e", "f"}
	setup := func(t *testing.T) (*Registry, time.Time) {
		r := testRegistry(t, Options{})
		for _, name := range names {
			announce(t, r, testStart, leased(engine(name, 1), time.Hour))
		}
		return r, testStart
	}
	// pass advances the time while all upstreams keep announcing themselves.
	pass := func(t *testing.T, r *Registry, now time.Time, length time.Duration) time.Time {
		for end := now.Add(length); now.Before(end); {
			now = now.Add(time.Second)
			for _, name := range names {
				announce(t, r, now, leased(engine(name, 1), time.Hour))
			}
		}
		return now
	}
	for _, result := range []Result{Failed, Stalled} {
		t.Run("consecutive failures", func(t *testing.T) {
			r, now := setup(t)
			finishAttempts(t, r, now, "a", DefaultConsecutive-1, result)
			if !offers(r, now, "a") {
				t.Fatal("ejected before the limit of consecutive failures")
			}
			finishAttempts(t, r, now, "a", 1, result)
			if offers(r, now, "a") {
				t.Fatal("still offered after the limit of consecutive failures")
			}
		})
	}
	t.Run("cancelled by callers", func(t *testing.T) {
		r, now := setup(t)
		finishAttempts(t, r, now, "a", 50, Cancelled)
		if !offers(r, now, "a") {
			t.Fatal("ejected because of cancelled attempts")
		}
	})
	t.Run("success rate", func(t *testing.T) {
		r, now := setup(t)
		for range 40 {
			finishAttempts(t, r, now, "a", 3, Failed)
			finishAttempts(t, r, now, "a", 1, Succeeded)
		}
		if offers(r, now, "a") {
			t.Fatal("still offered although three of four attempts failed")
		}
	})
	t.Run("probation", func(t *testing.T) {
		r, now := setup(t)
		now = pass(t, r, now, DefaultSlowStart)
		finishAttempts(t, r, now, "a", DefaultConsecutive, Failed)
		now = pass(t, r, now, DefaultFirstEjection)
		reinstated, ok := r.Candidate(now, testPool, "a")
		if !ok || reinstated.Weight != probationWeight {
			t.Fatalf("after the ejection: offered %v with weight %v", ok, reinstated.Weight)
		}
		finishAttempts(t, r, now, "a", 1, Failed)
		now = pass(t, r, now, DefaultFirstEjection)
		if offers(r, now, "a") || !offers(r, now, "b") {
			t.Fatal("the second ejection is no longer than the first")
		}
		now = pass(t, r, now, DefaultFirstEjection)
		finishAttempts(t, r, now, "a", DefaultProbationSuccesses, Succeeded)
		if reinstated, ok = r.Candidate(now, testPool, "a"); !ok || reinstated.Weight != 1 {
			t.Fatalf("after probation: offered %v with weight %v", ok, reinstated.Weight)
		}
	})
	t.Run("capacity is kept", func(t *testing.T) {
		r, now := setup(t)
		for _, name := range names {
			finishAttempts(t, r, now, name, DefaultConsecutive, Failed)
		}
		const kept = 3 // of six, when at most 60% may be ejected
		if got := r.Size(testPool); got != kept || r.Stats().Spared == 0 {
			t.Fatalf("%d of 6 offered, %d ejections skipped, want %d offered", got, r.Stats().Spared, kept)
		}
	})
	t.Run("the healthy upstreams leave", func(t *testing.T) {
		r, now := setup(t)
		finishAttempts(t, r, now, "a", DefaultConsecutive, Failed)
		for _, name := range names[1:] {
			announce(t, r, now, leaving(engine(name, 1)))
		}
		if !offers(r, now, "a") {
			t.Fatal("no upstream is offered although an ejected one is registered")
		}
	})
}

// A new runner has an empty cache and cold code. Because its queue is empty, it
// would get every request immediately without slow start.
func TestSlowStartGrowsWithAge(t *testing.T) {
	r := testRegistry(t, Options{})
	announce(t, r, testStart, leased(engine("a", 1), time.Hour))
	last := 0.0
	for _, age := range []time.Duration{0, 2 * time.Second, 4 * time.Second} {
		c, ok := r.Candidate(testStart.Add(age), testPool, "a")
		if !ok || c.Weight <= last {
			t.Fatalf("weight %v at %v, want more than %v", c.Weight, age, last)
		}
		last = c.Weight
	}
}

// Announcements come from other processes. They must not make the registry grow
// without bound.
func TestRegistryIsBounded(t *testing.T) {
	r := testRegistry(t, Options{MaxUpstreams: 2, MaxInFlight: 1})
	announce(t, r, testStart, engine("a", 1))
	announce(t, r, testStart, engine("b", 1))
	if got := announce(t, r, testStart, engine("c", 1)); got != Full {
		t.Fatalf("third upstream with MaxUpstreams 2: result %d, want Full", got)
	}
	r.Dispatch(testStart, attempt(1), "a", 0)
	r.Dispatch(testStart, attempt(2), "a", 0)
	if r.InFlight() != 1 || r.Stats().Untracked != 1 {
		t.Fatalf("%d in flight, %d untracked, want 1 and 1", r.InFlight(), r.Stats().Untracked)
	}
	if _, ok := r.Candidate(testStart.Add(time.Hour), testPool, "a"); ok || r.Len() != 0 || len(r.pools) != 0 {
		t.Fatalf("%d upstreams in %d pools after their leases expired", r.Len(), len(r.pools))
	}
	invalid := engine("d", 1)
	invalid.Slots = -1
	if result, err := r.Announce(testStart, invalid); result != Invalid || err == nil {
		t.Fatalf("negative slots: result %d, error %v", result, err)
	}
}
