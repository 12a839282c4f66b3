package quarantine

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

func printOf(name string) Fingerprint {
	r := Request{Team: "growers", Target: name}
	return r.Fingerprint()
}

func endOf(upstream string, names ...string) Crash {
	e := Crash{Life: Incarnation{Upstream: upstream}}
	for _, name := range names {
		e.Prints = append(e.Prints, printOf(name))
	}
	return e
}

// One request ends upstream after upstream, and takes others with it that are repeated
// to the next. Only the one that stood at every end may be held.
func TestWhoStoodAtEveryEndIsHeld(t *testing.T) {
	cases := []struct {
		name string
		ends []Crash
		held []string
	}{
		{"two ends may be chance", []Crash{endOf("a", "bad", "x"), endOf("b", "bad")}, nil},
		{"three ends", []Crash{endOf("a", "bad", "x"), endOf("b", "bad", "y"), endOf("c", "bad")}, []string{"bad"}},
		{"the same end told by two entries", []Crash{endOf("a", "bad"), endOf("a", "bad", "x"), endOf("b", "bad")}, nil},
		{"another life under the same name", []Crash{endOf("a", "bad"), endOf("b", "bad"), {Life: Incarnation{"a", 7}, Prints: []Fingerprint{printOf("bad")}}}, []string{"bad"}},
		{"one that was repeated to three of four", []Crash{endOf("a", "bad"), endOf("b", "bad", "x"), endOf("c", "bad", "x"), endOf("d", "bad", "x")}, []string{"bad"}},
		{"one that stood at the same three", []Crash{endOf("a", "bad", "x"), endOf("b", "bad", "x"), endOf("c", "bad", "x")}, nil},
		{"which the fourth tells apart", []Crash{endOf("a", "bad", "x"), endOf("b", "bad", "x"), endOf("c", "bad", "x"), endOf("d", "bad")}, []string{"bad"}},
		{"two that end upstreams of their own", []Crash{
			endOf("a", "bad"), endOf("b", "worse"), endOf("c", "bad"), endOf("d", "worse"), endOf("e", "bad", "worse"), endOf("f", "worse"),
		}, []string{"bad", "worse"}},
		{"a whole rack with all its requests", []Crash{endOf("a", "x", "y"), endOf("b", "z"), endOf("c", "u", "v"), endOf("d", "x")}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := NewTracker()
			for _, e := range c.ends {
				l.Ended(e)
			}
			var want []Fingerprint
			for _, name := range c.held {
				want = append(want, printOf(name))
			}
			slices.SortFunc(want, func(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) })
			if !slices.Equal(l.Quarantined(), want) {
				t.Fatalf("held %v, want %v", l.Quarantined(), want)
			}
		})
	}
}

// A caller varies its request, and each variant ends upstreams of its own. A request
// beside them was repeated to two of each, so that it stood at more ends than any of them.
// Blamed first it excused them all: they were sent on, and it alone was held.
func TestOneBesideSeveralExcusesNone(t *testing.T) {
	l := NewTracker()
	for _, e := range []Crash{
		endOf("a", "bad", "x"), endOf("b", "bad", "x"), endOf("c", "worse", "x"), endOf("d", "worse", "x"),
		endOf("e", "bad"), endOf("f", "worse"),
	} {
		l.Ended(e)
	}
	for name, held := range map[string]bool{"bad": true, "worse": true, "x": false} {
		if slices.Contains(l.Quarantined(), printOf(name)) != held {
			t.Errorf("held %q: %t, want %t", name, !held, held)
		}
	}
}

// Two requests end the same upstreams by chance, and then others each. The ends that one
// explains must not excuse the other: the first end that each has alone decides.
func TestNoRequestExcusesAnotherForLong(t *testing.T) {
	l := NewTracker()
	for i := range 3 {
		l.Ended(endOf(fmt.Sprint("both-", i), "bad", "worse"))
	}
	ended := map[string]int{"bad": 3, "worse": 3}
	for n := range 20 {
		name := []string{"bad", "worse"}[n%2]
		if slices.Contains(l.Quarantined(), printOf(name)) {
			continue
		}
		ended[name]++
		l.Ended(endOf(fmt.Sprint("one-", n), name))
	}
	for name, ends := range ended {
		if ends > CrashThreshold+1 || !slices.Contains(l.Quarantined(), printOf(name)) {
			t.Errorf("%d upstreams ended under the request %q, want at most %d", ends, name, CrashThreshold+1)
		}
	}
}

