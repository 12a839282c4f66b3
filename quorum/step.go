package quorum

import "time"

// Step processes a message from another node. A malformed message, one that is
// addressed to another disk, or one from a disk known to have been rolled back
// has no effect other than, in some cases, a reply that reports the reason.
func (n *Node) Step(now time.Time, m Message) {
	n.now = now
	if err := m.Validate(); err != nil {
		n.malformed(err)
		return
	}
	if m.To != n.opts.Self || m.From == n.opts.Self || n.hard.Revoked {
		return
	}
	if !n.forThisDisk(m) || !n.verifySender(m) {
		return
	}
	n.observeRestart(m)
	if n.stepAnyTerm(m) {
		return
	}
	if m.Term < n.hard.Term {
		n.rejectStaleTerm(m)
		return
	}
	if m.Term > n.hard.Term {
		n.becomeFollower(m.Term, Member{})
	}
	n.dispatch(m)
}

// stepAnyTerm handles the messages that are valid in any term, and drops vote
// requests while a leader is alive. It reports whether the message is fully
// handled.
func (n *Node) stepAnyTerm(m Message) bool {
	switch m.Type {
	case MsgWrongDisk:
		n.handleWrongDisk(m)
		return true
	case MsgRevoke:
		n.handleRevoke(m)
		return true
	case MsgPreVote:
		// A pre-vote does not raise the term. Otherwise a host returning from a
		// partition with a higher term would depose a healthy leader.
		n.handlePreVote(m)
		return true
	case MsgPreVoteReply:
		// The round identifies the campaign; the voter may have a lower term.
		if m.Term <= n.hard.Term {
			n.handlePreVoteReply(m)
			return true
		}
	case MsgVote:
		// A host returning from a partition must not depose the leader with a
		// vote request either, and the leader's lease depends on this
		// rejection.
		return !m.Force && n.leaderAlive()
	}
	return false
}

// forThisDisk reports whether the message is addressed to this disk. It replies
// with MsgWrongDisk to messages for another disk of this host.
func (n *Node) forThisDisk(m Message) bool {
	if m.ToDisk == n.hard.Disk || n.faults.ignoreDiskID {
		return true
	}
	n.counters.WrongDisk++
	if m.Type != MsgWrongDisk && m.Type != MsgRevoke {
		n.sendAfterSync(Message{Type: MsgWrongDisk}, sender(m))
	}
	return false
}

func sender(m Message) Member { return Member{m.From, m.FromDisk} }

// rejectStaleTerm rejects a message from a leader or candidate of an earlier
// term. The reply contains the current term.
func (n *Node) rejectStaleTerm(m Message) {
	switch m.Type {
	case MsgAppend, MsgSnapshot:
		n.sendAfterSync(Message{Type: MsgAppendReply, Reject: true, Last: n.log.last()}, sender(m))
	case MsgVote:
		n.sendAfterSync(Message{Type: MsgVoteReply, Reject: true, Last: n.log.last()}, sender(m))
	}
}

func (n *Node) dispatch(m Message) {
	switch m.Type {
	case MsgVote:
		n.handleVote(m)
	case MsgPreVoteReply:
		// The message has a newer term, which ended the campaign.
	case MsgVoteReply:
		n.handleVoteReply(m)
	case MsgAppend:
		n.handleAppend(m)
	case MsgAppendReply:
		n.handleAppendReply(m)
	case MsgSnapshot:
		n.handleChunk(m)
	case MsgSnapshotReply:
		n.handleChunkReply(m)
	case MsgReadIndex:
		n.handleReadIndex(m)
	case MsgReadIndexReply:
		n.handleReadIndexReply(m)
	case MsgTimeoutNow:
		n.handleTimeoutNow(m)
	}
}

// malformed records the error of a message that no correct node sends.
func (n *Node) malformed(err error) {
	n.counters.Malformed++
	n.lastMalformed = err
}
