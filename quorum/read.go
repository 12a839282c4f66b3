package quorum

import (
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// maxRounds is the maximum number of unconfirmed heartbeat rounds whose start
// time is kept. A leader steps down long before that many rounds remain
// unacknowledged.
const maxRounds = 256

// rounds tracks a leader's heartbeat rounds. A reply to round r was sent after
// the round started, so once a quorum has replied to r, no other leader had
// been elected when r started.
type rounds struct {
	current   uint64
	confirmed uint64
	started   []roundStart
}

type roundStart struct {
	round uint64
	at    time.Time
}

// confirm marks the rounds up to round as acknowledged by a quorum and returns
// the start time of the last of them. ok is false if all of them were already
// confirmed.
func (r *rounds) confirm(round uint64) (at time.Time, ok bool) {
	done := 0
	for done < len(r.started) && r.started[done].round <= round {
		at = r.started[done].at
		done++
	}
	r.started = append(r.started[:0], r.started[done:]...)
	r.confirmed = max(r.confirmed, round)
	return at, done > 0
}

// pendingRead is a read waiting for a heartbeat round.
type pendingRead struct {
	from Member
	id   uint64
	// incarnation is that of the requesting node, repeated in the reply.
	incarnation uint64
	// round is zero until a heartbeat round starts after the read arrived.
	round uint64
}

// startRound starts a heartbeat round and assigns all waiting reads to it.
func (n *Node) startRound() {
	r := &n.lead.rounds
	r.current++
	n.counters.Rounds++
	if len(r.started) == maxRounds {
		r.started = append(r.started[:0], r.started[1:]...)
	}
	r.started = append(r.started, roundStart{r.current, n.now})
	for i := len(n.lead.reads) - 1; i >= 0 && n.lead.reads[i].round == 0; i-- {
		n.lead.reads[i].round = r.current
	}
	n.broadcastHeartbeat()
	n.confirmRounds()
}

func (n *Node) ackRound(p *progress, round uint64) {
	if round > p.ackedRound {
		p.ackedRound = round
		n.confirmRounds()
	}
}

func (n *Node) confirmRounds() {
	r := &n.lead.rounds
	round := n.quorumValue(r.current, func(p *progress) uint64 { return p.ackedRound })
	if round <= r.confirmed {
		return
	}
	if at, ok := r.confirm(round); ok {
		if at.After(n.lead.lastQuorumContact) {
			// A round from before a stall confirms no later contact than was deferred to.
			n.lead.lastQuorumContact = at
		}
		n.lead.leaseEnd = at.Add(n.opts.lease())
	}
	n.serveReads()
}

// hasLease reports whether the leader may serve reads without a heartbeat
// round: the voters that acknowledged its latest confirmed round still reject
// every other candidate, and the leader knows all entries that earlier leaders
// committed.
func (n *Node) hasLease() bool {
	if n.role != RoleLeader || n.opts.NoLeaseReads || n.lead.timeoutNowSent || n.log.commit < n.lead.noopIndex {
		return false
	}
	return n.now.Before(n.lead.leaseEnd) || n.faults.ignoreLeaseExpiry
}

// ReadIndex requests a linearizable read. The result with the same id is
// returned in Ready.Reads. A follower forwards the request to the leader and
// the reply may be lost, so the caller must use a timeout. On an error no
// result follows. Ids must be unique for the lifetime of the Node.
func (n *Node) ReadIndex(now time.Time, id uint64) error {
	n.now = now
	switch {
	case n.hard.Revoked:
		return ErrRevoked
	case n.role == RoleLeader:
		return n.addRead(pendingRead{from: n.leader, id: id})
	case n.leader == Member{}:
		return &NotLeaderError{}
	}
	n.sendAfterSync(Message{Type: MsgReadIndex, ReadID: id, Round: uint64(n.hard.Incarnation)}, n.leader)
	return nil
}

func (n *Node) addRead(r pendingRead) error {
	if n.hasLease() {
		n.counters.LeaseReads++
		n.answerRead(r)
		return nil
	}
	if len(n.lead.reads) >= n.opts.MaxReads {
		return ErrBusy
	}
	n.lead.reads = append(n.lead.reads, r)
	return nil
}

// flushReads starts a heartbeat round for waiting reads. While a round is in
// progress, new reads wait for the next one, so a burst of reads needs few
// rounds.
func (n *Node) flushReads() {
	reads := n.lead.reads
	if len(reads) == 0 || reads[len(reads)-1].round != 0 {
		return
	}
	if reads[0].round == 0 {
		n.startRound()
	}
}

func (n *Node) serveReads() {
	if n.role != RoleLeader || n.log.commit < n.lead.noopIndex {
		return
	}
	done := 0
	for _, r := range n.lead.reads {
		if r.round == 0 || r.round > n.lead.rounds.confirmed {
			break
		}
		n.counters.RoundReads++
		n.answerRead(r)
		done++
	}
	n.lead.reads = append(n.lead.reads[:0], n.lead.reads[done:]...)
}

func (n *Node) answerRead(r pendingRead) {
	if r.from.Host == n.opts.Self {
		n.reads = append(n.reads, Read{ID: r.id, Index: n.log.commit})
		return
	}
	n.sendImmediate(Message{Type: MsgReadIndexReply, ReadID: r.id, Round: r.incarnation, Index: n.log.commit}, r.from)
}

func (n *Node) failRead(r pendingRead, leader ident.Host) {
	if r.from.Host == n.opts.Self {
		n.reads = append(n.reads, Read{ID: r.id, Err: &NotLeaderError{Leader: leader}})
		return
	}
	n.sendAfterSync(Message{Type: MsgReadIndexReply, ReadID: r.id, Round: r.incarnation, Reject: true}, r.from)
}

func (n *Node) handleReadIndex(m Message) {
	r := pendingRead{from: sender(m), id: m.ReadID, incarnation: m.Round}
	if n.role != RoleLeader || n.addRead(r) != nil {
		n.failRead(r, n.leader.Host)
	}
}

func (n *Node) handleReadIndexReply(m Message) {
	// A reply to an earlier incarnation has an index from before this read.
	if m.Round != uint64(n.hard.Incarnation) {
		return
	}
	read := Read{ID: m.ReadID, Index: m.Index}
	if m.Reject {
		read.Err = &NotLeaderError{Leader: n.leader.Host}
	}
	n.reads = append(n.reads, read)
}
