package quorum

import (
	"errors"
	"slices"
	"time"
)

// Node is one member of a group. It is not safe for concurrent use.
type Node struct {
	opts  Options
	now   time.Time
	hard  HardState
	dirty bool // hard differs from the last HardState returned by Ready
	log   entryLog
	// members is the membership in force, that of the last membership entry in
	// the log.
	members Membership

	role Role
	// leader is the known leader of the current term, empty if unknown.
	leader Member
	// lastLeaderContact is the time of the last message from a leader. It is
	// initially the start time of the node, because an earlier incarnation may
	// have granted a leader its lease.
	lastLeaderContact time.Time
	electionDeadline  time.Time
	// restart is nil unless a restart of all members may be recognized.
	restart *restart

	campaign campaign
	lead     leaderState
	incoming incomingSnapshot

	// Effects that the next Ready returns.
	immediate       []Message
	messages        []Message
	reads           []Read
	pendingSnapshot *Snapshot
	// syncing is set from a persistent Ready to its Advance.
	syncing     bool
	syncingTerm uint64
	// restoring is set while the snapshot of that Ready is being restored.
	restoring bool

	counters      Counters
	lastMalformed error
	faults        faults
}

// NewNode starts a node from the state stored on its disk. stored.HardState
// must have a DiskID. The first Ready contains the HardState with the new
// incarnation.
func NewNode(opts Options, stored StoredState, now time.Time) (*Node, error) {
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	if stored.HardState.Disk == 0 {
		return nil, errors.New("quorum: HardState.Disk is zero: the disk has no identity")
	}
	n := &Node{opts: opts, now: now, hard: stored.HardState, log: newEntryLog(stored)}
	if err := n.checkStored(stored); err != nil {
		return nil, err
	}
	n.hard.Peers = slices.Clone(stored.HardState.Peers)
	n.hard.Incarnation = nextIncarnation(stored.HardState.Incarnation, opts.Rand)
	n.dirty = true
	n.members = n.log.membersAt(n.log.last())
	n.campaign.round = opts.Rand.Uint64()
	n.lastLeaderContact = now
	n.resetElection()
	n.probe()
	return n, nil
}

// checkStored rejects a log with gaps, because the log is indexed by position.
func (n *Node) checkStored(stored StoredState) error {
	next := stored.Snapshot.Index
	for _, e := range stored.Entries {
		if e.Index <= stored.Snapshot.Index {
			continue
		}
		next++
		if e.Index != next {
			return errors.New("quorum: stored entries have a gap after the snapshot")
		}
	}
	return nil
}

// Tick advances the node's clock to now. The runtime must call it at least
// every Heartbeat/4, and DeferTimeouts after it could not.
func (n *Node) Tick(now time.Time) {
	n.now = now
	if n.role == RoleLeader {
		n.tickLeader()
		return
	}
	if now.Before(n.electionDeadline) {
		return
	}
	n.resetElection()
	n.leader = Member{}
	if n.mayCampaign() {
		n.startPreVote()
	}
}

// DeferTimeouts defers by d the times at which this node takes its leader, or as leader its
// quorum, for lost. The runtime calls it after it has not run for a time: the others may have
// sent messages meanwhile that it has not handled yet, and a host that stalls for longer than an
// election timeout, again and again, would otherwise end each term as soon as it runs. Leases
// and votes are not affected.
func (n *Node) DeferTimeouts(d time.Duration) {
	n.electionDeadline = n.electionDeadline.Add(d)
	n.lead.lastQuorumContact = n.lead.lastQuorumContact.Add(d)
}

// mayCampaign reports whether this disk is a voter and is not revoked.
func (n *Node) mayCampaign() bool {
	return !n.hard.Revoked && n.members.isVoter(n.opts.Self, n.hard.Disk)
}

func (n *Node) resetElection() {
	n.electionDeadline = n.now.Add(n.opts.ElectionMin + n.random(n.opts.ElectionMax-n.opts.ElectionMin))
}

// random returns a random duration in [0, limit).
func (n *Node) random(limit time.Duration) time.Duration {
	return time.Duration(n.opts.Rand.Int64N(int64(limit)))
}

// becomeFollower makes the node a follower in the given term, which is the
// current one or a later one.
func (n *Node) becomeFollower(term uint64, leader Member) {
	if term > n.hard.Term {
		n.hard.Term = term
		n.hard.Vote = Member{}
		n.dirty = true
	}
	if n.role == RoleLeader {
		n.stopLeading(leader)
	}
	n.role = RoleFollower
	n.leader = leader
	n.campaign.votes = nil
}

// header sets the fields common to all messages.
func (n *Node) header(m Message, to Member) Message {
	m.From = n.opts.Self
	m.FromDisk = n.hard.Disk
	m.Incarnation = n.hard.Incarnation
	m.To = to.Host
	m.ToDisk = to.Disk
	m.Term = n.hard.Term
	return m
}

// sendImmediate queues a message that may be sent before the next sync.
func (n *Node) sendImmediate(m Message, to Member) {
	n.immediate = append(n.immediate, n.header(m, to))
}

// maxPendingMessages is the maximum number of messages waiting for a sync. It
// limits the replies that accumulate while a disk hangs. Dropping one is
// equivalent to its loss by the network: the peer repeats its request.
const maxPendingMessages = 4096

// sendAfterSync queues a message that must not be sent before the next sync.
func (n *Node) sendAfterSync(m Message, to Member) {
	if len(n.messages) >= maxPendingMessages {
		n.counters.Dropped++
		return
	}
	n.messages = append(n.messages, n.header(m, to))
}

// Propose appends a command on the leader and returns its index and term. The
// command is committed once an entry with this index and term is returned in
// Ready.Committed; an entry with another term at this index means that the
// command was lost. On an error (*NotLeaderError, ErrBusy, ErrTransferring,
// ErrTooLarge, ErrRevoked) nothing was appended. The node retains data.
func (n *Node) Propose(now time.Time, data []byte) (index, term uint64, err error) {
	n.now = now
	if err := n.mayPropose(); err != nil {
		return 0, 0, err
	}
	if len(data) > n.opts.MaxCommandBytes {
		return 0, 0, ErrTooLarge
	}
	if n.lead.uncommitted+len(data)+entryOverhead > n.opts.MaxUncommitted {
		return 0, 0, ErrBusy
	}
	index = n.appendEntry(Entry{Kind: EntryCommand, Data: data})
	return index, n.hard.Term, nil
}

func (n *Node) mayPropose() error {
	switch {
	case n.hard.Revoked:
		return ErrRevoked
	case n.role != RoleLeader:
		return &NotLeaderError{Leader: n.leader.Host}
	case n.lead.transferTo != "":
		return ErrTransferring
	}
	return nil
}
