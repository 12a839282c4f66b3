package quorum

import (
	"errors"
	"slices"
	"time"
)

// Node is one member of a group. It is driven by one goroutine.
type Node struct {
	opts  Options
	now   time.Time
	hard  HardState
	dirty bool // hard differs from what was handed out for writing
	log   entryLog
	// members is the membership in force: that of the last entry.
	members Membership

	role Role
	// leader is the known leader of the current term, empty when unknown.
	leader Member
	// heardLeader is when a leader was last heard; a start counts as well,
	// for an earlier incarnation may have promised a leader its lease.
	heardLeader time.Time
	electionAt  time.Time

	campaign campaign
	lead     leadership
	incoming assembly

	// What the next Ready returns.
	immediate []Message
	messages  []Message
	reads     []Read
	install   *Snapshot
	// syncing is set between a persistent Ready and its Advance.
	syncing     bool
	syncingTerm uint64
	// restoring is set while that Ready's snapshot is being restored.
	restoring bool

	counters      Counters
	lastMalformed error
	faults        faults
}

// NewNode starts a node from what its disk holds. Stored.HardState must carry a
// DiskID. The first Ready holds the HardState with the new incarnation.
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
	n.heardLeader = now
	n.resetElection()
	return n, nil
}

// checkStored refuses a log with gaps, which would break the log's indexing.
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

// Tick moves time on. The runtime calls it at least every Heartbeat/4.
func (n *Node) Tick(now time.Time) {
	n.now = now
	if n.role == RoleLeader {
		n.tickLeader()
		return
	}
	if now.Before(n.electionAt) {
		return
	}
	n.resetElection()
	n.leader = Member{}
	if n.mayCampaign() {
		n.startPreVote()
	}
}

// mayCampaign reports whether this disk is a voter in good standing.
func (n *Node) mayCampaign() bool {
	return !n.hard.Revoked && n.members.isVoter(n.opts.Self, n.hard.Disk)
}

func (n *Node) resetElection() {
	n.electionAt = n.now.Add(n.opts.ElectionMin + n.random(n.opts.ElectionMax-n.opts.ElectionMin))
}

// random draws a duration below limit.
func (n *Node) random(limit time.Duration) time.Duration {
	return time.Duration(n.opts.Rand.Int64N(int64(limit)))
}

// becomeFollower enters a term, or stays in the present one, without leading.
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

// header fills in what all messages carry.
func (n *Node) header(m Message, to Member) Message {
	m.From = n.opts.Self
	m.FromDisk = n.hard.Disk
	m.Incarnation = n.hard.Incarnation
	m.To = to.Host
	m.ToDisk = to.Disk
	m.Term = n.hard.Term
	return m
}

// sendNow queues a message that promises nothing about this disk.
func (n *Node) sendNow(m Message, to Member) {
	n.immediate = append(n.immediate, n.header(m, to))
}

// maxWaiting bounds the messages that wait for a sync. A disk that hangs would
// otherwise gather answers for as long; what is dropped counts as lost on the
// way and is asked for again.
const maxWaiting = 4096

// sendSynced queues a message that must wait for the next sync.
func (n *Node) sendSynced(m Message, to Member) {
	if len(n.messages) >= maxWaiting {
		n.counters.Dropped++
		return
	}
	n.messages = append(n.messages, n.header(m, to))
}

// Propose appends a command on the leader and returns its position. The
// command is committed once an entry with this index and term comes out of
// Ready.Committed; an entry of another term there means it was lost. Errors
// (*NotLeaderError, ErrBusy, ErrTransferring, ErrTooLarge) mean that nothing
// was appended. The node keeps data.
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
	index = n.appendOwn(Entry{Kind: EntryCommand, Data: data})
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
