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

// oneStore is a store that answers while every other source refuses connections.
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

// A runner and the leader end at the same time. An entry has received the last changes of the
// runner's cache, and the next leader has not and can't get them any more. Guards against that
// entry receiving no inventory at all until the runner is removed, so that every prompt is
// recomputed from the first token.
func TestDeadRunnerDoesNotBlockInventories(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { testInventoriesAfterLostSource(t, "a:1") })
}

// The same with a store: the other stores answer and must stay usable. Only the lost one may
// not be read from.
func TestDeadStoreDoesNotBlockOtherInventories(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { testInventoriesAfterLostSource(t, "store:2") })
}

// testInventoriesAfterLostSource ends a source together with the leader; an entry has received
// the source's last changes and the next leader has not.
func testInventoriesAfterLostSource(t *testing.T, dead string) {
	l := testLeadership(2)
	s := l.steward
	s.options.Stores = oneStore{"store:1"}
	s.counters = newControlMetrics(s)
	s.machine.applyDocument(&catalog.Document{Version: 1, Source: []byte("x"), Services: []catalog.Service{
		{Name: "llm", Engine: &catalog.Engine{Slots: 4, MemoryTokens: 50000}},
		{Name: "store", Store: &catalog.Store{Address: "store:1", CapacityTokens: 1000000}},
		{Name: "store2", Store: &catalog.Store{Address: "store:2", CapacityTokens: 1000000}},
	}})
	s.machine.storeIncarnations["store:1"], s.machine.storeIncarnations["store:2"] = 1, 1
	change := func(part string) []cacheindex.Change {
		return []cacheindex.Change{{Key: cacheindex.Key{Salt: "m.2", Part: part}, Tokens: 5000}}
	}
	follow := func(index *cacheindex.Index, from *sharedIndex) {
		for range 20 {
			query := index.NextQuery()
			if update, _ := from.answer(&query); update != nil {
				index.Apply(update)
			}
		}
	}
	previous := newSharedIndex()
	previous.lead(1)
	previous.replace("store:1", StoreEvents{Incarnation: 1, Next: 5, Changes: change("p")})
	previous.replace("store:2", StoreEvents{Incarnation: 1, Next: 100, Changes: change("s")})
	previous.replace("a:1", StoreEvents{Incarnation: 1, Next: 100, Changes: change("q")})
	follow(s.index.index, previous)
	previous.add(dead, StoreEvents{Incarnation: 1, Next: 120, Changes: change("r")})
	entry := cacheindex.NewIndex(false)
	follow(entry, previous)
	if !entry.Complete() || !s.index.index.Complete() {
		t.Fatal("the indexes are not complete at the start")
	}

	l = newLeadership(s, 2, time.Now())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go l.inventories.run(ctx)
	time.Sleep(10 * time.Second)
	if len(l.silent([]roster.Upstream{{ID: "a"}}, time.Now())) != 1 {
		t.Fatal("the runner is not silent")
	}
	follow(entry, s.index)
	if !entry.Complete() || entry.At().Term != 2 {
		t.Errorf("10 s after the change of leaders the entry has no inventories: %+v", entry.At())
	}
	cancel()
	time.Sleep(2 * time.Second)
}
