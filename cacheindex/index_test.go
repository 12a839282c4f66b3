package cacheindex

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
)

// source is a store with numbered events.
type source struct {
	incarnation uint64
	parts       map[Key]int
	events      []Change
}

func (s *source) step(r *rand.Rand) {
	if r.IntN(400) == 0 {
		*s = source{incarnation: s.incarnation + 1, parts: make(map[Key]int)}
		return
	}
	change := Change{Key: Key{Salt: "s", Part: fmt.Sprint(r.IntN(60))}, Tokens: r.IntN(3) * 100}
	if change.Tokens == 0 {
		delete(s.parts, change.Key)
	} else {
		s.parts[change.Key] = change.Tokens
	}
	s.events = append(s.events, change)
}

// poll updates a leader's index from a source.
func poll(x *Index, address string, s *source) {
	next, known := x.Next(address)
	var records []Record
	if !known || x.Inventory(address).Incarnation() != s.incarnation {
		records = append(records, Record{Address: address, Cleared: true, Incarnation: s.incarnation})
		for key, tokens := range s.parts {
			records = append(records, Record{Address: address, Change: Change{Key: key, Tokens: tokens}})
		}
	} else {
		for _, change := range s.events[next:] {
			records = append(records, Record{Address: address, Change: change})
		}
	}
	if len(records) == 0 {
		return
	}
	records[len(records)-1].Next = uint64(len(s.events))
	x.Write(records...)
}

func partsOf(s *Inventory) map[Key]int {
	parts := make(map[Key]int)
	for _, change := range s.All() {
		parts[change.Key] = change.Tokens
	}
	return parts
}

// If an entry takes an incomplete part for complete, a caller is answered from memory that
// was never computed. Whichever leaders follow one another, and whichever host an entry
// queries, its index must equal that of some leader at one point in time, and must become
// complete.
func TestReadersMatchLeaderAtOnePosition(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			addresses := []string{"a", "b", "c"}
			sources := make(map[string]*source)
			for _, address := range addresses {
				sources[address] = &source{incarnation: 1, parts: make(map[Key]int)}
			}
			hosts := []*Index{NewIndex(true), NewIndex(true), NewIndex(true)}
			entries := []*Index{NewIndex(false), NewIndex(false), NewIndex(false), NewIndex(false)}
			for _, host := range hosts {
				host.logLimit, host.pageLimit = 20+int(seed)*5, 4+int(seed)
			}
			// states holds the leader's inventories by position.
			states := make(map[Position]map[string]map[Key]int)
			record := func(x *Index) {
				held := make(map[string]map[Key]int)
				for _, address := range x.Addresses() {
					held[address] = partsOf(x.Inventory(address))
				}
				states[x.At()] = held
			}
			leader, term := 0, uint64(1)
			hosts[0].StartTerm(term)
			record(hosts[0])
			check := func(x *Index) {
				held := states[x.At()]
				if held == nil {
					t.Fatalf("complete at position %v, which no leader had", x.At())
				}
				for _, address := range x.Addresses() {
					if got := partsOf(x.Inventory(address)); !maps.Equal(got, held[address]) {
						t.Fatalf("at position %v the inventory of %s is %v, the leader's was %v", x.At(), address, got, held[address])
					}
				}
			}
			sync := func(reader, from *Index) {
				query := reader.NextQuery()
				update := from.Answer(&query)
				if reader.Apply(&update) {
					check(reader)
				}
			}
			for range 4000 {
				switch n := r.IntN(100); {
				case n < 55:
					sources[addresses[r.IntN(3)]].step(r)
				case n < 75:
					address := addresses[r.IntN(3)]
					poll(hosts[leader], address, sources[address])
					record(hosts[leader])
				case n < 85:
					if i := r.IntN(3); i != leader {
						sync(hosts[i], hosts[leader])
					}
				case n < 98:
					sync(entries[r.IntN(4)], hosts[r.IntN(3)])
				case n < 99:
					leader = r.IntN(3)
					term++
					hosts[leader].StartTerm(term)
					record(hosts[leader])
				default:
					hosts[leader].Forget(addresses[r.IntN(3)])
					record(hosts[leader])
				}
			}
			for _, address := range addresses {
				poll(hosts[leader], address, sources[address])
				record(hosts[leader])
			}
			for i, host := range hosts {
				if i != leader {
					complete(t, host, hosts[leader], check)
				}
			}
			for i, entry := range entries {
				complete(t, entry, hosts[i%3], check)
				if entry.At() != hosts[leader].At() {
					t.Fatalf("an entry ended at position %v, the leader is at %v", entry.At(), hosts[leader].At())
				}
			}
		})
	}
}

