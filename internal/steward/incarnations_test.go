package steward

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/cacheindex"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/roster"
)

func runner(startedMs uint64, sequence uint64, version uint64) roster.Upstream {
	return roster.Upstream{ID: "i-1", Service: "llm", Address: "10.0.0.1:80", DataCentre: "north", State: roster.Serving, Slots: 4,
		Sequence: sequence, Loaded: []roster.Loaded{{Model: "m", Version: version}}, StartedMs: startedMs}
}

// announce sends an announcement to a host until the outcome is certain.
func (f *testGroup) announce(s *Steward, u roster.Upstream) (foreign bool) {
	f.await("an answer to an announcement", func() bool {
		err := s.Announce(context.Background(), u)
		foreign = errors.Is(err, ErrForeignWriter)
		return err == nil || foreign
	})
	return foreign
}

// awaitRunner waits until a host has the runner i-1 in a state.
func (f *testGroup) awaitRunner(s *Steward, what string, holds func(u roster.Upstream) bool) {
	f.t.Helper()
	f.await(what, func() bool { u, known := s.machine.upstream("i-1"); return known && holds(u) })
}

// Another writer announces a working runner for a service that isn't configured, or without the
// start time that runners report here, also as if it had restarted. Guards against losing the
// runner: every host refuses such announcements and they change nothing. One for an unknown ID
// is kept, since its configuration may be in flight.
func TestForeignAnnouncementsAreRefused(t *testing.T) {
	f := newTestGroup(t)
	f.startThree()
	f.put(1, "one")
	var lead, other *Steward
	f.await("a leader", func() bool { lead = f.leader(); return lead != nil })
	for _, m := range f.running {
		if m.steward != lead {
			other = m.steward
		}
	}
	good := runner(2000, 5, 1)
	f.announce(other, good)
	unknownService, restarted, noStartTime := good, good, good
	unknownService.Service, unknownService.Sequence = "nobody", 90
	restarted.Service, restarted.StartedMs = "nobody", 3000
	noStartTime.StartedMs, noStartTime.Sequence, noStartTime.State = 0, 91, roster.Leaving
	before := time.Now()
	for _, s := range []*Steward{lead, other} {
		for _, bad := range []roster.Upstream{unknownService, restarted, noStartTime} {
			if !f.announce(s, bad) {
				t.Errorf("%+v was accepted", bad)
			}
		}
	}
	f.awaitRunner(lead, "the good runner", func(u roster.Upstream) bool {
		return u.Service == "llm" && u.State == roster.Serving && u.StartedMs == 2000
	})
	lead.leading.Load().mu.Lock()
	if at := lead.leading.Load().lastContacts["i-1"]; at.After(before) {
		t.Error("an announcement of another writer counted as a contact")
	}
	lead.leading.Load().mu.Unlock()
	early := unknownService
	early.ID, early.Address = "i-2", "10.0.0.2:80"
	early.StartedMs = 9000
	if f.announce(other, early) {
		t.Error("a runner whose configuration is in flight was refused")
	}
	own := runner(2000, 1, 1)
	own.ID, own.Address = early.ID, early.Address
	if f.announce(other, own) {
		t.Error("a runner's own announcement was refused after another writer's")
	}
	f.await("its own announcement", func() bool { u, _ := lead.machine.upstream("i-2"); return u.Service == "llm" && u.StartedMs == 2000 })
}

// A runner crashes behind a network partition and restarts under its ID with old weights. Stale
// announcements must neither count as a contact nor overwrite the new state.
func TestStaleAnnouncementsDoNotAffectRestartedRunner(t *testing.T) {
	f := newTestGroup(t)
	f.startThree()
	f.put(1, "one")
	var lead *Steward
	f.await("a leader", func() bool { lead = f.leader(); return lead != nil })
	f.announce(lead, runner(1000, 70, 5))
	f.announce(lead, runner(2000, 1, 1))
	f.awaitRunner(lead, "the new incarnation", func(u roster.Upstream) bool { return u.StartedMs == 2000 && u.VersionOf("m") == 1 && u.Sequence == 1 })
	l := lead.leading.Load()
	l.mu.Lock()
	delete(l.lastContacts, "i-1")
	l.mu.Unlock()
	stale := runner(1000, 71, 5)
	f.announce(lead, stale)
	stale.State = roster.Gone
	f.announce(lead, stale)
	f.awaitRunner(lead, "the new incarnation after stale announcements", func(u roster.Upstream) bool { return u.State == roster.Serving && u.VersionOf("m") == 1 })
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, found := l.lastContacts["i-1"]; found {
		t.Error("an announcement of the previous incarnation counted as a contact of the present one")
	}
}

// The cache contents of the previous incarnation are dropped when the runner is known to have
// restarted, even while the cache itself can't be queried.
func TestCacheOfPreviousIncarnationIsDropped(t *testing.T) {
	f := newTestGroup(t)
	f.startThree()
	f.put(1, "one")
	var lead *Steward
	f.await("a leader", func() bool { lead = f.leader(); return lead != nil })
	part := cacheindex.Change{Key: cacheindex.Key{Salt: "m.1", Part: "p"}, Tokens: minCachedTokens}
	f.stores.add(part)
	u := runner(1000, 7, 1)
	f.announce(lead, u)
	holds := func() bool {
		lead.index.mu.Lock()
		defer lead.index.mu.Unlock()
		return lead.index.index.ReadableTokens(u.Address, part.Key) > 0
	}
	f.await("the cache is followed", holds)
	f.stores.mu.Lock()
	f.stores.down = true
	f.stores.mu.Unlock()
	f.announce(lead, runner(2000, 1, 1))
	f.await("the cache is dropped", func() bool { return !holds() })
}

// Runners report no start times here. Another writer announces one, with a start time, for a
// service that isn't configured. Guards against refusing all runners' own announcements from
// then on.
func TestStartTimeOfUnknownServiceIsIgnored(t *testing.T) {
	m := NewMachine()
	m.Apply(1, wire.MustMarshal(command{Document: testDocument(1, "one")}))
	service := m.Document().Services[0].Name
	announce := func(id, service string, startedMs uint64) announcementKind {
		u := roster.Upstream{ID: id, Service: service, Address: id + ":80", State: roster.Serving, Sequence: 1, StartedMs: startedMs}
		got := m.classify(u)
		if got == currentAnnouncement {
			m.Apply(2, wire.MustMarshal(command{Upstream: &u}))
		}
		return got
	}
	if announce("a", service, 0) != currentAnnouncement || announce("stranger", "nobody", 2000) != currentAnnouncement || announce("b", service, 0) != currentAnnouncement {
		t.Fatal("a runner's own announcement is refused")
	}
	if announce("c", service, 3000) != currentAnnouncement || announce("d", service, 0) != foreignAnnouncement {
		t.Fatal("once a runner reports its start time, an announcement without one must count as another writer's")
	}
}
