package steward

import (
	"context"
	"errors"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/evacuation"
	"github.com/lovagereach/lovagereach/internal/wire"
)

// evacuate sends an order to any host until it is acknowledged.
func (f *testGroup) evacuate(o evacuation.Order) {
	f.t.Helper()
	f.await("an acknowledgement", func() bool { return f.any().Evacuate(context.Background(), o) == nil })
}

// evacuatedAt reports whether a data centre is evacuated in a host's state.
func evacuatedAt(s *Steward, dataCentre string) bool {
	view := s.machine.evacuated()
	return view.Evacuated(dataCentre)
}

// Guards against an acknowledged evacuation that is lost: with the leader's disk, by a
// change of leaders, or when all hosts are killed at once.
func TestEvacuationsSurviveLostDisksAndRestarts(t *testing.T) {
	f := newTestGroup(t)
	f.startThree()
	f.put(1, "one")
	north, south := evacuation.Order{DataCentre: "north"}, evacuation.Order{DataCentre: "south"}
	f.evacuate(north)
	f.evacuate(south)
	f.evacuate(evacuation.Order{DataCentre: "south", Withdrawn: true})
	var lead *Steward
	f.await("a leader", func() bool { lead = f.leader(); return lead != nil })
	host := lead.options.Self
	f.kill(host)
	wiped := f.start(host, "empty", false)
	f.await("the wiped host has the evacuation", func() bool { return evacuatedAt(wiped, "north") && !evacuatedAt(wiped, "south") })
	f.evacuate(north)
	f.stopAll()
	for i := 1; i <= 3; i++ {
		folder := "disk" + string(rune('0'+i))
		if hostName(i) == host {
			folder = "empty"
		}
		f.start(hostName(i), folder, false)
	}
	f.await("a leader that has the evacuation", func() bool {
		l := f.leader()
		return l != nil && evacuatedAt(l, "north") && !evacuatedAt(l, "south")
	})
}

// Guards against a snapshot that drops evacuations.
func TestSnapshotIncludesEvacuations(t *testing.T) {
	m, again := NewMachine(), NewMachine()
	m.Apply(1, wire.MustMarshal(command{Evacuate: &evacuation.Order{DataCentre: "north"}}))
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := again.Restore(data); err != nil {
		t.Fatal(err)
	}
	if view := again.evacuated(); !view.Evacuated("north") || again.currentRevisions() != m.currentRevisions() {
		t.Errorf("restored %+v", view)
	}
}

// Guards against invalid orders that are retried indefinitely, and against orders that are
// refused because a data centre is new.
func TestUnknownDataCentresAreRefused(t *testing.T) {
	f := newTestGroup(t)
	f.startThree()
	f.put(1, "one")
	s := f.any()
	s.options.DataCentres = []string{"south"}
	if err := s.Evacuate(context.Background(), evacuation.Order{DataCentre: "west"}); !errors.Is(err, ErrInvalid) {
		t.Errorf("unknown: %v", err)
	}
	f.announce(s, runner(1000, 1, 1))
	f.await("its data centre", func() bool { return slices.Contains(s.dataCentres(), "north") })
	f.await("an acknowledgement", func() bool {
		return s.Evacuate(context.Background(), evacuation.Order{DataCentre: "north"}) == nil
	})
}

// Guards against an acknowledgement before the order is in force at an entry that watches the
// group, and against one that never comes because an entry has ended.
func TestEvacuationAwaitsEveryEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		l := &leadership{since: now.Add(-time.Minute), watchers: newWatchers(log.New(io.Discard))}
		behind := func(revision uint64) func(*EntryView) bool {
			return func(v *EntryView) bool { return v.Evacuation < revision }
		}
		watch := func(host string, held uint64) {
			l.recordWatcher(entryPeer(host), &WatchRequest{Entry: &EntryView{Host: host}, Evacuation: held}, time.Now())
		}
		watch("e1", 3)
		watch("e2", 2)
		if err := l.awaitInForce(context.Background(), behind(3)); !errors.Is(err, ErrUnavailable) {
			t.Errorf("one entry is behind: %v", err)
		}
		if took := time.Since(now); took > inForceWait+50*time.Millisecond {
			t.Errorf("returned after %v", took)
		}
		go func() {
			time.Sleep(200 * time.Millisecond)
			watch("e1", 3)
			watch("e2", 3)
		}()
		if err := l.awaitInForce(context.Background(), behind(3)); err != nil {
			t.Errorf("all have it: %v", err)
		}
		watch("e1", 4)
		time.Sleep(watcherTTL + time.Millisecond)
		watch("e1", 4)
		if err := l.awaitInForce(context.Background(), behind(4)); err != nil {
			t.Errorf("an entry that has ended: %v", err)
		}
		// A relay reports the revisions of the entries that watch it; an entry that turned from
		// one relay to another counts with the lower of its two revisions.
		l.recordWatcher(entryPeer("c2"), &WatchRequest{Relay: true, RelayedEntries: []EntryView{{Host: "e1", Evacuation: 3}}}, time.Now())
		if late := l.watchers.countIf(behind(4), time.Now()); late != 1 {
			t.Errorf("%d behind", late)
		}
		l.since = time.Now()
		if err := l.awaitInForce(context.Background(), behind(1)); !errors.Is(err, ErrUnavailable) {
			t.Errorf("a new leader, before the entries have called: %v", err)
		}
	})
}

// Guards against full load on a data centre that is used again while its upstreams are cold.
func TestUpstreamsAreColdAfterEvacuationIsWithdrawn(t *testing.T) {
	m := NewMachine()
	d := testDocument(1, "one")
	d.Services[0].ColdStart, d.Services[0].ColdPerS = 3*time.Second, 22
	m.Apply(1, wire.MustMarshal(command{Document: d}))
	u := runner(1000, 5, 1)
	m.Apply(2, wire.MustMarshal(command{Upstream: &u}))
	order := evacuation.Order{DataCentre: "north"}
	m.Apply(3, wire.MustMarshal(command{Evacuate: &order}))
	if cold := m.coldUpstreams(); len(cold) != 0 {
		t.Errorf("%v before the withdrawal", cold)
	}
	order.Withdrawn = true
	m.Apply(4, wire.MustMarshal(command{Evacuate: &order}))
	if cold := m.coldUpstreams(); len(cold) != 1 || cold[0].PerSecond != 22 {
		t.Errorf("%v after the withdrawal", cold)
	}
}
