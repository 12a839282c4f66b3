package upstream

import (
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// checkInvariants fails the test if the indices of a registry are inconsistent.
func checkInvariants(t *testing.T, r *Registry, now time.Time) {
	t.Helper()
	memberships := 0
	for name, i := range r.index {
		s := &r.slots[i]
		if !s.used || s.announced.Upstream != name || s.timer.slot != i || r.timers[s.timer.position] != s.timer {
			t.Fatalf("index of %q points to %+v", name, s)
		}
		if !now.Before(r.removalDeadline(s)) || s.listKind == offeredList && (s.draining || !now.Before(r.contactDeadline(s))) {
			t.Fatalf("%q is in list %d although draining (%v) or silent", name, s.listKind, s.draining)
		}
		for _, m := range s.memberships {
			memberships++
			if m.pool.lists[s.listKind][m.position] != i || r.pools[m.pool.key] != m.pool {
				t.Fatalf("%q is not at its recorded position in %+v", name, m.pool.key)
			}
		}
	}
	for key, p := range r.pools {
		size := len(p.lists[offeredList]) + len(p.lists[ejectedList])
		memberships -= size
		if size == 0 || len(p.lists[offeredList]) == 0 {
			t.Fatalf("pool %+v offers none of its %d upstreams", key, size)
		}
	}
	if memberships != 0 || len(r.timers) != len(r.index) || len(r.departures.departed) > len(r.departures.queue) {
		t.Fatalf("%d memberships too many, %d timers for %d upstreams", memberships, len(r.timers), len(r.index))
	}
}

// FuzzRegistry applies arbitrary sequences of announcements, departures, reports
// and results. After each step the indices must be consistent, and no silent or
// leaving upstream may be offered.
func FuzzRegistry(f *testing.F) {
	f.Add([]byte{0, 1, 0, 0, 1, 1, 0, 0, 3, 0, 1, 4, 4, 0, 1, 9, 5, 0, 1, 9, 2, 0, 0, 0})
	f.Add([]byte{0, 0, 0, 0, 0, 1, 0, 0, 0, 2, 0, 0, 6, 0, 200, 0, 0, 0, 1, 0, 1, 1, 0, 9})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := testRegistry(t, Options{MaxUpstreams: 5, MaxInFlight: 8, Health: HealthOptions{Consecutive: 1}})
		random := testRandom()
		now := testStart
		for ; len(data) >= 4; data = data[4:] {
			name := ident.Upstream([]string{"a", "b", "c", "d", "e", "f", "g"}[data[1]%7])
			incarnation := ident.Incarnation(data[2] % 3)
			now = now.Add(time.Duration(data[3]) * 30 * time.Millisecond)
			id := Attempt{Number: uint32(data[2] % 16)}
			switch data[0] % 8 {
			case 0, 1:
				a := leased(engine(name, incarnation), time.Duration(1+data[2])*100*time.Millisecond)
				a.Leaving = data[0]%8 == 1 && data[3]%2 == 0
				a.Models = append(a.Models, Loaded{Model: "m", Version: ident.Version([]string{"v1", "v2"}[data[3]%2])})
				_, _ = r.Announce(now, a)
			case 2:
				r.MergeDepartures(now, []Departure{{Upstream: name, Incarnation: incarnation}})
			case 3:
				r.Report(now, Report{Upstream: name, Incarnation: incarnation, MeasuredAt: now, Running: int(int8(data[3]))})
			case 4:
				r.Dispatch(now, id, name, int64(data[3]))
			case 5:
				r.Finish(now, id, Result(data[3]%5))
			case 6:
				r.FirstToken(id)
			case 7:
				for _, c := range r.Pick(now, random, testPool, int(data[2]%4), nil) {
					if c.Score <= 0 || c.Load.Requests < 0 {
						t.Fatalf("candidate %+v", c)
					}
				}
			}
			r.Advance(now)
			checkInvariants(t, r, now)
		}
	})
}
