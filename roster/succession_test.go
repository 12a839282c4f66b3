package roster

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const testGap = 3 * time.Second

// observe lets an incarnation of "a" with an earlier start time announce itself every 1.2 s
// during span. It returns after how long the incarnation was found to be current, 0 if never.
func observe(s *Successions, held Upstream, span time.Duration, nth func(i int) Upstream, lastContact func(at time.Time) time.Time) time.Duration {
	start := time.Unix(1000, 0)
	for i := 0; time.Duration(i)*1200*time.Millisecond <= span; i++ {
		at := start.Add(time.Duration(i) * 1200 * time.Millisecond)
		if s.Receive(nth(i), held, lastContact(at), at, testGap) {
			return max(at.Sub(start), 1)
		}
	}
	return 0
}

func noContact(time.Time) time.Time { return time.Unix(0, 0) }

func growing(i int) Upstream { return startedAt(1000, announcement("a", uint64(i+1), Serving)) }

// Guards against an upstream that is refused permanently because its host's clock stepped
// back before its start.
func TestContinuedAnnouncementsWithEarlierStartAreCurrent(t *testing.T) {
	held := startedAt(2000, announcement("a", 70, Serving))
	took := observe(new(Successions), held, time.Minute, growing, noContact)
	if took <= MaxAnnouncementDelay || took > MaxAnnouncementDelay+testGap {
		t.Fatalf("current after %v", took)
	}
}

// Guards against stale or forged announcements that displace a running upstream or revive an
// incarnation that has ended.
func TestStaleAndForgedAnnouncementsAreNotCurrent(t *testing.T) {
	held := startedAt(2000, announcement("a", 70, Serving))
	for name, test := range map[string]struct {
		span        time.Duration
		nth         func(i int) Upstream
		lastContact func(at time.Time) time.Time
	}{
		"stale announcements":                     {MaxAnnouncementDelay, growing, noContact},
		"known incarnation runs":                  {time.Minute, growing, func(at time.Time) time.Time { return at.Add(-time.Second) }},
		"known incarnation is received every 9 s": {time.Minute, growing, func(at time.Time) time.Time { return at.Truncate(9 * time.Second) }},
		"the same announcement repeated":          {time.Minute, func(int) Upstream { return growing(0) }, noContact},
		"sequence does not grow":                  {time.Minute, func(i int) Upstream { return growing(100 - i) }, noContact},
		"a different start time each time": {time.Minute, func(i int) Upstream {
			return startedAt(uint64(1000+i), announcement("a", uint64(i), Serving))
		}, noContact},
		"another service": {time.Minute, func(i int) Upstream {
			u := growing(i)
			u.Service = "other"
			return u
		}, noContact},
		"a departure in between": {time.Minute, func(i int) Upstream {
			u := growing(i)
			if i == 4 {
				u.State = Gone
			}
			return u
		}, noContact},
		"serving after leaving": {time.Minute, func(i int) Upstream {
			u := growing(i)
			if i == 4 {
				u.State = Leaving
			}
			return u
		}, noContact},
	} {
		if took := observe(new(Successions), held, test.span, test.nth, test.lastContact); took > 0 {
			t.Errorf("%s: current after %v", name, took)
		}
	}
}

// Guards against a gap in which the incarnation under observation may have ended: stale
// announcements after it restart the observation.
func TestAnnouncementsAcrossAGapAreNotCombined(t *testing.T) {
	var s Successions
	held, at := startedAt(2000, announcement("a", 70, Serving)), time.Unix(1000, 0)
	for i := range 60 {
		at = at.Add(testGap + time.Millisecond)
		if s.Receive(growing(i), held, time.Time{}, at, testGap) {
			t.Fatalf("current after %d announcements", i+1)
		}
	}
}

