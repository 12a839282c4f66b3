package replica

import (
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/quorum"
)

// applyItem is a unit of work for the state machine. Items are processed in order.
type applyItem struct {
	entries []quorum.Entry
	restore *quorum.Snapshot
	// snapshot requests a snapshot of the state after the preceding items.
	snapshot *quorum.SnapshotMeta
	reads    []indexedReads
}

// indexedReads are reads that wait until index is applied.
type indexedReads struct {
	index uint64
	reads []*read
}

// applier applies committed entries to a group's state machine. Its goroutine
// exists only while items are queued.
type applier struct {
	group *group
	// machineMu serializes all calls to machine, including View.
	machineMu sync.Mutex
	machine   port.StateMachine
	applied   atomic.Uint64

	mu      sync.Mutex
	items   []applyItem
	running bool
	// backlog is the number of committed entries not applied yet.
	backlog int
	// waiters are the pending proposals by log index.
	waiters      map[uint64]*proposal
	waitingReads []indexedReads
	// stopReason is set once the group is suspended or its state machine failed.
	stopReason string
}

func (a *applier) add(item applyItem) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopReason != "" {
		return
	}
	a.items = append(a.items, item)
	a.backlog += len(item.entries)
	if !a.running {
		a.running = true
		a.group.manager.spawn(a.run)
	}
}

// full reports whether the backlog has reached MaxBacklog, so that proposals are
// refused.
func (a *applier) full() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.backlog >= a.group.manager.options.MaxBacklog
}

// addWaiter registers a proposal at its log index. An earlier proposal at that
// index was replaced and fails.
func (a *applier) addWaiter(index uint64, p *proposal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if earlier, ok := a.waiters[index]; ok {
		earlier.resolve(nil, &port.NotLeaderError{})
	}
	a.waiters[index] = p
}

func (a *applier) run() {
	for {
		item, ok := a.next()
		if !ok {
			return
		}
		switch {
		case item.restore != nil:
			a.restore(item.restore)
		case item.snapshot != nil:
			a.snapshot(*item.snapshot)
		case len(item.entries) > 0:
			a.apply(item.entries)
		}
		a.mu.Lock()
		a.backlog -= len(item.entries)
		a.waitingReads = append(a.waitingReads, item.reads...)
		a.mu.Unlock()
		a.resolveReads()
	}
}

func (a *applier) next() (applyItem, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.items) == 0 || a.stopReason != "" {
		a.running = false
		return applyItem{}, false
	}
	item := a.items[0]
	a.items[0] = applyItem{}
	a.items = a.items[1:]
	return item, true
}

func (a *applier) apply(entries []quorum.Entry) {
	results := make([][]byte, len(entries))
	a.machineMu.Lock()
	for i := range entries {
		if entries[i].Kind == quorum.EntryCommand {
			results[i] = a.machine.Apply(entries[i].Index, entries[i].Data)
		}
	}
	a.applied.Store(entries[len(entries)-1].Index)
	a.machineMu.Unlock()
	a.group.manager.stats.applied.Add(len(entries))
	a.resolve(entries, results)
}

// resolve completes the proposals that wait at the indexes of entries. A different
// term at an index means that the proposal was replaced and will never be
// committed.
func (a *applier) resolve(entries []quorum.Entry, results [][]byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range entries {
		p, ok := a.waiters[entries[i].Index]
		if !ok {
			continue
		}
		delete(a.waiters, entries[i].Index)
		if p.term == entries[i].Term {
			p.resolve(results[i], nil)
		} else {
			p.resolve(nil, &port.NotLeaderError{})
		}
	}
}

func (a *applier) restore(snapshot *quorum.Snapshot) {
	a.machineMu.Lock()
	err := restoreMachine(a.machine, snapshot.Data)
	if err == nil {
		a.applied.Store(snapshot.Meta.Index)
	}
	a.machineMu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.stopReason = "the state machine refuses a snapshot"
		a.group.fail(eris.Wrap(err, a.stopReason))
		return
	}
	for index, p := range a.waiters {
		if index <= snapshot.Meta.Index {
			delete(a.waiters, index)
			p.resolve(nil, uncertain("a snapshot has passed the proposal's position"))
		}
	}
}

// restoreMachine restores a state machine from a snapshot. Empty data is the
// snapshot of a newly bootstrapped group and represents the empty state.
func restoreMachine(machine port.StateMachine, data []byte) error {
	if len(data) == 0 {
		return nil
	}
	return machine.Restore(data)
}

func (a *applier) snapshot(meta quorum.SnapshotMeta) {
	a.machineMu.Lock()
	data, err := a.machine.Snapshot()
	a.machineMu.Unlock()
	g := a.group
	if err != nil {
		g.manager.options.Log.Error("snapshot failed", "group", uint32(g.id), "cause", err)
		// Index 0 means that no snapshot was stored. The next attempt follows after as
		// many committed entries or bytes again.
		g.worker.inbox.post(event{group: g, stored: &quorum.SnapshotMeta{}})
		return
	}
	captured := &quorum.Snapshot{Meta: meta, Data: data}
	g.worker.inbox.post(event{group: g, captured: captured})
}

// hasPendingProposals reports whether proposals are pending.
func (a *applier) hasPendingProposals() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.waiters) > 0
}

// resolveReads completes the reads whose index is applied.
func (a *applier) resolveReads() {
	applied := a.applied.Load()
	a.mu.Lock()
	defer a.mu.Unlock()
	kept := a.waitingReads[:0]
	for _, at := range a.waitingReads {
		if at.index > applied {
			kept = append(kept, at)
			continue
		}
		for _, r := range at.reads {
			r.result <- nil
		}
	}
	clear(a.waitingReads[len(kept):])
	a.waitingReads = kept
}

// abandon drops queued items and fails all pending proposals and reads of a
// suspended group.
func (a *applier) abandon(reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopReason = reason
	a.items = nil
	for index, p := range a.waiters {
		delete(a.waiters, index)
		a.group.manager.stats.uncertain.Inc()
		p.resolve(nil, uncertain(reason))
	}
	for _, at := range a.waitingReads {
		for _, r := range at.reads {
			r.result <- &SuspendedError{Group: a.group.id, Reason: reason}
		}
	}
	a.waitingReads = nil
}
