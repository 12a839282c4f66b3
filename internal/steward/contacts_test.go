package steward

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/roster"
)

// Guards against a runner that gets no more requests because the leader considers it silent. It
// announces itself to a control host near it, which forwards only the contact if nothing
// changed. The acknowledgement of a departure promises the runner that entries will stop sending
// it work, so it is sent only once a quorum has the departure; and a host that is cut off from
// the leader acknowledges nothing.
func TestUnchangedAnnouncementsAreAbsorbed(t *testing.T) {
	f := newTestGroup(t)
	f.startThree()
	f.put(1, "one")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range maxDirectEntries + 1 {
		f.followAs(ctx, fmt.Sprint("e", i))
	}
	var near *Steward
	f.await("a host that answers watches for the leader", func() bool {
		lead := f.leader()
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, m := range f.running {
			if lead != nil && m.steward != lead && len(m.steward.relay.relays()) > 0 && m.steward.relay.fresh(time.Now()) {
				near = m.steward
			}
		}
		return near != nil
	})
	u := roster.Upstream{ID: "u1", Service: "llm", Address: "10.0.0.1:80", DataCentre: "north", State: roster.Serving, Slots: 4, Sequence: 1, StartedMs: 5}
	f.await("the first announcement", func() bool { return near.Announce(ctx, u) == nil })
	f.await("it is known here", func() bool { return near.absorbsAnnouncement(&u, time.Now()) })
	if to := near.AnnounceTo(u.ID, "north"); to == near.Leader() {
		t.Errorf("AnnounceTo returns the leader although there are %d relays", len(near.relay.relays()))
	}
	lead := f.leader().leading.Load()
	lastContact := func() time.Time {
		lead.mu.Lock()
		defer lead.mu.Unlock()
		return lead.lastContacts[u.ID]
	}
	// By the leader's clock, which leaves out the time for which the process did not run.
	before := lead.clock.at(time.Now())
	revision := near.machine.currentRevisions().roster
	for range 3 {
		u.Sequence++
		if err := near.Announce(ctx, u); err != nil {
			t.Fatal(err)
		}
	}
	f.await("the contact reaches the leader", func() bool { return !lastContact().Before(before.Add(-time.Millisecond)) })
	if near.machine.currentRevisions().roster != revision {
		t.Error("an announcement that changes nothing was committed")
	}
	u.State = roster.Leaving
	f.await("the departure is acknowledged", func() bool { return near.Announce(ctx, u) == nil })
	if at := f.leader().machine.live(); !slices.ContainsFunc(at, func(r roster.Upstream) bool { return r.ID == u.ID && r.State == roster.Leaving }) {
		t.Errorf("acknowledged, and the leader holds %+v", at)
	}
	other := roster.Upstream{ID: "u2", Service: "llm", Address: "10.0.0.2:80", DataCentre: "north", State: roster.Serving, Slots: 4, Sequence: 1, StartedMs: 6}
	f.await("another announcement", func() bool { return near.Announce(ctx, other) == nil })
	f.await("it is known here too", func() bool { return near.absorbsAnnouncement(&other, time.Now()) })
	if near.absorbsAnnouncement(&other, time.Now().Add(2*relayFreshness)) {
		t.Error("a host without a recent answer of the leader absorbs announcements")
	}
}
