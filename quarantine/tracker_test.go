package quarantine

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

func fingerprintOf(name string) Fingerprint {
	r := Request{Team: "growers", Target: name}
	return r.Fingerprint()
}

func crashOf(upstream string, names ...string) Crash {
	crash := Crash{Incarnation: Incarnation{Upstream: upstream}}
	for _, name := range names {
		crash.Fingerprints = append(crash.Fingerprints, fingerprintOf(name))
	}
	return crash
}

// One request crashes upstream after upstream, failing other requests that are then
// retried on the next upstream. Only the request that was in flight at every crash
// may be quarantined.
func TestRequestAtEveryCrashIsQuarantined(t *testing.T) {
	cases := []struct {
		name        string
		crashes     []Crash
		quarantined []string
	}{
		{"two crashes may be chance", []Crash{crashOf("a", "bad", "x"), crashOf("b", "bad")}, nil},
		{"three crashes", []Crash{crashOf("a", "bad", "x"), crashOf("b", "bad", "y"), crashOf("c", "bad")}, []string{"bad"}},
		{"the same crash reported by two entries", []Crash{crashOf("a", "bad"), crashOf("a", "bad", "x"), crashOf("b", "bad")}, nil},
		{"another incarnation of the same upstream", []Crash{crashOf("a", "bad"), crashOf("b", "bad"), {Incarnation: Incarnation{"a", 7}, Fingerprints: []Fingerprint{fingerprintOf("bad")}}}, []string{"bad"}},
		{"another request at three of four crashes", []Crash{crashOf("a", "bad"), crashOf("b", "bad", "x"), crashOf("c", "bad", "x"), crashOf("d", "bad", "x")}, []string{"bad"}},
		{"another request at the same three crashes", []Crash{crashOf("a", "bad", "x"), crashOf("b", "bad", "x"), crashOf("c", "bad", "x")}, nil},
		{"a fourth crash distinguishes two requests", []Crash{crashOf("a", "bad", "x"), crashOf("b", "bad", "x"), crashOf("c", "bad", "x"), crashOf("d", "bad")}, []string{"bad"}},
		{"two requests that crash different upstreams", []Crash{
			crashOf("a", "bad"), crashOf("b", "worse"), crashOf("c", "bad"), crashOf("d", "worse"), crashOf("e", "bad", "worse"), crashOf("f", "worse"),
		}, []string{"bad", "worse"}},
		{"a complete rack with all its requests", []Crash{crashOf("a", "x", "y"), crashOf("b", "z"), crashOf("c", "u", "v"), crashOf("d", "x")}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tr := NewTracker()
			for _, crash := range c.crashes {
				tr.AddCrashes(crash)
			}
			var want []Fingerprint
			for _, name := range c.quarantined {
				want = append(want, fingerprintOf(name))
			}
			slices.SortFunc(want, func(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) })
			if !slices.Equal(tr.Quarantined(), want) {
				t.Fatalf("quarantined %v, want %v", tr.Quarantined(), want)
			}
		})
	}
}

// A caller varies its request, and each variant crashes different upstreams. Another
// request was retried on two upstreams of each variant, so that it was in flight at
// more crashes than any of them. If it were blamed first, it would explain their
// crashes: the variants would still be sent, and only the other request quarantined.
func TestInnocentRequestExcusesNoVariant(t *testing.T) {
	tr := NewTracker()
	for _, crash := range []Crash{
		crashOf("a", "bad", "x"), crashOf("b", "bad", "x"), crashOf("c", "worse", "x"), crashOf("d", "worse", "x"),
		crashOf("e", "bad"), crashOf("f", "worse"),
	} {
		tr.AddCrashes(crash)
	}
	for name, quarantined := range map[string]bool{"bad": true, "worse": true, "x": false} {
		if slices.Contains(tr.Quarantined(), fingerprintOf(name)) != quarantined {
			t.Errorf("quarantined %q: %t, want %t", name, !quarantined, quarantined)
		}
	}
}

// Two requests crash the same upstreams by chance, and then different ones. The
// crashes that one explains must not excuse the other: the first crash at which each
// is the only candidate decides.
func TestSharedCrashesExcuseNeitherRequest(t *testing.T) {
	tr := NewTracker()
	for i := range 3 {
		tr.AddCrashes(crashOf(fmt.Sprint("both-", i), "bad", "worse"))
	}
	crashed := map[string]int{"bad": 3, "worse": 3}
	for n := range 20 {
		name := []string{"bad", "worse"}[n%2]
		if slices.Contains(tr.Quarantined(), fingerprintOf(name)) {
			continue
		}
		crashed[name]++
		tr.AddCrashes(crashOf(fmt.Sprint("one-", n), name))
	}
	for name, crashes := range crashed {
		if crashes > CrashThreshold+1 || !slices.Contains(tr.Quarantined(), fingerprintOf(name)) {
			t.Errorf("%d upstreams crashed under the request %q, which must be quarantined after at most %d", crashes, name, CrashThreshold+1)
		}
	}
}