// Many callers ask the same, and three upstreams are lost with it under way: it is
// served by the next. A request that runs to a good end ends nobody.
func TestServedRequestsAreCleared(t *testing.T) {
	l := NewTracker()
	for _, name := range []string{"a", "b", "c"} {
		l.Ended(endOf(name, "poll"))
	}
	if len(l.Quarantined()) != 1 {
		t.Fatal("the case is not what it says")
	}
	before := l.Revision()
	l.Served(printOf("poll"))
	if len(l.Quarantined())+len(l.Suspects()) != 0 || l.Revision() == before {
		t.Fatalf("held %v, suspected %v, revision %d after %d", l.Quarantined(), l.Suspects(), l.Revision(), before)
	}
}

// A request that one held request explains is no suspect, and one that stood at two
// ends without it is.
func TestSuspects(t *testing.T) {
	l := NewTracker()
	for _, e := range []Crash{endOf("a", "bad", "x"), endOf("b", "bad", "x"), endOf("c", "bad"), endOf("d", "y"), endOf("e", "y")} {
		l.Ended(e)
	}
	if !slices.Equal(l.Quarantined(), []Fingerprint{printOf("bad")}) || !slices.Equal(l.Suspects(), []Fingerprint{printOf("y")}) {
		t.Fatalf("held %v, suspected %v", l.Quarantined(), l.Suspects())
	}
}

// An end that is forgotten releases who was held for it, and ledgers stay bounded
// whatever comes.
func TestEndsAreForgottenAndBounded(t *testing.T) {
	l := NewTracker()
	for i := range 3 {
		l.Ended(endOf(fmt.Sprint(i), "bad"))
	}
	l.Forget(Incarnation{Upstream: "0"})
	if len(l.Quarantined()) != 0 || !slices.Equal(l.Suspects(), []Fingerprint{printOf("bad")}) {
		t.Fatalf("held %v, suspected %v", l.Quarantined(), l.Suspects())
	}
	crowd := Crash{Life: Incarnation{Upstream: "crowd"}}
	for n := range 2 * MaxFingerprints {
		crowd.Prints = append(crowd.Prints, printOf(fmt.Sprint("one of many ", n)))
	}
	l.Ended(crowd)
	if len(l.counts) != 1+MaxFingerprints {
		t.Fatalf("%d requests are remembered", len(l.counts))
	}
	for i := range 2 * MaxCrashes {
		l.Ended(endOf(fmt.Sprint("more-", i), fmt.Sprint("x", i)))
	}
	if len(l.Incarnations()) != MaxCrashes || len(l.counts) != MaxCrashes {
		t.Fatalf("%d ends and %d requests are remembered", len(l.Incarnations()), len(l.counts))
	}
}

// Hosts that restore a snapshot judge as those that took in the log.
func TestRestoredLedgersJudgeAlike(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 1))
		l, restored := NewTracker(), NewTracker()
		for range 60 {
			switch p := fmt.Sprint("p", r.IntN(12)); r.IntN(8) {
			case 0:
				l.Served(printOf(p))
			case 1:
				l.Forget(Incarnation{Upstream: fmt.Sprint(r.IntN(20))})
			default:
				l.Ended(endOf(fmt.Sprint(r.IntN(20)), p, fmt.Sprint("p", r.IntN(12))))
			}
			restored.Restore(l.Save())
			if !slices.Equal(l.Quarantined(), restored.Quarantined()) || !slices.Equal(l.Suspects(), restored.Suspects()) || l.Revision() != restored.Revision() {
				t.Fatalf("seed %d: held %v and %v", seed, l.Quarantined(), restored.Quarantined())
			}
			for p, n := range l.counts {
				stood := 0
				for _, e := range l.ends {
					if slices.Contains(e.Prints, p) {
						stood++
					}
				}
				if stood != n || n == 0 {
					t.Fatalf("seed %d: counted %d ends, %d are remembered", seed, n, stood)
				}
			}
		}
	}
}

// The cost of one end while a third of a fleet of 130 is lost with eight requests
// each, and that of a ledger as full as it can be.
func BenchmarkEnded(b *testing.B) {
	for _, size := range []struct{ lives, prints, of int }{{43, 8, 344}, {MaxCrashes, MaxFingerprints, 8192}} {
		b.Run(fmt.Sprintf("%d ends of %d", size.lives, size.prints), func(b *testing.B) {
			l := NewTracker()
			next := 0
			end := func(i int) Crash {
				e := Crash{Life: Incarnation{Upstream: fmt.Sprint(i)}}
				for range size.prints {
					e.Prints = append(e.Prints, printOf(fmt.Sprint(next%size.of)))
					next++
				}
				return e
			}
			for i := range size.lives - 1 {
				l.Ended(end(i))
			}
			last := end(size.lives)
			b.ResetTimer()
			for b.Loop() {
				l.Ended(last)
				l.Forget(last.Life)
			}
		})
	}
}
