package quorum

import "github.com/lovagereach/lovagereach/ident"

// campaign is the state of one pre-vote or election.
type campaign struct {
	// round identifies a pre-vote. Replies repeat it.
	round uint64
	votes map[ident.Host]bool
	// force is set for a campaign that the leader requested in order to
	// transfer its leadership.
	force bool
}

// leaderAlive reports whether this node leads or has received a message from a
// leader within ElectionMin. The leader's lease may still be valid in that
// time, so the node must not vote for another candidate.
func (n *Node) leaderAlive() bool {
	return n.role == RoleLeader || n.now.Before(n.lastLeaderContact.Add(n.opts.ElectionMin))
}

func (n *Node) startPreVote() {
	n.role = RolePreCandidate
	n.counters.PreVotes++
	n.campaign.force = false
	n.campaign.round++
	n.campaign.votes = map[ident.Host]bool{n.opts.Self: !n.leaderAlive()}
	// A rejected pre-vote changes no state and is retried after one to three
	// heartbeats: the voters may have received the lost leader's last message
	// slightly later than this node did.
	n.electionDeadline = n.now.Add(n.opts.Heartbeat + n.random(2*n.opts.Heartbeat))
	if n.restart != nil {
		n.electionDeadline = n.now.Add(n.opts.Heartbeat/2 + n.random(n.opts.Heartbeat/2))
	}
	n.sendToVoters(Message{
		Type:    MsgPreVote,
		Round:   n.campaign.round,
		Index:   n.log.last(),
		LogTerm: n.log.lastTerm(),
	})
	if n.hasVoteQuorum() && !n.leaderAlive() {
		n.startCampaign()
	}
}

// startCampaign starts an election in the next term and votes for itself. The
// vote requests are sent only after that vote is synced, and the vote counts
// only from then on (see Advance).
func (n *Node) startCampaign() {
	n.role = RoleCandidate
	n.counters.Campaigns++
	n.hard.Term++
	n.hard.Vote = Member{n.opts.Self, n.hard.Disk}
	n.dirty = true
	n.campaign.votes = map[ident.Host]bool{}
	n.leader = Member{}
	// An unsuccessful election is also retried early, within ElectionMin,
	// because a pre-vote precedes the next one.
	n.electionDeadline = n.now.Add(n.opts.ElectionMin/2 + n.random(n.opts.ElectionMin/2))
	n.sendToVoters(Message{
		Type:    MsgVote,
		Index:   n.log.last(),
		LogTerm: n.log.lastTerm(),
		Force:   n.campaign.force,
	})
}

func (n *Node) sendToVoters(m Message) {
	for _, v := range n.members.Voters {
		if v.Host != n.opts.Self {
			n.sendAfterSync(m, v)
		}
	}
}

// hasVoteQuorum reports whether a quorum of the voters has granted its vote.
func (n *Node) hasVoteQuorum() bool {
	granted := 0
	for _, v := range n.members.Voters {
		if n.campaign.votes[v.Host] {
			granted++
		}
	}
	return granted >= n.members.quorum()
}

func (n *Node) handlePreVote(m Message) {
	grant := !n.leaderAlive() && m.Term >= n.hard.Term && n.log.upToDate(m.Index, m.LogTerm)
	if n.role == RolePreCandidate && grant {
		grant = n.yieldPreVote(m)
	}
	n.sendAfterSync(Message{Type: MsgPreVoteReply, Round: m.Round, Reject: !grant, Last: n.log.last()}, sender(m))
}

// yieldPreVote resolves two concurrent pre-votes and reports whether this node
// gives up its own in favour of the sender of m. If both continued, both would
// vote for themselves in the same term and the group would wait for another
// election timeout. If the logs are equal, the host that sorts first continues.
func (n *Node) yieldPreVote(m Message) bool {
	equal := m.Index == n.log.last() && m.LogTerm == n.log.lastTerm()
	if equal && n.opts.Self < m.From {
		return false
	}
	n.role = RoleFollower
	n.campaign.votes = nil
	n.electionDeadline = n.now.Add(n.opts.ElectionMin/2 + n.random(n.opts.ElectionMin/2))
	return true
}

func (n *Node) handlePreVoteReply(m Message) {
	if n.role != RolePreCandidate || m.Round != n.campaign.round || m.Reject {
		return
	}
	if n.recordVote(m) && !n.leaderAlive() {
		n.startCampaign()
	}
}

func (n *Node) handleVote(m Message) {
	free := n.hard.Vote == Member{} && n.leader == Member{}
	grant := (free || n.hard.Vote == sender(m)) && n.log.upToDate(m.Index, m.LogTerm)
	reply := Message{Type: MsgVoteReply, Reject: !grant, Last: n.log.last()}
	if !grant {
		n.sendAfterSync(reply, sender(m))
		return
	}
	n.hard.Vote = sender(m)
	n.dirty = true
	n.resetElection()
	if n.faults.earlyVotes {
		n.sendImmediate(reply, sender(m))
		return
	}
	n.sendAfterSync(reply, sender(m))
}

func (n *Node) handleVoteReply(m Message) {
	if n.role != RoleCandidate || m.Reject {
		return
	}
	if n.recordVote(m) {
		n.becomeLeader()
	}
}

// recordVote counts a granted vote if it comes from the disk listed in the
// membership, and reports whether the campaign now has a quorum. A replaced
// disk has lost its earlier votes and entries, so its vote could help elect a
// leader that lacks committed entries.
func (n *Node) recordVote(m Message) bool {
	if !n.members.isVoter(m.From, m.FromDisk) && !n.faults.ignoreDiskID {
		return false
	}
	n.campaign.votes[m.From] = true
	return n.hasVoteQuorum()
}

// countOwnVote counts this node's vote for itself. It is called once the vote
// is synced.
func (n *Node) countOwnVote(syncedTerm uint64) {
	if n.role != RoleCandidate || syncedTerm != n.hard.Term {
		return
	}
	n.campaign.votes[n.opts.Self] = true
	if n.hasVoteQuorum() {
		n.becomeLeader()
	}
}
