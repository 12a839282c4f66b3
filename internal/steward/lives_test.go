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

func runner(born uint64, sequence uint64, version uint64) roster.Upstream {
	return roster.Upstream{ID: "i-1", Service: "llm", Address: "10.0.0.1:80", DataCentre: "north", State: roster.Serving, Slots: 4,
		Sequence: sequence, Loaded: []roster.Loaded{{Model: "m", Version: version}}, StartedMs: born}
}

// announce tells a host of an upstream until it gives an answer that is certain.
func (f *fleet) announce(s *Steward, u roster.Upstream) (foreign bool) {
	f.await("an answer to an announcement", func() bool {
		err := s.Announce(context.Background(), u)
		foreign = errors.Is(err, ErrForeignWriter)
		return err == nil || foreign
	})
	return foreign
}

func (f *fleet) known(s *Steward, what string, holds func(u roster.Upstream) bool) {
	f.t.Helper()
	f.await(what, func() bool { u, known := s.machine.upstream("i-1"); return known && holds(u) })
}

// Callers lose a good runner: another writer announces it for a service that no
// configuration names, or without the birth that runners tell here, also as if it
// had started again. Such words are refused by every host and change nothing; one
// that names nobody known is kept, for its configuration may be on its way.
func TestWordsOfOtherWritersTakeNoRunnerOut(t *testing.T) {
	f := newFleet(t)
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
	unnamed, reborn, birthless := good, good, good
	unnamed.Service, unnamed.Sequence = "nobody", 90
	reborn.Service, reborn.StartedMs = "nobody", 3000
	birthless.StartedMs, birthless.Sequence, birthless.State = 0, 91, roster.Leaving
	heard := time.Now()
	for _, s := range []*Steward{lead, other} {
		for _, bad := range []roster.Upstream{unnamed, reborn, birthless} {
			if !f.announce(s, bad) {
				t.Errorf("%+v was taken in", bad)
			}
		}
	}
	f.known(lead, "the good runner", func(u roster.Upstream) bool {
		return u.Service == "llm" && u.State == roster.Serving && u.StartedMs == 2000
	})
	lead.leading.Load().mu.Lock()
	if at := lead.leading.Load().beats["i-1"]; at.After(heard) {
		t.Error("a word of another writer counted as a sign of life")
	}
	lead.leading.Load().mu.Unlock()
	early := unnamed
	early.ID, early.Address = "i-2", "10.0.0.2:80"
	early.StartedMs = 9000
	if f.announce(other, early) {
		t.Error("a runner whose configuration is on its way was refused")
	}
	own := runner(2000, 1, 1)
	own.ID, own.Address = early.ID, early.Address
	if f.announce(other, own) {
		t.Error("a runner's own word was refused after another writer's")
	}
	f.await("its own word", func() bool { u, _ := lead.machine.upstream("i-2"); return u.Service == "llm" && u.StartedMs == 2000 })
}

// A runner crashes behind a cut and starts again under its name with old weights.
// Late words of before must neither stand for a sign of its life nor undo it.
func TestRunnerThatStartsAgainIsKnownByItsNewLife(t *testing.T) {
	f := newFleet(t)
	f.startThree()
	f.put(1, "one")
	var lead *Steward
	f.await("a leader", func() bool { lead = f.leader(); return lead != nil })
	f.announce(lead, runner(1000, 70, 5))
	f.announce(lead, runner(2000, 1, 1))
	f.known(lead, "the new life", func(u roster.Upstream) bool { return u.StartedMs == 2000 && u.VersionOf("m") == 1 && u.Sequence == 1 })
	l := lead.leading.Load()
	l.mu.Lock()
	delete(l.beats, "i-1")
	l.mu.Unlock()
	late := runner(1000, 71, 5)
	f.announce(lead, late)
	late.State = roster.Gone
	f.announce(lead, late)
	f.known(lead, "the new life after late words", func(u roster.Upstream) bool { return u.State == roster.Serving && u.VersionOf("m") == 1 })
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, heard := l.beats["i-1"]; heard {
		t.Error("a word of the former life counted as a sign of this one")
	}
}

// What the cache of the former life held is forgotten when the runner is known to
// have started again, also while nobody could ask the cache itself.
func TestCacheOfAFormerLifeIsForgotten(t *testing.T) {
	f := newFleet(t)
	f.startThree()
	f.put(1, "one")
	var lead *Steward
	f.await("a leader", func() bool { lead = f.leader(); return lead != nil })
	part := cacheindex.Change{Key: cacheindex.Key{Salt: "m.1", Part: "p"}, Tokens: runnerLeast}
	f.stores.add(part)
	u := runner(1000, 7, 1)
	f.announce(lead, u)
	holds := func() bool {
		lead.book.mu.Lock()
		defer lead.book.mu.Unlock()
		return lead.book.book.ReadableTokens(u.Address, part.Key) > 0
	}
	f.await("the cache is followed", holds)
	f.stores.mu.Lock()
	f.stores.down = true
	f.stores.mu.Unlock()
	f.announce(lead, runner(2000, 1, 1))
	f.await("the cache is forgotten", func() bool { return !holds() })
}

// Runners tell no births here. Another writer announces one, with a birth, for a
// service that no configuration names. Taken for the custom of the place, all
// runners' own words would be refused from then on, and callers have none left.
func TestABirthOfNoNamedServiceMakesNobodyForeign(t *testing.T) {
	m := NewMachine()
	m.Apply(1, wire.MustMarshal(command{Document: testDocument(1, "one")}))
	service := m.Document().Services[0].Name
	announce := func(id, service string, born uint64) word {
		u := roster.Upstream{ID: id, Service: service, Address: id + ":80", State: roster.Serving, Sequence: 1, StartedMs: born}
		got := m.hear(u)
		if got == ownWord {
			m.Apply(2, wire.MustMarshal(command{Upstream: &u}))
		}
		return got
	}
	if announce("a", service, 0) != ownWord || announce("stranger", "nobody", 2000) != ownWord || announce("b", service, 0) != ownWord {
		t.Fatal("a runner's own word is refused")
	}
	if announce("c", service, 3000) != ownWord || announce("d", service, 0) != foreignWord {
		t.Fatal("where a runner tells its birth, a word without one is another writer's")
	}
}
