package steward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/cacheindex"
	"github.com/lovagereach/lovagereach/catalog"
)

// wildPositions is a source, one answer of which states a wrong position.
type wildPositions struct {
	fakeStores
	// wrong is that position, wrongIn the answer, counted down.
	wrong   uint64
	wrongIn int
	listing bool
}

func (w *wildPositions) answer(events StoreEvents, listing bool) StoreEvents {
	w.mu.Lock()
	defer w.mu.Unlock()
	if listing == w.listing {
		if w.wrongIn--; w.wrongIn == 0 {
			events.Next = w.wrong
		}
	}
	return events
}

func (w *wildPositions) List(ctx context.Context, address string) (StoreEvents, error) {
	events, err := w.fakeStores.List(ctx, address)
	return w.answer(events, true), err
}

func (w *wildPositions) Events(ctx context.Context, address string, since uint64, wait time.Duration) (StoreEvents, error) {
	events, err := w.fakeStores.Events(ctx, address, since, wait)
	if since > events.Next && !w.listing {
		// It takes the caller to know more than itself.
		events.Next = since
	}
	return w.answer(events, false), err
}

// Guards against one answer of a store or runner that states an absurd position: no change of it would be known
// any more, and after a change of leaders entries would get no inventory at all.
func TestWrongPositionOfASourceIsCorrected(t *testing.T) {
	for name, c := range map[string]struct {
		address string
		wrong   uint64
		listing bool
	}{
		"store, far ahead": {"store:1", 1 << 50, false}, "store, back": {"store:1", 1, false}, "listing, far ahead": {"store:1", 1 << 50, true},
		"runner, far ahead": {"a:1", 1 << 50, false}, "runner, back": {"a:1", 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testWrongPosition(t, c.address, c.wrong, c.listing) })
		})
	}
}

func testWrongPosition(t *testing.T, address string, wrong uint64, listing bool) {
	key := func(part string) cacheindex.Key { return cacheindex.Key{Salt: "m.2", Part: part} }
	source := &wildPositions{wrong: wrong, wrongIn: 3, listing: listing}
	if listing {
		source.wrongIn = 1
	}
	source.incarnation = 1
	for _, part := range []string{"p", "q", "r"} {
		source.events = append(source.events, cacheindex.Change{Key: key(part), Tokens: 5000})
	}
	l := testLeadership(2)
	s := l.steward
	s.options.Stores = source
	s.counters = newControlMetrics(s)
	s.machine.applyDocument(&catalog.Document{Version: 1, Source: []byte("x"), Services: []catalog.Service{
		{Name: "llm", Engine: &catalog.Engine{Slots: 4, MemoryTokens: 50000}},
		{Name: "store", Store: &catalog.Store{Address: "store:1", CapacityTokens: 1000000}},
	}})
	s.machine.storeIncarnations["store:1"] = 1
	s.index.lead(2)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if address == "store:1" {
		go l.inventories.followStore(ctx, address)
	} else {
		go l.inventories.followRunner(ctx, address)
	}
	entry := cacheindex.NewIndex(false)
	follow := func() {
		for range 20 {
			query := entry.NextQuery()
			if update, _ := s.index.answer(&query); update != nil {
				entry.Apply(update)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	follow()
	if next, _ := entry.Next(address); next != 3 {
		t.Errorf("the entry is at position %d, want 3", next)
	}
	source.mu.Lock()
	source.events = append(source.events, cacheindex.Change{Key: key("p")})
	source.mu.Unlock()
	follow()
	if next, _ := entry.Next(address); next != 4 {
		t.Errorf("the entry is at position %d, want 4", next)
	}
	if entry.ReadableTokens(address, key("p")) != 0 || entry.ReadableTokens(address, key("q")) != 5000 {
		t.Errorf("after its removal p is known with %d tokens, q with %d", entry.ReadableTokens(address, key("p")), entry.ReadableTokens(address, key("q")))
	}
	cancel()
	time.Sleep(2 * time.Second)
}
