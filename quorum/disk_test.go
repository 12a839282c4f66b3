package quorum

import (
	"errors"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/wire"
)

// write proposes a write on the leader and runs until it is acknowledged.
func (s *sim) write(key, value int) Entry {
	s.t.Helper()
	l := s.awaitLeader()
	index, term, err := l.node.Propose(s.local(l), wire.MustMarshal(command{Key: key, Old: -1, New: value}))
	if err != nil {
		s.t.Fatal(err)
	}
	if !s.until(2*time.Second, func() bool { return s.committed[index].Term == term }) {
		s.t.Fatalf("write %d=%d is not acknowledged", key, value)
	}
	return s.committed[index]
}

// change makes one change of membership, waiting for it to be possible.
func (s *sim) change(c MemberChange) {
	s.t.Helper()
	var index, term uint64
	possible := func() bool {
		l := s.leader()
		if l == nil {
			return false
		}
		var err error
		index, term, err = l.node.ProposeMembers(s.local(l), c)
		var behind *NotCaughtUpError
		if err != nil && !errors.As(err, &behind) && !errors.Is(err, ErrChangePending) {
			s.t.Fatal(err)
		}
		return err == nil
	}
	if !s.until(5*time.Second, possible) || !s.until(2*time.Second, func() bool { return s.committed[index].Term == term }) {
		s.t.Fatalf("change %+v is not made", c)
	}
}

// replace puts a host whose disk was lost back into the group.
func (s *sim) replace(h *simHost, disk DiskID) {
	s.t.Helper()
	s.change(MemberChange{Kind: Remove, Host: h.host})
	s.change(MemberChange{Kind: AddLearner, Host: h.host, Disk: disk})
	s.change(MemberChange{Kind: Promote, Host: h.host})
}

func (s *sim) follower() *simHost {
	l := s.awaitLeader()
	for _, h := range s.hosts {
		if h != l {
			return h
		}
	}
	return nil
}

// The disk of one of three hosts is lost and the host comes back empty under
// its old name. The group repairs it: removed, learner, promoted. Right after
// that a second host is lost for good. Every acknowledged write must still be
// there, and the group must go on: the promotion waited until the new disk had
// synced all that was committed, so either survivor pair holds everything.
func TestSecondLossAfterRepair(t *testing.T) {
	for _, compactAt := range []uint64{1 << 40, 16} {
		for lost := range 3 {
			s := newSim(t, uint64(lost), 3, 3, func(s *sim) { s.compactAt, s.opts.SnapshotChunk = compactAt, 8 })
			for i := range 40 {
				s.write(i%clientKeys, i+1)
			}
			h := s.follower()
			s.crash(h)
			h.wipe(900)
			s.boot(h)
			s.replace(h, 900)
			if victim := s.hosts[lost]; victim != h {
				s.crash(victim)
				victim.wipe(901)
			} else {
				s.crash(s.leader())
			}
			l := s.awaitLeader()
			for i := range clientKeys {
				if got := l.state.Registers[i]; got != 37+i {
					t.Errorf("register %d is %d, acknowledged was %d", i, got, 37+i)
				}
			}
			s.write(0, 100)
			s.requireSound()
		}
	}
}

// A voter's disk is wiped and the host starts again under its old name while
// another voter is down. It must not take its former part: without it there
// is no quorum, so nothing is committed and nobody is elected, however long
// it takes. The leader says which identity the host presents now.
func TestWipedDiskNeitherVotesNorCounts(t *testing.T) {
	s := newSim(t, 1, 3, 3, nil)
	s.write(0, 1)
	l, h := s.leader(), s.follower()
	s.crash(h)
	h.wipe(900)
	s.boot(h)
	s.run(200 * time.Millisecond)
	if p := peerStatus(l, h.host); p.PresentedDisk != 900 {
		t.Errorf("leader reports presented disk %d", p.PresentedDisk)
	}
	for _, other := range s.hosts {
		if other != l && other != h {
			s.crash(other)
		}
	}
	top := s.top
	_, _, err := l.node.Propose(s.local(l), wire.MustMarshal(command{Old: -1, New: 2}))
	if err != nil {
		t.Fatal(err)
	}
	s.run(5 * time.Second)
	if s.top != top || s.leader() != nil {
		t.Errorf("commit went from %d to %d, leader %v", top, s.top, s.leader())
	}
	s.requireSound()
}

