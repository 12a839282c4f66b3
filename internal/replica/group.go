package replica

import (
	"sync/atomic"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/disk"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/quorum"
)

// group is one group on this host. The fields from node to ticks are owned by the
// worker and guarded by its lock.
type group struct {
	manager *Manager
	worker  *worker
	id      port.GroupID

	node *quorum.Node
	// active is set while the group is listed in worker.active.
	active bool
	// awaitingSync are the messages of the outstanding Ready that are sent after
	// its sync.
	awaitingSync []quorum.Message
	reads        pendingReads
	// entriesSinceSnapshot and bytesSinceSnapshot count what was committed since the
	// last snapshot was requested. lastCommitted is the index of the last entry or
	// snapshot passed to the applier.
	entriesSinceSnapshot int
	bytesSinceSnapshot   int
	lastCommitted        uint64
	// snapshotBytes is the size of the data of the latest snapshot.
	snapshotBytes int
	// snapshotting is set from the request to the applier until the snapshot is
	// stored. captured holds the snapshot until the entries it covers are synced on
	// this host.
	snapshotting bool
	captured     *quorum.Snapshot
	// previousSnapshot is the latest stored snapshot. Once the next one is stored,
	// the log is compacted up to this one and not up to the newer one, so that a
	// follower that is slightly behind needs no snapshot.
	previousSnapshot quorum.SnapshotMeta
	// offeringSnapshot is set while the stored snapshot is being loaded for a follower.
	offeringSnapshot bool
	transfers        []*transfer
	// lastLeader is the leader last logged and counted.
	lastLeader ident.Host
	ticks      int

	// suspended is the reason why the group is suspended, nil while it runs.
	suspended atomic.Pointer[string]

	applier applier
}

var _ port.Replica = (*group)(nil)

// handle passes one event to the node. drive follows in the same iteration.
func (g *group) handle(now time.Time, e *event) {
	if g.isSuspended() {
		g.refuse(e)
		return
	}
	switch {
	case e.message != nil:
		g.node.Step(now, *e.message)
	case e.proposal != nil:
		g.propose(now, e.proposal)
	case e.read != nil:
		g.reads.queued = append(g.reads.queued, e.read)
	case e.synced != nil:
		g.finishSync(now, e.synced.err)
	case e.captured != nil:
		g.captured = e.captured
	case e.stored != nil:
		g.compact(*e.stored)
	case e.offered != nil:
		g.offeringSnapshot = false
		g.node.OfferSnapshot(*e.offered)
	case e.transfer != nil:
		g.startTransfer(now, e.transfer)
	}
}

// refuse fails the request of an event of a suspended group.
func (g *group) refuse(e *event) {
	err := &SuspendedError{Group: g.id, Reason: g.suspendReason()}
	switch {
	case e.proposal != nil:
		e.proposal.resolve(nil, err)
	case e.read != nil:
		e.read.result <- err
	case e.transfer != nil:
		e.transfer.result <- err
	}
}

func (g *group) isSuspended() bool { return g.suspended.Load() != nil }

func (g *group) suspendReason() string {
	if suspendReason := g.suspended.Load(); suspendReason != nil {
		return *suspendReason
	}
	return ""
}

// suspend stops the group on this host permanently. After a failed write or sync
// no message or result may leave this host: peers would rely on state that is not
// on its disk.
func (g *group) suspend(reason string) {
	if !g.suspended.CompareAndSwap(nil, &reason) {
		return
	}
	g.manager.options.Log.Error("group suspended", "group", uint32(g.id), "reason", reason)
	err := &SuspendedError{Group: g.id, Reason: reason}
	g.awaitingSync = nil
	g.reads.fail(err)
	for _, t := range g.transfers {
		t.result <- err
	}
	g.transfers = nil
	g.applier.abandon(reason)
}

func (g *group) tick(now time.Time) {
	if g.isSuspended() {
		return
	}
	if err := g.manager.options.Storage.Err(); err != nil {
		g.suspend(err.Error())
		return
	}
	g.node.Tick(now)
	// The deadlines come from contexts, which use time.Now and not Options.Clock.
	g.reads.expire(time.Now())
	g.resolveTransfers(now)
	if g.ticks++; g.ticks%ticksPerHeartbeat == 0 {
		g.recordLeader()
	}
}

func (g *group) recordLeader() {
	status := g.node.Status()
	if status.Leader == g.lastLeader {
		return
	}
	g.lastLeader = status.Leader
	g.manager.stats.leaderChanges.Inc()
	g.manager.options.Log.Info("leader changed", "group", uint32(g.id), "leader", g.lastLeader, "term", status.Term)
}

// fail suspends the group in the worker's next iteration. It may be called from
// any goroutine.
func (g *group) fail(err error) {
	g.worker.inbox.post(event{group: g, synced: &syncResult{err: err}})
}

// drive processes the node's Ready batches after the events of an iteration.
func (g *group) drive(now time.Time, out *outbox) {
	if g.isSuspended() {
		return
	}
	g.startReads(now)
	for {
		ready := g.node.Ready()
		if ready.Empty() || (g.offeringSnapshot && onlyWantsSnapshot(&ready)) {
			break
		}
		g.handleReady(now, &ready, out)
	}
	g.storeSnapshot()
}

func onlyWantsSnapshot(r *quorum.Ready) bool {
	rest := *r
	rest.SnapshotWanted = false
	return rest.Empty()
}

// handleReady processes one Ready in the order that package quorum requires.
// Committed entries and snapshots are passed to the state machine before this
// host's own sync, because a quorum has stored them already.
func (g *group) handleReady(now time.Time, ready *quorum.Ready, out *outbox) {
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
	g.awaitingSync = ready.Messages
	g.write(ready)
}

// write starts writing a Ready to disk. The node returns no further Ready that
// needs a sync until finishSync.
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
		// Writing the snapshot file is slow and must not block other groups.
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
	g.worker.outbox.add(g.id, g.awaitingSync)
	g.awaitingSync = nil
	g.node.Advance(now)
	if g.node.Status().Revoked {
		g.suspend(quorum.ErrRevoked.Error())
	}
}
