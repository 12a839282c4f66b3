package steward

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/cacheindex"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/roster"
)

// Guards against a leader whose machine was suspended within its lease, and that tells
// entries after it woke that its word is fresh, or gives orders, though another host has
// acknowledged a later configuration meanwhile.
func TestALeaderThatWasSuspendedIsNotCertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const away = 3 * time.Second
		suspended := time.Duration(0)
		l := testLeadership(1)
		l.steward.options.Clock = func() time.Time { return time.Now().Add(suspended) }
		l.steward.meter = newMeter(l.steward)
		l.steward.leading.Store(l)
		var replica port.Replica = &stoodStill{term: l.elected, end: time.Now().Add(electionMin)}
		l.steward.opened.Store(&replica)
		heard := func() time.Duration {
			request := &WatchRequest{Entry: &EntryView{Host: "e1"}, Direct: true}
			return l.steward.watch(t.Context(), entryPeer("e1"), request).StateAge
		}
		if age := heard(); !l.certain() || age != 0 {
			t.Fatalf("within its lease: certain %v, word %v old", l.certain(), age)
		}
		suspended = away
		if age, least := heard(), away-electionMin; l.certain() || age < least {
			t.Errorf("after %v: certain %v, word %v old, want %v at least", away, l.certain(), age, least)
		}
	})
}

// Guards against a control host that passes on, after its machine was suspended, what the
// leader told it before as if it were fresh.
func TestWhatWasToldBeforeASuspensionIsNotPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		suspended := time.Duration(0)
		b := newBranch(NewMachine(), newSharedBook(), log.New(io.Discard))
		b.clock = func() time.Time { return time.Now().Add(suspended) }
		s := &Steward{machine: b.machine, book: b.book, branch: b, options: Options{Clock: b.clock}}
		b.take(relayingAnswer(3), b.now(), b.now())
		request := &WatchRequest{Entry: &EntryView{Host: "e1"}, Term: 3}
		if from, _ := s.bulletin(request); from != bulletin(b) {
			t.Fatal("not passed on while it is fresh")
		}
		suspended = 2 * branchFresh
		if from, _ := s.bulletin(request); from != nil {
			t.Error("passed on after a suspension")
		}
		if s.takesBeat(&roster.Upstream{State: roster.Serving}, time.Now()) {
			t.Error("takes announcements on its own after a suspension")
		}
		if age := b.heardAge(b.at(time.Now())); age != 2*branchFresh {
			t.Errorf("the leader was heard %v ago", age)
		}
	})
}

// Guards against entries that rely on the shelves of a host past its lease: another one
// may lead, and free parts of which this one tells that they stand whole.
func TestShelvesAreToldAsOldAsTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := testLeadership(1)
		l.steward.meter = newMeter(l.steward)
		l.steward.leading.Store(l)
		var replica port.Replica = &stoodStill{term: l.elected, end: time.Now().Add(electionMin)}
		l.steward.opened.Store(&replica)
		for _, past := range []time.Duration{0, 400 * time.Millisecond} {
			time.Sleep(time.Until(replica.Status().LeaseEnd.Add(past)))
			request := &WatchRequest{Entry: &EntryView{Host: "e1"}, Direct: true, Inventories: &cacheindex.Query{}}
			answer := l.steward.watch(t.Context(), entryPeer("e1"), request)
			if answer.Redirect || answer.InventoryAge != past || answer.StateAge != past {
				t.Errorf("%v past its lease: shelves %v old, the rest %v", past, answer.InventoryAge, answer.StateAge)
			}
			b := newBranch(NewMachine(), newSharedBook(), log.New(io.Discard))
			b.take(answer, time.Now().Add(-answer.InventoryAge), time.Now())
			if age := b.heardAge(b.now()); age != past {
				t.Errorf("%v past its lease another host takes its word as %v old", past, age)
			}
		}
	})
}

// Guards against parts of one host that go by different clocks: a lease that is counted on
// one and checked by another may never be held, or never end.
func TestAHostCountsAndChecksItsLeaseByOneClock(t *testing.T) {
	f := newFleet(t)
	const ahead = time.Hour
	f.clock = func() time.Time { return time.Now().Add(ahead) }
	f.startThree()
	f.put(1, "one")
	f.await("a leader is certain, and its lease is on its clock", func() bool {
		lead := f.leader()
		if lead == nil {
			return false
		}
		l := lead.leading.Load()
		if l == nil || !l.certain() {
			return false
		}
		left := time.Until(l.steward.replica().Status().LeaseEnd) - ahead
		if left > electionMin || left < -time.Minute {
			t.Fatalf("the lease ends %v from now", left+ahead)
		}
		return true
	})
	f.await("another host follows it by that clock", func() bool {
		for _, m := range f.running {
			b := m.steward.branch
			if m.steward.leading.Load() == nil && b.hasHeard() && b.fresh(b.now()) {
				age := b.heardAge(b.now())
				return age >= 0 && age < time.Minute
			}
		}
		return false
	})
}
