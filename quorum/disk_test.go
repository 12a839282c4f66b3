package quorum

import (
	"errors"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/wire"
)

// write proposes a write on the leader and runs until it is committed.
func (s *sim) write(key, value int) Entry {
	s.t.Helper()
	l := s.awaitLeader()
	index, term, err := l.node.Propose(s.local(l), wire.MustMarshal(command{Key: key, Old: -1, New: value}))
	if err != nil {
		s.t.Fatal(err)
	}
	if !s.runUntil(2*time.Second, func() bool { return s.committed[index].Term == term }) {
		s.t.Fatalf("write %d=%d is not committed within 2 s", key, value)
	}
	return s.committed[index]
}

// change makes a membership change, retrying until it is accepted and
// committed.
func (s *sim) change(c MemberChange) {
	s.t.Helper()
	var index, term uint64
	accepted := func() bool {
		l := s.leader()
		if l == nil {
			return false
		}
		var err error
		index, term, err = l.node.ProposeMembers(s.local(l), c)
		var notCaughtUp *NotCaughtUpError
		if err != nil && !errors.As(err, &notCaughtUp) && !errors.Is(err, ErrChangePending) {
			s.t.Fatal(err)
		}
		return err == nil
	}
	if !s.runUntil(5*time.Second, accepted) || !s.runUntil(2*time.Second, func() bool { return s.committed[index].Term == term }) {
		s.t.Fatalf("change %+v is not committed", c)
	}
}

