package steward

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/internal/port"
)

// Guards against a leader of hundreds of entries that has no time left to lead: it listed
// all of them in each answer to each control host. What a host was told stands until it is
// told again, and another leader tells it all at once.
func TestControlHostsAreToldTheEntriesNowAndThen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		quiet := log.New(io.Discard)
		lead := func() *leadership {
			s := &Steward{machine: NewMachine(), branch: newBranch(NewMachine(), newSharedBook(), quiet)}
			l := &leadership{steward: s, since: time.Now(), watchers: newWatchers(quiet)}
			view := readyEntry(1)
			l.follow(entryPeer("e1"), &WatchRequest{Entry: &view}, time.Now())
			return l
		}
		relay := port.Peer{Host: "c2", Role: "control"}
		b := newBranch(NewMachine(), newSharedBook(), quiet)
		told := 0
		ask := func(l *leadership, term uint64) {
			now := time.Now()
			answer := &WatchAnswer{Term: term}
			if answer.EntriesUnchanged = l.toldLists(relay, l.watchers.entries(now), now); !answer.EntriesUnchanged {
				answer.Entries = l.watchers.entries(now)
				told++
			}
			b.take(answer, now, now)
			if got := b.entries(now); len(got) != 1 || got[0].Host != "e1" {
				t.Fatalf("%v are known", got)
			}
		}
		first := lead()
		for range 25 {
			ask(first, 1)
			time.Sleep(40 * time.Millisecond)
		}
		if told > 6 {
			t.Errorf("the entries were told %d times in a second", told)
		}
		ask(lead(), 2)
		if first.toldLists(entryPeer("e1"), nil, time.Now()) {
			t.Error("an entry counts as told")
		}
	})
}

// Guards against a leader that loses a host's entries, because the host tells them only
// when they change: a new leader was told none.
func TestALeaderIsToldTheEntriesOfAHostOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		quiet := log.New(io.Discard)
		relay := port.Peer{Host: "c2", Role: "control"}
		b := newBranch(NewMachine(), newSharedBook(), quiet)
		leader := newWatchers(quiet)
		told := 0
		ask := func() int {
			now := time.Now()
			view := readyEntry(1)
			b.follow(entryPeer("e1"), &WatchRequest{Entry: &view}, now)
			request := &WatchRequest{Relay: true}
			b.listBelow(request, now)
			told += len(request.RelayedEntries)
			leader.follow(relay, request, now)
			b.told.RelayedRevision = leader.belowAt(relay.Host)
			time.Sleep(relayWait)
			return len(leader.entries(now))
		}
		for range 20 {
			if ask() != 1 {
				t.Fatal("the entry is not known")
			}
		}
		if told > 2 {
			t.Errorf("told %d times in 20 questions", told)
		}
		leader = newWatchers(quiet)
		ask()
		if ask() != 1 {
			t.Error("a new leader does not know the entry")
		}
	})
}
