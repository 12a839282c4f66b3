package replica

import (
	"sync/atomic"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/disk"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/quorum"
)

// group is one group on this host. The fields of the first part belong to the
// worker and are guarded by its lock.
type group struct {
	manager *Manager
	worker  *worker
	id      port.GroupID

	node    *quorum.Node
	touched bool
	// heldBack are the messages of the outstanding Ready, which wait for its
	// sync.
	heldBack []quorum.Message
	reads    pendingReads
	// sinceEntries and sinceBytes count what was committed since the last
	// snapshot was asked for; committed is the last entry handed out.
	sinceEntries int
	sinceBytes   int
	committed    uint64
	// snapshotBytes is the size of the latest snapshot.
	snapshotBytes int
	// snapshotting is set from asking the applier until the snapshot is
	// stored; taken holds it until its entries are synced here.
	snapshotting bool
	taken        *quorum.Snapshot
	// previous is the stored snapshot before the latest one. The log is kept
	// from there, so that a follower a little behind needs no snapshot.
	previous  quorum.SnapshotMeta
	offering  bool
	transfers []*transfer
	// leader is the last one seen, for the log and the counters.
	leader ident.Host
	ticks  int

	// suspended holds the reason why the group does no more, empty while it
	// works.
	suspended atomic.Pointer[string]

	applier applier
}

var _ port.Replica = (*group)(nil)

// handle feeds one event to the node. drive follows in the same turn.
func (g *group) handle(now time.Time, e *event) {
	if g.stopped() {
		g.refuse(e)
		return
	}
	switch {
	case e.message != nil:
		g.node.Step(now, *e.message)
	case e.proposal != nil:
		g.propose(now, e.proposal)
	case e.read != nil:
		g.reads.fresh = append(g.reads.fresh, e.read)
	case e.synced != nil:
		g.finishSync(now, e.synced.err)
	case e.taken != nil:
		g.taken = e.taken
	case e.stored != nil:
		g.compact(*e.stored)
	case e.offered != nil:
		g.offering = false
		g.node.OfferSnapshot(*e.offered)
	case e.transfer != nil:
		g.startTransfer(now, e.transfer)
	}
}

// refuse answers an event of a suspended group.
func (g *group) refuse(e *event) {
	err := &SuspendedError{Group: g.id, Reason: g.reason()}
	switch {
	case e.proposal != nil:
		e.proposal.answer(nil, err)
	case e.read != nil:
		e.read.result <- err
	case e.transfer != nil:
		e.transfer.result <- err
	}
}

func (g *group) stopped() bool { return g.suspended.Load() != nil }

func (g *group) reason() string {
	if reason := g.suspended.Load(); reason != nil {
		return *reason
	}
	return ""
}

// suspend ends the group's part on this host. After a failed write or sync
// nothing may be sent or answered any more: the peers would count on state
// that the disk does not hold.
func (g *group) suspend(reason string) {
	if !g.suspended.CompareAndSwap(nil, &reason) {
		return
	}
	g.manager.options.Log.Error("group suspended", "group", uint32(g.id), "reason", reason)
	err := &SuspendedError{Group: g.id, Reason: reason}
	g.heldBack = nil
	g.reads.fail(err)
	for _, t := range g.transfers {
		t.result <- err
	}
	g.transfers = nil
	g.applier.abandon(reason)
}

func (g *group) tick(now time.Time) {
	if g.stopped() {
		return
	}
	if err := g.manager.options.Storage.Err(); err != nil {
		g.suspend(err.Error())
		return
	}
	g.node.Tick(now)
	// The deadlines are those of contexts.
	g.reads.expire(time.Now())
	g.settleTransfers(now)
	if g.ticks++; g.ticks%ticksPerHeartbeat == 0 {
		g.noteLeader()
	}
}

func (g *group) noteLeader() {
	status := g.node.Status()
	if status.Leader == g.leader {
		return
	}
	g.leader = status.Leader
	g.manager.stats.leaderChanges.Inc()
	g.manager.options.Log.Info("leader changed", "group", uint32(g.id), "leader", g.leader, "term", status.Term)
}

// fail suspends the group at the worker's next turn.
func (g *group) fail(err error) {
	g.worker.inbox.post(event{group: g, synced: &syncResult{err: err}})
}

// drive carries out what the node wants after the events of a turn.
func (g *group) drive(now time.Time, out *outbox) {
	if g.stopped() {
		return
	}
	g.startReads(now)
	for {
		ready := g.node.Ready()
		if ready.Empty() || (g.offering && onlyWantsSnapshot(&ready)) {
			break
		}
		g.carryOut(now, &ready, out)
	}
	g.storeSnapshot()
}

func onlyWantsSnapshot(r *quorum.Ready) bool {
	rest := *r
	rest.SnapshotWanted = false
	return rest.Empty()
}

// carryOut follows the order that package quorum asks for. Committed entries
// and snapshots go to the state machine before this host's own sync: a quorum
// holds them already.
func (g *group) carryOut(now time.Time, ready *quorum.Ready, out *outbox) {
	out.add(g.id, ready.Immediate)
	if ready.Snapshot != nil {
		g.restore(ready.Snapshot)
	}
	if len(ready.Committed) > 0 {
		g.commit(ready.Committed)
	}
	g.finishReads(ready.Reads)
	if ready.SnapshotWanted {
		g.offerSnapshot()
	}
	if !ready.MustSync() {
		if len(ready.Messages) > 0 {
			out.add(g.id, ready.Messages)
			g.node.Advance(now)
		}
		return
	}
	g.heldBack = ready.Messages
	g.write(ready)
}

// write starts the write of a Ready. The node gives out no other one before
// finishSync.
func (g *group) write(ready *quorum.Ready) {
	update := disk.Update{
		Group:      g.id,
		Hard:       ready.HardState,
		Snapshot:   ready.Snapshot,
		ReplaceLog: ready.Snapshot != nil,
		Entries:    ready.Entries,
	}
	start := func() {
		g.manager.options.Storage.Start(update, func(err error) {
			g.worker.inbox.post(event{group: g, synced: &syncResult{err: err}})
		})
	}
	if update.Snapshot != nil {
		// Writing the snapshot's file takes long; other groups go on.
		g.manager.spawn(start)
		return
	}
	start()
}

func (g *group) finishSync(now time.Time, err error) {
	if err != nil {
		g.suspend(err.Error())
		return
	}
	g.worker.outbox.add(g.id, g.heldBack)
	g.heldBack = nil
	g.node.Advance(now)
	if g.node.Status().Revoked {
		g.suspend(quorum.ErrRevoked.Error())
	}
}
