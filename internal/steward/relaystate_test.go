package steward

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/cacheindex"
	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/wire"
)

// relayingAnswer is a leader's answer with one part of one store.
func relayingAnswer(term uint64) *WatchAnswer {
	return &WatchAnswer{
		Term: term, Leader: "c1", Relaying: true, EntryCount: 20,
		StoreStates: []StoreState{{Address: "store:1", Incarnation: 1, Open: true}},
		Inventories: &cacheindex.Update{At: cacheindex.Position{Term: term, Next: 2}, Batches: []cacheindex.Batch{
			{Address: "store:1", Cleared: true, Incarnation: 1, Parts: []string{"p"}, Tokens: []int{9}, Next: 1},
		}},
	}
}

// Guards against an entry that uses an old configuration, or reads from a restarted store,
// because it accepts an answer of a relay whose state is older than its own or was not
// refreshed recently.
func TestRelayServesOnlyFreshState(t *testing.T) {
	requestedAt := time.Now()
	document := func(version catalog.Version) []byte {
		return wire.MustMarshal(command{Document: testDocument(version, "one")})
	}
	cases := []struct {
		name    string
		change  func(*WatchAnswer)
		request WatchRequest
		at      time.Duration
		serves  bool
	}{
		{"fresh", func(*WatchAnswer) {}, WatchRequest{Term: 3}, relayFreshness, true},
		{"an entry of the term before", func(*WatchAnswer) {}, WatchRequest{Term: 2}, 0, true},
		{"no recent answer of the leader", func(*WatchAnswer) {}, WatchRequest{Term: 3}, relayFreshness + 1, false},
		{"the entry knows a later leader", func(*WatchAnswer) {}, WatchRequest{Term: 4}, 0, false},
		{"the leader answers by itself", func(a *WatchAnswer) { a.Relaying = false }, WatchRequest{Term: 3}, 0, false},
		{"its own log is behind", func(a *WatchAnswer) { a.Document = testDocument(6, "two") }, WatchRequest{Term: 3}, 0, false},
		{"its own log has caught up", func(a *WatchAnswer) { a.Document = testDocument(5, "one") }, WatchRequest{Term: 3}, 0, true},
	}
	for _, c := range cases {
		machine := NewMachine()
		machine.Apply(1, document(5))
		b := newRelayState(machine, newSharedIndex(), log.New(io.Discard))
		answer := relayingAnswer(3)
		c.change(answer)
		b.apply(answer, requestedAt, requestedAt)
		if got := b.serves(&c.request, requestedAt.Add(c.at)); got != c.serves {
			t.Errorf("%s: serves %v", c.name, got)
		}
	}
}

// Guards against inventories that look younger at an entry than they are: their validity counts
// from the request to the leader, not from the request to the relay.
func TestRelayReportsInventoryAge(t *testing.T) {
	synctest.Test(t, testInventoryAge)
}

func testInventoryAge(t *testing.T) {
	requestedAt := time.Now()
	b := newRelayState(NewMachine(), newSharedIndex(), log.New(io.Discard))
	first := relayingAnswer(3)
	b.apply(first, requestedAt, requestedAt.Add(10*time.Millisecond))
	watch := func(at time.Duration, meanwhile func()) *WatchAnswer {
		time.Sleep(time.Until(requestedAt.Add(at)))
		request := entryRequest("e1", true)
		request.Inventories = &cacheindex.Query{ByProgress: true}
		answer := &WatchAnswer{}
		b.fill(request, answer)
		meanwhile()
		b.addCommon(entryPeer("e1"), answer, time.Now())
		return answer
	}
	none := func() {}
	if a := watch(50*time.Millisecond, none); a.InventoryAge != 50*time.Millisecond || a.Inventories.More || len(a.Inventories.Batches) != 1 || !a.StoreStates[0].Open {
		t.Fatalf("answer %+v, inventories %+v", a, a.Inventories)
	}
	// The leader's next answer arrives while this one is put together.
	same := relayingAnswer(3)
	same.Inventories.Batches = nil
	if a := watch(70*time.Millisecond, func() { b.apply(same, requestedAt.Add(60*time.Millisecond), time.Now()) }); a.InventoryAge != 70*time.Millisecond {
		t.Fatalf("the first state is reported as %v old after 70 ms", a.InventoryAge)
	}
	// A part of the next records has arrived: the index is incomplete, so no age applies to it.
	part := relayingAnswer(3)
	part.StoreStates[0].Open = false
	part.Inventories = &cacheindex.Update{At: cacheindex.Position{Term: 3, Next: 3}, More: true, Batches: []cacheindex.Batch{
		{Address: "store:1", Parts: []string{"q"}, Tokens: []int{9}, Next: 2},
	}}
	b.apply(part, requestedAt.Add(80*time.Millisecond), requestedAt.Add(90*time.Millisecond))
	if a := watch(100*time.Millisecond, none); !a.Inventories.More || len(a.Inventories.Batches) != 0 {
		t.Fatalf("an incomplete index is sent: %+v", a.Inventories)
	}
}

// An entry queries the leader when its configuration state is old. Guards against state that
// looks young from a relay that received it long ago, or that receives new state while it
// answers: the entry would stay with that relay.
func TestRelayReportsStateAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &virtualNet{t: t, ctx: t.Context(), hosts: make(map[ident.Host]*virtualHost)}
		n.addControl("c2")
		s := n.hosts["c2"].steward
		requestedAt := time.Now()
		s.relay.apply(relayingAnswer(3), requestedAt, requestedAt)
		time.Sleep(100 * time.Millisecond)
		watch := func(term uint64) *WatchAnswer {
			return s.watch(t.Context(), entryPeer("e1"), &WatchRequest{Entry: &EntryView{Host: "e1"}, Term: term})
		}
		if a := watch(2); a.Redirect || a.StateAge != 100*time.Millisecond {
			t.Fatalf("answer %+v 100 ms after the request to the leader", a)
		}
		// The watch is kept open for 120 ms; the leader is queried again after 30 of them.
		again := relayingAnswer(3)
		again.Inventories = nil
		time.AfterFunc(50*time.Millisecond, func() { s.relay.apply(again, requestedAt.Add(130*time.Millisecond), time.Now()) })
		if a := watch(3); a.Redirect || a.StateAge != 90*time.Millisecond {
			t.Fatalf("answer %+v 90 ms after the request to the leader", a)
		}
		time.Sleep(relayFreshness)
		if a := watch(2); !a.Redirect {
			t.Fatalf("answer %+v without fresh state", a)
		}
	})
}
