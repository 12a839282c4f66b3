package upstream

import (
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// checkInvariants fails if the indices of a registry disagree.
func checkInvariants(t *testing.T, r *Registry, now time.Time) {
	t.Helper()
	places := 0
	for name, i := range r.index {
		s := &r.slots[i]
		if !s.used || s.announced.Upstream != name || s.timer.slot != i || r.timers[s.timer.position] != s.timer {
			t.Fatalf("index of %q points to %+v", name, s)
		}
		if !now.Before(r.goneAt(s)) || s.listing == offered && (s.draining || !now.Before(r.quietAt(s))) {
			t.Fatalf("%q is listed %d though draining %v or silent", name, s.listing, s.draining)
		}
		for _, at := range s.places {
			places++
			if at.pool.lists[s.listing][at.position] != i || r.pools[at.pool.key] != at.pool {
				t.Fatalf("%q is not at its place in %+v", name, at.pool.key)
			}
		}
	}
	for key, p := range r.pools {
		size := len(p.lists[offered]) + len(p.lists[setAside])
		places -= size
		if size == 0 || len(p.lists[offered]) == 0 {
			t.Fatalf("pool %+v offers nobody of %d", key, size)
		}
	}
	if places != 0 || len(r.timers) != len(r.index) || len(r.departures.left) > len(r.departures.queue) {
		t.Fatalf("%d places too many, %d timers for %d upstreams", places, len(r.timers), len(r.index))
	}
}

// FuzzRegistry applies any sequence of announcements, words, reports and
// results. The indices must agree after each and nothing silent or leaving may
// be offered.
func FuzzRegistry(f *testing.F) {
	f.Add([]byte{0, 1, 0, 0, 1, 1, 0, 0, 3, 0, 1, 4, 4, 0, 1, 9, 5, 0, 1, 9, 2, 0, 0, 0})
	f.Add([]byte{0, 0, 0, 0, 0, 1, 0, 0, 0, 2, 0, 0, 6, 0, 200, 0, 0, 0, 1, 0, 1, 1, 0, 9})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := testRegistry(t, Options{MaxUpstreams: 5, MaxInFlight: 8, Health: HealthOptions{Consecutive: 1}})
		random := testRandom()
		now := epoch
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
