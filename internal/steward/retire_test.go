package steward

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/cacheindex"
	"github.com/lovagereach/lovagereach/roster"
)

var interleavings = flag.Int("interleavings", 60, "seeds of TestNoFetchMeetsAFree")

// The shares of former weights go as their runners do, the same parts first.
func TestOutdatedPartsGoWithTheirRunners(t *testing.T) {
	runner := func(id string, version uint64) roster.Upstream {
		return roster.Upstream{ID: id, State: roster.Serving, Loaded: []roster.Loaded{{Model: "m.x", Version: version}}}
	}
	live := []roster.Upstream{runner("a", 3), runner("b", 2), runner("c", 2), runner("d", 2), {ID: "app"}}
	passed := passedBy(live)
	for version, want := range map[uint64]float64{1: 1, 2: 0.25, 3: 0, 9: 0} {
		if got := passed("m.x", version); got != want {
			t.Errorf("version %d: %v passed, want %v", version, got, want)
		}
	}
	if passed("other", 1) != 0 {
		t.Error("parts of a model without runners count as outdated")
	}
	var parts []cacheindex.Change
	for i := range 1000 {
		parts = append(parts, cacheindex.Change{Key: cacheindex.Key{Salt: cacheindex.Salt("m.x", 2, "team"), Part: fmt.Sprint(i)}, Tokens: 5})
	}
	parts = append(parts, cacheindex.Change{Key: cacheindex.Key{Salt: "strange", Part: "x"}, Tokens: 5})
	first := cacheindex.Outdated(parts, passed)
	if len(first) < 200 || len(first) > 300 {
		t.Fatalf("%d of 1000 parts with a quarter of the runners gone on", len(first))
	}
	again := cacheindex.Outdated(parts, func(string, uint64) float64 { return 0.5 })
	chosen := make(map[string]bool)
	for _, part := range again {
		chosen[part.Key.Part] = true
	}
	for _, part := range first {
		if !chosen[part.Key.Part] {
			t.Fatalf("part %s is outdated at a quarter and not at a half", part.Key.Part)
		}
	}
}

// A store that keeps every part of former weights has no room for those that are
// read now. The leader frees them, under its own lead only and in time.
func TestFormerWeightsAreFreed(t *testing.T) {
	f := newFleet(t)
	f.startThree()
	old := cacheindex.Key{Salt: cacheindex.Salt("m", 1, ""), Part: "old"}
	fresh := cacheindex.Key{Salt: cacheindex.Salt("m", 2, ""), Part: "fresh"}
	f.stores.add(cacheindex.Change{Key: old, Tokens: 90})
	f.stores.add(cacheindex.Change{Key: fresh, Tokens: 5})
	u := roster.Upstream{ID: "r", Service: "llm", Address: "r:1", State: roster.Serving, Sequence: 1, Loaded: []roster.Loaded{{Model: "m", Version: 2}}}
	d := testDocument(1, "one")
	d.Services[1].Store.Managed, d.Services[1].Store.CapacityTokens = true, 100
	f.await("an acknowledgement of the configuration", func() bool {
		_, err := f.any().PutDocument(context.Background(), d)
		return err == nil
	})
	f.await("an acknowledgement", func() bool { return f.any().Announce(context.Background(), u) == nil })
	var retired time.Time
	f.await("the part is retired", func() bool {
		lead := f.leader()
		if lead == nil {
			return false
		}
		lead.book.mu.Lock()
		defer lead.book.mu.Unlock()
		retired = time.Now()
		return lead.book.book.Retired("store:1", old)
	})
	f.await("it is freed", func() bool { f.stores.mu.Lock(); defer f.stores.mu.Unlock(); return len(f.stores.freed) > 0 })
	f.stores.mu.Lock()
	defer f.stores.mu.Unlock()
	freed := f.stores.freed[0]
	if len(f.stores.freed) != 1 || freed.key != old || freed.until <= 5000 {
		t.Fatalf("freed %+v", f.stores.freed)
	}
	// The test saw the retiring at most one poll late.
	if waited := freed.at.Sub(retired); waited < InventoryMaxAge+FetchPermit {
		t.Fatalf("freed %v after it was retired; an entry may fetch it for %v", waited, InventoryMaxAge+FetchPermit)
	}
}

// interleaving plays leaders, entries, readers, writers and one store against
// each other, in steps of virtual time.
type interleaving struct {
	t    *testing.T
	r    *rand.Rand
	now  time.Time
	step time.Duration
	due  map[int64][]func()

	// store is the state of the store: parts that are whole or being written.
	life    uint64
	whole   map[cacheindex.Key]bool
	writing map[cacheindex.Key]int
	events  []cacheindex.Change
	// fetches are those that have begun and not ended.
	fetches map[*fetch]bool

	hosts   []*simHost
	leader  int
	term    uint64
	version uint64
	// loaded is the share of runners with the newest version.
	loaded  float64
	entries []*simEntry
	freed   int
	fetched int
}

