package quorum

import "github.com/lovagereach/lovagereach/ident"

// markRevoked ends the part of a disk in this node's eyes.
func (n *Node) markRevoked(l *PeerRecord) {
	l.Revoked = true
	n.counters.Revoked++
	n.recordChanged()
	if p := n.peer(l.Host); p != nil && p.member.Disk == l.Disk {
		p.revoked = true
	}
}

func (n *Node) knownRevoked(who Member) bool {
	l := n.record(who)
	return l != nil && l.Revoked
}

// revokePeer records that the sender's disk went back in time and tells it.
func (n *Node) revokePeer(m Message, reason RevokeReason) {
	if l := n.record(sender(m)); l != nil {
		n.markRevoked(l)
	}
	n.sendRevoke(m, reason)
}

func (n *Node) sendRevoke(m Message, reason RevokeReason) {
	if m.Type == MsgRevoke {
		// Two hosts that distrust each other would answer for ever.
		return
	}
	revoke := Message{Type: MsgRevoke, Index: uint64(reason)}
	if l := n.record(sender(m)); l != nil {
		revoke.Round = uint64(l.Incarnation)
	}
	n.sendSynced(revoke, sender(m))
}

// handleRevoke takes in that this disk went back in time.
func (n *Node) handleRevoke(m Message) {
	if RevokeReason(m.Index) == RevokeEarlierIncarnation && n.laterThan(ident.Incarnation(m.Round)) {
		return
	}
	n.revokeSelf()
}

// revokeSelf ends this disk's part in the group. Nothing that waits to be
// sent leaves any more.
func (n *Node) revokeSelf() {
	n.hard.Revoked = true
	n.dirty = true
	n.becomeFollower(n.hard.Term, Member{})
	n.messages = nil
}

// laterThan reports whether this incarnation is other or later.
func (n *Node) laterThan(other ident.Incarnation) bool {
	return n.hard.Incarnation == other || startsOf(n.hard.Incarnation) > startsOf(other)
}

// raiseAcked notes what a follower holds for good: what it has acknowledged
// and is committed. Its log can never again be shorter, under any leader.
func (n *Node) raiseAcked(p *progress) {
	acked := min(p.match, n.log.commit)
	if l := n.record(p.member); l != nil && acked > l.Acked {
		l.Acked = acked
		l.AckedBy = l.Incarnation
	}
}

// belowAcked reports whether this disk has lost what an earlier incarnation
// acknowledged.
func (n *Node) belowAcked(l PeerRecord) bool {
	return n.log.last() < l.Acked && startsOf(n.hard.Incarnation) > startsOf(l.AckedBy)
}

// lastOf returns the end of the sender's log if the message tells it.
func lastOf(m *Message) (last uint64, ok bool) {
	switch m.Type {
	case MsgPreVote, MsgVote:
		return m.Index, true
	case MsgPreVoteReply, MsgVoteReply, MsgAppendReply:
		return m.Last, true
	}
	return 0, false
}

// detectIndexBack reports whether a follower's log is shorter than what the
// same disk has acknowledged as synced in this term. Only answers to rounds
// that began after the acknowledgement count, because answers may be late.
func (n *Node) detectIndexBack(p *progress, m Message) bool {
	if m.Round <= p.seenRound || m.Last >= p.match || n.faults.trustBack {
		return false
	}
	n.revokePeer(m, RevokeIndexRegressed)
	return true
}
