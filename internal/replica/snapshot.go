package replica

import (
	"errors"

	"github.com/lovagereach/lovagereach/internal/adapter/disk"
	"github.com/lovagereach/lovagereach/quorum"
)

// maxSnapshotRatio is the maximum ratio of snapshot bytes to log bytes written.
const maxSnapshotRatio = 4

// snapshotDue reports whether enough was committed since the last snapshot. A
// large state is captured less often, so that snapshots write at most
// maxSnapshotRatio times as many bytes as the log.
func (g *group) snapshotDue() bool {
	options := &g.manager.options
	enough := g.entriesSinceSnapshot >= options.SnapshotEntries || g.bytesSinceSnapshot >= options.SnapshotBytes
	written := g.bytesSinceSnapshot + g.entriesSinceSnapshot*messageOverhead
	return enough && !g.snapshotting && written*maxSnapshotRatio >= g.snapshotBytes
}

// requestSnapshot queues a snapshot of the state machine right after the last
// committed entries.
func (g *group) requestSnapshot() {
	meta, err := g.node.SnapshotMeta(g.lastCommitted)
	if err != nil {
		g.manager.options.Log.Error("snapshot request failed", "group", uint32(g.id), "cause", err)
		return
	}
	g.snapshotting = true
	g.entriesSinceSnapshot, g.bytesSinceSnapshot = 0, 0
	g.applier.add(applyItem{snapshot: &meta})
}

// storeSnapshot writes the captured snapshot once this host has synced the entries
// that it covers. Before that, the folder could still hold conflicting entries
// beyond the snapshot's index, which a restart would append to the snapshot.
func (g *group) storeSnapshot() {
	if g.captured == nil || g.node.Status().Synced < g.captured.Meta.Index {
		return
	}
	captured := g.captured
	g.captured = nil
	g.snapshotBytes = len(captured.Data)
	g.manager.spawn(func() {
		update := disk.Update{Group: g.id, Snapshot: captured}
		err := g.manager.options.Storage.Save(update)
		result := event{group: g, stored: &captured.Meta}
		if errors.Is(err, disk.ErrUpdate) {
			// A newer snapshot from the leader was stored first.
			result.stored = &quorum.SnapshotMeta{}
		} else if err != nil {
			g.fail(err)
			return
		}
		g.worker.inbox.post(result)
	})
}

// compact completes a snapshot and drops the log entries that the stored snapshot
// before it covers. An index of 0 means that no snapshot was stored.
func (g *group) compact(meta quorum.SnapshotMeta) {
	g.snapshotting = false
	if meta.Index == 0 {
		return
	}
	g.manager.stats.snapshots.Inc()
	if g.previousSnapshot.Index > 0 {
		if err := g.node.Compact(g.previousSnapshot); err != nil {
			g.manager.options.Log.Warn("log compaction failed", "group", uint32(g.id), "cause", err)
		}
	}
	g.previousSnapshot = meta
}

// restore replaces the state machine's state with a snapshot from the leader.
func (g *group) restore(snapshot *quorum.Snapshot) {
	g.manager.stats.installs.Inc()
	g.lastCommitted = snapshot.Meta.Index
	g.snapshotBytes = len(snapshot.Data)
	g.entriesSinceSnapshot, g.bytesSinceSnapshot = 0, 0
	g.applier.add(applyItem{restore: snapshot})
}

// offerSnapshot loads the stored snapshot for a follower that needs entries which
// have been compacted from the log.
func (g *group) offerSnapshot() {
	if g.offeringSnapshot {
		return
	}
	g.offeringSnapshot = true
	g.manager.spawn(func() {
		stored, data, ok, err := g.manager.options.Storage.Load(g.id)
		if err != nil || !ok {
			reason := "the stored snapshot can't be read"
			if err != nil {
				reason += ": " + err.Error()
			}
			g.fail(errors.New(reason))
			return
		}
		offered := &quorum.Snapshot{Meta: stored.Snapshot, Data: data}
		g.worker.inbox.post(event{group: g, offered: offered})
	})
}