func complete(t *testing.T, reader, from *Index, check func(*Index)) {
	t.Helper()
	for range 100 {
		query := reader.NextQuery()
		update := from.Answer(&query)
		if reader.Apply(&update) {
			check(reader)
			return
		}
	}
	t.Fatal("the index did not become complete in 100 queries")
}

// An election must not make every entry fetch every inventory again: a reader that lacks
// one change must get one change from the next leader.
func TestNextLeaderSendsOnlyMissingRecords(t *testing.T) {
	first, second, entry := NewIndex(true), NewIndex(true), NewIndex(false)
	first.StartTerm(1)
	records := []Record{{Address: "a", Cleared: true, Incarnation: 9}}
	for i := range 5000 {
		records = append(records, Record{Address: "a", Change: Change{Key: Key{Part: fmt.Sprint(i)}, Tokens: 1}})
	}
	records[5000].Next = 5000
	first.Write(records...)
	complete(t, second, first, func(*Index) {})
	complete(t, entry, first, func(*Index) {})
	second.StartTerm(2)
	second.Write(Record{Address: "a", Change: Change{Key: Key{Part: "new"}, Tokens: 1}, Next: 5001})
	query := entry.NextQuery()
	if update := second.Answer(&query); !update.Unknown {
		t.Fatalf("a position of another term was accepted: %+v", update)
	} else {
		entry.Apply(&update)
	}
	query = entry.NextQuery()
	update := second.Answer(&query)
	if len(toRecords(update.Batches)) != 1 || !entry.Apply(&update) || entry.Inventory("a").ReadableTokens(Key{Part: "new"}) != 1 {
		t.Fatalf("got %d records, want 1", len(toRecords(update.Batches)))
	}
}

// If an inventory were too large for an entry to receive before its timeout, the entry
// would request it again forever.
func TestLargeIndexesAreSentInPages(t *testing.T) {
	index, entry := NewIndex(true), NewIndex(false)
	index.StartTerm(1)
	for s := range 12 {
		address := fmt.Sprint("store", s)
		index.Write(Record{Address: address, Cleared: true, Incarnation: 1})
		for i := range 1500 {
			index.Write(Record{Address: address, Change: Change{Key: Key{Part: fmt.Sprint(i)}, Tokens: 1}, Next: uint64(i + 1)})
		}
	}
	for pages := 1; ; pages++ {
		query := entry.NextQuery()
		update := index.Answer(&query)
		if len(toRecords(update.Batches)) > PageRecords+1501 {
			t.Fatalf("a page has %d records", len(toRecords(update.Batches)))
		}
		if entry.Apply(&update) {
			break
		}
		if !entry.Inconsistent() {
			t.Fatal("an index with a part of the inventories is not inconsistent")
		}
		if pages > 12 {
			t.Fatal("the index is not complete after 12 pages")
		}
	}
	if entry.Inventory("store11").Len() != 1500 {
		t.Fatal("the inventory of the last store is not complete")
	}
	// The change log does not hold all records: a reader that lagged beyond it must not get
	// only the latest ones as the complete inventory.
	lagging := NewIndex(false)
	query := Query{ByProgress: true, Progress: []Progress{{Address: "store0", Incarnation: 1, Next: 10}}}
	update := index.Answer(&query)
	lagging.Apply(&update)
	if lagging.Inventory("store0").Len() != 1500 {
		t.Fatalf("got %d parts of store0, want 1500", lagging.Inventory("store0").Len())
	}
}

// A reader counts the records that it receives to know its position. Converting them to
// batches for the wire must neither add nor lose one.
func TestBatchesKeepAllRecords(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		var records []Record
		for range r.IntN(12) {
			record := Record{Address: fmt.Sprint("s", r.IntN(2))}
			if r.IntN(5) == 0 {
				record.Cleared, record.Incarnation = true, uint64(r.IntN(3))
			} else {
				record.Change = Change{Key: Key{Salt: fmt.Sprint(r.IntN(2)), Part: fmt.Sprint(r.IntN(9))}, Tokens: r.IntN(2) * 7}
			}
			if r.IntN(3) == 0 {
				record.Next = uint64(r.IntN(100))
			}
			records = append(records, record)
		}
		if got := toRecords(toBatches(records)); !slices.Equal(got, records) {
			t.Fatalf("converted %+v\ngot back %+v", records, got)
		}
	}
}

