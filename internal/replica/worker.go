package replica

import (
	"context"
	"sync"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/quorum"
)

// worker owns a share of the groups. Its lock guards their nodes: the loop holds
// it during an iteration, status only briefly.
type worker struct {
	manager *Manager
	inbox   *inbox
	outbox  outbox

	// ranAt is the time of the previous iteration, zero if there was no group then. Only the loop
	// uses it.
	ranAt time.Time

	mu     sync.Mutex
	groups []*group
	// active lists the groups that the current iteration has to process.
	active []*group
}

func newWorker(m *Manager) *worker {
	return &worker{
		manager: m,
		inbox:   newInbox(m.options.MaxQueuedEvents),
		outbox:  outbox{manager: m, peers: make(map[ident.Host][]envelope)},
	}
}

// run iterates until ctx ends. An iteration handles all queued events, then
// processes each active group, then sends the messages.
func (w *worker) run(ctx context.Context) {
	ticker := time.NewTicker(w.manager.options.Quorum.Heartbeat / ticksPerHeartbeat)
	defer ticker.Stop()
	var events []event
	for {
		ticks := ticker.C
		if w.empty() {
			// A worker without groups blocks until one is added.
			ticks, w.ranAt = nil, time.Time{}
		}
		ticked := false
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			ticked = true
		case <-w.inbox.wake:
		}
		events = w.inbox.takeAll(events)
		w.iterate(events, ticked)
		clear(events)
	}
}

func (w *worker) empty() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.groups) == 0
}

func (w *worker) iterate(events []event, ticked bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	// The clock is read after the events were dequeued: a machine that was suspended
	// before that must not serve reads by a lease that has expired meanwhile.
	now := w.manager.options.Clock()
	w.deferTimeouts(now)
	for i := range events {
		w.markActive(events[i].group)
		events[i].group.handle(now, &events[i])
	}
	if ticked {
		for _, g := range w.groups {
			g.tick(now)
			w.markActive(g)
		}
	}
	for _, g := range w.active {
		g.active = false
		g.drive(now, &w.outbox)
	}
	w.active = w.active[:0]
	w.outbox.flush()
}

// deferTimeouts defers the timeouts of all nodes by the time for which this worker did not run.
// An iteration counts as at most one heartbeat interval, which bounds how much later a worker
// that always runs late notices a lost leader.
func (w *worker) deferTimeouts(now time.Time) {
	stalled := now.Sub(w.ranAt) - w.manager.options.Quorum.Heartbeat
	first := w.ranAt.IsZero()
	w.ranAt = now
	if first || stalled <= 0 {
		return
	}
	w.manager.stats.stalls.Inc()
	w.manager.stats.stalled.Add(stalled.Seconds())
	for _, g := range w.groups {
		g.node.DeferTimeouts(stalled)
	}
}

func (w *worker) markActive(g *group) {
	if !g.active {
		g.active = true
		w.active = append(w.active, g)
	}
}

func (w *worker) add(g *group) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.groups = append(w.groups, g)
	w.inbox.signal()
}

// status returns the status of a group's node.
func (w *worker) status(g *group) quorum.Status {
	w.mu.Lock()
	defer w.mu.Unlock()
	return g.node.Status()
}
