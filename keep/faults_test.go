package keep

import (
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/prefix"
)

// testPlanner runs a manager at ten plans a second and completes its exports.
type testPlanner struct {
	t   *testing.T
	m   *Manager
	now time.Time
	// stores and teams count the committed blocks by store and by team.
	stores map[ident.Upstream]int
	teams  map[ident.Team]int
}

func newTestPlanner(t *testing.T, opts Options) *testPlanner {
	return &testPlanner{
		t: t, m: testManager(t, opts), now: epoch,
		stores: make(map[ident.Upstream]int), teams: make(map[ident.Team]int),
	}
}

func (p *testPlanner) run(length time.Duration, answer func(Export) bool) {
	random := testRandom()
	plans := 0
	for end := p.now.Add(length); p.now.Before(end); {
		p.now = p.now.Add(100 * time.Millisecond)
		plan := p.m.Plan(p.now, random)
		for _, export := range plan.Exports {
			if answer != nil && !answer(export) {
				continue
			}
			done := writeAll(p.t, p.m, p.now, Plan{Exports: []Export{export}})
			p.stores[export.Store] += done
			p.teams[export.Scope.Team] += done
		}
		for _, free := range plan.Frees {
			p.m.Freed(p.now, free.ID, true)
		}
		if plans++; plans%16 == 0 {
			checkManager(p.t, p.m)
		}
	}
	checkManager(p.t, p.m)
}

func (p *testPlanner) use(team ident.Team, first, count, blocks int) {
	for i := range count {
		p.m.RecordUse(p.now, testUse(team, first+i, blocks))
	}
}

// Store hosts are full, slow, lost, or restarted empty. Prompts that are still
// on the runner must be exported to the other store host without waiting for
// this one, and a recovered host must be used again.
func TestStoreHostFaults(t *testing.T) {
	const prompts, blocks = 6, 4
	reportStores := func(p *testPlanner, incarnation ident.Incarnation) {
		p.m.UpdateStore(p.now, testStatus("s1", incarnation))
		other := testStatus("s2", 1)
		other.DataCentre = "far"
		p.m.UpdateStore(p.now, other)
	}
	setup := func(t *testing.T) *testPlanner {
		p := newTestPlanner(t, Options{})
		reportStores(p, 1)
		p.use("a", 1, prompts, blocks)
		return p
	}
	readable := func(p *testPlanner) int {
		count := 0
		for i := range prompts {
			count += p.m.Readable(testBlocks(1+i, blocks), 0)
		}
		return count
	}
	onFirst := func(respond func(p *testPlanner, e Export)) func(p *testPlanner) func(Export) bool {
		return func(p *testPlanner) func(Export) bool {
			return func(e Export) bool {
				if e.Store != "s1" {
					return true
				}
				respond(p, e)
				return false
			}
		}
	}
	cases := []struct {
		name   string
		answer func(p *testPlanner) func(Export) bool
	}{
		{"full", onFirst(func(p *testPlanner, e Export) {
			for _, b := range e.Blocks {
				p.m.Reserved(p.now, b.ID, Reservation{Full: true, Incarnation: e.StoreIncarnation})
			}
		})},
		{"fails", onFirst(func(p *testPlanner, e Export) {
			for _, b := range e.Blocks {
				p.m.Failed(p.now, b.ID, FailedStore)
			}
		})},
		{"never answers", onFirst(func(*testPlanner, Export) {})},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := setup(t)
			p.run(2*DefaultWriteTimeout, c.answer(p))
			if got := readable(p); got != prompts*blocks {
				t.Fatalf("%d blocks readable, want %d; by store %v", got, prompts*blocks, p.stores)
			}
		})
	}
	t.Run("lost", func(t *testing.T) {
		p := setup(t)
		p.run(5*time.Second, nil)
		if p.stores["s2"] != 0 {
			t.Fatalf("the near host was available, but the blocks went to %v", p.stores)
		}
		p.m.RemoveStore("s1", 1)
		if got := readable(p); got != 0 {
			t.Fatalf("%d blocks readable on a lost host, want 0", got)
		}
		p.run(5*time.Second, nil)
		if got := readable(p); got != prompts*blocks {
			t.Fatalf("%d blocks readable 5 s after the loss, want %d", got, prompts*blocks)
		}
	})
	t.Run("restarts empty", func(t *testing.T) {
		p := setup(t)
		p.run(5*time.Second, nil)
		reportStores(p, 2)
		if got := readable(p); got != 0 {
			t.Fatalf("%d blocks readable from a previous incarnation, want 0", got)
		}
		p.run(5*time.Second, nil)
		if got := readable(p); got != prompts*blocks {
			t.Fatalf("%d blocks readable after the restart, want %d", got, prompts*blocks)
		}
	})
	t.Run("restarts with old content", func(t *testing.T) {
		p := setup(t)
		p.run(5*time.Second, nil)
		block := testBlocks(1, 1)[0]
		old, _ := p.m.Source(block)
		reportStores(p, 2)
		if p.m.Adopt(p.now, old) {
			t.Fatal("a copy of a previous incarnation was adopted")
		}
		restarted := old
		restarted.Incarnation = 2
		restarted.Copy.Generation++
		if !p.m.Adopt(p.now, restarted) || p.m.Adopt(p.now, restarted) {
			t.Fatal("a copy that survived the restart was not adopted exactly once")
		}
		if got, _ := p.m.Source(block); got != restarted {
			t.Fatalf("source %+v, want %+v", got, restarted)
		}
	})
	t.Run("refuses a reader", func(t *testing.T) {
		p := setup(t)
		p.run(5*time.Second, nil)
		block := testBlocks(1, 1)[0]
		pin := mustPin(t, p.m, p.now, block)
		p.m.Unpin(p.now, pin.ID, FailedVerify)
		if p.m.Phase(block) != Absent {
			t.Fatal("a copy that failed verification is still readable")
		}
		p.run(5*time.Second, nil)
		if got := readable(p); got != prompts*blocks {
			t.Fatalf("%d blocks readable, want the dropped one written again", got)
		}
	})
}

