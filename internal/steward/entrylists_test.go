package steward

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/internal/port"
)

// Guards against a leader that loses its leadership because it sends the list of hundreds of
// entries in each answer to each control host. A list stays valid until it is sent again, and a
// new leader sends it immediately.
func TestEntryListsAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		quiet := log.New(io.Discard)
		lead := func() *leadership {
			s := &Steward{machine: NewMachine(), relay: newRelayState(NewMachine(), newSharedIndex(), quiet)}
			l := &leadership{steward: s, since: time.Now(), watchers: newWatchers(quiet)}
			view := readyEntry(1)
			l.recordWatcher(entryPeer("e1"), &WatchRequest{Entry: &view}, time.Now())
			return l
		}
		relay := port.Peer{Host: "c2", Role: "control"}
		b := newRelayState(NewMachine(), newSharedIndex(), quiet)
		sent := 0
		watch := func(l *leadership, term uint64) {
			now := time.Now()
			answer := &WatchAnswer{Term: term}
			if answer.EntriesUnchanged = l.entriesSentRecently(relay, l.watchers.entries(now), now); !answer.EntriesUnchanged {
				answer.Entries = l.watchers.entries(now)
				sent++
			}
			b.apply(answer, now, now)
			if got := b.entries(now); len(got) != 1 || got[0].Host != "e1" {
				t.Fatalf("%v are known", got)
			}
		}
		first := lead()
		for range 25 {
			watch(first, 1)
			time.Sleep(40 * time.Millisecond)
		}
		if sent > 6 {
			t.Errorf("the entries were sent %d times in a second", sent)
		}
		watch(lead(), 2)
		if first.entriesSentRecently(entryPeer("e1"), nil, time.Now()) {
			t.Error("the list counts as sent to an entry")
		}
	})
}

// Guards against a leader that loses a relay's entries because the relay sends them only when
// they change: a new leader has received none.
func TestRelayedEntriesAreSentOnChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		quiet := log.New(io.Discard)
		relay := port.Peer{Host: "c2", Role: "control"}
		b := newRelayState(NewMachine(), newSharedIndex(), quiet)
		leader := newWatchers(quiet)
		sent := 0
		watch := func() int {
			now := time.Now()
			view := readyEntry(1)
			b.recordWatcher(entryPeer("e1"), &WatchRequest{Entry: &view}, now)
			request := &WatchRequest{Relay: true}
			b.addRelayedEntries(request, now)
			sent += len(request.RelayedEntries)
			leader.record(relay, request, now)
			b.latest.RelayedRevision = leader.relayedRevision(relay.Host)
			time.Sleep(relayWait)
			return len(leader.entries(now))
		}
		for range 20 {
			if watch() != 1 {
				t.Fatal("the entry is not known")
			}
		}
		if sent > 2 {
			t.Errorf("sent %d times in 20 requests", sent)
		}
		leader = newWatchers(quiet)
		watch()
		if watch() != 1 {
			t.Error("a new leader does not know the entry")
		}
	})
}
