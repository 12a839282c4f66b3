package steward

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/roster"
)

// Guards against upstreams that count as silent between two announcements where these are
// seconds apart: callers get nothing from them, and every entry is told thousands of names
// in each answer.
func TestUpstreamsAreSilentByTheirOwnInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, every := range []time.Duration{0, time.Second, 5 * time.Second} {
			l := testLeadership()
			l.announcing = announcing(every)
			interval := max(every, DefaultAnnounceEvery)
			if every > 0 {
				interval = every
			}
			var ids []string
			for i := range 100 {
				ids = append(ids, fmt.Sprint("u", i))
				l.beat(ids[i], time.Now())
			}
			time.Sleep(2 * interval)
			if silent := l.silentOf(ids, time.Now()); len(silent) != 0 {
				t.Errorf("announced every %v: %d are silent after one lost announcement", every, len(silent))
			}
			time.Sleep(interval)
			if silent := l.silentOf(ids, time.Now()); len(silent) != 100 {
				t.Errorf("announced every %v: %d of 100 are silent after three intervals", every, len(silent))
			}
		}
	})
}

// Guards against answers that repeat who is silent: with a data centre's upstreams lost,
// thousands of names to a thousand entries several times a second.
func TestWhoIsSilentIsToldOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := testLeadership(1)
		l.steward.meter = newMeter(l.steward)
		l.steward.leading.Store(l)
		time.Sleep(2 * l.announcing.silentAfter())
		request := &WatchRequest{Entry: &EntryView{Host: "e1"}, Document: 1, Roster: l.steward.machine.held().roster}
		first := l.steward.watch(t.Context(), entryPeer("e1"), request)
		if len(first.Silent) != 1 || first.SilentAt == 0 {
			t.Fatalf("told %v at %d", first.Silent, first.SilentAt)
		}
		request.Term, request.SilentAt = first.Term, first.SilentAt
		if again := l.steward.watch(t.Context(), entryPeer("e1"), request); again.Silent != nil || again.SilentAt != first.SilentAt {
			t.Errorf("told again: %v", again.Silent)
		}
		l.beat("a", time.Now())
		time.Sleep(silentEvery)
		if heard := l.steward.watch(t.Context(), entryPeer("e1"), request); heard.SilentAt == first.SilentAt || len(heard.Silent) != 0 {
			t.Errorf("not told that it is heard: %v at %d", heard.Silent, heard.SilentAt)
		}
	})
}

// manyUpstreams announces n upstreams to a machine.
func manyUpstreams(m *Machine, n int) {
	words := make([]roster.Upstream, n)
	for i := range words {
		words[i] = roster.Upstream{
			ID: fmt.Sprintf("i-%010x", i), Service: "llm", Address: fmt.Sprintf("10.1.%d.%d:8389", i/250, i%250), DataCentre: "north",
			State: roster.Serving, Slots: 8, Sequence: 1, StartedMs: 1777679230518, Loaded: []roster.Loaded{{Model: "m", Version: 1}},
		}
	}
	m.applyUpstreams(words)
}