// A store host writes ten times slower than its reported link rate. Writes must
// not queue up on it until all of them time out.
func TestSlowStoreNarrowsTheWriteWindow(t *testing.T) {
	m, block, slot, now := plannedManager(t)
	s := m.stores["s1"]
	before := s.writeWindow(m.exportRate(s))
	late := now.Add(DefaultWriteTimeout - time.Second)
	slot.Checksum = 1
	m.Reserved(now, block.ID, Reservation{Granted: true, Incarnation: 1, Copy: slot})
	m.Written(late, block.ID, slot.Bytes, 1)
	if !m.Committed(late, block.ID, slot) {
		t.Fatal("the slow write was not committed")
	}
	if after := s.writeWindow(m.exportRate(s)); after*2 > before {
		t.Fatalf("write window %d after a slow write, want at most half of %d", after, before)
	}
}

// Two prompts share a beginning, and several plans are made before any answer
// arrives. No block may be written twice at the same time.
func TestNoBlockIsWrittenTwice(t *testing.T) {
	m := testManager(t, Options{})
	m.UpdateStore(epoch, testStatus("s1", 1))
	shared := testUse("a", 1, 4)
	other := testUse("a", 2, 6)
	copy(other.Blocks[:2], shared.Blocks[:2])
	m.RecordUse(epoch, shared)
	m.RecordUse(epoch, other)
	seen := make(map[prefix.BlockID]int)
	random := testRandom()
	for i := range 20 {
		now := epoch.Add(DefaultIdleDelay + time.Duration(i)*100*time.Millisecond)
		for _, export := range m.Plan(now, random).Exports {
			for _, b := range export.Blocks {
				seen[b.Block]++
			}
		}
	}
	if len(seen) != 8 {
		t.Fatalf("%d blocks planned, want 8", len(seen))
	}
	for block, count := range seen {
		if count > 1 {
			t.Errorf("block %v was planned %d times", block, count)
		}
	}
}

// A store host reports a link of 16 GB/s but writes 64 MB/s. An export larger
// than the host can write within the timeout fails as a whole on each attempt,
// so that nothing is ever kept there.
func TestVerySlowStoreStillReceivesWrites(t *testing.T) {
	const prompts, blocks = 4, 30
	m := testManager(t, Options{Residency: time.Hour})
	m.UpdateStore(epoch, testStatus("s1", 1))
	for i := range prompts {
		m.RecordUse(epoch, testUse("a", 1+i, blocks))
	}
	random := testRandom()
	type export struct {
		plan Plan
		done time.Time
	}
	var queue []export
	idleAt := epoch // time at which the host has written all it received
	for now := epoch; now.Before(epoch.Add(15 * time.Minute)); now = now.Add(100 * time.Millisecond) {
		for len(queue) > 0 && !queue[0].done.After(now) {
			writeCurrent(m, now, queue[0].plan)
			queue = queue[1:]
		}
		plan := m.Plan(now, random)
		for _, e := range plan.Exports {
			if idleAt.Before(now) {
				idleAt = now
			}
			idleAt = idleAt.Add(time.Duration(len(e.Blocks)) * time.Second)
			queue = append(queue, export{plan: Plan{Exports: []Export{e}}, done: idleAt})
		}
	}
	readable := 0
	for i := range prompts {
		readable += m.Readable(testBlocks(1+i, blocks), 0)
	}
	if readable < prompts*blocks*9/10 {
		t.Fatalf("%d of %d blocks readable after 15 minutes at one second per block; %+v", readable, prompts*blocks, m.Stats())
	}
}

// writeCurrent completes the writes of a plan as writeAll does, but skips
// blocks whose attempt has ended in the meantime.
func writeCurrent(m *Manager, now time.Time, plan Plan) {
	for _, e := range plan.Exports {
		for _, b := range e.Blocks {
			slot := prefix.Copy{Slot: "s", Generation: uint64(b.ID), Bytes: b.Bytes, Tier: e.Tier}
			m.Reserved(now, b.ID, Reservation{Granted: true, Incarnation: e.StoreIncarnation, Copy: slot})
			slot.Checksum = 1
			if m.Written(now, b.ID, b.Bytes, 1) == Commit {
				m.Committed(now, b.ID, slot)
			}
		}
	}
}
