package steward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/cacheindex"
	"github.com/lovagereach/lovagereach/catalog"
)

// clockInEvents is a store whose listing doesn't contain the clock, and which keeps a query for
// events open as long as it may.
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

// isOpen reports whether an entry that queries now receives the store as open.
func isOpen(b *sharedIndex) bool {
	_, _, states := b.answerWithStates(&cacheindex.Query{}, []string{"store:1"}, time.Now())
	return states[0].Open
}

// After a restart of all processes, the callers' prompts return together. The new leader lists
// the stores and reports them as open. Without the upstreams' clock an entry can permit no
// fetch: guards against shared parts being recomputed until a query for events has run into its
// timeout.
func TestClockIsKnownWhenStoreOpens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := testLeadership(2)
		l.steward.counters = newControlMetrics(l.steward)
		l.steward.index.lead(2)
		l.steward.machine.applyDocument(&catalog.Document{Version: 1, Source: []byte("x"), Services: []catalog.Service{
			{Name: "store", Store: &catalog.Store{Address: "store:1", CapacityTokens: 1000000}},
		}})
		l.steward.options.Stores = clockInEvents{}
		l.steward.machine.storeIncarnations["store:1"] = 1
		ctx, cancel := context.WithCancel(t.Context())
		go l.inventories.run(ctx)
		began := time.Now()
		for !isOpen(l.steward.index) {
			time.Sleep(time.Millisecond)
		}
		if l.inventories.clock(time.Now()) == 0 {
			t.Error("the store is open and the clock unknown")
		}
		if took := time.Since(began); took > 30*time.Millisecond {
			t.Errorf("the store opened after %v", took)
		}
		cancel()
		time.Sleep(2 * time.Second)
	})
}

// Guards against a new leader that reports a store as open and empty before it has listed it:
// an entry would release all prompts that wait for the first state of the stores, and each
// would be recomputed from its start.
func TestUnlistedStoreIsNotOpen(t *testing.T) {
	if isOpen(newSharedIndex()) {
		t.Error("a store that was never queried counts as open")
	}
}

// Guards against one answer with a clock far ahead: fetches would be permitted until then, and parts freed
// while they are read.
func TestClockFarAheadIsNotBelievedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const interval, step = 150 * time.Millisecond, time.Minute
		k := testLeadership(2).inventories
		k.recordClock(100_000)
		began := time.Now()
		for _, wild := range []int64{1 << 50, 100_000 + 20_000, 1 << 40} {
			time.Sleep(interval)
			k.recordClock(wild)
			if got, want := k.clock(time.Now()), 100_000+time.Since(began).Milliseconds(); got != want {
				t.Errorf("after %d: %d, want %d", wild, got, want)
			}
			time.Sleep(interval)
			k.recordClock(100_000 + time.Since(began).Milliseconds())
		}
		if extension := k.permitExtension(time.Now()); extension != 0 {
			t.Errorf("the clock counts as stepped back, by %v", extension)
		}
		for range 2 {
			time.Sleep(interval)
			k.recordClock(100_000 + (time.Since(began) + step).Milliseconds())
		}
		if got, want := k.clock(time.Now()), 100_000+(time.Since(began)+step).Milliseconds(); got != want {
			t.Errorf("after a step of the clock: %d, want %d", got, want)
		}
	})
}
