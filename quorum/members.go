package quorum

import "time"

// ProposeMembers appends one change of membership on the leader and returns
// its position. The change is in force in this node at once and holds once it
// is committed. One change at a time: the quorums before and after a change of
// one member always share a voter, those of two changes may not.
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
	if change.Kind == Remove && !n.workable(&next) {
		return 0, 0, ErrNoQuorum
	}
	n.members = next
	index = n.appendOwn(Entry{Kind: EntryMembers, Members: &next})
	n.refreshPeers()
	n.updateCommit()
	return index, n.hard.Term, nil
}

func (n *Node) checkChange(c MemberChange) error {
	// A leader that has committed nothing in its term may not know of a
	// change that an earlier leader still has under way.
	if n.log.membersPending() || n.log.commit < n.lead.noop {
		return ErrChangePending
	}
	switch c.Kind {
	case Remove:
		if c.Host == n.opts.Self {
			return ErrRemoveLeader
		}
	case AddLearner:
		if n.knownRevoked(Member{c.Host, c.Disk}) {
			return ErrInvalidChange
		}
	case Promote:
		return n.checkPromote(c)
	}
	return nil
}

// workable reports whether enough voters of a membership are at hand. Removing
// a live voter while another is dead would leave a group that can commit
// nothing any more, the way back included.
func (n *Node) workable(next *Membership) bool {
	ready := 0
	for _, v := range next.Voters {
		p := n.peer(v.Host)
		if v.Host == n.opts.Self || p != nil && p.counts() && n.active(p) {
			ready++
		}
	}
	return ready >= next.quorum()
}

// checkPromote lets a learner vote only once its disk holds everything that is
// committed. Counted earlier, it could form a quorum with one other host that
// lacks the same entries, and the loss of a third would lose them.
func (n *Node) checkPromote(c MemberChange) error {
	p := n.peer(c.Host)
	if p == nil || p.voter {
		return ErrInvalidChange
	}
	caughtUp := p.counts() && p.state == stateReplicate && p.match >= n.log.commit
	if !caughtUp || !n.active(p) {
		return &NotCaughtUpError{Host: c.Host, Synced: p.match, Commit: n.log.commit}
	}
	return nil
}
