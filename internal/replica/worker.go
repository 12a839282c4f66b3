package replica

import (
	"context"
	"sync"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/quorum"
)

// worker owns some groups. Its lock guards their nodes: the loop holds it
// while groups decide, and Status takes it briefly.
type worker struct {
	manager *Manager
	inbox   *inbox
	outbox  outbox

	mu     sync.Mutex
	groups []*group
	// touched lists the groups with events since the last turn.
	touched []*group
}

func newWorker(m *Manager) *worker {
	return &worker{
		manager: m,
		inbox:   newInbox(m.options.MaxQueuedEvents),
		outbox:  outbox{manager: m, peers: make(map[ident.Host][]envelope)},
	}
}

// run takes turns until ctx ends: all waiting events, then each touched group
// decides, then the messages go out.
func (w *worker) run(ctx context.Context) {
	ticker := time.NewTicker(w.manager.options.Quorum.Heartbeat / ticksPerHeartbeat)
	defer ticker.Stop()
	var events []event
	for {
		ticks := ticker.C
		if w.empty() {
			// Without groups the worker sleeps until one is added.
			ticks = nil
		}
		ticked := false
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			ticked = true
		case <-w.inbox.wake:
		}
		events = w.inbox.take(events)
		w.turn(events, ticked)
		clear(events)
	}
}

func (w *worker) empty() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.groups) == 0
}

func (w *worker) turn(events []event, ticked bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	// Read after the events were taken: a machine that was suspended before them
	// must not answer by a lease that has ended meanwhile.
	now := w.manager.options.Clock()
	for i := range events {
		w.touch(events[i].group)
		events[i].group.handle(now, &events[i])
	}
	if ticked {
		for _, g := range w.groups {
			g.tick(now)
			w.touch(g)
		}
	}
	for _, g := range w.touched {
		g.touched = false
		g.drive(now, &w.outbox)
	}
	w.touched = w.touched[:0]
	w.outbox.flush()
}

func (w *worker) touch(g *group) {
	if !g.touched {
		g.touched = true
		w.touched = append(w.touched, g)
	}
}

func (w *worker) add(g *group) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.groups = append(w.groups, g)
	w.inbox.signal()
}

// status returns a node's status between two turns.
func (w *worker) status(g *group) quorum.Status {
	w.mu.Lock()
	defer w.mu.Unlock()
	return g.node.Status()
}