// replaceDisk returns a host whose disk was lost to the group.
func (s *sim) replaceDisk(h *simHost, disk DiskID) {
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

// Guards against the loss of acknowledged writes if a second host is lost
// immediately after the replacement of a lost disk (remove, add as learner,
// promote). The promotion must wait until the new disk has synced all committed
// entries, so that either pair of surviving hosts has every acknowledged write
// and can continue.
func TestSecondLossAfterRepair(t *testing.T) {
	for _, compactAt := range []uint64{1 << 40, 16} {
		for second := range 3 {
			s := newSim(t, uint64(second), 3, 3, func(s *sim) { s.compactAt, s.opts.SnapshotChunk = compactAt, 8 })
			for i := range 40 {
				s.write(i%clientKeys, i+1)
			}
			h := s.follower()
			s.crash(h)
			h.wipe(900)
			s.boot(h)
			s.replaceDisk(h, 900)
			if victim := s.hosts[second]; victim != h {
				s.crash(victim)
				victim.wipe(901)
			} else {
				s.crash(s.leader())
			}
			l := s.awaitLeader()
			for i := range clientKeys {
				if got := l.state.Registers[i]; got != 37+i {
					t.Errorf("register %d is %d, want the acknowledged %d", i, got, 37+i)
				}
			}
			s.write(0, 100)
			s.requireInvariants()
		}
	}
}

// A voter's disk is wiped and the host restarts under the same name while
// another voter is down. It must not be counted as the original voter: there is
// no quorum, so nothing may be committed and no leader elected. The leader must
// report the disk identity that the host now presents.
func TestWipedDiskNeitherVotesNorCounts(t *testing.T) {
	s := newSim(t, 1, 3, 3, nil)
	s.write(0, 1)
	l, h := s.leader(), s.follower()
	s.crash(h)
	h.wipe(900)
	s.boot(h)
	s.run(200 * time.Millisecond)
	if p := peerStatus(l, h.host); p.PresentedDisk != 900 {
		t.Errorf("leader reports presented disk %d, want 900", p.PresentedDisk)
	}
	for _, other := range s.hosts {
		if other != l && other != h {
			s.crash(other)
		}
	}
	lastCommitted := s.lastCommitted
	_, _, err := l.node.Propose(s.local(l), wire.MustMarshal(command{Old: -1, New: 2}))
	if err != nil {
		t.Fatal(err)
	}
	s.run(5 * time.Second)
	if s.lastCommitted != lastCommitted || s.leader() != nil {
		t.Errorf("commit index went from %d to %d, leader %v; want no commit and no leader", lastCommitted, s.lastCommitted, s.leader())
	}
	s.requireInvariants()
}

// A group grows from one host to three. An inactive learner must not be
// promoted, and the leader must not be able to remove itself, nor a voter while
// another one is down.
func TestGrowFromOneHost(t *testing.T) {
	s := newSim(t, 1, 3, 1, nil)
	s.write(0, 1)
	inactive := s.hosts[2]
	s.crash(inactive)
	for _, h := range s.hosts[1:] {
		s.change(MemberChange{AddLearner, h.host, h.disk.HardState.Disk})
	}
	l := s.leader()
	var notCaughtUp *NotCaughtUpError
	if _, _, err := l.node.ProposeMembers(s.local(l), MemberChange{Kind: Promote, Host: inactive.host}); !errors.As(err, &notCaughtUp) {
		t.Errorf("promotion of an inactive learner: err = %v, want NotCaughtUpError", err)
	}
	if _, _, err := l.node.ProposeMembers(s.local(l), MemberChange{Kind: Remove, Host: l.host}); !errors.Is(err, ErrRemoveLeader) {
		t.Errorf("removal of the leader: err = %v, want ErrRemoveLeader", err)
	}
	s.change(MemberChange{Kind: Promote, Host: s.hosts[1].host})
	s.boot(inactive)
	s.change(MemberChange{Kind: Promote, Host: inactive.host})
	s.crash(inactive)
	s.run(time.Second)
	if _, _, err := l.node.ProposeMembers(s.local(l), MemberChange{Kind: Remove, Host: s.hosts[1].host}); !errors.Is(err, ErrNoQuorum) {
		t.Errorf("removal of a voter while another is down: err = %v, want ErrNoQuorum", err)
	}
	s.boot(inactive)
	s.run(time.Second)
	s.crash(l)
	s.write(0, 2)
	s.requireInvariants()
}

func peerStatus(l *simHost, host ident.Host) PeerStatus {
	for _, p := range l.node.Status().Peers {
		if p.Member.Host == host {
			return p
		}
	}
	return PeerStatus{}
}

// Guards against the reuse of a rolled-back disk: a host starts from an older
// copy of its disk, or its disk confirmed syncs that it did not perform. It has
// lost votes and acknowledgements and could give them again. The group must
// detect this, stop counting the host and notify it. It may only rejoin with a
// new disk identity.
func TestRolledBackDiskIsRevoked(t *testing.T) {
	cases := map[string]func(s *sim, h *simHost){
		"copy from the previous incarnation": func(s *sim, h *simHost) {
			restore := h.diskCopy()
			s.restart(h)
			s.write(0, 2)
			s.crash(h)
			restore()
			s.boot(h)
		},
		"copy two incarnations old, detected by a new leader": func(s *sim, h *simHost) {
			restore := h.diskCopy()
			s.restart(h)
			s.run(300 * time.Millisecond)
			s.restart(h)
			s.run(300 * time.Millisecond)
			s.crash(h)
			s.restart(s.leader()) // the third host becomes leader
			restore()
			s.boot(h)
		},
		"acknowledged entries of this incarnation lost, same leader": func(s *sim, h *simHost) {
			restore := h.diskCopy()
			s.write(0, 2)
			s.run(100 * time.Millisecond)
			s.crash(h)
			restore()
			s.boot(h)
		},
		"acknowledged uncommitted entries lost, same leader": func(s *sim, h *simHost) {
			l, restore := s.leader(), h.diskCopy()
			for _, other := range others(s, h) {
				if other != l {
					s.crash(other)
				}
			}
			l.syncDelay = time.Minute // neither the leader nor the third host acknowledges
			_, _, _ = l.node.Propose(s.local(l), wire.MustMarshal(command{Old: -1, New: 2}))
			s.run(100 * time.Millisecond)
			s.crash(h)
			restore()
			s.boot(h)
		},
		"term of this incarnation lost": func(s *sim, h *simHost) {
			restore := h.diskCopy()
			l := s.leader()
			s.restart(l)
			s.awaitLeader()
			s.run(300 * time.Millisecond)
			s.crash(h)
			restore()
			s.boot(h)
		},
	}
	for name, rollBack := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 7, 3, 3, func(s *sim) { s.expectRollbacks = true })
			s.write(0, 1)
			s.run(100 * time.Millisecond)
			h := s.follower()
			rollBack(s, h)
			if !s.runUntil(time.Second, func() bool { return h.node.hard.Revoked }) {
				t.Fatal("the rolled-back disk is not revoked within 1 s")
			}
			for _, other := range s.hosts {
				other.syncDelay, other.syncAt = 0, s.now
				if other.node == nil {
					s.boot(other)
				}
			}
			s.write(0, 3)
			s.crash(h)
			h.wipe(900)
			s.boot(h)
			s.replaceDisk(h, 900)
			s.requireInvariants()
		})
	}
}

func (s *sim) restart(h *simHost) {
	s.crash(h)
	s.boot(h)
}
