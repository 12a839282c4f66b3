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

// source is a store with events that are numbered as they happen.
type source struct {
	life   uint64
	parts  map[Key]int
	events []Change
}

func (s *source) step(r *rand.Rand) {
	if r.IntN(400) == 0 {
		*s = source{life: s.life + 1, parts: make(map[Key]int)}
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

// poll brings a leader's book up to date with a source.
func poll(b *Index, address string, s *source) {
	next, known := b.Next(address)
	var records []Record
	if !known || b.Inventory(address).Incarnation() != s.life {
		records = append(records, Record{Address: address, Cleared: true, Incarnation: s.life})
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
	b.Write(records...)
}

func partsOf(s *Inventory) map[Key]int {
	parts := make(map[Key]int)
	for _, change := range s.All() {
		parts[change.Key] = change.Tokens
	}
	return parts
}

// A caller is answered from memory that was never made if an entry believes a
// part whole that isn't. Whatever leaders follow one another, and whichever
// host an entry asks, what it holds must be what some leader held at one
// moment, and it must get there.
func TestReadersHoldWhatOneMomentHeld(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			addresses := []string{"a", "b", "c"}
			sources := make(map[string]*source)
			for _, address := range addresses {
				sources[address] = &source{life: 1, parts: make(map[Key]int)}
			}
			hosts := []*Index{NewIndex(true), NewIndex(true), NewIndex(true)}
			entries := []*Index{NewIndex(false), NewIndex(false), NewIndex(false), NewIndex(false)}
			for _, host := range hosts {
				host.kept, host.paged = 20+int(seed)*5, 4+int(seed)
			}
			// moments are the shelves of the leader by position.
			moments := make(map[Position]map[string]map[Key]int)
			note := func(b *Index) {
				held := make(map[string]map[Key]int)
				for _, address := range b.Addresses() {
					held[address] = partsOf(b.Inventory(address))
				}
				moments[b.At()] = held
			}
			leader, term := 0, uint64(1)
			hosts[0].StartTerm(term)
			note(hosts[0])
			check := func(b *Index) {
				held := moments[b.At()]
				if held == nil {
					t.Fatalf("complete at %v, which no leader was at", b.At())
				}
				for _, address := range b.Addresses() {
					if got := partsOf(b.Inventory(address)); !maps.Equal(got, held[address]) {
						t.Fatalf("at %v %s holds %v, the leader held %v", b.At(), address, got, held[address])
					}
				}
			}
			follow := func(reader, from *Index) {
				question := reader.Ask()
				update := from.Answer(&question)
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
					note(hosts[leader])
				case n < 85:
					if i := r.IntN(3); i != leader {
						follow(hosts[i], hosts[leader])
					}
				case n < 98:
					follow(entries[r.IntN(4)], hosts[r.IntN(3)])
				case n < 99:
					leader = r.IntN(3)
					term++
					hosts[leader].StartTerm(term)
					note(hosts[leader])
				default:
					hosts[leader].Forget(addresses[r.IntN(3)])
					note(hosts[leader])
				}
			}
			for _, address := range addresses {
				poll(hosts[leader], address, sources[address])
				note(hosts[leader])
			}
			for i, host := range hosts {
				if i != leader {
					settle(t, host, hosts[leader], check)
				}
			}
			for i, entry := range entries {
				settle(t, entry, hosts[i%3], check)
				if entry.At() != hosts[leader].At() {
					t.Fatalf("an entry ended at %v, the leader is at %v", entry.At(), hosts[leader].At())
				}
			}
		})
	}
}

func settle(t *testing.T, reader, from *Index, check func(*Index)) {
	t.Helper()
	for range 100 {
		question := reader.Ask()
		update := from.Answer(&question)
		if reader.Apply(&update) {
			check(reader)
			return
		}
	}
	t.Fatal("never complete")
}

// An election must not make every entry read every listing again: a reader that
// lacks one change is told one change by the next leader.
func TestNextLeaderTellsOnlyWhatIsMissing(t *testing.T) {
	first, second, entry := NewIndex(true), NewIndex(true), NewIndex(false)
	first.StartTerm(1)
	records := []Record{{Address: "a", Cleared: true, Incarnation: 9}}
	for i := range 5000 {
		records = append(records, Record{Address: "a", Change: Change{Key: Key{Part: fmt.Sprint(i)}, Tokens: 1}})
	}
	records[5000].Next = 5000
	first.Write(records...)
	settle(t, second, first, func(*Index) {})
	settle(t, entry, first, func(*Index) {})
	second.StartTerm(2)
	second.Write(Record{Address: "a", Change: Change{Key: Key{Part: "new"}, Tokens: 1}, Next: 5001})
	question := entry.Ask()
	if update := second.Answer(&question); !update.Unknown {
		t.Fatalf("a position of another term was taken for one of this: %+v", update)
	} else {
		entry.Apply(&update)
	}
	question = entry.Ask()
	update := second.Answer(&question)
	if len(unfold(update.Batches)) != 1 || !entry.Apply(&update) || entry.Inventory("a").ReadableTokens(Key{Part: "new"}) != 1 {
		t.Fatalf("told %d records", len(unfold(update.Batches)))
	}
}

