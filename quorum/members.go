package quorum

import "time"

// ProposeMembers appends a membership change on the leader and returns its
// index and term. This node uses the new membership immediately; the change is
// durable once committed. Only one change may be pending: the quorums before
// and after a change of one member always share a voter, but those before and
// after two changes may not.
func (n *Node) ProposeMembers(now time.Time, change MemberChange) (index, term uint64, err error) {
	n.now = now
	if err := n.mayPropose(); err != nil {
		return 0, 0, err
	}
	if err := n.checkChange(change); err != nil {
		return 0, 0, err
	}
	next, err := n.members.apply(change)
	if err != nil {
		return 0, 0, err
	}
	if change.Kind == Remove && !n.hasActiveQuorum(&next) {
		return 0, 0, ErrNoQuorum
	}
	n.members = next
	index = n.appendEntry(Entry{Kind: EntryMembers, Members: &next})
	n.refreshPeers()
	n.updateCommit()
	return index, n.hard.Term, nil
}

func (n *Node) checkChange(c MemberChange) error {
	// A leader that has not committed an entry in its term may not know of a
	// change that an earlier leader left pending.
	if n.log.membersPending() || n.log.commit < n.lead.noopIndex {
		return ErrChangePending
	}
	switch c.Kind {
	case Remove:
		if c.Host == n.opts.Self {
			return ErrRemoveLeader
		}
	case AddLearner:
		if n.isRevoked(Member{c.Host, c.Disk}) {
			return ErrInvalidChange
		}
	case Promote:
		return n.checkPromote(c)
	}
	return nil
}

// hasActiveQuorum reports whether a quorum of the voters in next is active.
// Removing a live voter while another is down would leave a group that can't
// commit anything, not even the change that would undo the removal.
func (n *Node) hasActiveQuorum(next *Membership) bool {
	ready := 0
	for _, v := range next.Voters {
		p := n.peer(v.Host)
		if v.Host == n.opts.Self || p != nil && p.eligible() && n.active(p) {
			ready++
		}
	}
	return ready >= next.quorum()
}

// checkPromote allows a promotion only if the learner's disk holds every
// committed entry. If it counted earlier, it could form a quorum with one other
// host that lacks the same entries, and the loss of a third host would lose
// them.
func (n *Node) checkPromote(c MemberChange) error {
	p := n.peer(c.Host)
	if p == nil || p.voter {
		return ErrInvalidChange
	}
	caughtUp := p.eligible() && p.state == stateReplicate && p.match >= n.log.commit
	if !caughtUp || !n.active(p) {
		return &NotCaughtUpError{Host: c.Host, Synced: p.match, Commit: n.log.commit}
	}
	return nil
}
