package standin

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lovagereach/lovagereach/internal/port"
)

func TestExpectedAnswer(t *testing.T) {
	tokens := []uint32{1, 2, 3}
	answer := ExpectedAnswer(tokens, 7, 4)
	if answer != ExpectedAnswer([]uint32{1, 2, 3}, 7, 4) || len(answer) != 4*(answerWord+1) {
		t.Errorf("answer %q", answer)
	}
	if !strings.HasPrefix(ExpectedAnswer(tokens, 7, 9), answer) {
		t.Error("the shorter answer is not a prefix of the longer one")
	}
	others := map[string]string{
		"other prompt": ExpectedAnswer([]uint32{1, 2, 4}, 7, 4),
		"other seed":   ExpectedAnswer(tokens, 8, 4),
		"longer":       ExpectedAnswer([]uint32{1, 2, 3, 0}, 7, 4),
	}
	for name, other := range others {
		if other == answer {
			t.Errorf("%s: got the same answer", name)
		}
	}
}

// Queued requests get slots by priority. A request that is cancelled while it is
// granted a slot must release it; otherwise the engine loses the slot
// permanently.
func TestBatchOrderAndAbandon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBatch(1, 3)
		if err := b.acquire(t.Context(), 0, 0); err != nil {
			t.Fatal(err)
		}
		var order []string
		cancelled, cancel := context.WithCancel(t.Context())
		wait := func(ctx context.Context, name string, priority int) {
			go func() {
				if b.acquire(ctx, priority, 10) == nil {
					order = append(order, name)
					b.release()
				}
			}()
			synctest.Wait()
		}
		wait(t.Context(), "late", 5)
		wait(cancelled, "gone", 0)
		wait(t.Context(), "soon", 1)
		if err := b.acquire(t.Context(), 0, 0); !errors.Is(err, errQueueFull) {
			t.Errorf("request beyond the queue's bound: %v", err)
		}
		if _, queued, tokens := b.load(); queued != 3 || tokens != 30 {
			t.Errorf("queued %d, tokens %d", queued, tokens)
		}
		cancel()
		synctest.Wait()
		b.release()
		synctest.Wait()
		if want := []string{"soon", "late"}; !slices.Equal(order, want) {
			t.Errorf("order %v, want %v", order, want)
		}
		if running, queued, tokens := b.load(); running != 0 || queued != 0 || tokens != 0 {
			t.Errorf("after all requests: running %d, queued %d, tokens %d", running, queued, tokens)
		}
	})
}

// A request names a cached block that belongs to another prompt or other
// weights, a failure that the system must never cause. The cache must refuse
// the block and count it.
func TestBlockCacheCountsWrongUse(t *testing.T) {
	own := content{Model: "m", Version: "v1", Prefix: 1}
	wrong := map[string]content{
		"other prompt":  {Model: "m", Version: "v1", Prefix: 2},
		"other version": {Model: "m", Version: "v2", Prefix: 1},
		"other adapter": {Model: "m", Version: "v1", Adapter: "a", Prefix: 1},
	}
	for name, requested := range wrong {
		t.Run(name, func(t *testing.T) {
			c := newBlockCache(2, func(port.CacheEventKind, port.BlockID, *port.SlotState) {})
			c.put("b", own)
			if c.use("b", requested) || c.wrong != 1 {
				t.Errorf("block was used, or the use was not counted: wrong %d", c.wrong)
			}
			if !c.use("b", own) || c.wrong != 1 {
				t.Error("use with the right content failed")
			}
		})
	}
}

func TestBlockCacheEvictsLeastRecent(t *testing.T) {
	var events []string
	c := newBlockCache(2, func(kind port.CacheEventKind, id port.BlockID, _ *port.SlotState) {
		events = append(events, string(kind)+" "+string(id))
	})
	c.put("a", content{})
	c.put("b", content{})
	c.use("a", content{})
	c.put("c", content{})
	c.clear()
	want := []string{"stored a", "stored b", "removed b", "stored c", "cleared "}
	if !slices.Equal(events, want) || c.len() != 0 {
		t.Errorf("events %q, want %q", events, want)
	}
}

