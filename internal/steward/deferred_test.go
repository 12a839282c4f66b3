package steward

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/roster"
)

// Guards against unbounded announcements on a host without a leader, against an older
// announcement that replaces a later one, and against another service under an ID that is
// waiting.
func TestDeferredAnnouncementsAreBoundedAndLatest(t *testing.T) {
	var w deferredAnnouncements
	announcement := func(id, service string, sequence, startedMs uint64) roster.Upstream {
		return roster.Upstream{ID: id, Service: service, State: roster.Serving, Sequence: sequence, StartedMs: startedMs}
	}
	w.add(announcement("u", "llm", 5, 1))
	for _, u := range []roster.Upstream{announcement("u", "llm", 4, 1), announcement("u", "llm", 9, 0), announcement("u", "llm", 7, 1)} {
		w.add(u)
	}
	if w.add(announcement("u", "nobody", 90, 2)) != nil {
		t.Error("an announcement of another service was accepted under the ID")
	}
	if list := w.take(); len(list) != 1 || list[0].upstream.Sequence != 7 {
		t.Errorf("%d announcements wait", len(list))
	}
	for i := range maxDeferred {
		w.add(announcement(fmt.Sprint(i), "llm", 1, 1))
	}
	if w.add(announcement("one more", "llm", 1, 1)) != nil {
		t.Error("an announcement beyond the bound was accepted")
	}
	for range maxDeferred/maxBatch - 1 {
		w.take()
	}
	if last := w.take(); len(last) != maxBatch || len(w.byID) != 0 {
		t.Errorf("%d in the last batch, %d left", len(last), len(w.byID))
	}
	earlier := &deferredAnnouncement{upstream: announcement("u", "llm", 1, 1), receivedAt: time.Now(), done: make(chan struct{})}
	w.add(announcement("u", "llm", 2, 1))
	w.requeue(earlier)
	if list := w.take(); len(list) != 1 || list[0].upstream.Sequence != 2 {
		t.Error("an earlier announcement replaced a later one")
	}
}

// Guards against upstreams that get late answers while there is no leader, turn to the next
// host and keep all of them busy; and against a host that is cut off from the leader and keeps
// acknowledging announcements that never reach a leader.
func TestServingIsAcknowledgedWithoutLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Steward{relay: newRelayState(NewMachine(), newSharedIndex(), nil), startedAt: time.Now()}
		s.machine = s.relay.machine
		u := runner(1000, 1, 1)
		began := time.Now()
		if accepted, err := s.deferAnnouncement(context.Background(), u); !accepted || err != nil || time.Since(began) > ackTimeout {
			t.Errorf("accepted %v after %v: %v", accepted, time.Since(began), err)
		}
		if len(s.deferred.take()) != 1 {
			t.Error("the announcement was acknowledged and dropped")
		}
		if !s.mayDefer(time.Now()) {
			t.Error("an announcement was refused while the group forms")
		}
		time.Sleep(deferAtStart)
		if s.mayDefer(time.Now()) {
			t.Error("acknowledged by a host that never had contact with a leader")
		}
		s.relay.apply(&WatchAnswer{Term: 1}, time.Now(), time.Now())
		for _, c := range []struct {
			after time.Duration
			may   bool
		}{{0, true}, {deferWithoutLeader, true}, {time.Millisecond, false}} {
			time.Sleep(c.after)
			if got := s.mayDefer(time.Now()); got != c.may {
				t.Errorf("after %v more: %v", c.after, got)
			}
		}
	})
}

// Guards against an upstream that ended during an outage of the leader and is recorded as
// serving afterwards, because its deferred announcement is delivered as if it had just arrived.
func TestExpiredDeferredAnnouncementsAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var w deferredAnnouncements
		u := runner(1000, 1, 1)
		announcement := w.add(u)
		for range 20 {
			time.Sleep(time.Second)
			for _, waiting := range w.take() {
				w.requeue(waiting)
			}
		}
		if list := w.take(); len(list) != 0 {
			t.Errorf("an announcement from %v ago was delivered", 20*time.Second)
		}
		u.Sequence++
		if again := w.add(u); again == nil || again == announcement || len(w.take()) != 1 {
			t.Error("the upstream's next announcement was not accepted")
		}
	})
}
