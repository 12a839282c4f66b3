package steward

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/cacheindex"
	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/roster"
)

var interleavings = flag.Int("interleavings", 60, "seeds of TestNoPartIsFreedDuringFetch")

// Parts of superseded weights become outdated in proportion to the upgraded runners, and always
// the same parts first.
func TestOutdatedPartsFollowUpgradedShare(t *testing.T) {
	runner := func(id string, version uint64) roster.Upstream {
		return roster.Upstream{ID: id, State: roster.Serving, Loaded: []roster.Loaded{{Model: "m.x", Version: version}}}
	}
	live := []roster.Upstream{runner("a", 3), runner("b", 2), runner("c", 2), runner("d", 2), {ID: "app"}}
	upgraded := upgradedShare(live)
	for version, want := range map[uint64]float64{1: 1, 2: 0.25, 3: 0, 9: 0} {
		if got := upgraded("m.x", version); got != want {
			t.Errorf("version %d: upgraded share %v, want %v", version, got, want)
		}
	}
	if upgraded("other", 1) != 0 {
		t.Error("parts of a model without runners count as outdated")
	}
	var parts []cacheindex.Change
	for i := range 1000 {
		parts = append(parts, cacheindex.Change{Key: cacheindex.Key{Salt: cacheindex.Scope{Model: "m.x", Version: 2, Team: "team"}.Salt(), Part: fmt.Sprint(i)}, Tokens: 5})
	}
	parts = append(parts, cacheindex.Change{Key: cacheindex.Key{Salt: "strange", Part: "x"}, Tokens: 5})
	first := cacheindex.Outdated(parts, func(scope cacheindex.Scope) float64 { return upgraded(scope.Model, scope.Version) })
	if len(first) < 200 || len(first) > 300 {
		t.Fatalf("%d of 1000 parts are outdated with a quarter of the runners upgraded", len(first))
	}
	again := cacheindex.Outdated(parts, func(cacheindex.Scope) float64 { return 0.5 })
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

// Guards against a store that keeps every part of superseded weights and has no capacity for
// new ones. The leader frees the old parts, only while it leads and in time.
func TestPartsOfSupersededWeightsAreFreed(t *testing.T) {
	f := newTestGroup(t)
	f.startThree()
	old := cacheindex.Key{Salt: cacheindex.Scope{Model: "m", Version: 1}.Salt(), Part: "old"}
	fresh := cacheindex.Key{Salt: cacheindex.Scope{Model: "m", Version: 2}.Salt(), Part: "fresh"}
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
		lead.index.mu.Lock()
		defer lead.index.mu.Unlock()
		retired = time.Now()
		return lead.index.index.Retired("store:1", old)
	})
	f.await("it is freed", func() bool { f.stores.mu.Lock(); defer f.stores.mu.Unlock(); return len(f.stores.freed) > 0 })
	f.stores.mu.Lock()
	defer f.stores.mu.Unlock()
	freed := f.stores.freed[0]
	if len(f.stores.freed) != 1 || freed.key != old || freed.until <= 5000 {
		t.Fatalf("freed %+v", f.stores.freed)
	}
	// The test observes the retirement at most one poll late.
	if waited := freed.at.Sub(retired); waited < InventoryMaxAge+FetchPermit {
		t.Fatalf("freed %v after it was retired; an entry may fetch it for %v", waited, InventoryMaxAge+FetchPermit)
	}
}

// Guards against a store that fills with parts that no prompt uses any more: those of a former pool, and
// those of a team that is no longer isolated.
func TestPartsOfFormerPoolsAreFreed(t *testing.T) {
	f := newTestGroup(t)
	f.startThree()
	scope := func(s cacheindex.Scope) cacheindex.Key {
		s.Model, s.Version = "m", 1
		return cacheindex.Key{Salt: s.Salt(), Part: "part"}
	}
	unused := []cacheindex.Key{scope(cacheindex.Scope{}), scope(cacheindex.Scope{Team: "released"}), scope(cacheindex.Scope{Team: "gone"})}
	used := []cacheindex.Key{scope(cacheindex.Scope{Pool: 2}), scope(cacheindex.Scope{Team: "isolated"})}
	for _, key := range unused {
		f.stores.add(cacheindex.Change{Key: key, Tokens: 19})
	}
	for version := range catalog.Version(2) {
		d := testDocument(version+1, fmt.Sprint(version))
		d.Services[1].Store.Managed, d.Services[1].Store.CapacityTokens = true, 100
		d.Teams = []catalog.Team{{Name: "isolated", Isolated: version > 0}, {Name: "released"}}
		f.await("an acknowledgement of the configuration", func() bool {
			_, err := f.any().PutDocument(context.Background(), d)
			return err == nil
		})
	}
	for _, key := range used {
		f.stores.add(cacheindex.Change{Key: key, Tokens: 19})
	}
	f.await("the parts are freed", func() bool {
		f.stores.mu.Lock()
		defer f.stores.mu.Unlock()
		return len(f.stores.freed) >= len(unused)
	})
	f.stores.mu.Lock()
	defer f.stores.mu.Unlock()
	for _, freed := range f.stores.freed {
		if !slices.Contains(unused, freed.key) {
			t.Errorf("%v is freed, which prompts use", freed.key)
		}
	}
}

