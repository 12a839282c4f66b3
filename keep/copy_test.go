package keep

import (
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/prefix"
)

// committedManager returns a manager with one prompt of five blocks committed
// on store s1, and the current time.
func committedManager(t testing.TB, opts Options) (*Manager, time.Time) {
	t.Helper()
	m := testManager(t, opts)
	m.UpdateStore(epoch, testStatus("s1", 1))
	m.RecordUse(epoch, testUse("a", 1, 5))
	now := epoch.Add(DefaultIdleDelay)
	if got := writeAll(t, m, now, m.Plan(now, testRandom())); got != 5 {
		t.Fatalf("exported %d blocks, want 5", got)
	}
	return m, now
}

func mustPin(t testing.TB, m *Manager, now time.Time, block prefix.BlockID) Pin {
	t.Helper()
	pin, ok := m.Pin(now, testUse("a", 1, 1).Scope, block)
	if !ok {
		t.Fatalf("block %v in phase %v was not pinned", block, m.Phase(block))
	}
	return pin
}

// A reader is fetching a block when its store host is considered lost and then
// returns with the same incarnation. The slot is adopted again and then freed.
// The free must wait while the reader may still read: it would get the next
// block's bytes and have to recompute.
func TestPinSurvivesReadoptionOfItsCopy(t *testing.T) {
	m, now := committedManager(t, Options{})
	block := testBlocks(1, 1)[0]
	pin := mustPin(t, m, now, block)
	m.RemoveStore("s1", 1)
	m.UpdateStore(now, testStatus("s1", 1))
	if !m.Adopt(now, pin.Source) {
		t.Fatal("the copy was not adopted")
	}
	m.startFree(now, m.copies[block])
	if plan := m.Plan(now, testRandom()); len(plan.Frees) != 0 {
		t.Fatalf("copies freed under a pin: %+v", plan.Frees)
	}
	if plan := m.Plan(pin.Expires, testRandom()); len(plan.Frees) != 1 {
		t.Fatalf("%d frees after the pin's lease, want 1", len(plan.Frees))
	}
}

// plannedManager returns a manager with one planned export of one block, and
// that block, its slot and the current time.
func plannedManager(t *testing.T) (*Manager, PlannedBlock, prefix.Copy, time.Time) {
	t.Helper()
	m := testManager(t, Options{})
	m.UpdateStore(epoch, testStatus("s1", 1))
	m.RecordUse(epoch, testUse("a", 1, 1))
	now := epoch.Add(DefaultIdleDelay)
	plan := m.Plan(now, testRandom())
	if len(plan.Exports) != 1 || len(plan.Exports[0].Blocks) != 1 {
		t.Fatalf("plan %+v, want one export of one block", plan)
	}
	export := plan.Exports[0]
	slot := prefix.Copy{Slot: "s", Generation: 7, Bytes: testBytes, Tier: export.Tier}
	return m, export.Blocks[0], slot, now
}

// Answers of the store and the engine arrive late, twice, out of order or with
// wrong content. A reader must get the block only after the store has committed
// exactly the slot that the engine wrote; anything else ends in a recompute.
func TestCopyPhases(t *testing.T) {
	type state struct {
		m    *Manager
		id   CopyID
		slot prefix.Copy
		now  time.Time
	}
	type call func(s *state)
	reserved := func(change func(*Reservation)) call {
		return func(s *state) {
			answer := Reservation{Granted: true, Incarnation: 1, Copy: s.slot}
			change(&answer)
			s.m.Reserved(s.now, s.id, answer)
		}
	}
	granted := reserved(func(*Reservation) {})
	written := func(s *state) {
		s.slot.Checksum = 42
		s.m.Written(s.now, s.id, s.slot.Bytes, 42)
	}
	committed := func(change func(*prefix.Copy)) call {
		return func(s *state) {
			reported := s.slot
			change(&reported)
			s.m.Committed(s.now, s.id, reported)
		}
	}
	asWritten := committed(func(*prefix.Copy) {})
	failed := func(failure Failure) call {
		return func(s *state) { s.m.Failed(s.now, s.id, failure) }
	}
	seen := func(incarnation ident.Incarnation) call {
		return func(s *state) { s.m.UpdateStore(s.now, testStatus("s1", incarnation)) }
	}
	wait := func(length time.Duration) call {
		return func(s *state) {
			s.now = s.now.Add(length)
			s.m.Plan(s.now, testRandom())
		}
	}
	cases := []struct {
		name  string
		calls []call
		want  Phase
	}{
		{"reserving", nil, Reserving},
		{"writing", []call{granted}, Writing},
		{"verifying", []call{granted, written}, Verifying},
		{"committed", []call{granted, written, asWritten}, Committed},
		{"written before it is reserved", []call{written}, Reserving},
		{"committed before it is written", []call{granted, asWritten}, Writing},
		{"reserved twice", []call{granted, granted}, Writing},
		{"written twice", []call{granted, written, written}, Verifying},
		{"committed twice", []call{granted, written, asWritten, asWritten}, Committed},
		{"failed after commit", []call{granted, written, asWritten, failed(FailedStore)}, Committed},
		{"committed in another slot", []call{granted, written, committed(func(c *prefix.Copy) { c.Slot = "x" })}, Absent},
		{"committed in another generation", []call{granted, written, committed(func(c *prefix.Copy) { c.Generation++ })}, Absent},
		{"committed with another checksum", []call{granted, written, committed(func(c *prefix.Copy) { c.Checksum++ })}, Absent},
		{"committed shorter", []call{granted, written, committed(func(c *prefix.Copy) { c.Bytes-- })}, Absent},
		{"reserved by another writer", []call{reserved(func(r *Reservation) { r.Granted = false })}, Absent},
		{"committed by another writer", []call{reserved(func(r *Reservation) { r.Granted, r.Committed = false, true })}, Committed},
		{"committed in a tier that does not exist", []call{reserved(func(r *Reservation) { r.Committed, r.Copy.Tier = true, 9 })}, Absent},
		{"tier is full", []call{reserved(func(r *Reservation) { r.Full = true })}, Absent},
		{"reserved by a previous incarnation", []call{reserved(func(r *Reservation) { r.Incarnation = 0 })}, Absent},
		{"engine lost the block", []call{granted, failed(FailedEngine)}, Absent},
		{"store fails while writing", []call{granted, failed(FailedStore)}, Absent},
		{"store restarts while writing", []call{granted, seen(2), written, asWritten}, Absent},
		{"store restarts after commit", []call{granted, written, asWritten, seen(2)}, Absent},
		{"report of a previous incarnation", []call{granted, written, asWritten, seen(0)}, Committed},
		{"no answer to the reservation", []call{wait(DefaultWriteTimeout)}, Absent},
		{"no answer from the engine", []call{granted, wait(DefaultWriteTimeout)}, Absent},
		{"late answer after the timeout", []call{granted, written, wait(DefaultWriteTimeout), asWritten}, Absent},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m, block, slot, now := plannedManager(t)
			s := &state{m: m, id: block.ID, slot: slot, now: now}
			for _, call := range c.calls {
				call(s)
				checkManager(t, m)
			}
			got := m.Phase(block.Block)
			_, readable := m.Pin(s.now, testUse("a", 1, 1).Scope, block.Block)
			if got != c.want || readable != (got == Committed) {
				t.Fatalf("phase %v, readable %v, want %v", got, readable, c.want)
			}
		})
	}
}

