package quorum

import "github.com/lovagereach/lovagereach/ident"

// markRevoked records that a disk was rolled back. It no longer counts.
func (n *Node) markRevoked(r *PeerRecord) {
	r.Revoked = true
	n.counters.Revoked++
	n.markRecordsChanged()
	if p := n.peer(r.Host); p != nil && p.member.Disk == r.Disk {
		p.revoked = true
	}
}

func (n *Node) isRevoked(member Member) bool {
	r := n.record(member)
	return r != nil && r.Revoked
}

// revokePeer records that the sender's disk was rolled back and notifies it.
func (n *Node) revokePeer(m Message, reason RevokeReason) {
	if r := n.record(sender(m)); r != nil {
		n.markRevoked(r)
	}
	n.sendRevoke(m, reason)
}

func (n *Node) sendRevoke(m Message, reason RevokeReason) {
	if m.Type == MsgRevoke {
		// Two hosts that revoke each other would exchange revocations
		// endlessly.
		return
	}
	revoke := Message{Type: MsgRevoke, Index: uint64(reason)}
	if r := n.record(sender(m)); r != nil {
		revoke.Round = uint64(r.Incarnation)
	}
	n.sendAfterSync(revoke, sender(m))
}

// handleRevoke handles the notification that this node's disk was rolled back.
func (n *Node) handleRevoke(m Message) {
	if RevokeReason(m.Index) == RevokeEarlierIncarnation && n.sameOrNewer(ident.Incarnation(m.Round)) {
		return
	}
	n.revokeSelf()
}

// revokeSelf permanently ends this disk's participation in the group and
// discards the messages waiting to be sent.
func (n *Node) revokeSelf() {
	n.hard.Revoked = true
	n.dirty = true
	n.becomeFollower(n.hard.Term, Member{})
	n.messages = nil
}

// sameOrNewer reports whether this node's incarnation is other or a newer one.
func (n *Node) sameOrNewer(other ident.Incarnation) bool {
	return n.hard.Incarnation == other || startCount(n.hard.Incarnation) > startCount(other)
}

// recordAcked records the highest index that a follower has acknowledged and
// that is committed. Under any leader, the follower's log can't become shorter
// than that.
func (n *Node) recordAcked(p *progress) {
	acked := min(p.match, n.log.commit)
	if r := n.record(p.member); r != nil && acked > r.Acked {
		r.Acked = acked
		r.AckedBy = r.Incarnation
	}
}

// lostAcked reports whether this disk has lost entries that an earlier
// incarnation acknowledged.
func (n *Node) lostAcked(r PeerRecord) bool {
	return n.log.last() < r.Acked && startCount(n.hard.Incarnation) > startCount(r.AckedBy)
}

// lastLogIndex returns the last index of the sender's log if the message
// contains it.
func lastLogIndex(m *Message) (last uint64, ok bool) {
	switch m.Type {
	case MsgPreVote, MsgVote:
		return m.Index, true
	case MsgPreVoteReply, MsgVoteReply, MsgAppendReply:
		return m.Last, true
	}
	return 0, false
}

// detectIndexRegression reports whether a follower's log is shorter than what
// the same disk has acknowledged as synced in this term. Only replies to rounds
// that started after the acknowledgement are considered, because replies may be
// delayed.
func (n *Node) detectIndexRegression(p *progress, m Message) bool {
	if m.Round <= p.matchRound || m.Last >= p.match || n.faults.trustRolledBack {
		return false
	}
	n.revokePeer(m, RevokeIndexRegressed)
	return true
}
