package keep

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/prefix"
)

var epoch = time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC)

const (
	megabyte  = 1 << 20
	testBytes = 64 * megabyte
)

func testRandom() *rand.Rand { return rand.New(rand.NewPCG(3, 4)) }

func testManager(t testing.TB, opts Options) *Manager {
	t.Helper()
	m, err := NewManager(opts)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func testStatus(store ident.Upstream, incarnation ident.Incarnation) StoreStatus {
	return StoreStatus{
		Store:              store,
		Incarnation:        incarnation,
		DataCentre:         "d",
		Capacity:           [prefix.TierCount]int64{64 * testBytes, 256 * testBytes},
		LinkBytesPerSecond: 1 << 34,
	}
}

// testBlocks returns the block chain of one prompt.
func testBlocks(prompt, count int) []prefix.BlockID {
	blocks := make([]prefix.BlockID, count)
	for i := range blocks {
		blocks[i] = prefix.BlockID{byte(prompt), byte(prompt >> 8), byte(i), byte(i >> 8), 7}
	}
	return blocks
}

func testUse(team ident.Team, prompt, count int) Use {
	return Use{
		Scope:             prefix.Scope{Team: team, Model: "m", Version: "v1"},
		Class:             "c",
		Blocks:            testBlocks(prompt, count),
		Runner:            "r",
		RunnerIncarnation: 1,
		RunnerDataCentre:  "d",
		BlockBytes:        testBytes,
		Saved:             100 * time.Millisecond,
	}
}

// writeAll completes the writes of a plan's exports and returns the number of
// committed blocks.
func writeAll(t testing.TB, m *Manager, now time.Time, plan Plan) int {
	t.Helper()
	count := 0
	for _, export := range plan.Exports {
		for i, planned := range export.Blocks {
			slot := prefix.Copy{Slot: "s", Generation: uint64(100 + i), Bytes: planned.Bytes, Tier: export.Tier}
			granted := Reservation{Granted: true, Incarnation: export.StoreIncarnation, Copy: slot}
			if m.Reserved(now, planned.ID, granted) != Write {
				t.Fatalf("a granted reservation was not followed by a write")
			}
			slot.Checksum = 42
			if m.Written(now, planned.ID, planned.Bytes, slot.Checksum) != Commit {
				t.Fatalf("a written block was not followed by a commit")
			}
			if !m.Committed(now, planned.ID, slot) {
				t.Fatalf("a commit was not accepted")
			}
			count++
		}
	}
	return count
}

func TestIdlePromptIsExportedAndReadable(t *testing.T) {
	m := testManager(t, Options{})
	random := testRandom()
	m.UpdateStore(epoch, testStatus("s1", 1))
	m.RecordUse(epoch, testUse("a", 1, 5))
	if plan := m.Plan(epoch, random); len(plan.Exports) != 0 {
		t.Fatalf("exported before the idle delay: %+v", plan)
	}
	now := epoch.Add(DefaultIdleDelay)
	if got := writeAll(t, m, now, m.Plan(now, random)); got != 5 {
		t.Fatalf("exported %d blocks, want 5", got)
	}
	for _, block := range testBlocks(1, 5) {
		if _, ok := m.Pin(now, testUse("a", 1, 5).Scope, block); !ok {
			t.Fatalf("block %v is not readable", block)
		}
	}
}

// A prompt returns longer, slightly shorter, much shorter, or with another
// tail; a different prompt has the same beginning. Taking a return for a new
// prompt loses the gap and tracks the prompt twice; taking a new prompt for a
// return discards the one that it replaces.
func TestReturningPrompts(t *testing.T) {
	type use struct{ tail, blocks int }
	cases := []struct {
		name string
		uses []use
		want int
	}{
		{"same", []use{{1, 8}, {1, 8}, {1, 8}}, 1},
		{"longer", []use{{1, 8}, {1, 9}, {1, 16}}, 1},
		{"much longer", []use{{1, 8}, {1, 30}}, 2},
		{"a little shorter", []use{{1, 8}, {1, 7}, {1, 8}}, 1},
		{"much shorter, repeatedly", []use{{1, 8}, {1, 3}, {1, 8}, {1, 3}, {1, 9}, {1, 4}}, 2},
		{"another tail", []use{{1, 8}, {2, 8}}, 1},
		{"common beginning", []use{{1, 30}, {2, 30}}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := testManager(t, Options{})
			for i, u := range c.uses {
				one := testUse("a", u.tail, u.blocks)
				copy(one.Blocks[:min(6, u.blocks)], testBlocks(0, 6))
				m.RecordUse(epoch.Add(time.Duration(i)*time.Minute), one)
				checkManager(t, m)
			}
			if m.Prompts() != c.want {
				t.Fatalf("%d prompts, want %d", m.Prompts(), c.want)
			}
		})
	}
}

// A prompt that returns often shares its beginning with one that is used once.
// The prompt used once must not lower the value of the shared blocks.
func TestSharedBlocksKeepTheMoreValuableOwner(t *testing.T) {
	m := testManager(t, Options{})
	now := train(m, "often", "a", 0, 10, 30, func(int) time.Duration { return 3 * time.Minute })
	for i := range 100 {
		gone := testUse("a", 1000+i, 2)
		gone.Class = "once"
		m.RecordUse(now.Add(-time.Hour), gone)
	}
	m.Plan(now, testRandom())
	now = now.Add(-2 * time.Minute)
	often := testUse("a", 0, 2)
	once := testUse("a", 900, 20)
	once.Class = "once"
	copy(once.Blocks, often.Blocks)
	m.RecordUse(now, once)
	if owner := m.prompts.ownerOf(often.Blocks[0]); owner == nil || owner.key.class != "often" {
		t.Fatalf("the shared block is owned by class %q, want often", owner.key.class)
	}
	m.forget(now, m.prompts.ownerOf(often.Blocks[0]))
	checkManager(t, m)
	m.RecordUse(now, once)
	if owner := m.prompts.ownerOf(often.Blocks[0]); owner == nil || owner.key.class != "once" {
		t.Fatalf("the remaining block is owned by %v, want class once", owner)
	}
}

func TestViews(t *testing.T) {
	m, now := committedManager(t, Options{})
	m.RecordUse(now, testUse("b", 2, 3))
	stores, teams := m.Stores(now), m.Teams(1)
	if len(stores) != 1 || stores[0].Held[prefix.Memory] != 5*testBytes || stores[0].Paused {
		t.Errorf("stores %+v", stores)
	}
	if len(teams) != 1 || teams[0].Team != "a" || teams[0].Prompts != 1 {
		t.Errorf("teams %+v, want only the one that holds the most", teams)
	}
}
