package quorum

import (
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// leaderState is the state of a leader for the duration of its term.
type leaderState struct {
	// peers is the progress of the other members, sorted by host.
	peers []*progress
	// noopIndex is the index of the first entry of the term.
	noopIndex     uint64
	uncommitted   int
	nextHeartbeat time.Time

	rounds   rounds
	reads    []pendingRead
	leaseEnd time.Time
	// lastQuorumContact is the start time of the latest heartbeat round
	// acknowledged by a quorum.
	lastQuorumContact time.Time

	transferTo       ident.Host
	transferDeadline time.Time
	// timeoutNowSent is set once another host was asked to campaign. Voters
	// grant that host's request in spite of the lease, so the lease is void for
	// the rest of the term.
	timeoutNowSent bool

	// offer is the snapshot being sent to followers. snapshotWanted is set if
	// the next Ready has to request one from the runtime, and snapshotRetryAt
	// is the earliest time of the next such request.
	offer           *Snapshot
	offerChecksum   uint32
	snapshotWanted  bool
	snapshotRetryAt time.Time

	// sendRecords is set when the next round has to include the peer records.
	sendRecords bool

	scratch []uint64
}

func (n *Node) becomeLeader() {
	n.role = RoleLeader
	n.counters.Elections++
	n.leader = Member{n.opts.Self, n.hard.Disk}
	n.campaign.votes = nil
	n.lead = leaderState{
		nextHeartbeat:     n.now,
		lastQuorumContact: n.now,
	}
	n.refreshPeers()
	n.lead.noopIndex = n.appendEntry(Entry{Kind: EntryNoop})
	n.tickLeader()
}

// stopLeading fails the pending reads and clears the leader's state.
func (n *Node) stopLeading(next Member) {
	for _, r := range n.lead.reads {
		n.failRead(r, next.Host)
	}
	n.lead = leaderState{}
	n.counters.StepDowns++
}

// refreshPeers updates the progress records to the current membership.
func (n *Node) refreshPeers() {
	old := n.lead.peers
	n.lead.peers = nil
	n.addPeers(old, n.members.Voters, true)
	n.addPeers(old, n.members.Learners, false)
	slices.SortFunc(n.lead.peers, func(a, b *progress) int {
		if a.member.Host < b.member.Host {
			return -1
		}
		return 1
	})
}

func (n *Node) addPeers(old []*progress, list []Member, voter bool) {
	for _, m := range list {
		if m.Host == n.opts.Self {
			continue
		}
		i := slices.IndexFunc(old, func(p *progress) bool { return p.member == m })
		var p *progress
		if i >= 0 {
			p = old[i]
		} else {
			p = &progress{member: m, next: n.log.last() + 1, revoked: n.isRevoked(m)}
		}
		p.voter = voter
		n.lead.peers = append(n.lead.peers, p)
	}
}

func (n *Node) peer(host ident.Host) *progress {
	for _, p := range n.lead.peers {
		if p.member.Host == host {
			return p
		}
	}
	return nil
}

// peerOf returns the progress of the member that sent m, or nil if the sender
// is not a member or its disk is not the one listed in the membership.
func (n *Node) peerOf(m Message) *progress {
	if n.role != RoleLeader {
		return nil
	}
	p := n.peer(m.From)
	if p == nil || p.member.Disk != m.FromDisk && !n.faults.ignoreDiskID {
		return nil
	}
	return p
}

func (n *Node) tickLeader() {
	if n.lead.transferTo != "" && !n.now.Before(n.lead.transferDeadline) {
		n.lead.transferTo = ""
	}
	if n.now.Before(n.lead.nextHeartbeat) {
		return
	}
	n.lead.nextHeartbeat = n.now.Add(n.opts.Heartbeat)
	// Check-quorum: a leader behind a partition must step down, or callers on
	// its side of the partition would wait for it indefinitely.
	if n.now.Sub(n.lead.lastQuorumContact) > n.opts.ElectionMax && !n.soleVoter() {
		n.counters.QuorumLost++
		n.becomeFollower(n.hard.Term, Member{})
		n.resetElection()
		return
	}
	n.abortInactiveSnapshots()
	n.startRound()
}

func (n *Node) soleVoter() bool { return n.members.quorum() == 1 && len(n.members.Voters) == 1 }

// appendEntry appends an entry in the leader's term and returns its index. The
// entry is sent when the next Ready is built, so proposals made together are
// sent together.
func (n *Node) appendEntry(e Entry) uint64 {
	e.Term = n.hard.Term
	e.Index = n.log.last() + 1
	n.log.append(e)
	n.lead.uncommitted += entryBytes(&e)
	if n.faults.earlyCommit {
		n.commitTo(e.Index)
	}
	return e.Index
}

// updateCommit commits the entries that a quorum of the voters has synced. Only
// an entry of the leader's own term advances the commit index, and it commits
// the earlier ones with it: a later leader could still replace an entry of an
// earlier term even if a quorum has stored it.
func (n *Node) updateCommit() {
	index := n.quorumValue(n.log.synced, func(p *progress) uint64 { return p.match })
	if index <= n.log.commit || !n.log.matches(index, n.hard.Term) {
		return
	}
	catchingUp := n.log.commit < n.lead.noopIndex
	n.commitTo(index)
	if catchingUp && n.opts.QuickRestart {
		// Followers that were restarted learn now, not with the next heartbeat, how much of their log
		// is committed.
		n.lead.nextHeartbeat = n.now.Add(n.opts.Heartbeat)
		n.startRound()
	}
}

func (n *Node) commitTo(index uint64) {
	for i := n.log.commit + 1; i <= index; i++ {
		n.lead.uncommitted -= entryBytes(&n.log.entries[i-n.log.base.Index-1])
	}
	n.lead.uncommitted = max(n.lead.uncommitted, 0)
	n.log.commit = index
	n.serveReads()
}

// quorumValue returns the highest value that a quorum of the voters has
// reached. Members whose disk was replaced or rolled back count as zero.
func (n *Node) quorumValue(own uint64, of func(*progress) uint64) uint64 {
	values := n.lead.scratch[:0]
	if n.members.isVoter(n.opts.Self, n.hard.Disk) {
		values = append(values, own)
	}
	for _, p := range n.lead.peers {
		if !p.voter {
			continue
		}
		value := uint64(0)
		if p.eligible() || n.faults.trustRolledBack {
			value = of(p)
		}
		values = append(values, value)
	}
	n.lead.scratch = values
	slices.Sort(values)
	return values[len(values)-n.members.quorum()]
}