// restarted returns the index of a leader that has listed its stores since its start, and
// the query of a reader that knows their incarnations but not their last events.
func restarted(stores, parts, salts int) (*Index, Query) {
	index := NewIndex(true)
	index.StartTerm(2)
	query := Query{ByProgress: true}
	for s := range stores {
		address := fmt.Sprint("store", s)
		records := []Record{{Address: address, Cleared: true, Incarnation: 7}}
		for i := range parts {
			key := Key{Salt: fmt.Sprint("salt", i%salts), Part: fmt.Sprint(i)}
			records = append(records, Record{Address: address, Change: Change{Key: key, Tokens: 1}})
		}
		records[parts].Next = 5000
		index.Write(records...)
		query.Progress = append(query.Progress, Progress{Address: address, Incarnation: 7, Next: 5000})
	}
	return index, query
}

// allocated returns the number of bytes that one call of f allocates, the lowest of five
// runs.
func allocated(f func()) uint64 {
	lowest := uint64(math.MaxUint64)
	for range 5 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		f()
		runtime.ReadMemStats(&after)
		lowest = min(lowest, after.TotalAlloc-before.TotalAlloc)
	}
	return lowest
}

// After an election all entries query the new leader by progress and are nearly up to date.
// If each query made it copy the whole change log, its heartbeats would be late, the next
// host would be elected with the same result, and callers would wait for seconds. The cost
// of a query must depend on its answer, not on the size of the index.
func TestQueryCostDependsOnAnswer(t *testing.T) {
	index, query := restarted(10, 800, 3)
	if got := allocated(func() { index.Answer(&query) }); got > 32<<10 {
		t.Errorf("the answer to a reader that lacks nothing allocates %d bytes", got)
	}
	index.Write(Record{Address: "store0", Change: Change{Key: Key{Salt: "salt0", Part: "new"}, Tokens: 1}, Next: 5001})
	if got := allocated(func() { index.Answer(&query) }); got > 32<<10 {
		t.Errorf("the answer with one part allocates %d bytes", got)
	}
	if update := index.Answer(&query); len(toRecords(update.Batches)) != 1 || update.More {
		t.Errorf("got %d records, want 1", len(toRecords(update.Batches)))
	}
}

// After a restart of all control hosts each reader needs the complete inventory of each
// store. If each part of a store with several salts were sent as a batch of its own, with
// the names of store and salt, the leader and the entries' links would be busy until the
// leader is lost.
func TestInventoryIsSentInOneBatchPerSalt(t *testing.T) {
	index, query := restarted(2, 900, 3)
	for _, held := range [][]Progress{nil, {{Address: "store0", Incarnation: 7, Next: 4990}, {Address: "store1", Incarnation: 7, Next: 4990}}} {
		query.Progress = held
		update := index.Answer(&query)
		if len(toRecords(update.Batches)) != 2*901 || len(update.Batches) > 2*3 {
			t.Errorf("%d records in %d batches for a reader with progress %v", len(toRecords(update.Batches)), len(update.Batches), held)
		}
	}
}

// Guards against an update of another release that lacks the tokens of its parts: it ends the process, or counts
// as applied.
func TestUpdateWithoutTokensIsNotApplied(t *testing.T) {
	for _, tokens := range [][]int{nil, {5}, {5, 6, 7}} {
		index := NewIndex(true)
		index.Apply(&Update{At: Position{Term: 1, Next: 2}, Batches: []Batch{{Address: "store:1", Cleared: true, Incarnation: 1, Next: 2}}})
		index.Apply(&Update{At: Position{Term: 1, Next: 4}, Batches: []Batch{{Address: "store:1", Parts: []string{"a", "b"}, Tokens: tokens, Next: 4}}})
		if next, _ := index.Next("store:1"); next != 2 || index.Complete() || index.Inventory("store:1").Len() != 0 || !index.NextQuery().ByProgress {
			t.Errorf("tokens %v: at %d, complete %v, %v", tokens, next, index.Complete(), index.Inventory("store:1").All())
		}
	}
}
