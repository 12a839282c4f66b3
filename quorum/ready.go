package quorum

import (
	"slices"
	"time"
)

// maxApplyBytes is the maximum size of the committed entries in one Ready.
const maxApplyBytes = 4 << 20

// Ready returns the pending effects. See the package comment for their order.
func (n *Node) Ready() Ready {
	if n.role == RoleLeader {
		n.flushReads()
		n.sendAppends()
	}
	rd := Ready{Immediate: n.immediate, Reads: n.reads, SnapshotWanted: n.lead.snapshotWanted}
	n.immediate = nil
	n.reads = nil
	n.lead.snapshotWanted = false
	if !n.syncing {
		n.fillPersistent(&rd)
	}
	// Entries after a snapshot are withheld until it has been restored.
	if n.pendingSnapshot == nil && !n.restoring {
		rd.Committed = n.log.from(n.log.applied+1, n.log.commit, maxApplyBytes)
		n.log.applied += uint64(len(rd.Committed))
	}
	return rd
}

func (n *Node) fillPersistent(rd *Ready) {
	if n.dirty {
		hard := n.hard
		hard.Peers = slices.Clone(n.hard.Peers)
		rd.HardState = &hard
	}
	rd.Snapshot = n.pendingSnapshot
	rd.Entries = n.log.unwritten()
	rd.Messages = n.messages
	if !rd.Persistent() {
		return
	}
	n.dirty = false
	n.restoring = n.pendingSnapshot != nil
	n.pendingSnapshot = nil
	n.messages = nil
	n.syncing = true
	n.syncingTerm = n.hard.Term
	n.log.emitted = n.log.last()
	n.log.syncing = n.log.last()
}

// Advance must be called once the persistent part of the last Ready is synced
// and its messages are sent.
func (n *Node) Advance(now time.Time) {
	n.now = now
	n.syncing = false
	n.restoring = false
	n.log.synced = max(n.log.synced, n.log.syncing)
	n.countOwnVote(n.syncingTerm)
	if n.role == RoleLeader {
		n.updateCommit()
		n.continueTransfer()
	}
}

// Status returns the current status of the node.
func (n *Node) Status() Status {
	s := Status{
		Self:          n.opts.Self,
		Disk:          n.hard.Disk,
		Role:          n.role,
		Leader:        n.leader.Host,
		Term:          n.hard.Term,
		First:         n.log.base.Index + 1,
		Last:          n.log.last(),
		Synced:        n.log.synced,
		Commit:        n.log.commit,
		Applied:       n.log.applied,
		LogEntries:    len(n.log.entries),
		LogBytes:      n.log.bytes,
		Members:       n.members,
		Revoked:       n.hard.Revoked,
		HasLease:      n.hasLease(),
		Transferring:  n.lead.transferTo,
		Counters:      n.counters,
		LastMalformed: n.lastMalformed,
	}
	if s.HasLease {
		s.LeaseEnd = n.lead.leaseEnd
	}
	for _, p := range n.lead.peers {
		s.Peers = append(s.Peers, PeerStatus{
			Member:        p.member,
			Voter:         p.voter,
			State:         p.state.String(),
			Synced:        p.match,
			Active:        n.active(p),
			PresentedDisk: p.presentedDisk,
			Revoked:       p.revoked,
		})
	}
	return s
}
