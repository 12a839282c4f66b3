package quorum

// restart tells whether all members have been restarted since this node's earlier incarnation last
// acknowledged a leader. That acknowledgement may have given a leader its lease, so that the node
// must not vote within ElectionMin of its start. If the process that held the lease has ended, the
// lease has too, and after a restart of the whole group an election need not wait for it.
//
// The leader that was acknowledged last is among the recorded disks: a record is synced before the
// first acknowledgement to an incarnation, the log holds an entry of its term, and with it the
// entry that made it a voter. So once every recorded disk runs a later incarnation than recorded,
// and says by a pre-vote that it knows no leader either, no lease is left that this node is bound
// by. A disk that stays silent, or that was never recorded, keeps the bound.
type restart struct {
	// awaited holds, by disk, the start count that its next pre-vote must exceed.
	awaited map[Member]uint64
}

// newRestart returns nil if the stored state doesn't tell which disk may hold a lease.
func (n *Node) newRestart() *restart {
	if !n.opts.QuickRestart || n.hard.Revoked || n.log.lastTerm() != n.hard.Term || len(n.hard.Peers) >= maxRecords {
		return nil
	}
	awaited := make(map[Member]uint64, len(n.hard.Peers))
	for _, r := range n.hard.Peers {
		if r.Revoked {
			return nil
		}
		if r.Host != n.opts.Self {
			awaited[Member{r.Host, r.Disk}] = startCount(r.Incarnation)
		}
	}
	for _, v := range n.members.Voters {
		if _, known := awaited[v]; !known && v.Host != n.opts.Self {
			return nil
		}
	}
	return &restart{awaited: awaited}
}

// probe makes the node send pre-votes from its start on, by which the members recognize a restart of
// all. A leader and those that follow one reject them.
func (n *Node) probe() {
	if n.restart = n.newRestart(); n.restart != nil {
		n.electionDeadline = n.now
	}
}

// observeRestart records a pre-vote of another member. With the last one that was awaited, the node
// is no longer bound by what its earlier incarnation acknowledged.
func (n *Node) observeRestart(m Message) {
	if n.restart == nil || m.Type != MsgPreVote {
		return
	}
	if before, awaited := n.restart.awaited[sender(m)]; awaited && (startCount(m.Incarnation) > before || n.faults.forgetPromise) {
		delete(n.restart.awaited, sender(m))
	}
	if len(n.restart.awaited) > 0 && !n.faults.forgetPromise {
		return
	}
	n.restart = nil
	n.lastLeaderContact = n.lastLeaderContact.Add(-n.opts.ElectionMin)
	n.electionDeadline = n.now.Add(n.random(n.opts.Heartbeat))
}
