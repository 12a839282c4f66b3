package steward

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/roster"
)

// Guards against upstreams that count as silent between two announcements when the interval is
// several seconds: they would get no requests, and each answer would carry thousands of IDs to
// every entry.
func TestSilenceFollowsAnnounceInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, every := range []time.Duration{0, time.Second, 5 * time.Second} {
			l := testLeadership()
			l.announceEvery = announceInterval(every)
			interval := max(every, DefaultAnnounceEvery)
			if every > 0 {
				interval = every
			}
			var ids []string
			for i := range 100 {
				ids = append(ids, fmt.Sprint("u", i))
				l.recordContact(ids[i], time.Now())
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

// Guards against answers that repeat the list of silent upstreams: if a data centre's upstreams
// are lost, that sends thousands of IDs to a thousand entries several times a second.
func TestSilentListIsSentOncePerRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := testLeadership(1)
		l.steward.counters = newControlMetrics(l.steward)
		l.steward.leading.Store(l)
		time.Sleep(2 * l.announceEvery.silentAfter())
		request := &WatchRequest{Entry: &EntryView{Host: "e1"}, Document: 1, Roster: l.steward.machine.currentRevisions().roster}
		first := l.steward.watch(t.Context(), entryPeer("e1"), request)
		if len(first.Silent) != 1 || first.SilentRevision == 0 {
			t.Fatalf("silent %v at revision %d", first.Silent, first.SilentRevision)
		}
		request.Term, request.SilentRevision = first.Term, first.SilentRevision
		if again := l.steward.watch(t.Context(), entryPeer("e1"), request); again.Silent != nil || again.SilentRevision != first.SilentRevision {
			t.Errorf("sent again: %v", again.Silent)
		}
		l.recordContact("a", time.Now())
		time.Sleep(silentEvery)
		if answer := l.steward.watch(t.Context(), entryPeer("e1"), request); answer.SilentRevision == first.SilentRevision || len(answer.Silent) != 0 {
			t.Errorf("the contact was not reported: silent %v at %d", answer.Silent, answer.SilentRevision)
		}
	})
}

// announceUpstreams announces n upstreams to a machine.
func announceUpstreams(m *Machine, n int) {
	announcements := make([]roster.Upstream, n)
	for i := range announcements {
		announcements[i] = roster.Upstream{
			ID: fmt.Sprintf("i-%010x", i), Service: "llm", Address: fmt.Sprintf("10.1.%d.%d:8389", i/250, i%250), DataCentre: "north",
			State: roster.Serving, Slots: 8, Sequence: 1, StartedMs: 1777679230518, Loaded: []roster.Loaded{{Model: "m", Version: 1}},
		}
	}
	m.applyUpstreams(announcements)
}
