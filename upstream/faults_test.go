package upstream

import (
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// step is one event at a time after the epoch.
type step struct {
	at time.Duration
	do func(t *testing.T, r *Registry, now time.Time)
}

func says(a Announcement, want AnnounceResult) func(*testing.T, *Registry, time.Time) {
	return func(t *testing.T, r *Registry, now time.Time) {
		t.Helper()
		if got := announce(t, r, now, a); got != want {
			t.Fatalf("announcement at %v: result %d, want %d", now.Sub(epoch), got, want)
		}
	}
}

func word(incarnation ident.Incarnation) func(*testing.T, *Registry, time.Time) {
	return func(_ *testing.T, r *Registry, now time.Time) {
		r.MergeDepartures(now, []Departure{{Upstream: "a", Incarnation: incarnation}})
	}
}

func isOffered(want bool) func(*testing.T, *Registry, time.Time) {
	return func(t *testing.T, r *Registry, now time.Time) {
		t.Helper()
		if got := offers(r, now, "a"); got != want {
			t.Fatalf("offered %v after %v: %v, want %v", "a", now.Sub(epoch), got, want)
		}
		if got := r.Dispatch(now, Attempt{Number: uint32(now.Sub(epoch) / time.Millisecond)}, "a", 0); got != want {
			t.Fatalf("dispatch allowed after %v: %v, want %v", now.Sub(epoch), got, want)
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

// An upstream goes, with a word or without. Callers whose request is sent to
// it afterwards wait for nothing or are cut off, so it must get nothing new
// within 2 s of its word and 5 s of its silence, whatever another entry, which
// has not heard yet, still says about it.
func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	const second = time.Second
	cases := map[string][]step{
		"word of its own": {
			{0, says(engine("a", 1), Registered)},
			{second, isOffered(true)},
			{second, says(leaving(engine("a", 1)), Departed)},
			{second, isOffered(false)},
		},
		"stale announcement relayed after the word": {
			{0, says(engine("a", 1), Registered)},
			{second, says(leaving(engine("a", 1)), Departed)},
			{2 * second, says(engine("a", 1), Refused)},
			{2 * second, isOffered(false)},
			{90 * second, says(engine("a", 1), Refused)},
		},
		"word heard from another entry first": {
			{0, word(1)},
			{second, says(engine("a", 1), Refused)},
			{second, isOffered(false)},
		},
		"word from another entry about one that is listed": {
			{0, says(engine("a", 1), Registered)},
			{second, word(1)},
			{second, isOffered(false)},
		},
		"next life after the word": {
			{0, says(engine("a", 1), Registered)},
			{second, says(leaving(engine("a", 1)), Departed)},
			{2 * second, says(engine("a", 2), Registered)},
			{2 * second, isOffered(true)},
			{3 * second, word(1)},
			{3 * second, isOffered(true)},
			{4 * second, says(leaving(engine("a", 1)), Refused)},
			{4 * second, isOffered(true)},
		},
		"word about a life not seen yet": {
			{0, says(engine("a", 1), Registered)},
			{second, word(2)},
			{second, isOffered(false)},
			{2 * second, says(engine("a", 2), Refused)},
		},
		"silence under a long lease": {
			{0, says(leased(engine("a", 1), time.Minute), Registered)},
			{4 * second, isOffered(true)},
			{5 * second, isOffered(false)},
			{59 * second, isOffered(false)},
		},
		"silence under a short lease": {
			{0, says(leased(engine("a", 1), second), Registered)},
			{second, isOffered(false)},
		},
		"silence, a word, and silence again": {
			{0, says(leased(engine("a", 1), time.Minute), Registered)},
			{10 * second, isOffered(false)},
			{11 * second, says(leased(engine("a", 1), time.Minute), Renewed)},
			{12 * second, isOffered(true)},
			{16 * second, isOffered(false)},
		},
		"renewed in time": {
			{0, says(engine("a", 1), Registered)},
			{4 * second, says(engine("a", 1), Renewed)},
			{8 * second, says(engine("a", 1), Renewed)},
			{12 * second, isOffered(true)},
		},
		"new weights announced": {
			{0, says(engine("a", 1), Registered)},
			{second, func(t *testing.T, r *Registry, now time.Time) {
				swapped := engine("a", 1)
				swapped.Models = []Loaded{{Model: "m", Version: "v2"}}
				announce(t, r, now, swapped)
				if offers(r, now, "a") {
					t.Fatal("offered for the version it unloaded")
				}
			}},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			r := testRegistry(t, Options{})
			for _, s := range steps {
				s.do(t, r, epoch.Add(s.at))
			}
		})
	}
}

// An upstream starts again after its clock stepped back, so that its new life
// has the lower incarnation. Words of a former life come late by seconds at
// most: what goes on announcing itself for longer is the present life, and must
// get work again within the silence after which the former gets none.
func TestUpstreamStartedAgainWithEarlierClockIsOffered(t *testing.T) {
	const second = time.Second
	again := leased(engine("a", 4), time.Minute)
	cases := map[string][]step{
		"after it died": {
			{0, says(leased(engine("a", 9), time.Minute), Registered)},
			{4 * second, says(again, Refused)},
			{5 * second, says(again, Registered)},
			{5 * second, isOffered(true)},
		},
		"after its word": {
			{0, says(leased(engine("a", 9), time.Minute), Registered)},
			{second, says(leaving(engine("a", 9)), Departed)},
			{2 * second, says(again, Refused)},
			{5 * second, says(again, Refused)},
			{6 * second, says(again, Registered)},
			{6 * second, isOffered(true)},
			{7 * second, word(9)},
			{7 * second, isOffered(true)},
			{8 * second, says(engine("a", 9), Refused)},
			{8 * second, isOffered(true)},
		},
		"and leaves in its turn": {
			{0, says(leased(engine("a", 9), time.Minute), Registered)},
			{second, says(leaving(engine("a", 9)), Departed)},
			{6 * second, says(again, Registered)},
			{7 * second, says(leaving(engine("a", 4)), Departed)},
			{7 * second, isOffered(false)},
			{20 * second, says(again, Refused)},
		},
		"before the former's word arrives": {
			{0, says(again, Registered)},
			{second, word(9)},
			{second, isOffered(false)},
			{5 * second, says(again, Refused)},
			{6 * second, says(again, Renewed)},
			{6 * second, isOffered(true)},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			r := testRegistry(t, Options{})
			for _, s := range steps {
				s.do(t, r, epoch.Add(s.at))
			}
		})
	}
}

// An upstream's clock steps back by an hour while it lives. Its reports must
// count again once none from before the step can still be on its way; its load
// would stay as it was for the hour otherwise. One that overtakes another on the
// way must change nothing before and after.
func TestLoadReportsCountAfterClockStepsBack(t *testing.T) {
	const second, step = time.Second, -time.Hour
	r := testRegistry(t, Options{Entries: 1})
	running := func(at time.Duration) int {
		t.Helper()
		got, known := r.Candidate(epoch.Add(at), testPool, "a")
		if !known {
			t.Fatalf("not offered at %v", at)
		}
		return int(got.Load.Requests + 0.5)
	}
	stepped := func(at time.Duration, running int) Report {
		return Report{Upstream: "a", Incarnation: 1, MeasuredAt: epoch.Add(at + step), Running: running}
	}
	for at := time.Duration(0); at <= 20*second; at += second {
		announce(t, r, epoch.Add(at), engine("a", 1))
		switch {
		case at == 0:
			report(at, 7, 1)(t, r, epoch.Add(at))
		case at <= 4*second:
			r.Report(epoch.Add(at), stepped(at, 2))
			if got := running(at); got != 7 {
				t.Errorf("at %v a report that may be late counts: %d requests", at, got)
			}
		default:
			r.Report(epoch.Add(at), stepped(at, 2))
			r.Report(epoch.Add(at), stepped(at-second/2, 5))
			if got := running(at); got != 2 {
				t.Errorf("at %v the load is %d requests, want the reported 2", at, got)
			}
		}
	}
}

// Two lives of one upstream have left, and entries repeat both words in turn.
// Each is news once; else the words would go round for ever.
func TestDeparturesOfTwoLivesAreNewsOnce(t *testing.T) {
	r := testRegistry(t, Options{})
	words := []Departure{{Upstream: "a", Incarnation: 9}, {Upstream: "a", Incarnation: 4}}
	news := 0
	for i := range 10 {
		now := epoch.Add(time.Duration(i) * time.Second)
		news += len(r.MergeDepartures(now, words[i%2:i%2+1]))
	}
	if news > len(words) {
		t.Errorf("%d words are news, want at most %d", news, len(words))
	}
	for _, w := range words {
		if got := announce(t, r, epoch.Add(20*time.Second), engine("a", w.Incarnation)); got != Refused {
			t.Errorf("life %d is taken after its word: result %d", w.Incarnation, got)
		}
	}
}

func attempt(n uint32) Attempt { return Attempt{Number: n} }

func dispatch(n uint32) func(*testing.T, *Registry, time.Time) {
	return func(t *testing.T, r *Registry, now time.Time) {
		t.Helper()
		if !r.Dispatch(now, attempt(n), "a", 100) {
			t.Fatalf("dispatch of %d refused", n)
		}
	}
}

func finish(n uint32, result Result) func(*testing.T, *Registry, time.Time) {
	return func(_ *testing.T, r *Registry, now time.Time) { r.Finish(now, attempt(n), result) }
}

func report(measured time.Duration, running int, incarnation ident.Incarnation) func(*testing.T, *Registry, time.Time) {
	return func(_ *testing.T, r *Registry, now time.Time) {
		at := epoch.Add(measured)
		r.Report(now, Report{
			Upstream: "a", Incarnation: incarnation,
			MeasuredAt: at, Age: now.Sub(at), Running: running,
		})
	}
}

// Load reports arrive late, twice, out of order and from an earlier life. An
// entry that believes them sends to an upstream it has just filled itself, or
// avoids one it has just drained.
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
		{"on its way at the measurement", []step{{48 * ms, dispatch(1)}, {200 * ms, report(50*ms, 3, 1)}}, 4},
		{"sent after the report", []step{{100 * ms, report(50*ms, 3, 1)}, {200 * ms, dispatch(1)}}, 4},
		{"ended after the report", []step{
			{0, dispatch(1)}, {100 * ms, report(50*ms, 3, 1)}, {200 * ms, finish(1, Succeeded)}}, 2},
		{"ended between measurement and report", []step{
			{0, dispatch(1)}, {80 * ms, finish(1, Succeeded)}, {100 * ms, report(50*ms, 3, 1)}}, 2},
		{"ended before the measurement", []step{
			{0, dispatch(1)}, {20 * ms, finish(1, Succeeded)}, {100 * ms, report(50*ms, 3, 1)}}, 3},
		{"sent and ended since", []step{
			{100 * ms, report(50*ms, 3, 1)}, {120 * ms, dispatch(1)}, {150 * ms, finish(1, Succeeded)}}, 3},
		{"older report after newer", []step{{100 * ms, report(50*ms, 3, 1)}, {200 * ms, report(40*ms, 9, 1)}}, 3},
		{"same report twice", []step{
			{100 * ms, report(50*ms, 3, 1)}, {110 * ms, dispatch(1)}, {200 * ms, report(50*ms, 3, 1)}}, 4},
		{"report of an earlier life", []step{
			{10 * ms, says(engine("a", 2), Registered)}, {100 * ms, report(50*ms, 9, 1)}}, 0},
		{"work of an earlier life", []step{{0, dispatch(1)}, {10 * ms, says(engine("a", 2), Registered)}}, 0},
		{"report below own work", []step{{0, dispatch(1)}, {0, dispatch(2)}, {200 * ms, report(50*ms, 0, 1)}}, 2},
		{"end of an unknown attempt", []step{{100 * ms, report(50*ms, 3, 1)}, {150 * ms, finish(7, Succeeded)}}, 3},
		{"end reported twice", []step{
			{0, dispatch(1)}, {100 * ms, report(50*ms, 3, 1)},
			{150 * ms, finish(1, Succeeded)}, {160 * ms, finish(1, Succeeded)}}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := testRegistry(t, Options{Entries: 1})
			announce(t, r, epoch, engine("a", 1))
			for _, s := range c.steps {
				s.do(t, r, epoch.Add(s.at))
			}
			// The learned share is tested by the herd model.
			r.shares[Engine] = shareEstimate{own: 1e9, all: 1e9}
			got, ok := r.Candidate(epoch.Add(300*ms), testPool, "a")
			if !ok || got.Load.Requests < c.want-0.01 || got.Load.Requests > c.want+0.01 {
				t.Fatalf("load %+v, want %v requests", got.Load, c.want)
			}
		})
	}
}

