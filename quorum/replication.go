package quorum

// sendAppends sends each follower the entries or snapshot chunks that are due.
func (n *Node) sendAppends() {
	for _, p := range n.lead.peers {
		n.sendTo(p)
	}
}

func (n *Node) sendTo(p *progress) {
	if p.revoked || p.presentedDisk != 0 {
		return
	}
	if p.state != stateSnapshot && p.next <= n.log.base.Index {
		if !n.active(p) {
			// Sending a snapshot to an inactive member would block compaction.
			return
		}
		p.becomeSnapshot()
	}
	switch p.state {
	case stateSnapshot:
		n.sendChunks(p)
	case stateProbe:
		if !p.probing {
			p.probing = true
			n.sendAppend(p, n.log.from(p.next, n.log.last(), n.opts.MaxAppendBytes))
		}
	case stateReplicate:
		for p.next <= n.log.last() && !p.window.full(&n.opts) {
			entries := n.log.from(p.next, n.log.last(), n.opts.MaxAppendBytes)
			n.sendAppend(p, entries)
			bytes := 0
			for i := range entries {
				bytes += entryBytes(&entries[i])
			}
			p.next += uint64(len(entries))
			p.window.add(p.next-1, bytes)
		}
	}
}

// sendAppend sends the entries that follow p.next-1, or an empty append as a
// heartbeat.
func (n *Node) sendAppend(p *progress, entries []Entry) {
	m := Message{Type: MsgAppend, Round: n.lead.rounds.current, Commit: n.log.commit, Entries: entries}
	// A follower waiting for a snapshot can't check any index. Index zero
	// matches every log and acknowledges nothing.
	if term, ok := n.log.term(p.next - 1); ok && p.state != stateSnapshot {
		m.Index = p.next - 1
		m.LogTerm = term
	}
	n.counters.Appends++
	n.counters.Entries += uint64(len(entries))
	n.sendImmediate(m, p.member)
}

// broadcastHeartbeat sends an empty append to every member. It refers to the
// last entry sent, so a follower that lost the last append rejects the
// heartbeat and the leader detects the loss.
func (n *Node) broadcastHeartbeat() {
	for _, p := range n.lead.peers {
		// A member whose disk was replaced or rolled back also gets heartbeats,
		// so that it learns why it does not count.
		if p.state == stateProbe {
			p.probing = true
		}
		n.sendAppend(p, nil)
		n.immediate[len(n.immediate)-1].Peers = n.recordsFor(n.lead.rounds.current)
	}
	n.lead.sendRecords = false
}

func (n *Node) handleAppendReply(m Message) {
	p := n.peerOf(m)
	if p == nil || m.Round > n.lead.rounds.current {
		return
	}
	if n.detectIndexRegression(p, m) || p.revoked {
		return
	}
	n.mergeRecords(m)
	if n.role != RoleLeader || p.revoked {
		return
	}
	p.presentedDisk = 0
	p.lastActive = n.now
	n.ackRound(p, m.Round)
	if m.Reject {
		n.handleReject(p, m)
	} else {
		n.handleAck(p, m)
	}
}

// active reports whether the member has replied within the last ElectionMax.
func (n *Node) active(p *progress) bool {
	return n.now.Sub(p.lastActive) <= n.opts.ElectionMax
}

func (n *Node) handleReject(p *progress, m Message) {
	// A rejection is stale if the follower has acknowledged that index since,
	// or if the index is no longer being probed.
	stale := m.Refused <= p.match || p.state == stateProbe && m.Refused != p.next-1
	if stale || p.state == stateSnapshot {
		return
	}
	n.counters.Refused++
	point, _ := n.log.probePoint(m.Index, m.LogTerm)
	p.becomeProbe()
	p.next = max(point, p.match) + 1
}

func (n *Node) handleAck(p *progress, m Message) {
	index := m.Index
	if index > n.log.last() {
		n.malformed(m.fieldError("Index", "acknowledges an index that was never sent"))
		return
	}
	if index > p.match {
		p.match = index
		p.matchRound = n.lead.rounds.current
	}
	p.next = max(p.next, p.match+1)
	p.window.free(p.match)
	switch p.state {
	case stateProbe:
		// Index zero acknowledges a heartbeat that checked no index.
		if index > 0 {
			p.becomeReplicate()
		}
	case stateSnapshot:
		if p.match >= n.log.base.Index {
			p.becomeReplicate()
			n.releaseOffer()
		}
	}
	n.updateCommit()
	n.recordAcked(p)
	n.continueTransfer()
}
