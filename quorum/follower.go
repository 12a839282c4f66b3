package quorum

// recordLeaderContact records a message from the leader of the current term. It
// returns false if the message must be ignored.
func (n *Node) recordLeaderContact(m Message) bool {
	if n.role == RoleLeader {
		// Two leaders in one term: only a rolled-back disk can vote twice.
		n.malformed(m.fieldError("From", "claims leadership of a term that this node leads"))
		return false
	}
	if n.role != RoleFollower || n.leader != sender(m) {
		n.becomeFollower(m.Term, sender(m))
	}
	n.lastLeaderContact, n.restart = n.now, nil
	n.resetElection()
	return true
}

func (n *Node) handleAppend(m Message) {
	if !n.recordLeaderContact(m) {
		return
	}
	reply := Message{Type: MsgAppendReply, Round: m.Round}
	if m.Peers != nil {
		n.mergeRecords(m)
		reply.Peers = n.records()
	}
	if n.hard.Revoked {
		return
	}
	switch {
	case m.Index < n.log.commit:
		// All logs are identical up to the commit index.
		n.acceptTail(m)
		reply.Index = max(n.log.commit, m.Index+uint64(len(m.Entries)))
	case !n.log.matches(m.Index, m.LogTerm):
		reply.Reject = true
		reply.Refused = m.Index
		reply.Index, reply.LogTerm = n.log.probePoint(m.Index-1, m.LogTerm)
	default:
		reply.Index = n.accept(m.Entries, m.Index)
		n.followCommit(min(m.Commit, reply.Index))
	}
	reply.Last = n.log.last()
	if n.faults.earlyAcks {
		n.sendImmediate(reply, sender(m))
		return
	}
	n.sendAck(reply, sender(m))
}

// sendAck queues the reply to an append. It replaces an acknowledgement that is
// still waiting for a sync, so a burst of appends covered by one sync gets a
// single reply.
func (n *Node) sendAck(reply Message, to Member) {
	if last := len(n.messages) - 1; last >= 0 && !reply.Reject {
		waiting := &n.messages[last]
		mergeable := waiting.Type == MsgAppendReply && !waiting.Reject && waiting.Peers == nil &&
			waiting.To == to.Host && waiting.ToDisk == to.Disk && waiting.Term == n.hard.Term
		if mergeable {
			reply.Index = max(reply.Index, waiting.Index)
			reply.Round = max(reply.Round, waiting.Round)
			n.messages = n.messages[:last]
		}
	}
	n.sendAfterSync(reply, to)
}

// acceptTail appends the entries of m that follow the commit index. The entries
// of m begin before it.
func (n *Node) acceptTail(m Message) {
	skip := n.log.commit - m.Index
	if skip >= uint64(len(m.Entries)) {
		return
	}
	last := n.accept(m.Entries[skip:], n.log.commit)
	n.followCommit(min(m.Commit, last))
}

// accept appends entries that follow prev, an index at which the logs match,
// and returns the last index known to match the leader's log. Entries already
// in the log are kept: a delayed append must not truncate the entries that
// follow it.
func (n *Node) accept(entries []Entry, prev uint64) uint64 {
	changed := false
	for _, e := range entries {
		if e.Index <= n.log.last() {
			if n.log.matches(e.Index, e.Term) {
				continue
			}
			n.log.truncate(e.Index)
			changed = true
		}
		n.log.append(e)
		changed = changed || e.Kind == EntryMembers
	}
	if changed {
		n.members = n.log.membersAt(n.log.last())
	}
	return prev + uint64(len(entries))
}

func (n *Node) followCommit(index uint64) {
	n.log.commit = max(n.log.commit, index)
}