// A reader of another team or version requests a block by an ID that was
// computed incorrectly. The pin must be refused.
func TestPinRefusesAnotherScope(t *testing.T) {
	m, now := committedManager(t, Options{})
	for _, scope := range []prefix.Scope{
		{Team: "b", Model: "m", Version: "v1"},
		{Team: "a", Model: "m", Version: "v2"},
		{Team: "a", Model: "m", Version: "v1", Adapter: "x"},
	} {
		if _, ok := m.Pin(now, scope, testBlocks(1, 1)[0]); ok {
			t.Errorf("%+v pinned a block of team a and version v1", scope)
		}
	}
}

// A copy with active pins is to be freed. Each reader must have unpinned or its
// lease must have expired first, even if a reader never unpins.
func TestFreeWaitsForPins(t *testing.T) {
	m, now := committedManager(t, Options{})
	block := testBlocks(1, 1)[0]
	first := mustPin(t, m, now, block)
	second := mustPin(t, m, now.Add(time.Second), block)
	m.startFree(now, m.copies[block])
	if _, ok := m.Pin(now, testUse("a", 1, 1).Scope, block); ok {
		t.Fatal("a copy that is being freed was pinned")
	}
	m.Unpin(now, first.ID, 0)
	m.Unpin(now, first.ID, 0)
	for at, want := range map[time.Time]int{second.Expires.Add(-time.Millisecond): 0} {
		if got := len(m.Plan(at, testRandom()).Frees); got != want {
			t.Fatalf("%d frees while pinned, want %d", got, want)
		}
	}
	frees := m.Plan(second.Expires, testRandom()).Frees
	if len(frees) != 1 || frees[0].Generation != second.Source.Copy.Generation {
		t.Fatalf("frees %+v after the lease, want one of generation %d", frees, second.Source.Copy.Generation)
	}
	m.Freed(now, frees[0].ID, true)
	m.Freed(now, frees[0].ID, true)
	if m.Phase(block) != Absent {
		t.Fatalf("phase %v after the free, want absent", m.Phase(block))
	}
	checkManager(t, m)
}

// The store refuses a free because another process has freed the slot without a
// report to this one. The copy must not be retried forever, and the host must
// not be paused for exports.
func TestFailedFreeIsAbandoned(t *testing.T) {
	m, now := committedManager(t, Options{})
	block := testBlocks(1, 1)[0]
	m.startFree(now, m.copies[block])
	for range maxFreeTries {
		frees := m.Plan(now, testRandom()).Frees
		if len(frees) != 1 {
			t.Fatalf("%d frees, want 1 retry", len(frees))
		}
		m.Freed(now, frees[0].ID, false)
		now = now.Add(DefaultRetry)
	}
	m.Plan(now, testRandom())
	if m.Phase(block) != Absent || m.stores["s1"].faultBackoff.active(now) {
		t.Fatalf("phase %v after %d refusals, host paused: %v", m.Phase(block), maxFreeTries, m.stores["s1"].faultBackoff)
	}
	checkManager(t, m)
}
