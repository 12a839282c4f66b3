package roster

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const testPause = 3 * time.Second

// observed has an earlier-born life of "a" announce itself every 1.2 s for some time. It
// returns after how long it was found to be the present one, 0 if it never was.
func observed(s *Successions, held Upstream, span time.Duration, word func(i int) Upstream, heard func(at time.Time) time.Time) time.Duration {
	start := time.Unix(1000, 0)
	for i := 0; time.Duration(i)*1200*time.Millisecond <= span; i++ {
		at := start.Add(time.Duration(i) * 1200 * time.Millisecond)
		if s.Receive(word(i), held, heard(at), at, testPause) {
			return max(at.Sub(start), 1)
		}
	}
	return 0
}

func longAgo(time.Time) time.Time { return time.Unix(0, 0) }

func growing(i int) Upstream { return born(1000, beat("a", uint64(i+1), Serving)) }

// Guards against an upstream that is refused for as long as it lives, its host's clock
// having stepped back before its start.
func TestEarlierBirthThatKeepsAnnouncingItselfIsPresent(t *testing.T) {
	held := born(2000, beat("a", 70, Serving))
	took := observed(new(Successions), held, time.Minute, growing, longAgo)
	if took <= LateWithin || took > LateWithin+testPause {
		t.Fatalf("present after %v", took)
	}
}

// Guards against late or forged words that displace an upstream which runs, or bring back
// a life that has ended.
func TestLateAndForgedWordsAreNoPresentLife(t *testing.T) {
	held := born(2000, beat("a", 70, Serving))
	for name, test := range map[string]struct {
		span  time.Duration
		word  func(i int) Upstream
		heard func(at time.Time) time.Time
	}{
		"late words":                     {LateWithin, growing, longAgo},
		"beside a life that runs":        {time.Minute, growing, func(at time.Time) time.Time { return at.Add(-time.Second) }},
		"beside one heard now and again": {time.Minute, growing, func(at time.Time) time.Time { return at.Truncate(9 * time.Second) }},
		"one word again and again":       {time.Minute, func(int) Upstream { return growing(0) }, longAgo},
		"a count that does not grow":     {time.Minute, func(i int) Upstream { return growing(100 - i) }, longAgo},
		"another birth each time": {time.Minute, func(i int) Upstream {
			return born(uint64(1000+i), beat("a", uint64(i), Serving))
		}, longAgo},
		"another service": {time.Minute, func(i int) Upstream {
			u := growing(i)
			u.Service = "other"
			return u
		}, longAgo},
		"a farewell between": {time.Minute, func(i int) Upstream {
			u := growing(i)
			if i == 4 {
				u.State = Gone
			}
			return u
		}, longAgo},
		"serving after leaving": {time.Minute, func(i int) Upstream {
			u := growing(i)
			if i == 4 {
				u.State = Leaving
			}
			return u
		}, longAgo},
	} {
		if took := observed(new(Successions), held, test.span, test.word, test.heard); took > 0 {
			t.Errorf("%s: present after %v", name, took)
		}
	}
}

// Guards against a pause in which the life under observation may have ended: its late
// words begin the observation anew.
func TestWordsAcrossAPauseDontBelongTogether(t *testing.T) {
	var s Successions
	held, at := born(2000, beat("a", 70, Serving)), time.Unix(1000, 0)
	for i := range 60 {
		at = at.Add(testPause + time.Millisecond)
		if s.Receive(growing(i), held, time.Time{}, at, testPause) {
			t.Fatalf("present after %d words", i+1)
		}
	}
}

// Guards against late words of one life that hold up the observation of another.
func TestLateWordsOfAnotherLifeDontHoldUpTheObservation(t *testing.T) {
	var s Successions
	held, at := born(2000, beat("a", 70, Serving)), time.Unix(1000, 0)
	for i := range 20 {
		at = at.Add(1200 * time.Millisecond)
		if s.Receive(growing(i), held, time.Time{}, at, testPause) {
			return
		}
		s.Receive(born(500, beat("a", uint64(900+i), Serving)), held, time.Time{}, at, testPause)
	}
	t.Fatal("the present life was never found")
}

// Guards against forged names that take up memory without bound.
func TestObservedLivesAreBounded(t *testing.T) {
	var s Successions
	at := time.Unix(1000, 0)
	for i := range 2 * maxSuccessors {
		id := fmt.Sprint(i)
		s.Receive(born(1000, beat(id, 1, Serving)), born(2000, beat(id, 1, Serving)), time.Time{}, at, testPause)
	}
	if len(s.successors) != maxSuccessors {
		t.Errorf("%d lives are observed", len(s.successors))
	}
	s.Receive(born(1000, beat("a", 1, Serving)), born(2000, beat("a", 1, Serving)), time.Time{}, at.Add(testPause+1), testPause)
	if len(s.successors) != 1 {
		t.Errorf("%d lives are observed after a pause", len(s.successors))
	}
}

// Guards against hosts that differ on which life is present, or fall back to the one
// that is over: all take the same words in the same order, some from a snapshot.
func TestSuccessionIsTheSameOnAllHosts(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 1))
	one, other := New(), New()
	births := []uint64{1000, 2000, 3000}
	for step := range 3000 {
		u := born(births[random.IntN(3)], beat("a", uint64(random.IntN(50)), State(1+random.IntN(3))))
		if held, known := one.Get("a"); known && random.IntN(3) == 0 {
			u.Follows = []uint64{held.StartedMs, 2000, held.Former}[random.IntN(3)]
			if one.Outdated(u) && u.Follows == held.StartedMs {
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
		if held.Follows != 0 || held.Former != 0 && held.Former <= held.StartedMs || !slices.Contains(births, held.StartedMs) {
			t.Fatalf("step %d: known is %+v", step, held)
		}
		if again, _ := other.Get("a"); !same(&again, &held) || again.Former != held.Former {
			t.Fatalf("step %d: %+v and %+v", step, held, again)
		}
	}
}

// Guards against words of the life that is over, which was born later: they would take
// the place of the present one again.
func TestWordsOfTheLifeThatIsOverChangeNothing(t *testing.T) {
	r := New()
	r.Announce(born(2000, loaded(5, beat("a", 70, Leaving))))
	now := born(1000, loaded(1, beat("a", 9, Serving)))
	now.Follows = 2000
	if !r.Announce(now) {
		t.Fatal("the present life changed nothing")
	}
	for _, late := range []Upstream{
		born(2000, loaded(5, beat("a", 71, Serving))), born(2000, beat("a", 72, Leaving)), born(2000, Upstream{ID: "a", State: Gone}),
	} {
		if !r.Outdated(late) || r.Announce(late) {
			t.Errorf("%v of the life that is over changed something", late.State)
		}
	}
	u, _ := r.Get("a")
	if now.Follows = 0; !same(&u, &now) || u.Former != 2000 {
		t.Errorf("known is %+v", u)
	}
	for _, next := range []uint64{1500, 3000} {
		if !r.Announce(born(next, beat("a", 1, Serving))) {
			t.Errorf("birth %d after 1000 changed nothing", next)
		}
	}
}
