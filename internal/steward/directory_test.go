package steward

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
)

// listedEntries returns the entries that a host lists to callers.
func listedEntries(s *Steward) map[string]bool {
	list := make(map[string]bool)
	for _, address := range s.Addresses("north", 64) {
		list[address] = true
	}
	return list
}

func readyEntry(i int) EntryView {
	host := fmt.Sprint("e", i)
	return EntryView{Host: host, DataCentre: "north", Callers: host + ":80", Ready: true}
}

// Guards against callers that receive the address of an entry long after it was killed: from
// the leader, from a host that follows the leader, and from one whose leader has become silent.
func TestDirectoryDropsEndedEntries(t *testing.T) {
	const entries, bound = 12, 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		quiet := log.New(io.Discard)
		l := &leadership{since: time.Now(), watchers: newWatchers(quiet)}
		lead := &Steward{relay: newRelayState(NewMachine(), newSharedIndex(), quiet)}
		lead.leading.Store(l)
		l.steward = lead
		other := &Steward{relay: newRelayState(NewMachine(), newSharedIndex(), quiet)}
		watch := func(killed int) {
			now := time.Now()
			for i := range entries {
				view := readyEntry(i)
				if i != killed {
					l.recordWatcher(entryPeer(view.Host), &WatchRequest{Entry: &view}, now)
					other.relay.recordCaller(view.Host, now)
				}
			}
		}
		update := func() {
			other.relay.apply(&WatchAnswer{Term: 1, Entries: l.watchers.entries(time.Now())}, time.Now(), time.Now())
		}
		watch(-1)
		update()
		for _, s := range []*Steward{lead, other} {
			if got := listedEntries(s); len(got) != entries {
				t.Fatalf("%d entries are listed", len(got))
			}
		}
		for killedAt := time.Now(); time.Since(killedAt) < bound; time.Sleep(100 * time.Millisecond) {
			watch(3)
			update()
		}
		if listedEntries(lead)["e3:80"] || listedEntries(other)["e3:80"] || len(listedEntries(other)) != entries-1 {
			t.Error("the killed entry is listed by the leader or by a host that follows it")
		}
		// The leader becomes silent, and another entry is killed.
		for killedAt := time.Now(); time.Since(killedAt) <= entryListMaxAge+bound; time.Sleep(100 * time.Millisecond) {
			watch(5)
		}
		if got := listedEntries(other); got["e5:80"] || len(got) != entries-2 {
			t.Errorf("without a leader %v are listed", got)
		}
		time.Sleep(time.Minute)
		if got := listedEntries(other); len(got) != entries-1 {
			t.Errorf("a host without callers lists %v", got)
		}
	})
}

// Guards against callers that can learn where to connect from control hosts only, and against an
// entry that is sent the same addresses with every answer.
func TestEntriesGetAddressesForTheirCallers(t *testing.T) {
	s := testLeadership(2).steward
	listed := func(addresses ...string) {
		s.directory.cached = map[addressQuery]cachedAddresses{
			{dataCentre: "north", limit: maxEntryAddresses}: {at: time.Now().Add(time.Hour), addresses: addresses, revision: uint64(len(addresses))},
		}
	}
	confirmed := uint64(0)
	given := func(directory bool, revision uint64) []string {
		answer := &WatchAnswer{}
		s.addAddresses(&WatchRequest{Entry: &EntryView{DataCentre: "north"}, Directory: directory, AddressesRevision: revision}, answer)
		confirmed = answer.AddressesRevision
		return answer.Addresses
	}
	listed("a", "b")
	if len(given(true, 0)) != 2 || len(given(true, 7)) != 2 || given(true, 2) != nil || given(false, 0) != nil {
		t.Error("not given exactly where the entry lacks them")
	}
	if given(true, 2); confirmed != 2 {
		t.Error("the addresses that the entry holds aren't confirmed")
	}
	listed()
	if given(true, 2) != nil || confirmed != 0 {
		t.Error("a host that knows no entry takes away or confirms what the entry holds")
	}
}

// Guards against callers that share the few entries that called first after a restart of all hosts, for
// as long as they keep an answer; and against a directory that stays silent if the others are lost.
func TestPartialListIsWithheldAfterRestart(t *testing.T) {
	now := time.Now()
	after := func(d time.Duration) time.Time { return now.Add(d) }
	var d directory
	if d.settled(1, 64, 4, now) || d.settled(31, 64, 4, after(100*time.Millisecond)) || !d.settled(32, 64, 4, after(200*time.Millisecond)) {
		t.Error("given not exactly from half of the entries on")
	}
	if !d.settled(5, 64, 4, after(time.Minute)) {
		t.Error("withheld where entries were lost")
	}
	if d.settled(1, 64, 5, after(time.Hour)) || !d.settled(1, 64, 5, after(time.Hour+settleWithin)) {
		t.Error("a new leader's list is given at once, or never")
	}
	if !new(directory).settled(0, 0, 0, now) {
		t.Error("withheld where the number of entries isn't known")
	}
}
