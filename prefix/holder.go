package prefix

import (
	"slices"

	"github.com/lovagereach/lovagereach/ident"
)

// holder is the state of an upstream in a directory.
type holder struct {
	upstream    ident.Upstream
	incarnation ident.Incarnation
	index       int
	used        bool
	// next is the lowest sequence number not yet received; all events before it
	// are applied.
	next uint64
	// pending are the events received after next, by sequence number. They are
	// already applied as hints. They are kept to detect that the gap is closed and to
	// apply them again after a snapshot.
	pending  []Event
	accuracy float64
}

// eventVerdict is the classification of an event by its sequence number.
type eventVerdict uint8

const (
	eventInOrder eventVerdict = iota
	eventAfterGap
	eventDuplicate
	// eventSuperseded is a late event for a block that a later event has changed.
	eventSuperseded
)

func (h *holder) stale() bool { return len(h.pending) > 0 }

func (h *holder) result() ApplyResult {
	if h.stale() {
		return NeedsSnapshot
	}
	return Current
}

// reset starts an incarnation with no known events.
func (h *holder) reset(incarnation ident.Incarnation) {
	h.incarnation = incarnation
	h.next = 1
	h.pending = nil
	h.accuracy = 1
}

// admit adds an event to pending, unless it is a duplicate, and classifies it.
func (h *holder) admit(event Event, maxPending int) eventVerdict {
	if event.Sequence < h.next {
		return eventDuplicate
	}
	at, found := h.search(event.Sequence)
	if found {
		return eventDuplicate
	}
	superseded := h.changedAfter(at, event.Block)
	opensGap := at == len(h.pending) && event.Sequence != h.lastSeen()+1
	h.pending = slices.Insert(h.pending, at, event)
	// Beyond the limit the oldest event is dropped: the gap can then only be closed
	// by a snapshot that includes all events before those still pending.
	if len(h.pending) > maxPending {
		h.pending = slices.Delete(h.pending, 0, 1)
	}
	switch {
	case superseded:
		return eventSuperseded
	case opensGap:
		return eventAfterGap
	}
	return eventInOrder
}

func (h *holder) lastSeen() uint64 {
	if len(h.pending) == 0 {
		return h.next - 1
	}
	return h.pending[len(h.pending)-1].Sequence
}

func (h *holder) search(sequence uint64) (int, bool) {
	return slices.BinarySearchFunc(h.pending, sequence, func(event Event, target uint64) int {
		switch {
		case event.Sequence < target:
			return -1
		case event.Sequence > target:
			return 1
		}
		return 0
	})
}

// changedAfter reports whether a pending event at or after position at has changed
// block. Applying an older event after it would revert the change: a removed block
// would count as stored.
func (h *holder) changedAfter(at int, block BlockID) bool {
	for _, later := range h.pending[at:] {
		if later.Kind == Cleared || later.Block == block {
			return true
		}
	}
	return false
}

// advance moves next past the pending events that follow without a gap.
func (h *holder) advance() {
	done := 0
	for done < len(h.pending) && h.pending[done].Sequence == h.next {
		h.next++
		done++
	}
	h.pending = slices.Delete(h.pending, 0, done)
}

// restart continues after the snapshot with this sequence number and drops the pending
// events that it includes.
func (h *holder) restart(sequence uint64) {
	h.next = sequence + 1
	at, found := h.search(sequence)
	if found {
		at++
	}
	h.pending = slices.Delete(h.pending, 0, at)
}

// updateAccuracy adds one answer to the moving average.
func (h *holder) updateAccuracy(claimed, reused int) {
	share := min(float64(max(reused, 0))/float64(claimed), 1)
	h.accuracy += accuracyWeight * (share - h.accuracy)
}

// holderTable assigns each followed upstream an index below MaxHolders.
type holderTable struct {
	slots [MaxHolders]holder
	index map[ident.Upstream]int
}

func newHolderTable() holderTable {
	return holderTable{index: make(map[ident.Upstream]int)}
}

func (t *holderTable) find(upstream ident.Upstream) *holder {
	i, ok := t.index[upstream]
	if !ok {
		return nil
	}
	return &t.slots[i]
}

func (t *holderTable) insert(upstream ident.Upstream, incarnation ident.Incarnation) *holder {
	for i := range t.slots {
		h := &t.slots[i]
		if h.used {
			continue
		}
		*h = holder{upstream: upstream, index: i, used: true}
		h.reset(incarnation)
		t.index[upstream] = i
		return h
	}
	return nil
}

func (t *holderTable) remove(h *holder) {
	delete(t.index, h.upstream)
	*h = holder{index: h.index}
}
