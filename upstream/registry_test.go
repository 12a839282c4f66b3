package upstream

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

var testStart = time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC)

var testPool = EnginePool(ident.Cell{Model: "m", DataCentre: "d"}, "v1", "")

func testRegistry(t testing.TB, opts Options) *Registry {
	t.Helper()
	r, err := NewRegistry(opts)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func engine(name ident.Upstream, incarnation ident.Incarnation) Announcement {
	return Announcement{
		Upstream:    name,
		Incarnation: incarnation,
		Kind:        Engine,
		Address:     "127.0.0.1:1",
		DataCentre:  "d",
		Models:      []Loaded{{Model: "m", Version: "v1"}},
		Lease:       10 * time.Second,
		Slots:       8,
	}
}

func announce(t testing.TB, r *Registry, now time.Time, a Announcement) AnnounceResult {
	t.Helper()
	result, err := r.Announce(now, a)
	if err != nil {
		t.Fatalf("announce %q: %v", a.Upstream, err)
	}
	return result
}

func offers(r *Registry, now time.Time, name ident.Upstream) bool {
	_, ok := r.Candidate(now, testPool, name)
	return ok
}

func testRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func TestPickReturnsLeastLoadedOfSample(t *testing.T) {
	r := testRegistry(t, Options{})
	for _, name := range []ident.Upstream{"a", "b", "c"} {
		announce(t, r, testStart, engine(name, 1))
	}
	now := testStart.Add(time.Millisecond)
	r.Report(now, Report{Upstream: "a", Incarnation: 1, MeasuredAt: now, Running: 5})
	r.Report(now, Report{Upstream: "b", Incarnation: 1, MeasuredAt: now, Running: 1})
	r.Report(now, Report{Upstream: "c", Incarnation: 1, MeasuredAt: now, Running: 9})
	got := r.Pick(now, testRandom(), testPool, 3, nil)
	if len(got) != 3 || got[0].Upstream != "b" || got[2].Upstream != "c" {
		t.Fatalf("picked %+v, want three with b first and c last", got)
	}
}

func TestOlderIncarnationIsRefused(t *testing.T) {
	r := testRegistry(t, Options{})
	announce(t, r, testStart, engine("a", 2))
	if got := announce(t, r, testStart, engine("a", 1)); got != Refused {
		t.Fatalf("older incarnation: result %d, want Refused", got)
	}
	if !offers(r, testStart, "a") {
		t.Fatal("the newer incarnation is not offered")
	}
}
