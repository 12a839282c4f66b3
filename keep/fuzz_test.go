package keep

import (
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/prefix"
)

// FuzzManager applies arbitrary sequences of uses, reports and results,
// including invalid ones that no store or engine should send. All counts and
// indexes must be consistent after each step, and readers may get only
// committed copies.
func FuzzManager(f *testing.F) {
	f.Add([]byte{0, 0, 0, 0, 1, 1, 4, 0, 2, 0, 0, 200, 3, 1, 0, 0, 4, 1, 0, 0, 5, 1, 0, 0, 6, 0, 0, 0})
	f.Add([]byte{0, 0, 0, 0, 1, 1, 9, 0, 2, 0, 0, 200, 3, 1, 3, 0, 9, 0, 0, 0, 0, 0, 1, 0, 10, 1, 0, 0, 2, 0, 0, 9})
	f.Fuzz(func(t *testing.T, data []byte) {
		w := &fuzzState{
			m:   testManager(t, Options{MaxPrompts: 4, MaxBlocks: 16, MaxCopies: 10, MaxPins: 3, MaxStores: 2, MaxRecords: 3}),
			now: epoch,
		}
		for ; len(data) >= 4; data = data[4:] {
			w.step(t, data[0], data[1], data[2], data[3])
			checkManager(t, w.m)
		}
	})
}

type fuzzState struct {
	m   *Manager
	now time.Time
}

func (w *fuzzState) step(t *testing.T, kind, a, b, c byte) {
	m := w.m
	store := ident.Upstream([]string{"s1", "s2", "s3"}[a%3])
	id := CopyID(a % 32)
	block := testBlocks(int(a%6), 1+int(b%6))[b%6%(1+b%6)]
	slot := prefix.Copy{Slot: "s", Generation: uint64(b % 4), Bytes: int64(int8(c)), Tier: prefix.Tier(b % 3)}
	switch kind % 14 {
	case 0:
		m.UpdateStore(w.now, testStatus(store, ident.Incarnation(b%4)))
	case 1:
		use := testUse(ident.Team([]string{"x", "y"}[c%2]), int(a%6), int(b%8))
		use.BlockBytes = int64(c) * megabyte
		use.Saved = time.Duration(c) * time.Millisecond
		m.RecordUse(w.now, use)
	case 2:
		w.now = w.now.Add(time.Duration(c) * time.Duration(1+b) * 20 * time.Millisecond)
		m.Plan(w.now, testRandom())
	case 3:
		m.Reserved(w.now, id, Reservation{Granted: b%2 == 0, Full: b%3 == 1, Committed: b%5 == 1, Incarnation: ident.Incarnation(b % 4), Copy: slot})
	case 4:
		m.Written(w.now, id, int64(int8(c))*megabyte, uint64(b))
	case 5:
		if copied := m.byID[id]; copied != nil && b%2 == 0 {
			slot = copied.copy
		}
		m.Committed(w.now, id, slot)
	case 6:
		m.Failed(w.now, id, Failure(b%6))
	case 7:
		for scope := range 2 {
			use := testUse(ident.Team([]string{"x", "y"}[scope]), 0, 1)
			pin, ok := m.Pin(w.now, use.Scope, block)
			if ok && (m.Phase(block) != Committed || pin.Source.Block != block) {
				t.Fatalf("pinned %+v in phase %v", pin, m.Phase(block))
			}
		}
	case 8:
		m.Unpin(w.now, PinID(a%8), Failure(b%5))
	case 9:
		m.RemoveStore(store, ident.Incarnation(b%4))
	case 10:
		m.Rehome(w.now, func(first prefix.BlockID) bool { return first[0]%2 == a%2 })
	case 11:
		m.Adopt(w.now, Source{Block: block, Store: store, Incarnation: ident.Incarnation(b % 4), Copy: slot})
	case 12:
		m.Freed(w.now, id, b%2 == 0)
		m.CopyRemoved(store, block, uint64(b%4))
	case 13:
		m.RunnerEvicted(w.now, "r", ident.Incarnation(b%2), block)
		if c > 200 {
			m.RemoveRunner("r", 1)
		}
	}
}
