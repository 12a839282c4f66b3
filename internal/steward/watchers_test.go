package steward

import (
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
)

func controlPeer(host string) port.Peer {
	return port.Peer{Host: ident.Host(host), DataCentre: "north", Role: "control"}
}

func entryRequest(host string, ready bool, loads ...Load) *WatchRequest {
	return &WatchRequest{Entry: &EntryView{Host: host, Ready: ready}, Loads: loads}
}

func sorted(loads []Load) []Load {
	slices.SortFunc(loads, func(a, b Load) int { return strings.Compare(a.Upstream, b.Upstream) })
	return loads
}

// An upstream that looks idle to an entry is overrun. What an entry is told of
// the others must be their sum, at the leader and through a relay, also after
// some have gone.
func TestLoadsAreThoseOfAllOthers(t *testing.T) {
	now := time.Now()
	leader, relayed := newWatchers(log.New(io.Discard)), newWatchers(log.New(io.Discard))
	relayed.follow(entryPeer("e1"), entryRequest("e1", true, Load{Upstream: "a", Requests: 2, Tokens: 20}), now)
	relayed.follow(entryPeer("e2"), entryRequest("e2", true, Load{Upstream: "a", Requests: 3, Unread: 5}), now)
	leader.follow(entryPeer("e3"), entryRequest("e3", true, Load{Upstream: "a", Requests: 4}, Load{Upstream: "b", Requests: 1}), now)
	leader.follow(controlPeer("c2"), &WatchRequest{Relay: true, RelayedEntries: relayed.entries(now), Loads: relayed.loads()}, now)
	// The relay's own sum counts once, as it stands now and not as it was told.
	relayed.follow(entryPeer("e2"), entryRequest("e2", true, Load{Upstream: "a", Requests: 1}), now)
	cases := []struct {
		name string
		got  []Load
		want []Load
	}{
		{"at the leader", leader.loadsBut("e3", nil, now), []Load{{Upstream: "a", Requests: 5, Tokens: 20, Unread: 5}}},
		{"at the relay", relayed.loadsBut("e1", leader.loadsBut("c2", nil, now), now), []Load{{Upstream: "a", Requests: 5}, {Upstream: "b", Requests: 1}}},
		{"to one that has none", leader.loadsBut("e9", nil, now), []Load{{Upstream: "a", Requests: 9, Tokens: 20, Unread: 5}, {Upstream: "b", Requests: 1}}},
	}
	for _, c := range cases {
		if got := sorted(c.got); !slices.Equal(got, c.want) {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
	relayed.follow(entryPeer("e1"), entryRequest("e1", true), now)
	if left := relayed.entries(now.Add(watcherKept + time.Millisecond)); len(left) != 0 || len(relayed.loads()) != 0 {
		t.Errorf("silent entries are still counted: %v, %v", left, relayed.loads())
	}
}

// A caller that asks for addresses must not be sent to an entry that leaves,
// not even while the host that it asked before still lists it.
func TestEntryThatTurnsToAnotherHostIsListedOnce(t *testing.T) {
	now := time.Now()
	w := newWatchers(log.New(io.Discard))
	w.follow(controlPeer("c2"), &WatchRequest{Relay: true, RelayedEntries: []EntryView{{Host: "e1", Ready: true}, {Host: "e2", Ready: true}}}, now)
	w.follow(controlPeer("c3"), &WatchRequest{Relay: true, RelayedEntries: []EntryView{{Host: "e1", Ready: false}}}, now)
	want := []EntryView{{Host: "e1", Ready: false}, {Host: "e2", Ready: true}}
	if got := w.entries(now); !slices.Equal(got, want) {
		t.Fatalf("listed %v", got)
	}
	relays := w.relays(now.Add(relayKept + time.Millisecond))
	if len(w.relays(now)) != 2 || len(relays) != 0 {
		t.Fatalf("relays %v at first, %v when silent", w.relays(now), relays)
	}
}
