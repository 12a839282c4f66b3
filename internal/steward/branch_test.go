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

// A caller is served by an old configuration, or from a store that has
// restarted, if its entry takes the word of a host that knows less than itself
// or has not heard from the leader for long.
func TestBranchAnswersOnlyWhatItMay(t *testing.T) {
	asked := time.Now()
	document := func(version catalog.Version) []byte {
		return wire.MustMarshal(command{Document: testDocument(version, "one")})
	}
	cases := []struct {
		name    string
		told    func(*WatchAnswer)
		request WatchRequest
		at      time.Duration
		serves  bool
	}{
		{"fresh", func(*WatchAnswer) {}, WatchRequest{Term: 3}, branchFresh, true},
		{"an entry of the term before", func(*WatchAnswer) {}, WatchRequest{Term: 2}, 0, true},
		{"not heard from the leader", func(*WatchAnswer) {}, WatchRequest{Term: 3}, branchFresh + 1, false},
		{"the entry knows a later leader", func(*WatchAnswer) {}, WatchRequest{Term: 4}, 0, false},
		{"the leader answers by itself", func(a *WatchAnswer) { a.Relaying = false }, WatchRequest{Term: 3}, 0, false},
		{"its own log is behind", func(a *WatchAnswer) { a.Document = testDocument(6, "two") }, WatchRequest{Term: 3}, 0, false},
		{"its own log has caught up", func(a *WatchAnswer) { a.Document = testDocument(5, "one") }, WatchRequest{Term: 3}, 0, true},
	}
	for _, c := range cases {
		machine := NewMachine()
		machine.Apply(1, document(5))
		b := newBranch(machine, newSharedBook(), log.New(io.Discard))
		answer := relayingAnswer(3)
		c.told(answer)
		b.take(answer, asked, asked)
		if got := b.serves(&c.request, asked.Add(c.at)); got != c.serves {
			t.Errorf("%s: serves %v", c.name, got)
		}
	}
}

// An entry relies on what it was told of the stores for a time after the leader
// was asked, not after the relay was: the word must not look younger on its way.
func TestBranchTellsTheAgeOfItsWord(t *testing.T) {
	synctest.Test(t, testAges)
}

func testAges(t *testing.T) {
	asked := time.Now()
	b := newBranch(NewMachine(), newSharedBook(), log.New(io.Discard))
	first := relayingAnswer(3)
	b.take(first, asked, asked.Add(10*time.Millisecond))
	ask := func(at time.Duration, meanwhile func()) *WatchAnswer {
		time.Sleep(time.Until(asked.Add(at)))
		request := entryRequest("e1", true)
		request.Inventories = &cacheindex.Query{Listed: true}
		answer := &WatchAnswer{}
		b.fill(request, answer)
		meanwhile()
		b.complete(entryPeer("e1"), answer, time.Now())
		return answer
	}
	none := func() {}
	if a := ask(50*time.Millisecond, none); a.InventoryAge != 50*time.Millisecond || a.Inventories.More || len(a.Inventories.Batches) != 1 || !a.StoreStates[0].Open {
		t.Fatalf("told %+v, shelves %+v", a, a.Inventories)
	}
	// The next word comes while this one is put together.
	same := relayingAnswer(3)
	same.Inventories.Batches = nil
	if a := ask(70*time.Millisecond, func() { b.take(same, asked.Add(60*time.Millisecond), time.Now()) }); a.InventoryAge != 70*time.Millisecond {
		t.Fatalf("the word of the start is told as %v old after 70 ms", a.InventoryAge)
	}
	// A part of the next records has come, and with it no moment to stand for.
	part := relayingAnswer(3)
	part.StoreStates[0].Open = false
	part.Inventories = &cacheindex.Update{At: cacheindex.Position{Term: 3, Next: 3}, More: true, Batches: []cacheindex.Batch{
		{Address: "store:1", Parts: []string{"q"}, Tokens: []int{9}, Next: 2},
	}}
	b.take(part, asked.Add(80*time.Millisecond), asked.Add(90*time.Millisecond))
	if a := ask(100*time.Millisecond, none); !a.Inventories.More || len(a.Inventories.Batches) != 0 {
		t.Fatalf("an incomplete book is passed on: %+v", a.Inventories)
	}
}

// An entry turns to the leader when its word on the configuration is old. A relay
// that heard from the leader long ago, or that hears again just while it answers,
// must not make its word look young: the entry would stay with it.
func TestRelayTellsTheAgeOfItsWordOnTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &virtualNet{t: t, ctx: t.Context(), hosts: make(map[ident.Host]*virtualHost)}
		n.addControl("c2")
		s := n.hosts["c2"].steward
		asked := time.Now()
		s.branch.take(relayingAnswer(3), asked, asked)
		time.Sleep(100 * time.Millisecond)
		watch := func(term uint64) *WatchAnswer {
			return s.watch(t.Context(), entryPeer("e1"), &WatchRequest{Entry: &EntryView{Host: "e1"}, Term: term})
		}
		if a := watch(2); a.Redirect || a.StateAge != 100*time.Millisecond {
			t.Fatalf("told %+v 100 ms after the leader was asked", a)
		}
		// Kept open for 120 ms; the leader is asked anew after 30 of them.
		again := relayingAnswer(3)
		again.Inventories = nil
		time.AfterFunc(50*time.Millisecond, func() { s.branch.take(again, asked.Add(130*time.Millisecond), time.Now()) })
		if a := watch(3); a.Redirect || a.StateAge != 90*time.Millisecond {
			t.Fatalf("told %+v 90 ms after the leader was asked", a)
		}
		time.Sleep(branchFresh)
		if a := watch(2); !a.Redirect {
			t.Fatalf("told %+v without a fresh word", a)
		}
	})
}
