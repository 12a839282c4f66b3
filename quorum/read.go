package quorum

import (
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// maxRounds bounds the heartbeat rounds whose start is remembered. A leader
// steps down long before that many go unanswered.
const maxRounds = 256

// rounds are a leader's heartbeat rounds. An answer to round r was given after
// the round began; once a quorum has answered r, no other leader had been
// elected when r began.
type rounds struct {
	current   uint64
	confirmed uint64
	started   []roundStart
}

type roundStart struct {
	round uint64
	at    time.Time
}

// confirm marks the rounds up to round as answered by a quorum and returns
// when the last of them began; ok is false when that is nothing new.
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

// pendingRead is a read that waits for a round.
type pendingRead struct {
	from Member
	id   uint64
	// incarnation is the asker's, repeated in the answer.
	incarnation uint64
	// round is zero until a round begins after the read arrived.
	round uint64
}

// startRound begins a heartbeat round. All reads that wait take part in it.
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
		n.lead.confirmedAt = at
		n.lead.leaseEnd = at.Add(n.opts.lease())
	}
	n.serveReads()
}

// leased reports whether the leader may read alone: the voters that answered
// its latest confirmed round still refuse every other candidate, and it knows
// all that earlier leaders committed.
func (n *Node) leased() bool {
	if n.role != RoleLeader || n.opts.NoLeaseReads || n.lead.handedOver || n.log.commit < n.lead.noop {
		return false
	}
	return n.now.Before(n.lead.leaseEnd) || n.faults.endlessLease
}

// ReadIndex asks for a linearizable read. The answer with the same id comes
// out of Ready.Reads; on a follower it is fetched from the leader and may be
// lost, so the caller bounds its wait. An error means that no answer follows.
// Ids must not repeat while a Node exists.
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
	n.sendSynced(Message{Type: MsgReadIndex, ReadID: id, Round: uint64(n.hard.Incarnation)}, n.leader)
	return nil
}

func (n *Node) addRead(r pendingRead) error {
	if n.leased() {
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

// flushReads starts a round for waiting reads. While one is under way later
// reads gather for the next, so that a burst of reads costs few rounds.
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
	if n.role != RoleLeader || n.log.commit < n.lead.noop {
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
	n.sendNow(Message{Type: MsgReadIndexReply, ReadID: r.id, Round: r.incarnation, Index: n.log.commit}, r.from)
}

func (n *Node) failRead(r pendingRead, leader ident.Host) {
	if r.from.Host == n.opts.Self {
		n.reads = append(n.reads, Read{ID: r.id, Err: &NotLeaderError{Leader: leader}})
		return
	}
	n.sendSynced(Message{Type: MsgReadIndexReply, ReadID: r.id, Round: r.incarnation, Reject: true}, r.from)
}

func (n *Node) handleReadIndex(m Message) {
	r := pendingRead{from: sender(m), id: m.ReadID, incarnation: m.Round}
	if n.role != RoleLeader || n.addRead(r) != nil {
		n.failRead(r, n.leader.Host)
	}
}

func (n *Node) handleReadIndexReply(m Message) {
	// An answer to an earlier incarnation carries an index from before this read.
	if m.Round != uint64(n.hard.Incarnation) {
		return
	}
	read := Read{ID: m.ReadID, Index: m.Index}
	if m.Reject {
		read.Err = &NotLeaderError{Leader: n.leader.Host}
	}
	n.reads = append(n.reads, read)
}