type fetch struct{ key cacheindex.Key }

// simHost is a control host; it believes that it leads until it is told.
type simHost struct {
	book    *cacheindex.Index
	leads   bool
	elected uint64
	retirer *retirer
	// asked is when a host that doesn't lead last had the leader's word.
	asked time.Time
}

type simEntry struct {
	book *cacheindex.Index
	at   time.Time
	term uint64
	// asking tells that a question is under way; an entry asks one at a time.
	asking bool
	// deaf is until when it hears nothing.
	deaf time.Time
	// saving are parts on their way to the store.
	saving map[cacheindex.Key]time.Time
}

func (w *interleaving) after(d time.Duration, do func()) {
	at := max(w.now.Add(d).UnixNano(), w.now.Add(w.step).UnixNano()) / int64(w.step)
	w.due[at] = append(w.due[at], do)
}

func (w *interleaving) upTo(d time.Duration) time.Duration {
	return time.Duration(w.r.Int64N(int64(d)))
}

func (w *interleaving) elect(host int) {
	for i, h := range w.hosts {
		if i != host && h.leads {
			// The one before does not know for a while.
			w.after(w.upTo(400*time.Millisecond), func() {
				if i != w.leader {
					h.leads = false
				}
			})
		}
	}
	w.term++
	w.leader = host
	h := w.hosts[host]
	h.leads, h.elected, h.retirer = true, w.term, newRetirer(nil)
	h.book.StartTerm(w.term)
}

// poll brings a leading host's book up to the store.
func (w *interleaving) poll(h *simHost) {
	next, known := h.book.Next("s")
	var records []cacheindex.Record
	if !known || h.book.Inventory("s").Incarnation() != w.life {
		records = []cacheindex.Record{{Address: "s", Cleared: true, Incarnation: w.life}}
		for key := range w.whole {
			records = append(records, cacheindex.Record{Address: "s", Change: cacheindex.Change{Key: key, Tokens: 1}})
		}
	} else {
		for _, change := range w.events[next:] {
			records = append(records, cacheindex.Record{Address: "s", Change: change})
		}
	}
	if len(records) > 0 {
		records[len(records)-1].Next = uint64(len(w.events))
		h.book.Write(records...)
	}
}

// tend is the retirer's work, with its own decisions.
func (w *interleaving) tend(host int) {
	h := w.hosts[host]
	parts := h.book.Inventory("s").All()
	due := h.retirer.due("s", parts, w.now)
	if len(due) > 0 && host == w.leader {
		// The commit proves the leadership as of now; the order takes effect
		// later or never.
		life, until := h.book.Inventory("s").Incarnation(), w.now.Add(freeWithin)
		w.after(w.upTo(2*freeWithin), func() { w.free(due, life, until) })
	}
	var records []cacheindex.Record
	for _, part := range cacheindex.Outdated(parts, func(_ string, version uint64) float64 {
		if version < w.version {
			return w.loaded
		}
		return 0
	}) {
		h.retirer.since["s"][part.Key] = w.now
		records = append(records, cacheindex.Record{Address: "s", Change: cacheindex.Change{Key: part.Key, Tokens: -part.Tokens}})
	}
	if next, known := h.book.Next("s"); known && len(records) > 0 {
		records[len(records)-1].Next = next
		h.book.Write(records...)
	}
}

func (w *interleaving) free(keys []cacheindex.Key, life uint64, until time.Time) {
	if life != w.life || w.now.After(until) {
		return
	}
	for _, key := range keys {
		for f := range w.fetches {
			if f.key == key {
				w.t.Fatalf("%v is freed while it is fetched", key)
			}
		}
		if w.whole[key] {
			delete(w.whole, key)
			w.events = append(w.events, cacheindex.Change{Key: key})
			w.freed++
		}
	}
}

func (w *interleaving) restart() {
	w.life++
	w.whole, w.writing, w.events = make(map[cacheindex.Key]bool), make(map[cacheindex.Key]int), nil
	w.fetches = make(map[*fetch]bool)
}

// ask has an entry ask a host, whose answer takes a while.
func (w *interleaving) ask(e *simEntry, h *simHost) {
	if e.asking {
		return
	}
	e.asking = true
	sent, question := w.now, e.book.Ask()
	w.after(w.upTo(60*time.Millisecond), func() {
		age := time.Duration(0)
		if !h.leads {
			age = w.now.Sub(h.asked)
		}
		if age > branchFresh {
			e.asking = false
			return
		}
		update, term := h.book.Answer(&question), h.book.At().Term
		w.after(w.upTo(60*time.Millisecond), func() {
			e.asking = false
			if term < e.term {
				return
			}
			e.term = term
			if e.book.Apply(&update) {
				e.at = sent.Add(-age)
			}
		})
	})
}

