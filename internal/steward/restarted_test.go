package steward

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/cacheindex"
	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/ident"
)

// restartedLeader leads after a restart of all control hosts: it knows a store with some parts,
// and no entry.
func restartedLeader() *leadership {
	l := testLeadership(2)
	s := l.steward
	s.machine.applyDocument(&catalog.Document{Version: 1, Source: []byte("x"), Services: []catalog.Service{
		{Name: "store", Store: &catalog.Store{Address: "store:1", CapacityTokens: 1000000}},
	}})
	s.index.replace("store:1", StoreEvents{Incarnation: 1, Next: 5, Changes: []cacheindex.Change{
		{Key: cacheindex.Key{Salt: "m.2", Part: "p"}, Tokens: 5000},
	}})
	s.leading.Store(l)
	return l
}

// entryWatch returns the request of an entry that has received a count of entries before.
func entryWatch(entry string, others int, held cacheindex.Query) *WatchRequest {
	return &WatchRequest{Entry: &EntryView{Host: entry, Ready: true}, Inventories: &held, Entries: others}
}

// After a restart of all control hosts, all entries call the first leader within 0.1 s. Guards
// against a leader that takes the first callers for a small fleet and sends each the listings
// of all stores, or the configuration and the roster: its heartbeats are late, the next host is
// elected with the same problem, and callers get no answer for seconds. The leader learns the
// number of entries from their requests, and they wait for the relays.
func TestFirstCallersAfterRestartAreRedirected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := restartedLeader()
		everything := cacheindex.Query{ByProgress: true}
		for i := range 10 {
			name := fmt.Sprint("e", i)
			answer := l.steward.watch(t.Context(), entryPeer(name), entryWatch(name, 64, everything))
			if !answer.Redirect || answer.Document != nil || answer.Inventories != nil || answer.Pause != redirectPause {
				t.Fatalf("entry %d of 64 received %+v", i, answer)
			}
		}
		if answer := l.steward.watch(t.Context(), controlPeer("c2"), &WatchRequest{Document: 1}); !answer.Relaying || answer.EntryCount != 64 {
			t.Fatalf("a control host received relaying %v, %d entries", answer.Relaying, answer.EntryCount)
		}
		// Entries that don't call in time are no longer there.
		time.Sleep(relaysWithin)
		answer := l.steward.watch(t.Context(), entryPeer("e1"), entryWatch("e1", 64, everything))
		if answer.Inventories == nil || answer.Relaying || answer.EntryCount != 1 {
			t.Fatalf("the last entry received inventories %v, relaying %v, %d entries", answer.Inventories, answer.Relaying, answer.EntryCount)
		}
	})
}

// The same for direct watches: the entries found all relays silent during the restart, and
// avoid them for 2 s. The leader must answer all of them, and can without the listings, which
// cost it 5 ms each.
func TestDirectWatchesAfterRestartGetNoInventories(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := restartedLeader()
		request := entryWatch("e1", 64, cacheindex.Query{ByProgress: true})
		request.Direct = true
		if answer := l.steward.watch(t.Context(), entryPeer("e1"), request); answer.Redirect || answer.Inventories != nil || answer.Document == nil {
			t.Fatalf("answer %+v", answer)
		}
		time.Sleep(relaysWithin)
		if answer := l.steward.watch(t.Context(), entryPeer("e1"), request); answer.Redirect || answer.Inventories == nil {
			t.Fatalf("later answer %+v", answer)
		}
	})
}

// Some seconds after a restart of all hosts, the relays are busy sending the inventories to all
// entries, and entries whose configuration state becomes old turn to the leader. Guards against
// a leader that sends each of them the inventories too: its heartbeats are late, and the next
// host is elected. It sends them only the other state while relays send the inventories.
func TestOverdueWatchGetsNoInventoriesWhileRelaysServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := restartedLeader()
		time.Sleep(relaysWithin)
		now := time.Now()
		for i := range maxDirectEntries + 1 {
			l.recordWatcher(entryPeer(fmt.Sprint("e", i)), entryWatch(fmt.Sprint("e", i), 64, cacheindex.Query{}), now)
		}
		l.recordWatcher(controlPeer("c2"), &WatchRequest{Relay: true}, now)
		request := entryWatch("e1", 64, cacheindex.Query{ByProgress: true})
		request.Overdue = true
		if answer := l.steward.watch(t.Context(), entryPeer("e1"), request); answer.Redirect || answer.Inventories != nil || answer.Document == nil {
			t.Fatalf("answer %+v", answer)
		}
		time.Sleep(relayTTL + time.Millisecond)
		if answer := l.steward.watch(t.Context(), entryPeer("e1"), request); answer.Redirect || answer.Inventories == nil {
			t.Fatalf("answer %+v without relays", answer)
		}
	})
}

// In a small fleet, or if no entry reports a count yet, nothing is delayed: otherwise each
// prompt would be recomputed from the first token meanwhile.
func TestSmallFleetGetsInventoriesImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, others := range []int{0, 1, maxDirectEntries} {
			l := restartedLeader()
			answer := l.steward.watch(t.Context(), entryPeer("e1"), entryWatch("e1", others, cacheindex.Query{ByProgress: true}))
			if answer.Inventories == nil || len(answer.Inventories.Batches) == 0 || answer.Relaying {
				t.Errorf("with %d entries before: inventories %v, relaying %v", others, answer.Inventories, answer.Relaying)
			}
		}
	})
}

