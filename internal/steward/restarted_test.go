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

// restartedLeader leads after a restart of all control hosts: it knows a store with
// some parts, and no entry.
func restartedLeader() *leadership {
	l := testLeadership(2)
	s := l.steward
	s.meter = newMeter(s)
	s.machine.applyDocument(&catalog.Document{Version: 1, Source: []byte("x"), Services: []catalog.Service{
		{Name: "store", Store: &catalog.Store{Address: "store:1", CapacityTokens: 1000000}},
	}})
	s.book.replace("store:1", StoreEvents{Incarnation: 1, Next: 5, Changes: []cacheindex.Change{
		{Key: cacheindex.Key{Salt: "m.2", Part: "p"}, Tokens: 5000},
	}})
	s.leading.Store(l)
	return l
}

// askOf is the question of an entry that was told of others before.
func askOf(entry string, others int, held cacheindex.Query) *WatchRequest {
	return &WatchRequest{Entry: &EntryView{Host: entry, Ready: true}, Inventories: &held, Entries: others}
}

// Callers get no answer for seconds after a restart of all control hosts. All entries
// call the first leader within 0.1 s, and it, which knows none of them, takes the first
// for a small fleet: it tells each the listings of all stores, or the configuration and
// the roster. Its heartbeats come late, the next host is elected, which knows as little,
// and so on. It learns from them how many there are, and they wait for the other hosts.
func TestTheFirstEntriesAfterARestartOfAllAreNotTakenForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := restartedLeader()
		everything := cacheindex.Query{Listed: true}
		for i := range 10 {
			name := fmt.Sprint("e", i)
			answer := l.steward.watch(t.Context(), entryPeer(name), askOf(name, 64, everything))
			if !answer.Redirect || answer.Document != nil || answer.Inventories != nil || answer.Pause != redirectPause {
				t.Fatalf("entry %d of 64 is told %+v", i, answer)
			}
		}
		if told := l.steward.watch(t.Context(), controlPeer("c2"), &WatchRequest{Document: 1}); !told.Relaying || told.EntryCount != 64 {
			t.Fatalf("a control host is told relaying %v, %d entries", told.Relaying, told.EntryCount)
		}
		// Those who do not call in time are no longer there.
		time.Sleep(relaysWithin)
		answer := l.steward.watch(t.Context(), entryPeer("e1"), askOf("e1", 64, everything))
		if answer.Inventories == nil || answer.Relaying || answer.EntryCount != 1 {
			t.Fatalf("the last entry is told shelves %v, relaying %v, %d entries", answer.Inventories, answer.Relaying, answer.EntryCount)
		}
	})
}

// The same where the entries ask the leader itself: they found all other control hosts
// silent while these were down, and leave them alone for 2 s. The leader must answer
// all of them, and can, without the listings; these take it 5 ms for each.
func TestEntriesThatFoundAllRelaysSilentAreNotToldTheShelvesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := restartedLeader()
		request := askOf("e1", 64, cacheindex.Query{Listed: true})
		request.Direct = true
		if answer := l.steward.watch(t.Context(), entryPeer("e1"), request); answer.Redirect || answer.Inventories != nil || answer.Document == nil {
			t.Fatalf("told %+v", answer)
		}
		time.Sleep(relaysWithin)
		if answer := l.steward.watch(t.Context(), entryPeer("e1"), request); answer.Redirect || answer.Inventories == nil {
			t.Fatalf("told %+v later", answer)
		}
	})
}

// Callers get no answer again some seconds after a restart of all. The hosts that pass
// on the leader's word are busy with telling all entries the shelves, entries whose word
// on the configuration grows old turn to the leader, and it tells each the shelves too:
// its heartbeats come late, and the next host is elected. It tells them the rest only,
// as long as others tell the shelves.
func TestAnOverdueEntryIsNotToldTheShelvesWhileOthersTellThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := restartedLeader()
		time.Sleep(relaysWithin)
		now := time.Now()
		for i := range entriesAlone + 1 {
			l.follow(entryPeer(fmt.Sprint("e", i)), askOf(fmt.Sprint("e", i), 64, cacheindex.Query{}), now)
		}
		l.follow(controlPeer("c2"), &WatchRequest{Relay: true}, now)
		request := askOf("e1", 64, cacheindex.Query{Listed: true})
		request.Overdue = true
		if answer := l.steward.watch(t.Context(), entryPeer("e1"), request); answer.Redirect || answer.Inventories != nil || answer.Document == nil {
			t.Fatalf("told %+v", answer)
		}
		time.Sleep(relayKept + time.Millisecond)
		if answer := l.steward.watch(t.Context(), entryPeer("e1"), request); answer.Redirect || answer.Inventories == nil {
			t.Fatalf("told %+v while nobody else can", answer)
		}
	})
}

// The same in a small fleet, or where nobody was told of others yet: nothing is held
// back, for each prompt would be read from the first token meanwhile.
func TestFewEntriesAreToldTheShelvesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, others := range []int{0, 1, entriesAlone} {
			l := restartedLeader()
			answer := l.steward.watch(t.Context(), entryPeer("e1"), askOf("e1", others, cacheindex.Query{Listed: true}))
			if answer.Inventories == nil || len(answer.Inventories.Batches) == 0 || answer.Relaying {
				t.Errorf("with %d entries before: shelves %v, relaying %v", others, answer.Inventories, answer.Relaying)
			}
		}
	})
}

