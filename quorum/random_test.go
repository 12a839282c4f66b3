package quorum

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/lovagereach/lovagereach/ident"
)

var longRuns = flag.Int("quorum.runs", 0, "number of random runs, in place of the default")

const (
	randomRuns = 160
	randomTime = 5 * time.Second
)

// regressionSeeds are seeds at which a run failed once: a rejected vote reply
// without the end of the sender's log was treated as evidence of a shorter log,
// so an intact disk was revoked. With seed 10374 two disks were revoked and no
// leader could be elected.
var regressionSeeds = []uint64{986, 6664, 10374}

// injectFault injects one random fault or repair, and a membership change if
// changeMembers is set.
func (s *sim) injectFault(changeMembers bool) {
	h := s.hosts[s.rand.IntN(len(s.hosts))]
	switch s.rand.IntN(10) {
	case 0, 1:
		s.crash(h)
	case 2, 3, 4:
		for _, h := range s.hosts {
			if h.node == nil {
				s.boot(h)
			}
		}
	case 5:
		cut := 1 + s.rand.IntN(len(s.hosts)-1)
		s.partition(s.hosts[:cut], s.hosts[cut:])
	case 6:
		other := s.hosts[s.rand.IntN(len(s.hosts))]
		s.blocked[[2]ident.Host{h.host, other.host}] = true
	case 7:
		s.heal()
	case 8:
		h.paused = s.now.Add(time.Duration(s.rand.IntN(500)) * time.Millisecond)
	case 9:
		if l := s.leader(); l != nil {
			_ = l.node.TransferLeader(s.local(l), h.host)
		}
	}
	if changeMembers {
		s.changeMembersRandomly(h)
	}
}

// changeMembersRandomly loses a voter's disk if the group can tolerate that,
// and otherwise proposes a membership change: the removal of a voter whose disk
// was lost, if there is one, else a random change.
func (s *sim) changeMembersRandomly(h *simHost) {
	if s.canLoseDisk() {
		lost := s.host(s.members.Voters[s.rand.IntN(len(s.members.Voters))].Host)
		s.crash(lost)
		lost.wipe(DiskID(s.rand.Uint32()))
		s.boot(lost)
		s.wipes++
		return
	}
	l := s.leader()
	if l == nil {
		return
	}
	kind := ChangeKind(1 + s.rand.IntN(3))
	for _, v := range l.node.members.Voters {
		if other := s.host(v.Host); other.disk.HardState.Disk != v.Disk {
			h, kind = other, Remove
		}
	}
	_, _, _ = l.node.ProposeMembers(s.local(l), MemberChange{kind, h.host, h.disk.HardState.Disk})
}

// canLoseDisk reports whether there are three or more voters, all with the
// disks listed in the membership, every host is running and no change of voters
// is pending. One disk may then be lost.
func (s *sim) canLoseDisk() bool {
	for _, v := range s.members.Voters {
		if s.host(v.Host).disk.HardState.Disk != v.Disk {
			return false
		}
	}
	for _, h := range s.hosts {
		if h.node == nil || !slices.Equal(h.node.members.Voters, s.members.Voters) {
			return false
		}
	}
	return len(s.members.Voters) >= 3
}

// randomRun runs a group with random faults.
func randomRun(t testing.TB, seed uint64, configure func(*sim)) *sim {
	hosts, voters := 3+2*int(seed%2), 3+2*int(seed%2)
	changeMembers := seed%3 == 0
	if changeMembers {
		hosts, voters = 5, 3
	}
	s := newSim(t, seed, hosts, voters, func(s *sim) {
		s.drop, s.dup = 0.02, 0.02
		s.jitter = time.Duration(s.rand.IntN(10)) * time.Millisecond
		s.compactAt = 24
		s.opts.SnapshotChunk = 16
		s.opts.NoLeaseReads = seed%4 == 3
		if configure != nil {
			configure(s)
		}
	})
	for _, h := range s.hosts {
		h.drift = (s.rand.Float64()*2 - 1) * DefaultClockDrift
		h.syncDelay = time.Duration(s.rand.IntN(20)) * time.Millisecond
	}
	newClients(s)
	for end := s.now.Add(randomTime); s.now.Before(end) && len(s.failures) == 0; {
		s.run(time.Duration(30+s.rand.IntN(200)) * time.Millisecond)
		if s.powerLoss && s.rand.IntN(4) == 0 {
			s.losePower()
			continue
		}
		s.injectFault(changeMembers)
	}
	return s
}

// healAll ends partitions and pauses and starts every stopped host.
func (s *sim) healAll() {
	s.heal()
	for _, h := range s.hosts {
		h.paused = time.Time{}
		if h.node == nil {
			s.boot(h)
		}
	}
}

// recover removes all faults and requires a leader and a successful
// operation.
func (s *sim) recover() {
	s.t.Helper()
	s.healAll()
	s.drop, s.dup = 0, 0
	c := s.clients
	s.clients = nil
	s.awaitLeader()
	s.clients = c
	before := c.done
	// The leader may have been partitioned until now. It then steps down after
	// ElectionMax, elections follow, and clients may first have to wait for the
	// timeout of the operations sent to it.
	if !s.runUntil(3*time.Second, func() bool { return c.done > before }) {
		s.fail("liveness: no operation succeeds within 3 s after the faults end")
	}
	c.s.run(clientTimeout)
}

// Clients use a group whose hosts crash, pause, are partitioned and change
// membership. Every acknowledged write must be kept and the history of the
// registers must be linearizable. All invariants are checked after every event,
// and the history with porcupine.
func TestRandomFaults(t *testing.T) {
	runs := randomRuns
	if *longRuns > 0 {
		runs = *longRuns
	}
	if testing.Short() {
		runs = 40
	}
	seeds := slices.Clone(regressionSeeds)
	for seed := range uint64(runs) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := randomRun(t, seed, nil)
			s.recover()
			s.requireInvariants()
			if result := s.clients.linearizable(); result != porcupine.Ok {
				t.Fatalf("history of %d operations: %v", len(s.clients.history), result)
			}
		})
	}
}