// Guards against stale announcements of one incarnation that delay the observation of
// another.
func TestStaleAnnouncementsDontDelayObservation(t *testing.T) {
	var s Successions
	held, at := startedAt(2000, announcement("a", 70, Serving)), time.Unix(1000, 0)
	for i := range 20 {
		at = at.Add(1200 * time.Millisecond)
		if s.Receive(growing(i), held, time.Time{}, at, testGap) {
			return
		}
		s.Receive(startedAt(500, announcement("a", uint64(900+i), Serving)), held, time.Time{}, at, testGap)
	}
	t.Fatal("the current incarnation was never found")
}

// Guards against unbounded memory use by announcements with forged names.
func TestObservedIncarnationsAreBounded(t *testing.T) {
	var s Successions
	at := time.Unix(1000, 0)
	for i := range 2 * maxObserved {
		id := fmt.Sprint(i)
		s.Receive(startedAt(1000, announcement(id, 1, Serving)), startedAt(2000, announcement(id, 1, Serving)), time.Time{}, at, testGap)
	}
	if len(s.successors) != maxObserved {
		t.Errorf("%d incarnations are observed", len(s.successors))
	}
	s.Receive(startedAt(1000, announcement("a", 1, Serving)), startedAt(2000, announcement("a", 1, Serving)), time.Time{}, at.Add(testGap+1), testGap)
	if len(s.successors) != 1 {
		t.Errorf("%d incarnations are observed after a gap", len(s.successors))
	}
}

// Guards against hosts that disagree about the current incarnation, or return to the
// superseded one: all apply the same announcements in the same order, some after restoring a
// snapshot.
func TestSuccessionIsTheSameOnAllHosts(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 1))
	one, other := New(), New()
	startTimes := []uint64{1000, 2000, 3000}
	for step := range 3000 {
		u := startedAt(startTimes[random.IntN(3)], announcement("a", uint64(random.IntN(50)), State(1+random.IntN(3))))
		if held, known := one.Get("a"); known && random.IntN(3) == 0 {
			u.Supersedes = []uint64{held.StartedMs, 2000, held.Superseded}[random.IntN(3)]
			if one.Outdated(u) && u.Supersedes == held.StartedMs {
				t.Fatalf("step %d: %+v does not follow %+v", step, u, held)
			}
		}
		if one.Announce(u) != other.Announce(u) {
			t.Fatalf("step %d: %+v changes one of two", step, u)
		}
		if step%100 == 0 {
			saved := other.Save()
			other = New()
			other.Restore(saved)
		}
		held, _ := one.Get("a")
		if held.Supersedes != 0 || held.Superseded != 0 && held.Superseded <= held.StartedMs || !slices.Contains(startTimes, held.StartedMs) {
			t.Fatalf("step %d: record is %+v", step, held)
		}
		if again, _ := other.Get("a"); !same(&again, &held) || again.Superseded != held.Superseded {
			t.Fatalf("step %d: %+v and %+v", step, held, again)
		}
	}
}

// Guards against announcements of a superseded incarnation, which has a later start time:
// they would replace the current one again.
func TestAnnouncementsOfSupersededIncarnationChangeNothing(t *testing.T) {
	r := New()
	r.Announce(startedAt(2000, withVersion(5, announcement("a", 70, Leaving))))
	current := startedAt(1000, withVersion(1, announcement("a", 9, Serving)))
	current.Supersedes = 2000
	if !r.Announce(current) {
		t.Fatal("the current incarnation changed nothing")
	}
	for _, late := range []Upstream{
		startedAt(2000, withVersion(5, announcement("a", 71, Serving))), startedAt(2000, announcement("a", 72, Leaving)), startedAt(2000, Upstream{ID: "a", State: Gone}),
	} {
		if !r.Outdated(late) || r.Announce(late) {
			t.Errorf("%v of the superseded incarnation changed the record", late.State)
		}
	}
	u, _ := r.Get("a")
	if current.Supersedes = 0; !same(&u, &current) || u.Superseded != 2000 {
		t.Errorf("record is %+v", u)
	}
	for _, next := range []uint64{1500, 3000} {
		if !r.Announce(startedAt(next, announcement("a", 1, Serving))) {
			t.Errorf("start time %d after 1000 changed nothing", next)
		}
	}
}
