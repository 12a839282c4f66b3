package quorum

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// losePower crashes all hosts and starts them again within 60 ms of each other.
func (s *sim) losePower() {
	for _, h := range s.hosts {
		s.crash(h)
	}
	down := slices.Clone(s.hosts)
	for len(down) > 0 {
		at := s.rand.IntN(len(down))
		s.run(time.Duration(s.rand.IntN(20)) * time.Millisecond)
		s.boot(down[at])
		down = slices.Delete(down, at, at+1)
	}
}

// Guards against the wait for a lease that nobody holds: after a restart of all members an election
// needs to wait for none, and callers wait for it. If one member stays away, it may hold a lease.
func TestElectionAfterRestartOfAllNeedsNoWait(t *testing.T) {
	for _, c := range []struct {
		quick, away bool
	}{{false, false}, {true, false}, {true, true}} {
		for seed := range uint64(20) {
			// Half of the groups have a learner.
			voters := 5 - int(seed%2)*2
			s := newSim(t, seed, voters+int(seed%2), voters, func(s *sim) { s.opts.QuickRestart = c.quick })
			s.awaitLeader()
			if voters < len(s.hosts) {
				l, h := s.leader(), s.hosts[voters]
				if _, _, err := l.node.ProposeMembers(s.local(l), MemberChange{AddLearner, h.host, h.disk.HardState.Disk}); err != nil {
					t.Fatal(err)
				}
				s.drain(l)
			}
			s.run(2 * time.Second)
			s.write(0, 1)
			s.run(time.Second)
			for _, h := range s.hosts {
				s.crash(h)
			}
			s.queue = nil
			s.run(time.Second)
			began := s.now
			for i, h := range s.hosts {
				if i > 0 || !c.away {
					s.boot(h)
				}
			}
			s.awaitLeader()
			took, wait := s.now.Sub(began), time.Duration(float64(DefaultElectionMin)*(1-DefaultClockDrift))
			if quick := took < wait*3/4; quick != (c.quick && !c.away) || !quick && took < wait {
				t.Errorf("seed %d: leader %v after the restart, quick restarts %v, one away %v", seed, took, c.quick, c.away)
			}
			s.requireInvariants()
		}
	}
}

// Guards against entries that wait for a restarted follower until the next heartbeat, while the leader
// knows that the follower's log is committed.
func TestFollowersLearnCommitOfNewTermAtOnce(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(t, seed, 5, 5, func(s *sim) { s.opts.QuickRestart = true })
		l := s.awaitLeader()
		commits := func(all bool) bool {
			for _, h := range s.hosts {
				if (all || h == l) && h.node.Status().Commit < l.node.lead.noopIndex {
					return false
				}
			}
			return true
		}
		s.runUntil(time.Second, func() bool { return commits(false) })
		known := s.now
		if !s.runUntil(time.Second, func() bool { return commits(true) }) || s.now.Sub(known) > DefaultHeartbeat/4 {
			t.Errorf("seed %d: followers know the commit %v later", seed, s.now.Sub(known))
		}
	}
}

// Both followers restart right after their last acknowledgements, and the leader lives on behind a
// partition and serves reads under its lease. They must not elect another one before its end.
func scenarioRestartedVoters(s *sim) {
	s.opts.QuickRestart = true
	old := s.awaitLeader()
	s.run(2 * time.Second)
	s.write(0, 1)
	s.run(100 * time.Millisecond)
	followers := others(s, old)
	s.partition([]*simHost{old}, followers)
	for _, h := range followers {
		s.restart(h)
	}
	s.requireNoStaleReads(old)
}

// As TestRandomFaults, with quick elections and losses of power at all hosts among the faults.
func TestRandomPowerLosses(t *testing.T) {
	runs := randomRuns / 2
	if *longRuns > 0 {
		runs = *longRuns
	}
	if testing.Short() {
		runs = 30
	}
	for seed := range uint64(runs) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := randomRun(t, seed+50000, func(s *sim) { s.opts.QuickRestart, s.powerLoss = true, true })
			s.recover()
			s.requireInvariants()
			if result := s.clients.linearizable(); result != porcupine.Ok {
				t.Fatalf("history of %d operations: %v", len(s.clients.history), result)
			}
		})
	}
}