// Guards against a new leader of many entries that is busy with empty answers while it lists
// its stores: each listing would end every open watch.
func TestInventoryChangesDoNotWakeOtherWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := restartedLeader()
		for i := range maxDirectEntries + 1 {
			l.recordWatcher(entryPeer(fmt.Sprint("e", i)), entryWatch(fmt.Sprint("e", i), 64, cacheindex.Query{}), time.Now())
		}
		request := entryWatch("e1", 64, cacheindex.Query{ByProgress: true})
		request.Document, request.Weights, request.Roster = 1, 99, 99
		request.Term = l.elected
		go func() {
			time.Sleep(30 * time.Millisecond)
			l.steward.index.add("store:1", StoreEvents{Incarnation: 1, Next: 6, Changes: []cacheindex.Change{
				{Key: cacheindex.Key{Salt: "m.2", Part: "q"}, Tokens: 5000},
			}})
		}()
		sent := time.Now()
		if l.steward.watch(t.Context(), entryPeer("e1"), request); time.Since(sent) != watchWait {
			t.Errorf("answered after %v", time.Since(sent))
		}
		time.Sleep(watchWait)
	})
}

// A follower reports the number of entries that it has received, so that a new leader knows it
// from the first call.
func TestFollowerReportsEntryCount(t *testing.T) {
	f := NewFollower(FollowerOptions{Self: "e1"})
	f.apply(&watchCall{answer: WatchAnswer{Term: 3, EntryCount: 64}, sent: time.Now()}, func(*WatchAnswer, time.Time) {})
	request := &WatchRequest{}
	f.addCallerState(request, "c1", time.Now())
	if request.Entries != 64 {
		t.Errorf("reported %d entries", request.Entries)
	}
}

// countingSources counts the queries to each address.
type countingSources struct {
	mu      sync.Mutex
	queries map[string]int
}

func (a *countingSources) List(_ context.Context, address string) (StoreEvents, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queries[address]++
	return StoreEvents{Incarnation: 1, Next: 5, Clock: 1000}, nil
}

func (a *countingSources) Events(ctx context.Context, address string, _ uint64, wait time.Duration) (StoreEvents, error) {
	time.Sleep(wait + time.Millisecond)
	return a.List(ctx, address)
}

func (a *countingSources) Free(context.Context, string, uint64, []cacheindex.Key, int64) error {
	return nil
}

// Guards against a new leader that takes a large fleet for a small one before the first entry
// calls, and reads the caches of all runners. In a small fleet it must follow them, as soon as
// an entry has called.
func TestCachesAreFollowedOnceFleetSizeIsKnown(t *testing.T) {
	for _, entries := range []int{64, 3} {
		synctest.Test(t, func(t *testing.T) {
			l := restartedLeader()
			l.steward.machine.applyDocument(&catalog.Document{Version: 2, Source: []byte("x"), Services: []catalog.Service{
				{Name: "llm", Engine: &catalog.Engine{Slots: 4, MemoryTokens: 50000}},
				{Name: "store", Store: &catalog.Store{Address: "store:1", CapacityTokens: 1000000}},
			}})
			sources := &countingSources{queries: make(map[string]int)}
			l.steward.options.Stores = sources
			l.steward.machine.storeIncarnations["store:1"] = 1
			ctx, cancel := context.WithCancel(t.Context())
			go l.inventories.run(ctx)
			time.Sleep(100 * time.Millisecond)
			l.steward.watch(ctx, entryPeer("e1"), entryWatch("e1", entries, cacheindex.Query{ByProgress: true}))
			time.Sleep(700 * time.Millisecond)
			sources.mu.Lock()
			if small := entries <= maxCacheWatchers; (sources.queries["a:1"] > 0) != small || sources.queries["store:1"] == 0 {
				t.Errorf("with %d entries: queries %v", entries, sources.queries)
			}
			sources.mu.Unlock()
			cancel()
			time.Sleep(2 * time.Second)
		})
	}
}

// The same after a restart of all hosts, including the entries: no entry reports a count, and
// the first callers are some of hundreds.
func TestCachesAreNotFollowedForFirstCallersAfterFullRestart(t *testing.T) {
	for _, entries := range []int{64, 3} {
		synctest.Test(t, func(t *testing.T) {
			l := restartedLeader()
			l.steward.machine.applyDocument(&catalog.Document{Version: 2, Source: []byte("x"), Services: []catalog.Service{
				{Name: "llm", Engine: &catalog.Engine{Slots: 4, MemoryTokens: 50000}},
				{Name: "store", Store: &catalog.Store{Address: "store:1", CapacityTokens: 1000000}},
			}})
			sources := &countingSources{queries: make(map[string]int)}
			l.steward.options.Stores = sources
			l.steward.machine.storeIncarnations["store:1"] = 1
			ctx, cancel := context.WithCancel(t.Context())
			go l.inventories.run(ctx)
			began := time.Now()
			var calling sync.WaitGroup
			for i := range entries {
				calling.Go(func() {
					name := fmt.Sprint("e", i)
					time.Sleep(time.Duration(i) * 20 * time.Millisecond)
					follower := NewFollower(FollowerOptions{Self: ident.Host(name)})
					for ; time.Since(began) < relaysWithin+time.Second; time.Sleep(watchWait) {
						// Entries that were answered report the count that they received.
						sent := time.Now()
						request := entryWatch(name, 0, cacheindex.Query{ByProgress: true})
						follower.addCallerState(request, "c1", sent)
						if answer := l.steward.watch(ctx, entryPeer(name), request); !answer.Redirect {
							follower.apply(&watchCall{answer: *answer, sent: sent}, func(*WatchAnswer, time.Time) {})
						}
					}
				})
			}
			calling.Wait()
			sources.mu.Lock()
			if small := entries <= maxCacheWatchers; (sources.queries["a:1"] > 0) != small {
				t.Errorf("with %d entries: queries %v", entries, sources.queries)
			}
			sources.mu.Unlock()
			cancel()
			time.Sleep(2 * time.Second)
		})
	}
}