// fails runs attempts against one upstream that all end in result.
func fails(t *testing.T, r *Registry, now time.Time, name ident.Upstream, count int, result Result) {
	t.Helper()
	for i := range count {
		id := Attempt{Request: ident.Request{byte(len(name)), name[0], byte(i), byte(i >> 8)}, Number: uint32(now.UnixMilli())}
		if !r.Dispatch(now, id, name, 0) {
			return
		}
		r.Finish(now, id, result)
	}
}

// An upstream accepts requests and fails or stalls. Every caller sent there
// waits in vain, so it is taken out for a while, let back in on a trickle and
// trusted once that succeeds; but when most of a pool fails at once the fault
// is elsewhere, and taking all out would refuse everybody.
func TestEjectionAndProbation(t *testing.T) {
	names := []ident.Upstream{"a", "b", "c", "d", "e", "f"}
	setup := func(t *testing.T) (*Registry, time.Time) {
		r := testRegistry(t, Options{})
		for _, name := range names {
			announce(t, r, epoch, leased(engine(name, 1), time.Hour))
		}
		return r, epoch
	}
	// pass lets time pass in which all keep announcing themselves.
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
		t.Run("in a row", func(t *testing.T) {
			r, now := setup(t)
			fails(t, r, now, "a", DefaultConsecutive-1, result)
			if !offers(r, now, "a") {
				t.Fatal("ejected too early")
			}
			fails(t, r, now, "a", 1, result)
			if offers(r, now, "a") {
				t.Fatal("still offered after failures in a row")
			}
		})
	}
	t.Run("cancelled by callers", func(t *testing.T) {
		r, now := setup(t)
		fails(t, r, now, "a", 50, Cancelled)
		if !offers(r, now, "a") {
			t.Fatal("ejected for what callers did")
		}
	})
	t.Run("success rate", func(t *testing.T) {
		r, now := setup(t)
		for range 40 {
			fails(t, r, now, "a", 3, Failed)
			fails(t, r, now, "a", 1, Succeeded)
		}
		if offers(r, now, "a") {
			t.Fatal("still offered with three of four attempts failed")
		}
	})
	t.Run("probation", func(t *testing.T) {
		r, now := setup(t)
		now = pass(t, r, now, DefaultSlowStart)
		fails(t, r, now, "a", DefaultConsecutive, Failed)
		now = pass(t, r, now, DefaultFirstEjection)
		back, ok := r.Candidate(now, testPool, "a")
		if !ok || back.Weight != probationWeight {
			t.Fatalf("after the ejection: offered %v with weight %v", ok, back.Weight)
		}
		fails(t, r, now, "a", 1, Failed)
		now = pass(t, r, now, DefaultFirstEjection)
		if offers(r, now, "a") || !offers(r, now, "b") {
			t.Fatal("the second ejection is no longer than the first")
		}
		now = pass(t, r, now, DefaultFirstEjection)
		fails(t, r, now, "a", DefaultProbationSuccesses, Succeeded)
		if back, ok = r.Candidate(now, testPool, "a"); !ok || back.Weight != 1 {
			t.Fatalf("after probation: offered %v with weight %v", ok, back.Weight)
		}
	})
	t.Run("capacity is kept", func(t *testing.T) {
		r, now := setup(t)
		for _, name := range names {
			fails(t, r, now, name, DefaultConsecutive, Failed)
		}
		const kept = 3 // of six, when at most 60% may be ejected
		if got := r.Size(testPool); got != kept || r.Stats().Spared == 0 {
			t.Fatalf("%d of 6 offered, %d spared, want %d kept", got, r.Stats().Spared, kept)
		}
	})
	t.Run("the good ones leave", func(t *testing.T) {
		r, now := setup(t)
		fails(t, r, now, "a", DefaultConsecutive, Failed)
		for _, name := range names[1:] {
			announce(t, r, now, leaving(engine(name, 1)))
		}
		if !offers(r, now, "a") {
			t.Fatal("nobody is offered though an ejected upstream is there")
		}
	})
}