// use has an entry send a prompt that fetches or keeps a part.
func (w *interleaving) use(e *simEntry) {
	key := cacheindex.Key{Salt: cacheindex.Salt("m", w.version-uint64(w.r.IntN(2)), ""), Part: fmt.Sprint(w.r.IntN(12))}
	if w.now.Sub(e.at) >= InventoryMaxAge || e.book.Inconsistent() {
		return
	}
	permit, life := w.now.Add(FetchPermit), w.life
	switch {
	case e.book.ReadableTokens("s", key) > 0:
		w.after(w.upTo(FetchPermit), func() {
			if !w.whole[key] || w.life != life {
				return // a miss
			}
			f := &fetch{key: key}
			w.fetches[f] = true
			w.fetched++
			w.after(min(w.upTo(2*FetchPermit), permit.Sub(w.now)), func() { delete(w.fetches, f) })
		})
	case !e.book.Retired("s", key) && w.now.After(e.saving[key]):
		e.saving[key] = w.now.Add(2 * time.Second)
		w.after(w.upTo(800*time.Millisecond), func() {
			if w.whole[key] || w.writing[key] > 0 {
				return
			}
			writes := w.life
			w.writing[key]++
			w.after(w.upTo(500*time.Millisecond), func() {
				if writes == w.life {
					delete(w.writing, key)
					w.whole[key] = true
					w.events = append(w.events, cacheindex.Change{Key: key, Tokens: 1})
				}
			})
		})
	}
}

func (w *interleaving) play(lasts time.Duration) {
	electable := w.now
	for end := w.now.Add(lasts); w.now.Before(end); w.now = w.now.Add(w.step) {
		at := w.now.UnixNano() / int64(w.step)
		for _, do := range w.due[at] {
			do()
		}
		delete(w.due, at)
		tick := int(at)
		for i, h := range w.hosts {
			switch {
			case h.leads && tick%4 == 0 && w.r.IntN(5) > 0:
				w.poll(h)
			case h.leads && tick%50 == i:
				w.tend(i)
				if i == w.leader {
					electable = w.now.Add(electionMin)
				}
			case !h.leads && tick%7 == i && w.hosts[w.leader].leads:
				question := h.book.Ask()
				update := w.hosts[w.leader].book.Answer(&question)
				if h.book.Apply(&update) {
					h.asked = w.now
				}
			}
		}
		for _, e := range w.entries {
			if w.r.IntN(150) == 0 {
				e.deaf = w.now.Add(w.upTo(2 * InventoryMaxAge))
			}
			if w.r.IntN(10) == 0 && w.now.After(e.deaf) {
				w.ask(e, w.hosts[w.r.IntN(len(w.hosts))])
			}
			if w.r.IntN(4) == 0 {
				w.use(e)
			}
		}
		switch n := w.r.IntN(2000); {
		case n < 4 && w.now.After(electable):
			w.elect(w.r.IntN(len(w.hosts)))
		case n == 4:
			w.restart()
		case n < 8:
			w.version++
			w.loaded = 0
		case n < 40:
			w.loaded = min(1, w.loaded+0.25)
		}
	}
}

// A caller is answered from memory that is no longer its prompt's if a part is
// freed while a runner fetches it. Whatever leaders, entries, stores and late
// orders do, a fetch that an entry has permitted never meets a free.
func TestNoFetchMeetsAFree(t *testing.T) {
	freed, fetched := 0, 0
	for seed := range uint64(*interleavings) {
		w := &interleaving{
			t: t, r: rand.New(rand.NewPCG(seed, 4)), now: time.Unix(1_000_000, 0), step: 10 * time.Millisecond,
			due: make(map[int64][]func()), version: 2, entries: make([]*simEntry, 4),
		}
		w.restart()
		for range 3 {
			w.hosts = append(w.hosts, &simHost{book: cacheindex.NewIndex(true)})
		}
		for i := range w.entries {
			w.entries[i] = &simEntry{book: cacheindex.NewIndex(false), saving: make(map[cacheindex.Key]time.Time)}
		}
		w.elect(0)
		w.play(40 * time.Second)
		freed += w.freed
		fetched += w.fetched
	}
	if freed < *interleavings || fetched < 10**interleavings {
		t.Fatalf("%d parts freed and %d fetches in %d runs: too little happened", freed, fetched, *interleavings)
	}
	t.Logf("%d parts freed, %d fetches", freed, fetched)
}
