package steward

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/roster"
)

// A runner would get no more requests if the leader took it for silent. It announces
// itself to a control host near it, which passes on that it was heard, and nothing of
// what the leader knows already. That it leaves is a promise, and is acknowledged only
// once a quorum knows; and a host that is cut off from the leader acknowledges nothing.
func TestAnnouncementsEndAtTheHostThatHearsThem(t *testing.T) {
	f := newFleet(t)
	f.startThree()
	f.put(1, "one")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range entriesAlone + 1 {
		f.followAs(ctx, fmt.Sprint("e", i))
	}
	var near *Steward
	f.await("a host that answers watches for the leader", func() bool {
		lead := f.leader()
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, m := range f.running {
			if lead != nil && m.steward != lead && len(m.steward.branch.relays()) > 0 && m.steward.branch.fresh(time.Now()) {
				near = m.steward
			}
		}
		return near != nil
	})
	u := roster.Upstream{ID: "u1", Service: "llm", Address: "10.0.0.1:80", DataCentre: "north", State: roster.Serving, Slots: 4, Sequence: 1, StartedMs: 5}
	f.await("the first announcement", func() bool { return near.Announce(ctx, u) == nil })
	f.await("it is known here", func() bool { return near.takesBeat(&u, time.Now()) })
	if to := near.AnnounceTo(u.ID, "north"); to == near.Leader() {
		t.Errorf("runners are to announce themselves to the leader, with %d other hosts", len(near.branch.relays()))
	}
	lead := f.leader().leading.Load()
	heard := func() time.Time {
		lead.mu.Lock()
		defer lead.mu.Unlock()
		return lead.beats[u.ID]
	}
	before := time.Now()
	revision := near.machine.held().roster
	for range 3 {
		u.Sequence++
		if err := near.Announce(ctx, u); err != nil {
			t.Fatal(err)
		}
	}
	f.await("the leader learns that it was heard", func() bool { return !heard().Before(before.Add(-time.Millisecond)) })
	if near.machine.held().roster != revision {
		t.Error("an announcement that changes nothing was committed")
	}
	u.State = roster.Leaving
	f.await("the leaving is acknowledged", func() bool { return near.Announce(ctx, u) == nil })
	if at := f.leader().machine.live(); !slices.ContainsFunc(at, func(r roster.Upstream) bool { return r.ID == u.ID && r.State == roster.Leaving }) {
		t.Errorf("acknowledged, and the leader holds %+v", at)
	}
	other := roster.Upstream{ID: "u2", Service: "llm", Address: "10.0.0.2:80", DataCentre: "north", State: roster.Serving, Slots: 4, Sequence: 1, StartedMs: 6}
	f.await("another announcement", func() bool { return near.Announce(ctx, other) == nil })
	f.await("it is known here too", func() bool { return near.takesBeat(&other, time.Now()) })
	if near.takesBeat(&other, time.Now().Add(2*branchFresh)) {
		t.Error("a host that has not heard from the leader lately acknowledges announcements")
	}
}
