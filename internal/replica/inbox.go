package replica

import (
	"sync"

	"github.com/lovagereach/lovagereach/quorum"
)

// event is an input of a group. Exactly one field other than group is set.
type event struct {
	group    *group
	message  *quorum.Message
	proposal *proposal
	read     *read
	// synced is the result of the group's outstanding write, or the error by which
	// fail suspends the group.
	synced *syncResult
	// captured is a snapshot of the state machine that has to be stored.
	captured *quorum.Snapshot
	// stored is the snapshot that was stored and synced, with index 0 if none was.
	// offered is a snapshot loaded for a follower.
	stored  *quorum.SnapshotMeta
	offered *quorum.Snapshot
	// transfer is a request to transfer leadership.
	transfer *transfer
}

type syncResult struct{ err error }

// inbox is the event queue of a worker.
type inbox struct {
	mu     sync.Mutex
	events []event
	limit  int
	wake   chan struct{}
}

func newInbox(limit int) *inbox {
	return &inbox{limit: limit, wake: make(chan struct{}, 1)}
}

// offer adds an event from a caller or peer. It returns false if the inbox is full.
func (b *inbox) offer(e event) bool {
	b.mu.Lock()
	full := len(b.events) >= b.limit
	if !full {
		b.events = append(b.events, e)
	}
	b.mu.Unlock()
	b.signal()
	return !full
}

// post adds an internal event, regardless of the limit. Each group has at most a
// few of them outstanding, so their number is bounded by the number of groups.
func (b *inbox) post(e event) {
	b.mu.Lock()
	b.events = append(b.events, e)
	b.mu.Unlock()
	b.signal()
}

func (b *inbox) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// takeAll removes and returns all events. The array of spare is reused for the
// next ones.
func (b *inbox) takeAll(spare []event) []event {
	b.mu.Lock()
	defer b.mu.Unlock()
	events := b.events
	b.events = spare[:0]
	return events
}
