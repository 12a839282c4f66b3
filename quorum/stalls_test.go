package quorum

import (
	"testing"
	"time"
)

// pause stops hosts for d.
func (s *sim) pause(d time.Duration, hosts ...*simHost) {
	for _, h := range hosts {
		h.paused = s.now.Add(d)
	}
}

// Guards against a group that never keeps a leader because its hosts stall again and again for
// longer than an election timeout: each host would take the time in which it did not run for the
// silence of the others.
func TestStallsEndNoTerm(t *testing.T) {
	const runs, stalls = 250 * time.Millisecond, 450 * time.Millisecond
	cases := map[string]func(s *sim, l *simHost) []*simHost{
		"all hosts":          func(s *sim, _ *simHost) []*simHost { return s.hosts },
		"one follower":       func(s *sim, l *simHost) []*simHost { return others(s, l)[:1] },
		"the other follower": func(s *sim, l *simHost) []*simHost { return others(s, l)[1:] },
	}
	for name, stalled := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(50) {
				s := newSim(t, seed, 3, 3, nil)
				l := s.awaitLeader()
				term := l.node.hard.Term
				for range 20 {
					// The stalls begin at different times within a heartbeat interval.
					s.run(runs + time.Duration(seed)*time.Millisecond)
					if s.leader() != l || l.node.hard.Term != term {
						t.Fatalf("seed %d: %s no longer leads in term %d", seed, l.host, term)
					}
					s.pause(stalls, stalled(s, l)...)
					s.run(stalls)
				}
				s.requireInvariants()
			}
		})
	}
}

// Guards against a lost leader that is never noticed, because the others run late all the time
// and defer their timeouts by as much.
func TestLateHostsNoticeLostLeader(t *testing.T) {
	const runs, stalls = 20 * time.Millisecond, 150 * time.Millisecond
	for seed := range uint64(50) {
		s := newSim(t, seed, 3, 3, nil)
		l := s.awaitLeader()
		s.run(time.Second)
		term := l.node.hard.Term
		s.crash(l)
		lostAt := s.now
		for next := s.leader(); next == nil || next.node.hard.Term <= term; next = s.leader() {
			if s.now.Sub(lostAt) > 10*time.Second {
				t.Fatalf("seed %d: no leader within 10 s", seed)
			}
			s.run(runs)
			s.pause(stalls, others(s, l)...)
			s.run(stalls)
		}
		s.requireInvariants()
	}
}

// Guards against pre-votes of a follower that runs again and whose messages have not been read
// yet: they cost the others work, and a message of the leader is due anyway.
func TestStalledFollowerWaitsForItsLeader(t *testing.T) {
	const stalls = 450 * time.Millisecond
	for seed := range uint64(50) {
		s := newSim(t, seed, 3, 3, nil)
		l := s.awaitLeader()
		s.run(time.Second + time.Duration(seed)*time.Millisecond)
		follower := others(s, l)[0]
		before := follower.node.counters.PreVotes
		s.pause(stalls, follower)
		s.partition([]*simHost{follower}, others(s, follower))
		s.run(stalls - simStep)
		s.heal()
		s.run(time.Second)
		if after := follower.node.counters.PreVotes; after != before {
			t.Errorf("seed %d: %d pre-votes after a stall", seed, after-before)
		}
		s.requireInvariants()
	}
}