func TestOrderTracker(t *testing.T) {
	cases := map[string]struct {
		checks bool
		fence  uint64
		want   port.OrderResult
	}{
		"newer, checked":   {true, 6, port.OrderResult{Accepted: true, HighestFence: 6}},
		"equal, checked":   {true, 5, port.OrderResult{Accepted: true, HighestFence: 5}},
		"older, checked":   {true, 4, port.OrderResult{HighestFence: 5}},
		"older, unchecked": {false, 4, port.OrderResult{Accepted: true}},
	}
	for name, c := range cases {
		b := newOrderTracker(c.checks)
		b.decide(port.Order{ID: "first", Fence: 5})
		if got, repeat := b.decide(port.Order{ID: "second", Fence: c.fence}); got != c.want || repeat {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
		if _, repeat := b.decide(port.Order{ID: "first", Fence: 5}); !repeat {
			t.Errorf("%s: a repeated order was not recognised", name)
		}
	}
}

func TestRateQueue(t *testing.T) {
	start := time.Unix(0, 0)
	l := rateQueue{rate: 100, busyFrom: start}
	if got := l.reserve(start, 50); got != start.Add(500*time.Millisecond) {
		t.Errorf("first work completes at %v", got)
	}
	if got := l.reserve(start, 100); got != start.Add(1500*time.Millisecond) {
		t.Errorf("second work completes at %v", got)
	}
	steps := []struct {
		at   time.Duration
		want float64
	}{{time.Second, 1}, {2 * time.Second, 0.5}, {3 * time.Second, 0}}
	for _, step := range steps {
		if got := l.utilization(start.Add(step.at)); got != step.want {
			t.Errorf("utilization until %v is %v, want %v", step.at, got, step.want)
		}
	}
	answer := httptest.NewRecorder()
	l.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, PathLink, strings.NewReader(`{"bytes_per_second":1000}`)))
	if got := l.reserve(start.Add(time.Hour), 1000); answer.Code != http.StatusNoContent || got != start.Add(time.Hour+time.Second) {
		t.Errorf("status %d, work at the new rate completes at %v", answer.Code, got)
	}
	unlimited := rateQueue{}
	if got := unlimited.reserve(start, 1<<40); got != start {
		t.Errorf("work at an unlimited rate completes at %v", got)
	}
}

// Up to FullSpeedLoads concurrent loads take LoadTime each. With more, all loads
// slow down, which is why the system limits concurrent loads.
func TestWeightsShareSpeed(t *testing.T) {
	cases := []struct {
		loads int
		want  time.Duration
	}{{1, 2 * time.Second}, {3, 2 * time.Second}, {6, 4 * time.Second}}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			s := NewWeights(WeightOptions{LoadTime: 2 * time.Second, FullSpeedLoads: 3})
			begin := time.Now()
			for range c.loads {
				go func() {
					req := httptest.NewRequestWithContext(t.Context(), http.MethodGet, PathWeights+"m/v", nil)
					s.Handler().ServeHTTP(httptest.NewRecorder(), req)
				}()
			}
			time.Sleep(c.want - 50*time.Millisecond)
			synctest.Wait()
			if served := s.Stats().Served; served != 0 {
				t.Errorf("%d loads: %d completed after %v", c.loads, served, time.Since(begin))
			}
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			if got := s.Stats(); got.Served != uint64(c.loads) || got.Most != c.loads {
				t.Errorf("%d loads: %+v after %v", c.loads, got, time.Since(begin))
			}
		})
	}
}

func TestFaults(t *testing.T) {
	f := NewFaults(1)
	invalid := []Fault{{Kind: "odd"}, {Kind: FaultLate, Rate: 2}, {Kind: FaultLate, Count: -1}, {Kind: FaultLate, DelayMillis: -1}}
	for _, fault := range invalid {
		if f.Add(fault) == nil {
			t.Errorf("accepted %+v", fault)
		}
	}
	add := func(fault Fault) {
		if err := f.Add(fault); err != nil {
			t.Fatal(err)
		}
	}
	add(Fault{Kind: FaultHung, Path: "/a", Count: 2})
	add(Fault{Kind: FaultReset, Rate: 0.5})
	add(Fault{Kind: FaultTruncated, Path: "/below/"})
	for path, want := range map[string]bool{"/below/x": true, "/below/": true, "/below": false, "/x/below/": false} {
		if _, ok := f.Take(FaultTruncated, path); ok != want {
			t.Errorf("fault for all paths below /below/ at %s: %v, want %v", path, ok, want)
		}
	}
	strikes := map[string]int{}
	for range 1000 {
		for _, path := range []string{"/a", "/b"} {
			if _, ok := f.Take(FaultHung, path); ok {
				strikes["hung"+path]++
			}
		}
		if _, ok := f.Take(FaultReset, "/a"); ok {
			strikes["reset"]++
		}
	}
	if strikes["hung/a"] != 2 || strikes["hung/b"] != 0 || strikes["reset"] < 400 || strikes["reset"] > 600 {
		t.Errorf("strikes %v", strikes)
	}
	f.Clear()
	if _, ok := f.Take(FaultReset, "/a"); ok || f.Injected()[FaultHung] != 2 {
		t.Error("a cleared fault was applied, or Clear reset the counts")
	}
}

