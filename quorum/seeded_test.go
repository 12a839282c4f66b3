package quorum

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/lovagereach/lovagereach/internal/wire"
)

const seededRuns = 20

// Each case enables a known defect. The checks must detect it by its effects on
// callers or other hosts, with the check of the sync order disabled.
// TestRandomFaults makes the same runs without the defect.
func TestSeededBugsInRandomRuns(t *testing.T) {
	cases := map[string]faults{
		"append reply before the sync": {earlyAcks: true},
		"commit without a quorum":      {earlyCommit: true},
	}
	for name, bug := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seededRuns) {
				s := randomRun(t, seed, func(s *sim) { s.faults, s.syncOrder = bug, false })
				if len(s.failures) > 0 {
					t.Logf("detected at seed %d: %s", seed, s.failures[0])
					return
				}
				if s.clients.linearizable() == porcupine.Illegal {
					t.Logf("detected at seed %d: the history is not linearizable", seed)
					return
				}
			}
			t.Errorf("not detected in %d runs", seededRuns)
		})
	}
}

// Defects that random runs show too rarely have a scenario each. The scenario
// must pass without the defect in every run and fail with it in at least one.
func TestSeededBugsInScenarios(t *testing.T) {
	cases := map[string]struct {
		bug      faults
		scenario func(s *sim)
	}{
		"vote reply before the sync":                      {faults{earlyVotes: true}, scenarioLostVote},
		"read under an expired lease":                     {faults{ignoreLeaseExpiry: true}, scenarioPartitionedLeader},
		"vote of a restarted host while the leader lives": {faults{forgetPromise: true}, scenarioRestartedVoters},
		"wiped disk with the same ID trusted": {faults{trustRolledBack: true}, func(s *sim) {
			scenarioVoterLosesEntry(s, func(h *simHost) { h.wipe(h.disk.HardState.Disk) })
		}},
		"rolled-back disk trusted": {faults{trustRolledBack: true}, func(s *sim) { scenarioVoterLosesEntry(s, nil) }},
		"replaced disk accepted as the original": {faults{ignoreDiskID: true}, func(s *sim) {
			scenarioVoterLosesEntry(s, func(h *simHost) { h.wipe(900) })
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			detected := 0
			for seed := range uint64(seededRuns) {
				for _, bug := range []faults{{}, c.bug} {
					s := newSim(t, seed, 3, 3, func(s *sim) { s.faults, s.syncOrder = bug, false })
					c.scenario(s)
					if bug == (faults{}) {
						s.requireInvariants()
					} else {
						detected += min(len(s.failures), 1)
					}
				}
			}
			t.Logf("detected in %d of %d runs", detected, seededRuns)
			if detected == 0 {
				t.Error("not detected in any run")
			}
		})
	}
}

// h2 votes for h1, crashes before the vote is synced and restarts. h3 then
// requests its vote in the same term, and h2 no longer knows of its first vote.
func scenarioLostVote(s *sim) {
	h1, h2, h3 := s.hosts[0], s.hosts[1], s.hosts[2]
	s.partition([]*simHost{h1}, []*simHost{h2}, []*simHost{h3})
	requestVote := func(from *simHost) {
		h2.node.Step(s.local(h2), Message{
			Type: MsgVote, From: from.host, FromDisk: from.disk.HardState.Disk, Incarnation: from.node.hard.Incarnation,
			To: h2.host, ToDisk: h2.disk.HardState.Disk, Term: 9, Index: bootstrapIndex, LogTerm: bootstrapTerm, Force: true,
		})
		s.drain(h2)
	}
	s.run(50 * time.Millisecond)
	requestVote(h1)
	h2.writing = nil
	s.restart(h2)
	s.run(50 * time.Millisecond)
	requestVote(h3)
	s.run(50 * time.Millisecond)
}

// A partitioned leader continues to serve reads under its lease, with the
// slowest clock allowed, while the others, with the fastest clocks allowed,
// elect a leader that commits a write. No read that starts after that write may
// miss it.
func scenarioPartitionedLeader(s *sim) {
	old := s.awaitLeader()
	for _, h := range s.hosts {
		h.drift = DefaultClockDrift
	}
	old.drift = -DefaultClockDrift
	s.write(0, 1)
	var others []*simHost
	for _, h := range s.hosts {
		if h != old {
			others = append(others, h)
		}
	}
	s.partition([]*simHost{old}, others)
	s.requireNoStaleReads(old)
}

// requireNoStaleReads requires that no read which a partitioned leader serves misses a write that
// the others committed before it began.
func (s *sim) requireNoStaleReads(old *simHost) {
	id := uint64(0)
	s.runUntil(time.Second, func() bool {
		if l := s.leader(); l != nil && l != old {
			_, _, _ = l.node.Propose(s.local(l), wire.MustMarshal(command{Old: -1, New: 2}))
			s.drain(l)
		}
		id++
		if old.node.ReadIndex(s.local(old), id) != nil {
			return false
		}
		before := s.lastCommitted
		s.drain(old)
		for _, r := range old.results {
			if r.ID == id && r.Err == nil && r.Index < before {
				s.fail("read: the partitioned leader serves a read at %d, committed is %d", r.Index, before)
			}
		}
		old.results = nil
		return old.node.role != RoleLeader
	})
	if old.node.role == RoleLeader {
		s.fail("check-quorum: the partitioned leader has not stepped down after 1 s")
	}
}

// A write is acknowledged by the leader and one follower while the third host
// is partitioned. The follower's disk then loses the write; by default it is
// rolled back to a copy from before its last start. The leader is partitioned,
// and the two hosts that lack the write could elect each other.
func scenarioVoterLosesEntry(s *sim, loseEntry func(*simHost)) {
	l := s.awaitLeader()
	voter, partitioned := others(s, l)[0], others(s, l)[1]
	s.write(0, 1)
	s.run(100 * time.Millisecond)
	restore := voter.diskCopy()
	s.restart(voter)
	s.run(200 * time.Millisecond)
	s.partition([]*simHost{l, voter}, []*simHost{partitioned})
	s.write(0, 2)
	s.crash(voter)
	s.expectRollbacks = true
	if loseEntry == nil {
		restore()
	} else {
		loseEntry(voter)
	}
	s.boot(voter)
	s.partition([]*simHost{l}, []*simHost{partitioned, voter})
	s.run(2 * time.Second)
}
