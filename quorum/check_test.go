package quorum

import (
	"bytes"
	"fmt"
	"slices"
)

// fail records a violated invariant.
func (s *sim) fail(format string, args ...any) {
	if len(s.failures) < 10 {
		s.failures = append(s.failures, fmt.Sprintf("%v: ", s.now.Sub(s.start))+fmt.Sprintf(format, args...))
	}
}

func (s *sim) requireInvariants() {
	s.t.Helper()
	s.checkLogs(1 << 40)
	for _, f := range s.failures {
		s.t.Error(f)
	}
	if len(s.failures) > 0 {
		s.t.FailNow()
	}
}

// checkLeader checks that there is one leader per term, and that it has all
// entries committed in earlier terms. A paused candidate may win a term after a
// later one has started. It need not have the entries committed in the later
// term, because it can't commit anything.
func (s *sim) checkLeader(h *simHost) {
	n := h.node
	if n.hard.Revoked && !s.expectRollbacks {
		s.fail("%s was revoked although no disk was rolled back", h.host)
	}
	if n.role != RoleLeader || h.lastLedTerm == n.hard.Term {
		return
	}
	h.lastLedTerm = n.hard.Term
	self := Member{h.host, n.hard.Disk}
	if other, ok := s.leaders[n.hard.Term]; ok && other != self {
		s.fail("election safety: %v and %v lead in term %d", other, self, n.hard.Term)
	}
	s.leaders[n.hard.Term] = self
	for index := n.log.base.Index + 1; index <= s.lastCommitted; index++ {
		e, ok := s.committed[index]
		if ok && s.committedTerm[index] < n.hard.Term && !n.log.matches(index, e.Term) {
			s.fail("leader completeness: %s leads in term %d without committed entry %d of term %d", h.host, n.hard.Term, index, e.Term)
			return
		}
	}
}

// checkCommit checks that all hosts apply the same entry at an index, and that
// a quorum of disks has the entry when the first host applies it.
func (s *sim) checkCommit(h *simHost, e Entry) {
	if old, ok := s.committed[e.Index]; ok {
		if old.Term != e.Term || !bytes.Equal(old.Data, e.Data) {
			s.fail("state machine safety: %s applies %d of term %d, others of term %d", h.host, e.Index, e.Term, old.Term)
		}
		return
	}
	s.committed[e.Index] = e
	s.committedTerm[e.Index] = h.node.hard.Term
	s.lastCommitted = max(s.lastCommitted, e.Index)
	if e.Kind == EntryMembers {
		s.members = *e.Members
	}
	if s.expectRollbacks || !s.syncOrder {
		return
	}
	holders := 0
	members := h.node.log.membersAt(h.node.log.last())
	for _, v := range members.Voters {
		if s.host(v.Host).hasHeld(v.Disk, e) {
			holders++
		}
	}
	if holders < members.quorum() {
		s.fail("durability: %s applies %d, which %d of %d disks have stored", h.host, e.Index, holders, len(members.Voters))
	}
}

// checkVote checks that a disk votes for only one candidate in a term.
func (s *sim) checkVote(m Message) {
	if m.Type != MsgVoteReply || m.Reject || s.expectRollbacks {
		return
	}
	vote := voteKey{m.FromDisk, m.Term}
	if other, ok := s.votes[vote]; ok && other != m.To {
		s.fail("vote safety: %s votes for %s and %s in term %d", m.From, other, m.To, m.Term)
	}
	s.votes[vote] = m.To
}

type voteKey struct {
	disk DiskID
	term uint64
}

// checkSyncOrder checks that votes and acknowledgements are sent after the
// sync.
func (s *sim) checkSyncOrder(h *simHost, m Message) {
	if !s.syncOrder || m.Reject {
		return
	}
	hard := h.disk.HardState
	switch m.Type {
	case MsgVoteReply:
		if hard.Term == m.Term && hard.Vote != (Member{m.To, m.ToDisk}) || hard.Term < m.Term {
			s.fail("sync order: %s replies to a vote request of term %d before the sync", h.host, m.Term)
		}
	case MsgAppendReply:
		last := h.disk.Snapshot.Index
		if len(h.disk.Entries) > 0 {
			last = h.disk.Entries[len(h.disk.Entries)-1].Index
		}
		if m.Index > last {
			s.fail("sync order: %s acknowledges %d, its disk ends at %d", h.host, m.Index, last)
		}
	}
	if m.Term > hard.Term || m.Incarnation > hard.Incarnation {
		s.fail("sync order: %s sends term %d, incarnation %x before the sync", h.host, m.Term, m.Incarnation)
	}
}

// checkLogs checks that two logs that have the same term at an index are
// identical up to it. It compares the last window entries: a few of them at
// each simTick, and all of them at the end of a test.
func (s *sim) checkLogs(window uint64) {
	for i, a := range s.hosts {
		for _, b := range s.hosts[i+1:] {
			if a.node != nil && b.node != nil {
				s.checkPair(a, b, window)
			}
		}
	}
}

func (s *sim) checkPair(a, b *simHost, window uint64) {
	la, lb := &a.node.log, &b.node.log
	agreed := false
	top, base := min(la.last(), lb.last()), max(la.base.Index, lb.base.Index)
	for index := top; index > base && index+window > top; index-- {
		ea, eb := la.entries[index-la.base.Index-1], lb.entries[index-lb.base.Index-1]
		if ea.Term == eb.Term {
			agreed = true
		}
		if agreed && (ea.Term != eb.Term || !slices.Equal(ea.Data, eb.Data)) {
			s.fail("log matching: %s and %s differ at %d", a.host, b.host, index)
			return
		}
	}
}