// One host forms the group and takes in the others, as an operator does. A
// learner that is away can't be promoted, nor can the leader remove itself.
func TestGrowFromOne(t *testing.T) {
	s := newSim(t, 1, 3, 1, nil)
	s.write(0, 1)
	away := s.hosts[2]
	s.crash(away)
	for _, h := range s.hosts[1:] {
		s.change(MemberChange{AddLearner, h.host, h.disk.HardState.Disk})
	}
	l := s.leader()
	var behind *NotCaughtUpError
	if _, _, err := l.node.ProposeMembers(s.local(l), MemberChange{Kind: Promote, Host: away.host}); !errors.As(err, &behind) {
		t.Errorf("promotion of a learner that is away: %v", err)
	}
	if _, _, err := l.node.ProposeMembers(s.local(l), MemberChange{Kind: Remove, Host: l.host}); !errors.Is(err, ErrRemoveLeader) {
		t.Errorf("removal of the leader: %v", err)
	}
	s.change(MemberChange{Kind: Promote, Host: s.hosts[1].host})
	s.boot(away)
	s.change(MemberChange{Kind: Promote, Host: away.host})
	s.crash(away)
	s.run(time.Second)
	if _, _, err := l.node.ProposeMembers(s.local(l), MemberChange{Kind: Remove, Host: s.hosts[1].host}); !errors.Is(err, ErrNoQuorum) {
		t.Errorf("removal of one voter while another is away: %v", err)
	}
	s.boot(away)
	s.run(time.Second)
	s.crash(l)
	s.write(0, 2)
	s.requireSound()
}

func peerStatus(l *simHost, host ident.Host) PeerStatus {
	for _, p := range l.node.Status().Peers {
		if p.Member.Host == host {
			return p
		}
	}
	return PeerStatus{}
}

// A host starts from an older copy of its disk, or from a disk that confirmed
// syncs it never made. It has forgotten votes and acknowledgements and would
// give them again. The group must recognise it, stop counting it and tell it;
// it takes part again only under a new identity.
func TestRolledBackDiskIsRevoked(t *testing.T) {
	cases := map[string]func(s *sim, h *simHost){
		"copy from an earlier incarnation": func(s *sim, h *simHost) {
			old := h.diskCopy()
			s.restart(h)
			s.write(0, 2)
			s.crash(h)
			old()
			s.boot(h)
		},
		"copy two incarnations old, found by a new leader": func(s *sim, h *simHost) {
			old := h.diskCopy()
			s.restart(h)
			s.run(300 * time.Millisecond)
			s.restart(h)
			s.run(300 * time.Millisecond)
			s.crash(h)
			s.restart(s.leader()) // the third host leads next
			old()
			s.boot(h)
		},
		"acknowledged entries of this incarnation lost, same leader": func(s *sim, h *simHost) {
			old := h.diskCopy()
			s.write(0, 2)
			s.run(100 * time.Millisecond)
			s.crash(h)
			old()
			s.boot(h)
		},
		"acknowledged, uncommitted entries lost, same leader": func(s *sim, h *simHost) {
			l, old := s.leader(), h.diskCopy()
			for _, other := range others(s, h) {
				if other != l {
					s.crash(other)
				}
			}
			l.slow = time.Minute // neither itself nor the third host counts
			_, _, _ = l.node.Propose(s.local(l), wire.MustMarshal(command{Old: -1, New: 2}))
			s.run(100 * time.Millisecond)
			s.crash(h)
			old()
			s.boot(h)
		},
		"term of this incarnation lost": func(s *sim, h *simHost) {
			old := h.diskCopy()
			l := s.leader()
			s.restart(l)
			s.awaitLeader()
			s.run(300 * time.Millisecond)
			s.crash(h)
			old()
			s.boot(h)
		},
	}
	for name, rollBack := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 7, 3, 3, func(s *sim) { s.rollbacks = true })
			s.write(0, 1)
			s.run(100 * time.Millisecond)
			h := s.follower()
			rollBack(s, h)
			if !s.until(time.Second, func() bool { return h.node.hard.Revoked }) {
				t.Fatal("the rolled-back disk is not revoked")
			}
			for _, other := range s.hosts {
				other.slow, other.syncAt = 0, s.now
				if other.node == nil {
					s.boot(other)
				}
			}
			s.write(0, 3)
			s.crash(h)
			h.wipe(900)
			s.boot(h)
			s.replace(h, 900)
			s.requireSound()
		})
	}
}

func (s *sim) restart(h *simHost) {
	s.crash(h)
	s.boot(h)
}