// newSlots returns a table with one committed block of ten bytes in each tier.
func newSlots(t *testing.T, now time.Time) (*slotTable, map[port.BlockID]port.SlotState) {
	t.Helper()
	table := newSlotTable(100, 100, 1000, func(port.CacheEventKind, port.BlockID, *port.SlotState) {})
	states := make(map[port.BlockID]port.SlotState)
	for block, tier := range map[port.BlockID]port.Tier{"memory": port.TierMemory, "disk": port.TierDisk} {
		r, err := table.reserve(now, port.ReserveRequest{Block: block, Bytes: 10, Tier: tier, Lifetime: time.Minute})
		if err != nil || !r.Granted {
			t.Fatalf("reserve %s: %+v, %v", block, r, err)
		}
		data := []byte("0123456789")
		if err := table.write(r.State.Slot, r.State.Generation, data); err != nil {
			t.Fatal(err)
		}
		states[block], err = table.commit(now, port.CommitRequest{
			Block: block, Slot: r.State.Slot, Generation: r.State.Generation, Bytes: 10, Checksum: xxhash.Sum64(data),
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return table, states
}

// A store host restarts, and a reader uses slots and generations from before. It
// must get a block only if the host kept it under the old generation; a host
// that kept content under new generations must refuse the old ones.
func TestSlotsAfterRestart(t *testing.T) {
	now := time.Unix(100, 0)
	cases := map[string]struct {
		readable  map[port.BlockID]bool
		committed int
	}{
		keepNone:  {committed: 0},
		keepDisk:  {committed: 1},
		keepStale: {readable: map[port.BlockID]bool{"memory": true, "disk": true}, committed: 2},
	}
	for keep, c := range cases {
		t.Run(keep, func(t *testing.T) {
			table, states := newSlots(t, now)
			table.restart(2000, keep)
			for block, state := range states {
				_, _, err := table.read(state.Slot, state.Generation)
				if (err == nil) != c.readable[block] {
					t.Errorf("read %s: %v", block, err)
				}
			}
			if got := len(table.committed()); got != c.committed {
				t.Errorf("%d blocks, want %d", got, c.committed)
			}
			for _, state := range table.committed() {
				if keep == keepDisk && state.Generation <= states["disk"].Generation {
					t.Errorf("generation %d did not increase", state.Generation)
				}
			}
		})
	}
}

// A writer reserves a slot and crashes. The capacity must be available again
// when the reservation expires, and a late write of that writer must fail.
func TestSlotsExpire(t *testing.T) {
	now := time.Unix(100, 0)
	table, _ := newSlots(t, now)
	reserve := func(block port.BlockID) port.Reservation {
		r, err := table.reserve(now, port.ReserveRequest{Block: block, Bytes: 90, Tier: port.TierMemory, Lifetime: time.Minute})
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	first := reserve("a")
	if second := reserve("b"); !first.Granted || !second.Full {
		t.Fatalf("first %+v, second %+v", first, second)
	}
	now = now.Add(2 * time.Minute)
	if third := reserve("b"); !third.Granted {
		t.Errorf("capacity of the expired reservation is not available: %+v", third)
	}
	if err := table.write(first.State.Slot, first.State.Generation, []byte("late")); !errors.Is(err, errNoSlot) {
		t.Errorf("late write: %v", err)
	}
	if used := table.status()[0].Used; used != 100 {
		t.Errorf("used %d, want 100", used)
	}
}

// Random operations on few blocks, in any order, must keep the invariants: a
// readable slot has exactly the committed content, no tier exceeds its capacity,
// and the used capacity is the sum of the slots.
func TestSlotInvariants(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 0))
	table, _ := newSlots(t, time.Unix(0, 0))
	now := time.Unix(0, 0)
	blocks := []port.BlockID{"a", "b", "c", "d", "e"}
	tiers := []port.Tier{port.TierMemory, port.TierDisk}
	seen := map[port.BlockID]port.SlotState{}
	for step := range 20_000 {
		block := blocks[random.IntN(len(blocks))]
		state := seen[block]
		data := []byte(strings.Repeat(string(block), 1+random.IntN(60)))
		switch random.IntN(7) {
		case 0:
			r, err := table.reserve(now, port.ReserveRequest{Block: block, Bytes: int64(len(data)), Tier: tiers[random.IntN(2)], Lifetime: time.Second})
			if err == nil && !r.Full {
				seen[block] = r.State
			}
		case 1, 2:
			_ = table.write(state.Slot, state.Generation, data)
		case 3:
			_, _ = table.commit(now, port.CommitRequest{Block: block, Slot: state.Slot, Generation: state.Generation, Bytes: int64(len(data)), Checksum: xxhash.Sum64(data)})
		case 4:
			_ = table.free(block, state.Generation)
		case 5:
			now = now.Add(300 * time.Millisecond)
		case 6:
			if random.IntN(50) == 0 {
				table.restart(0, keepDisk)
			}
		}
		checkSlots(t, table, step)
	}
}

func checkSlots(t *testing.T, table *slotTable, step int) {
	t.Helper()
	used := map[port.Tier]int64{}
	for _, s := range table.byBlock {
		used[s.state.Tier] += s.state.Bytes
		if s.state.Phase != port.SlotCommitted {
			continue
		}
		if int64(len(s.data)) != s.state.Bytes || xxhash.Sum64(s.data) != s.state.Checksum {
			t.Fatalf("step %d: readable slot of %s differs from the committed content", step, s.state.Block)
		}
	}
	for tier, status := range table.tiers {
		if status.Used != used[tier] || status.Used > status.Capacity {
			t.Fatalf("step %d: %s uses %d of %d bytes, its slots %d", step, tier, status.Used, status.Capacity, used[tier])
		}
	}
	if len(table.byName) != len(table.byBlock) {
		t.Fatalf("step %d: %d slot names for %d blocks", step, len(table.byName), len(table.byBlock))
	}
}
