package steward

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/cacheindex"
	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/roster"
)

// oneStore is a store that answers, while nothing else does.
type oneStore struct{ address string }

func (o oneStore) List(_ context.Context, address string) (StoreEvents, error) {
	return o.Events(context.Background(), address, 0, 0)
}

func (o oneStore) Free(context.Context, string, uint64, []cacheindex.Key, int64) error { return nil }

func (o oneStore) Events(_ context.Context, address string, since uint64, wait time.Duration) (StoreEvents, error) {
	if address != o.address {
		return StoreEvents{}, errors.New("connection refused")
	}
	time.Sleep(wait + time.Millisecond)
	return StoreEvents{Incarnation: 1, Next: max(since, 5), Clock: 1000}, nil
}

// A runner and the leading host end at the same moment. An entry had heard of the last
// changes of the runner's cache, and the host that leads next had not; nobody can tell
// it any more. The entry is told nothing of any store, for as long as the runner is
// not given up, and each of its callers' prompts is read from the first token.
func TestADeadRunnersCacheKeepsNoShelfFromEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { testShelvesBehind(t, "a:1") })
}

// The same with a store: the other stores answer, and what they hold is of use. Only
// the one that is gone may not be read from.
func TestADeadStoreKeepsNoOtherShelfFromEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { testShelvesBehind(t, "store:2") })
}

// testShelvesBehind ends a source together with the leading host, of whose last
// changes an entry had heard and the next leader had not.
func testShelvesBehind(t *testing.T, dead string) {
	l := testLeadership(2)
	s := l.steward
	s.options.Stores = oneStore{"store:1"}
	s.meter = newMeter(s)
	s.machine.applyDocument(&catalog.Document{Version: 1, Source: []byte("x"), Services: []catalog.Service{
		{Name: "llm", Engine: &catalog.Engine{Slots: 4, MemoryTokens: 50000}},
		{Name: "store", Store: &catalog.Store{Address: "store:1", CapacityTokens: 1000000}},
		{Name: "store2", Store: &catalog.Store{Address: "store:2", CapacityTokens: 1000000}},
	}})
	s.machine.lives["store:1"], s.machine.lives["store:2"] = 1, 1
	change := func(part string) []cacheindex.Change {
		return []cacheindex.Change{{Key: cacheindex.Key{Salt: "m.2", Part: part}, Tokens: 5000}}
	}
	follow := func(book *cacheindex.Index, from *sharedBook) {
		for range 20 {
			question := book.Ask()
			if update, _ := from.answer(&question); update != nil {
				book.Apply(update)
			}
		}
	}
	former := newSharedBook()
	former.lead(1)
	former.replace("store:1", StoreEvents{Incarnation: 1, Next: 5, Changes: change("p")})
	former.replace("store:2", StoreEvents{Incarnation: 1, Next: 100, Changes: change("s")})
	former.replace("a:1", StoreEvents{Incarnation: 1, Next: 100, Changes: change("q")})
	follow(s.book.book, former)
	former.add(dead, StoreEvents{Incarnation: 1, Next: 120, Changes: change("r")})
	entry := cacheindex.NewIndex(false)
	follow(entry, former)
	if !entry.Complete() || !s.book.book.Complete() {
		t.Fatal("the books are not complete before")
	}

	l = newLeadership(s, 2, time.Now())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go l.shelves.run(ctx)
	time.Sleep(10 * time.Second)
	if len(l.silent([]roster.Upstream{{ID: "a"}}, time.Now())) != 1 {
		t.Fatal("the runner is not silent")
	}
	follow(entry, s.book)
	if !entry.Complete() || entry.At().Term != 2 {
		t.Errorf("10 s after the change of leaders the entry knows of no store: %+v", entry.At())
	}
	cancel()
	time.Sleep(2 * time.Second)
}