// A new runner has an empty cache and cold code. With its empty queue it would
// draw every request at once.
func TestSlowStartGrowsWithAge(t *testing.T) {
	r := testRegistry(t, Options{})
	announce(t, r, epoch, leased(engine("a", 1), time.Hour))
	last := 0.0
	for _, age := range []time.Duration{0, 2 * time.Second, 4 * time.Second} {
		c, ok := r.Candidate(epoch.Add(age), testPool, "a")
		if !ok || c.Weight <= last {
			t.Fatalf("weight %v at %v, want more than %v", c.Weight, age, last)
		}
		last = c.Weight
	}
}

// Announcements come from outside. None may grow the registry without bound.
func TestBounds(t *testing.T) {
	r := testRegistry(t, Options{MaxUpstreams: 2, MaxInFlight: 1})
	announce(t, r, epoch, engine("a", 1))
	announce(t, r, epoch, engine("b", 1))
	if got := announce(t, r, epoch, engine("c", 1)); got != Full {
		t.Fatalf("third of two: result %d, want Full", got)
	}
	r.Dispatch(epoch, attempt(1), "a", 0)
	r.Dispatch(epoch, attempt(2), "a", 0)
	if r.InFlight() != 1 || r.Stats().Untracked != 1 {
		t.Fatalf("%d in flight, %d untracked, want 1 and 1", r.InFlight(), r.Stats().Untracked)
	}
	if _, ok := r.Candidate(epoch.Add(time.Hour), testPool, "a"); ok || r.Len() != 0 || len(r.pools) != 0 {
		t.Fatalf("%d upstreams in %d pools long after their leases", r.Len(), len(r.pools))
	}
	bad := engine("d", 1)
	bad.Slots = -1
	if result, err := r.Announce(epoch, bad); result != Invalid || err == nil {
		t.Fatalf("negative slots: result %d, error %v", result, err)
	}
}
