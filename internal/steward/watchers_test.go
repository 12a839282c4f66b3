package steward

import (
	"io"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/ratelimit"
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

// Guards against an upstream that looks idle to an entry and is overloaded. The loads that an
// entry receives must be the sum of all others', from the leader and through a relay, also
// after some entries have gone.
func TestLoadsAreTheSumOfAllOthers(t *testing.T) {
	now := time.Now()
	leader, relayed := newWatchers(log.New(io.Discard)), newWatchers(log.New(io.Discard))
	relayed.record(entryPeer("e1"), entryRequest("e1", true, Load{Upstream: "a", Requests: 2, Tokens: 20}), now)
	relayed.record(entryPeer("e2"), entryRequest("e2", true, Load{Upstream: "a", Requests: 3, Unread: 5}), now)
	leader.record(entryPeer("e3"), entryRequest("e3", true, Load{Upstream: "a", Requests: 4}, Load{Upstream: "b", Requests: 1}), now)
	leader.record(controlPeer("c2"), &WatchRequest{Relay: true, RelayedEntries: relayed.entries(now), Loads: relayed.loads()}, now)
	// The relay's own sum counts once, with its present value and not the one it had sent.
	relayed.record(entryPeer("e2"), entryRequest("e2", true, Load{Upstream: "a", Requests: 1}), now)
	cases := []struct {
		name string
		got  []Load
		want []Load
	}{
		{"at the leader", leader.loadsExcept("e3", nil, now), []Load{{Upstream: "a", Requests: 5, Tokens: 20, Unread: 5}}},
		{"at the relay", relayed.loadsExcept("e1", leader.loadsExcept("c2", nil, now), now), []Load{{Upstream: "a", Requests: 5}, {Upstream: "b", Requests: 1}}},
		{"to one that has none", leader.loadsExcept("e9", nil, now), []Load{{Upstream: "a", Requests: 9, Tokens: 20, Unread: 5}, {Upstream: "b", Requests: 1}}},
	}
	for _, c := range cases {
		if got := sorted(c.got); !slices.Equal(got, c.want) {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
	relayed.record(entryPeer("e1"), entryRequest("e1", true), now)
	if left := relayed.entries(now.Add(watcherTTL + time.Millisecond)); len(left) != 0 || len(relayed.loads()) != 0 {
		t.Errorf("silent entries are still counted: %v, %v", left, relayed.loads())
	}
}

// Guards against callers that get the address of an entry that leaves, while the relay that it
// watched before still lists it.
func TestEntryListedByTwoRelaysCountsOnce(t *testing.T) {
	now := time.Now()
	w := newWatchers(log.New(io.Discard))
	w.record(controlPeer("c2"), &WatchRequest{Relay: true, RelayedEntries: []EntryView{{Host: "e1", Ready: true}, {Host: "e2", Ready: true}}}, now)
	w.record(controlPeer("c3"), &WatchRequest{Relay: true, RelayedEntries: []EntryView{{Host: "e1", Ready: false}}}, now)
	want := []EntryView{{Host: "e1", Ready: false}, {Host: "e2", Ready: true}}
	if got := w.entries(now); !slices.Equal(got, want) {
		t.Fatalf("listed %v", got)
	}
	relays := w.relays(now.Add(relayTTL + time.Millisecond))
	if len(w.relays(now)) != 2 || len(relays) != 0 {
		t.Fatalf("relays %v at first, %v when silent", w.relays(now), relays)
	}
}

// Guards against an entry that is wrong about its work, and makes an upstream that is full look idle to all others.
func TestLoadsOutOfRangeAreBounded(t *testing.T) {
	now := time.Now()
	w := newWatchers(log.New(io.Discard))
	w.record(entryPeer("e1"), entryRequest("e1", true, Load{Upstream: "a", Requests: 5, Tokens: 20, Unread: 5}), now)
	for _, wrong := range []int{-1 << 62, math.MinInt, math.MaxInt} {
		for _, host := range []string{"e2", "e3"} {
			w.record(entryPeer(host), entryRequest(host, true, Load{Upstream: "a", Requests: wrong, Tokens: wrong, Unread: wrong}), now)
		}
		if got := w.loadsExcept("e9", nil, now)[0]; got.Requests < 5 || got.Tokens < 20 || got.Unread < 5 {
			t.Errorf("%d: %+v", wrong, got)
		}
	}
}

// Guards against a process that is wrong about when an upstream announced itself or named its limit: it counts as being
// in contact long after it ended, and its next limit is ignored.
func TestContactsAndLimitsOfTheFutureCountFromNow(t *testing.T) {
	l := testLeadership(2)
	now := time.Now()
	l.recordWatcher(controlPeer("c2"), &WatchRequest{LastContacts: []LastContact{{Upstream: "a", Age: -time.Hour}}}, now)
	if at := l.lastContacts["a"]; at.After(l.clock.at(now)) {
		t.Errorf("in contact %v from now", at.Sub(now))
	}
	for _, o := range []ratelimit.Observation{{Limit: ratelimit.Limit{Limited: true, PerSecond: 5}, Age: -time.Hour}, {Limit: ratelimit.Limit{Limited: true, PerSecond: 7}}} {
		o.Upstream = "a"
		now = now.Add(time.Second)
		l.recordWatcher(controlPeer("c2"), &WatchRequest{Limits: []ratelimit.Observation{o}}, now)
	}
	if got := l.limits.Limit("a"); got.PerSecond != 7 {
		t.Errorf("limit %+v, named last is 7", got)
	}
}