// A listing larger than an entry's link carries before it gives up would be
// asked for again for ever.
func TestLargeListingsComeInPages(t *testing.T) {
	book, entry := NewIndex(true), NewIndex(false)
	book.StartTerm(1)
	for s := range 12 {
		address := fmt.Sprint("store", s)
		book.Write(Record{Address: address, Cleared: true, Incarnation: 1})
		for i := range 1500 {
			book.Write(Record{Address: address, Change: Change{Key: Key{Part: fmt.Sprint(i)}, Tokens: 1}, Next: uint64(i + 1)})
		}
	}
	for pages := 1; ; pages++ {
		question := entry.Ask()
		update := book.Answer(&question)
		if len(unfold(update.Batches)) > PageRecords+1501 {
			t.Fatalf("a page of %d records", len(unfold(update.Batches)))
		}
		if entry.Apply(&update) {
			break
		}
		if !entry.Inconsistent() {
			t.Fatal("a part of the shelves passed for all")
		}
		if pages > 12 {
			t.Fatal("the listing does not end")
		}
	}
	if entry.Inventory("store11").Len() != 1500 {
		t.Fatal("the last store is not held whole")
	}
	// The journal holds less than all of them: a reader that lagged beyond it
	// must not be told the tail for the whole.
	late := NewIndex(false)
	question := Query{Listed: true, Progress: []Progress{{Address: "store0", Incarnation: 1, Next: 10}}}
	update := book.Answer(&question)
	late.Apply(&update)
	if late.Inventory("store0").Len() != 1500 {
		t.Fatalf("store0 is told with %d parts", late.Inventory("store0").Len())
	}
}

// A reader counts the records that it is told to know its place. Folding them
// for the wire must neither add nor lose one.
func TestFoldedRecordsAreTheSame(t *testing.T) {
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
		if got := unfold(fold(records)); !slices.Equal(got, records) {
			t.Fatalf("folded %+v\ngot back %+v", records, got)
		}
	}
}

// restarted is the book of a leader that has listed its stores since its start,
// while a reader from before knows their lives and not their last events.
func restarted(stores, parts, salts int) (*Index, Query) {
	book := NewIndex(true)
	book.StartTerm(2)
	question := Query{Listed: true}
	for s := range stores {
		address := fmt.Sprint("store", s)
		records := []Record{{Address: address, Cleared: true, Incarnation: 7}}
		for i := range parts {
			key := Key{Salt: fmt.Sprint("salt", i%salts), Part: fmt.Sprint(i)}
			records = append(records, Record{Address: address, Change: Change{Key: key, Tokens: 1}})
		}
		records[parts].Next = 5000
		book.Write(records...)
		question.Progress = append(question.Progress, Progress{Address: address, Incarnation: 7, Next: 5000})
	}
	return book, question
}

// allocated is how many bytes one call of f allocates, at the least of several.
func allocated(f func()) uint64 {
	least := uint64(math.MaxUint64)
	for range 5 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		f()
		runtime.ReadMemStats(&after)
		least = min(least, after.TotalAlloc-before.TotalAlloc)
	}
	return least
}

// Callers wait for seconds after an election: all entries ask the new leader by
// source, nearly up to date, and each question has it copy the whole journal. Its
// heartbeats come after that, too late, and the next host is elected for the same.
// A question must cost what it is answered, not what the book has seen.
func TestAQuestionCostsWhatItIsAnswered(t *testing.T) {
	book, question := restarted(10, 800, 3)
	if got := allocated(func() { book.Answer(&question) }); got > 32<<10 {
		t.Errorf("telling a reader that nothing is missing takes %d bytes", got)
	}
	book.Write(Record{Address: "store0", Change: Change{Key: Key{Salt: "salt0", Part: "new"}, Tokens: 1}, Next: 5001})
	if got := allocated(func() { book.Answer(&question) }); got > 32<<10 {
		t.Errorf("telling one part takes %d bytes", got)
	}
	if update := book.Answer(&question); len(unfold(update.Batches)) != 1 || update.More {
		t.Errorf("told %d records", len(unfold(update.Batches)))
	}
}

// After a restart of all control hosts each reader must be told each store whole.
// Where parts of several salts stand in a store, each part came as a sheet of its
// own, with the names of store and salt: the leader and the entries' links were
// busy with these until the leader was lost.
func TestAShelfIsToldWithOneSheetForEachSalt(t *testing.T) {
	book, question := restarted(2, 900, 3)
	for _, held := range [][]Progress{nil, {{Address: "store0", Incarnation: 7, Next: 4990}, {Address: "store1", Incarnation: 7, Next: 4990}}} {
		question.Progress = held
		update := book.Answer(&question)
		if len(unfold(update.Batches)) != 2*901 || len(update.Batches) > 2*3 {
			t.Errorf("%d records in %d sheets to a reader with %v", len(unfold(update.Batches)), len(update.Batches), held)
		}
	}
}