// Many callers send the same request, and three upstreams are lost while it is in
// flight; the next one serves it. A request that is served completely has crashed no
// upstream.
func TestServedRequestsAreCleared(t *testing.T) {
	tr := NewTracker()
	for _, name := range []string{"a", "b", "c"} {
		tr.AddCrashes(crashOf(name, "poll"))
	}
	if len(tr.Quarantined()) != 1 {
		t.Fatal("the request is not quarantined before it is served")
	}
	before := tr.Revision()
	tr.Served(fingerprintOf("poll"))
	if len(tr.Quarantined())+len(tr.Suspects()) != 0 || tr.Revision() == before {
		t.Fatalf("quarantined %v, suspects %v, revision %d after %d", tr.Quarantined(), tr.Suspects(), tr.Revision(), before)
	}
}

// A request whose crashes a quarantined one explains is no suspect; one that was in
// flight at two other crashes is.
func TestSuspects(t *testing.T) {
	tr := NewTracker()
	for _, crash := range []Crash{crashOf("a", "bad", "x"), crashOf("b", "bad", "x"), crashOf("c", "bad"), crashOf("d", "y"), crashOf("e", "y")} {
		tr.AddCrashes(crash)
	}
	if !slices.Equal(tr.Quarantined(), []Fingerprint{fingerprintOf("bad")}) || !slices.Equal(tr.Suspects(), []Fingerprint{fingerprintOf("y")}) {
		t.Fatalf("quarantined %v, suspects %v", tr.Quarantined(), tr.Suspects())
	}
}

// Removing a crash releases the requests that were quarantined for it, and a Tracker
// stays bounded for any input.
func TestForgetAndBounds(t *testing.T) {
	tr := NewTracker()
	for i := range 3 {
		tr.AddCrashes(crashOf(fmt.Sprint(i), "bad"))
	}
	tr.Forget(Incarnation{Upstream: "0"})
	if len(tr.Quarantined()) != 0 || !slices.Equal(tr.Suspects(), []Fingerprint{fingerprintOf("bad")}) {
		t.Fatalf("quarantined %v, suspects %v", tr.Quarantined(), tr.Suspects())
	}
	crowd := Crash{Incarnation: Incarnation{Upstream: "crowd"}}
	for n := range 2 * MaxFingerprints {
		crowd.Fingerprints = append(crowd.Fingerprints, fingerprintOf(fmt.Sprint("one of many ", n)))
	}
	tr.AddCrashes(crowd)
	if len(tr.counts) != 1+MaxFingerprints {
		t.Fatalf("%d requests are recorded", len(tr.counts))
	}
	for i := range 2 * MaxCrashes {
		tr.AddCrashes(crashOf(fmt.Sprint("more-", i), fmt.Sprint("x", i)))
	}
	if len(tr.Incarnations()) != MaxCrashes || len(tr.counts) != MaxCrashes {
		t.Fatalf("%d crashes and %d requests are recorded", len(tr.Incarnations()), len(tr.counts))
	}
}

// A Tracker restored from saved state derives the same as one that received all
// updates.
func TestRestoredTrackersAgree(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 1))
		tr, restored := NewTracker(), NewTracker()
		for range 60 {
			switch p := fmt.Sprint("p", r.IntN(12)); r.IntN(8) {
			case 0:
				tr.Served(fingerprintOf(p))
			case 1:
				tr.Forget(Incarnation{Upstream: fmt.Sprint(r.IntN(20))})
			default:
				tr.AddCrashes(crashOf(fmt.Sprint(r.IntN(20)), p, fmt.Sprint("p", r.IntN(12))))
			}
			restored.Restore(tr.Save())
			if !slices.Equal(tr.Quarantined(), restored.Quarantined()) || !slices.Equal(tr.Suspects(), restored.Suspects()) || tr.Revision() != restored.Revision() {
				t.Fatalf("seed %d: quarantined %v, after a restore %v", seed, tr.Quarantined(), restored.Quarantined())
			}
			for p, n := range tr.counts {
				inFlight := 0
				for _, crash := range tr.crashes {
					if slices.Contains(crash.Fingerprints, p) {
						inFlight++
					}
				}
				if inFlight != n || n == 0 {
					t.Fatalf("seed %d: the count of a request is %d, but %d recorded crashes contain it", seed, n, inFlight)
				}
			}
		}
	}
}

// BenchmarkEnded measures one crash while a third of a fleet of 130 upstreams is lost
// with eight requests each, and one crash in a Tracker that is full.
func BenchmarkEnded(b *testing.B) {
	for _, size := range []struct{ incarnations, fingerprints, distinct int }{{43, 8, 344}, {MaxCrashes, MaxFingerprints, 8192}} {
		b.Run(fmt.Sprintf("%d crashes of %d", size.incarnations, size.fingerprints), func(b *testing.B) {
			tr := NewTracker()
			next := 0
			newCrash := func(i int) Crash {
				crash := Crash{Incarnation: Incarnation{Upstream: fmt.Sprint(i)}}
				for range size.fingerprints {
					crash.Fingerprints = append(crash.Fingerprints, fingerprintOf(fmt.Sprint(next%size.distinct)))
					next++
				}
				return crash
			}
			for i := range size.incarnations - 1 {
				tr.AddCrashes(newCrash(i))
			}
			last := newCrash(size.incarnations)
			b.ResetTimer()
			for b.Loop() {
				tr.AddCrashes(last)
				tr.Forget(last.Incarnation)
			}
		})
	}
}