// interleaving simulates leaders, entries, readers, writers and one store against each other,
// in steps of virtual time.
type interleaving struct {
	t    *testing.T
	r    *rand.Rand
	now  time.Time
	step time.Duration
	due  map[int64][]func()

	// The state of the store: parts that are complete or being written.
	incarnation uint64
	complete    map[cacheindex.Key]bool
	writing     map[cacheindex.Key]int
	events      []cacheindex.Change
	// fetches are the fetches in progress.
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

// simHost is a control host; it considers itself the leader until it is notified.
type simHost struct {
	index   *cacheindex.Index
	leads   bool
	elected uint64
	retirer *retirer
	// receivedAt is the time at which a host that doesn't lead last received the leader's
	// state.
	receivedAt time.Time
}

type simEntry struct {
	index *cacheindex.Index
	at    time.Time
	term  uint64
	// inFlight is set while a request is in flight; an entry sends one at a time.
	inFlight bool
	// deaf is the time until which the entry receives nothing.
	deaf time.Time
	// saving are parts being sent to the store.
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
			// The previous leader is not notified for up to 400 ms.
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
	h.index.StartTerm(w.term)
}

// poll updates a leading host's index from the store.
func (w *interleaving) poll(h *simHost) {
	next, known := h.index.Next("s")
	var records []cacheindex.Record
	if !known || h.index.Inventory("s").Incarnation() != w.incarnation {
		records = []cacheindex.Record{{Address: "s", Cleared: true, Incarnation: w.incarnation}}
		for key := range w.complete {
			records = append(records, cacheindex.Record{Address: "s", Change: cacheindex.Change{Key: key, Tokens: 1}})
		}
	} else {
		for _, change := range w.events[next:] {
			records = append(records, cacheindex.Record{Address: "s", Change: change})
		}
	}
	if len(records) > 0 {
		records[len(records)-1].Next = uint64(len(w.events))
		h.index.Write(records...)
	}
}

// maintain does the retirer's work, with the retirer's own decisions.
func (w *interleaving) maintain(host int) {
	h := w.hosts[host]
	parts := h.index.Inventory("s").All()
	due := h.retirer.due("s", parts, w.now)
	if len(due) > 0 && host == w.leader {
		// The commit proves the leadership as of now; the order takes effect later or never.
		incarnation, until := h.index.Inventory("s").Incarnation(), w.now.Add(freeWithin)
		w.after(w.upTo(2*freeWithin), func() { w.free(due, incarnation, until) })
	}
	var records []cacheindex.Record
	for _, part := range cacheindex.Outdated(parts, func(scope cacheindex.Scope) float64 {
		if scope.Version < w.version {
			return w.loaded
		}
		return 0
	}) {
		h.retirer.retiredAt["s"][part.Key] = w.now
		records = append(records, cacheindex.Record{Address: "s", Change: cacheindex.Change{Key: part.Key, Tokens: -part.Tokens}})
	}
	if next, known := h.index.Next("s"); known && len(records) > 0 {
		records[len(records)-1].Next = next
		h.index.Write(records...)
	}
}

func (w *interleaving) free(keys []cacheindex.Key, incarnation uint64, until time.Time) {
	if incarnation != w.incarnation || w.now.After(until) {
		return
	}
	for _, key := range keys {
		for f := range w.fetches {
			if f.key == key {
				w.t.Fatalf("%v is freed while it is fetched", key)
			}
		}
		if w.complete[key] {
			delete(w.complete, key)
			w.events = append(w.events, cacheindex.Change{Key: key})
			w.freed++
		}
	}
}

func (w *interleaving) restart() {
	w.incarnation++
	w.complete, w.writing, w.events = make(map[cacheindex.Key]bool), make(map[cacheindex.Key]int), nil
	w.fetches = make(map[*fetch]bool)
}

// query sends an entry's request to a host, with random delays for the request and the answer.
func (w *interleaving) query(e *simEntry, h *simHost) {
	if e.inFlight {
		return
	}
	e.inFlight = true
	sent, query := w.now, e.index.NextQuery()
	w.after(w.upTo(60*time.Millisecond), func() {
		age := time.Duration(0)
		if !h.leads {
			age = w.now.Sub(h.receivedAt)
		}
		if age > relayFreshness {
			e.inFlight = false
			return
		}
		update, term := h.index.Answer(&query), h.index.At().Term
		w.after(w.upTo(60*time.Millisecond), func() {
			e.inFlight = false
			if term < e.term {
				return
			}
			e.term = term
			if e.index.Apply(&update) {
				e.at = sent.Add(-age)
			}
		})
	})
}

// use sends an entry's prompt that fetches or stores a part.
func (w *interleaving) use(e *simEntry) {
	key := cacheindex.Key{Salt: cacheindex.Scope{Model: "m", Version: w.version - uint64(w.r.IntN(2))}.Salt(), Part: fmt.Sprint(w.r.IntN(12))}
	if w.now.Sub(e.at) >= InventoryMaxAge || e.index.Inconsistent() {
		return
	}
	permit, incarnation := w.now.Add(FetchPermit), w.incarnation
	switch {
	case e.index.ReadableTokens("s", key) > 0:
		w.after(w.upTo(FetchPermit), func() {
			if !w.complete[key] || w.incarnation != incarnation {
				return // a miss
			}
			f := &fetch{key: key}
			w.fetches[f] = true
			w.fetched++
			w.after(min(w.upTo(2*FetchPermit), permit.Sub(w.now)), func() { delete(w.fetches, f) })
		})
	case !e.index.Retired("s", key) && w.now.After(e.saving[key]):
		e.saving[key] = w.now.Add(2 * time.Second)
		w.after(w.upTo(800*time.Millisecond), func() {
			if w.complete[key] || w.writing[key] > 0 {
				return
			}
			writtenIn := w.incarnation
			w.writing[key]++
			w.after(w.upTo(500*time.Millisecond), func() {
				if writtenIn == w.incarnation {
					delete(w.writing, key)
					w.complete[key] = true
					w.events = append(w.events, cacheindex.Change{Key: key, Tokens: 1})
				}
			})
		})
	}
}

func (w *interleaving) run(lasts time.Duration) {
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
				w.maintain(i)
				if i == w.leader {
					electable = w.now.Add(electionMin)
				}
			case !h.leads && tick%7 == i && w.hosts[w.leader].leads:
				query := h.index.NextQuery()
				update := w.hosts[w.leader].index.Answer(&query)
				if h.index.Apply(&update) {
					h.receivedAt = w.now
				}
			}
		}
		for _, e := range w.entries {
			if w.r.IntN(150) == 0 {
				e.deaf = w.now.Add(w.upTo(2 * InventoryMaxAge))
			}
			if w.r.IntN(10) == 0 && w.now.After(e.deaf) {
				w.query(e, w.hosts[w.r.IntN(len(w.hosts))])
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

// Guards against a part that is freed while a runner fetches it: the caller would be answered
// from memory that no longer belongs to its prompt. Whatever leaders, entries, stores and late
// orders do, a permitted fetch never overlaps a free.
func TestNoPartIsFreedDuringFetch(t *testing.T) {
	freed, fetched := 0, 0
	for seed := range uint64(*interleavings) {
		w := &interleaving{
			t: t, r: rand.New(rand.NewPCG(seed, 4)), now: time.Unix(1_000_000, 0), step: 10 * time.Millisecond,
			due: make(map[int64][]func()), version: 2, entries: make([]*simEntry, 4),
		}
		w.restart()
		for range 3 {
			w.hosts = append(w.hosts, &simHost{index: cacheindex.NewIndex(true)})
		}
		for i := range w.entries {
			w.entries[i] = &simEntry{index: cacheindex.NewIndex(false), saving: make(map[cacheindex.Key]time.Time)}
		}
		w.elect(0)
		w.run(40 * time.Second)
		freed += w.freed
		fetched += w.fetched
	}
	if freed < *interleavings || fetched < 10**interleavings {
		t.Fatalf("%d parts freed and %d fetches in %d runs: too little happened", freed, fetched, *interleavings)
	}
	t.Logf("%d parts freed, %d fetches", freed, fetched)
}
