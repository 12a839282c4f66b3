package steward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/cacheindex"
	"github.com/lovagereach/lovagereach/catalog"
)

// clockInEvents is a store whose listing does not tell the clock, and which keeps a
// question for events open as long as it may.
type clockInEvents struct{}

func (clockInEvents) List(context.Context, string) (StoreEvents, error) {
	time.Sleep(2 * time.Millisecond)
	return StoreEvents{Incarnation: 1, Next: 5}, nil
}

func (clockInEvents) Events(_ context.Context, _ string, since uint64, wait time.Duration) (StoreEvents, error) {
	time.Sleep(wait + 2*time.Millisecond)
	return StoreEvents{Incarnation: 1, Next: since, Clock: 1000}, nil
}

func (clockInEvents) Free(context.Context, string, uint64, []cacheindex.Key, int64) error { return nil }

// toldOpen reports whether an entry that asks now is told that the store is open.
func toldOpen(b *sharedBook) bool {
	_, _, states := b.answerWithStates(&cacheindex.Query{}, []string{"store:1"}, time.Now())
	return states[0].Open
}

// All processes have restarted, and their callers' prompts come back at once. The new
// leader lists the stores and tells the entries that they are open. Without the
// upstreams' clock an entry can permit no fetch: it would have every shared part read
// again, until a question for events that nothing answers has run out.
func TestTheClockIsKnownWhenAStoreOpens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := testLeadership(2)
		l.steward.meter = newMeter(l.steward)
		l.steward.book.lead(2)
		l.steward.machine.applyDocument(&catalog.Document{Version: 1, Source: []byte("x"), Services: []catalog.Service{
			{Name: "store", Store: &catalog.Store{Address: "store:1", CapacityTokens: 1000000}},
		}})
		l.steward.options.Stores = clockInEvents{}
		l.steward.machine.lives["store:1"] = 1
		ctx, cancel := context.WithCancel(t.Context())
		go l.shelves.run(ctx)
		began := time.Now()
		for !toldOpen(l.steward.book) {
			time.Sleep(time.Millisecond)
		}
		if l.shelves.clock(time.Now()) == 0 {
			t.Error("the store is open and the clock unknown")
		}
		if took := time.Since(began); took > 30*time.Millisecond {
			t.Errorf("the store opened after %v", took)
		}
		cancel()
		time.Sleep(2 * time.Second)
	})
}

// The first entry asks a leader that has just been elected before it has listed a
// store. Told that the store is open and holds nothing, it would let all prompts go
// that wait for the first word on the stores, and each would be read from its start.
func TestAStoreThatWasNeverListedIsNotToldAsOpen(t *testing.T) {
	if toldOpen(newSharedBook()) {
		t.Error("a store that nobody has asked counts as open")
	}
}