// Callers get no answer while a new leader of many entries lists its stores: each
// listing ends every open watch, and the leader is busy with answers that tell nothing.
func TestWhoIsNotToldTheShelvesIsNotWokenByThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := restartedLeader()
		for i := range entriesAlone + 1 {
			l.follow(entryPeer(fmt.Sprint("e", i)), askOf(fmt.Sprint("e", i), 64, cacheindex.Query{}), time.Now())
		}
		request := askOf("e1", 64, cacheindex.Query{Listed: true})
		request.Document, request.Weights, request.Roster = 1, 99, 99
		request.Term = l.elected
		go func() {
			time.Sleep(30 * time.Millisecond)
			l.steward.book.add("store:1", StoreEvents{Incarnation: 1, Next: 6, Changes: []cacheindex.Change{
				{Key: cacheindex.Key{Salt: "m.2", Part: "q"}, Tokens: 5000},
			}})
		}()
		asked := time.Now()
		if l.steward.watch(t.Context(), entryPeer("e1"), request); time.Since(asked) != watchWait {
			t.Errorf("answered after %v", time.Since(asked))
		}
		time.Sleep(watchWait)
	})
}

// A host passes on how many entries it was told of, so that a leader without memory
// knows it from the first call.
func TestFollowerTellsHowManyEntriesItWasToldOf(t *testing.T) {
	f := NewFollower(FollowerOptions{Self: "e1"})
	f.take(&watched{answer: WatchAnswer{Term: 3, EntryCount: 64}, sent: time.Now()}, func(*WatchAnswer, time.Time) {})
	request := &WatchRequest{}
	f.describe(request, "c1", time.Now())
	if request.Entries != 64 {
		t.Errorf("told of %d entries", request.Entries)
	}
}

// askedSources counts the questions to each address.
type askedSources struct {
	mu    sync.Mutex
	asked map[string]int
}

func (a *askedSources) List(_ context.Context, address string) (StoreEvents, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asked[address]++
	return StoreEvents{Incarnation: 1, Next: 5, Clock: 1000}, nil
}

func (a *askedSources) Events(ctx context.Context, address string, _ uint64, wait time.Duration) (StoreEvents, error) {
	time.Sleep(wait + time.Millisecond)
	return a.List(ctx, address)
}

func (a *askedSources) Free(context.Context, string, uint64, []cacheindex.Key, int64) error {
	return nil
}

// Callers get no answer after a restart of all control hosts of a large fleet: before
// the first entry calls, the new leader takes the fleet for a small one and reads what
// all runners have cached. In a small fleet it must, as soon as an entry has called.
func TestRunnersCachesAreReadOnceTheSizeOfTheFleetIsKnown(t *testing.T) {
	for _, entries := range []int{64, 3} {
		synctest.Test(t, func(t *testing.T) {
			l := restartedLeader()
			l.steward.machine.applyDocument(&catalog.Document{Version: 2, Source: []byte("x"), Services: []catalog.Service{
				{Name: "llm", Engine: &catalog.Engine{Slots: 4, MemoryTokens: 50000}},
				{Name: "store", Store: &catalog.Store{Address: "store:1", CapacityTokens: 1000000}},
			}})
			sources := &askedSources{asked: make(map[string]int)}
			l.steward.options.Stores = sources
			l.steward.machine.lives["store:1"] = 1
			ctx, cancel := context.WithCancel(t.Context())
			go l.shelves.run(ctx)
			time.Sleep(100 * time.Millisecond)
			l.steward.watch(ctx, entryPeer("e1"), askOf("e1", entries, cacheindex.Query{Listed: true}))
			time.Sleep(700 * time.Millisecond)
			sources.mu.Lock()
			if small := entries <= cacheWatchers; (sources.asked["a:1"] > 0) != small || sources.asked["store:1"] == 0 {
				t.Errorf("with %d entries: asked %v", entries, sources.asked)
			}
			sources.mu.Unlock()
			cancel()
			time.Sleep(2 * time.Second)
		})
	}
}

// The same after a restart of all hosts, entries included: nobody was told how many there
// are, and the first that call are some of hundreds.
func TestRunnersCachesAreNotReadForTheFirstEntriesAfterARestartOfEverything(t *testing.T) {
	for _, entries := range []int{64, 3} {
		synctest.Test(t, func(t *testing.T) {
			l := restartedLeader()
			l.steward.machine.applyDocument(&catalog.Document{Version: 2, Source: []byte("x"), Services: []catalog.Service{
				{Name: "llm", Engine: &catalog.Engine{Slots: 4, MemoryTokens: 50000}},
				{Name: "store", Store: &catalog.Store{Address: "store:1", CapacityTokens: 1000000}},
			}})
			sources := &askedSources{asked: make(map[string]int)}
			l.steward.options.Stores = sources
			l.steward.machine.lives["store:1"] = 1
			ctx, cancel := context.WithCancel(t.Context())
			go l.shelves.run(ctx)
			began := time.Now()
			var calling sync.WaitGroup
			for i := range entries {
				calling.Go(func() {
					name := fmt.Sprint("e", i)
					time.Sleep(time.Duration(i) * 20 * time.Millisecond)
					follower := NewFollower(FollowerOptions{Self: ident.Host(name)})
					for ; time.Since(began) < relaysWithin+time.Second; time.Sleep(watchWait) {
						// Those that were answered tell how many they were told of.
						sent := time.Now()
						request := askOf(name, 0, cacheindex.Query{Listed: true})
						follower.describe(request, "c1", sent)
						if answer := l.steward.watch(ctx, entryPeer(name), request); !answer.Redirect {
							follower.take(&watched{answer: *answer, sent: sent}, func(*WatchAnswer, time.Time) {})
						}
					}
				})
			}
			calling.Wait()
			sources.mu.Lock()
			if small := entries <= cacheWatchers; (sources.asked["a:1"] > 0) != small {
				t.Errorf("with %d entries: asked %v", entries, sources.asked)
			}
			sources.mu.Unlock()
			cancel()
			time.Sleep(2 * time.Second)
		})
	}
}
