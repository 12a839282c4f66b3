package replica

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/quorum"
)

func TestCommandsReachAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, nil)
		leader := c.leader()
		var group sync.WaitGroup
		for i := range 64 {
			group.Go(func() {
				command := fmt.Sprint("c", i)
				place, err := leader.replicas[0].Propose(limit(time.Second), []byte(command))
				if err != nil {
					t.Error(err)
					return
				}
				var at int
				_, _ = fmt.Sscan(string(place), &at)
				if list := commands(leader.replicas[0]); list[at-1] != command {
					t.Errorf("%s got the result of %s", command, list[at-1])
				}
			})
		}
		group.Wait()
		if list := c.settle(); len(list) != 65 {
			t.Fatalf("%d commands applied", len(list))
		}
		for _, host := range c.hosts {
			if host == leader {
				continue
			}
			_, err := host.replicas[0].Propose(limit(time.Second), []byte("x"))
			var notLeader *port.NotLeaderError
			if !errors.As(err, &notLeader) || notLeader.Leader != leader.name {
				t.Fatalf("a follower answers %v", err)
			}
			if err := host.replicas[0].ReadBarrier(limit(time.Second)); err != nil {
				t.Fatalf("a follower's barrier: %v", err)
			}
		}
	})
}

// 64 callers propose at once. Their commands must share appends and syncs, or
// the disk would bound them to the rate of one caller; the bounds are counts in
// virtual time.
func TestProposalsShareSyncs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, nil)
		leader := c.leader()
		commits := func(writers int) (count, syncs int) {
			before, until := leader.fs.Syncs(), time.Now().Add(2*time.Second)
			var counted atomic.Int64
			var group sync.WaitGroup
			for range writers {
				group.Go(func() {
					for time.Now().Before(until) {
						propose(t, leader, "c")
						counted.Add(1)
					}
				})
			}
			group.Wait()
			return int(counted.Load()), leader.fs.Syncs() - before
		}
		alone, _ := commits(1)
		together, syncs := commits(64)
		if together < 5*alone || syncs*5 > together {
			t.Fatalf("one writer %d commits, 64 writers %d with %d syncs", alone, together, syncs)
		}
		t.Logf("one writer %d commits in 2 s, 64 writers %d with %d syncs", alone, together, syncs)
	})
}

// The process that leads is killed while it has proposals under way. Callers
// see an uncertain outcome, another host leads within a second, and what was
// acknowledged is there on all hosts, also after the dead one is back.
func TestLeaderIsKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, nil)
		leader := c.leader()
		propose(t, leader, "kept")
		pending := make(chan error, 1)
		replica := leader.replicas[0]
		go func() {
			_, err := replica.Propose(limit(time.Second), []byte("open"))
			pending <- err
		}()
		time.Sleep(time.Millisecond)
		killed := time.Now()
		leader.crash(10)
		if err := <-pending; !errors.Is(err, port.ErrUncertain) {
			t.Fatalf("the open proposal got %v", err)
		}
		next := c.leader()
		if gap := time.Since(killed); gap > time.Second {
			t.Fatalf("%v without a leader", gap)
		}
		propose(t, next, "after")
		leader.start()
		list := c.settle()
		if !slices.Contains(list, "kept") || !slices.Contains(list, "after") {
			t.Fatalf("applied %v", list)
		}
	})
}

// The leader's disk fails. It must not answer or vote again, even though its
// network is fine; the others go on without it.
func TestFailedDiskSuspends(t *testing.T) {
	for name, inject := range map[string]func(h *testHost){
		"sync fails": func(h *testHost) { h.fs.FailSync(0) },
		"disk full":  func(h *testHost) { h.fs.LimitRoom(10) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3, 1, nil)
				leader := c.leader()
				propose(t, leader, "kept")
				inject(leader)
				// The others may commit it without the leader's disk, so the
				// answer is either; the host is out afterwards.
				_, _ = leader.replicas[0].Propose(limit(time.Second), []byte("open"))
				time.Sleep(time.Second)
				status := leader.replicas[0].Status()
				if status.Suspended == "" || status.IsLeader {
					t.Fatalf("status %+v", status)
				}
				var notLeader *port.NotLeaderError
				if _, err := leader.replicas[0].Propose(limit(time.Second), []byte("x")); !errors.As(err, &notLeader) {
					t.Fatalf("a suspended group answers %v", err)
				}
				if err := leader.replicas[0].ReadBarrier(limit(time.Second)); err == nil {
					t.Fatal("a suspended group gives a barrier")
				}
				propose(t, c.leader(leader), "after")
				if list := c.settle(); !slices.Contains(list, "kept") || slices.Contains(list, "x") {
					t.Fatalf("applied %v", list)
				}
			})
		})
	}
}

// A host loses its disk and comes back empty. It takes no part until it is
// joined again, as a learner first. Right after that repair a second host is
// lost for good; nothing that was acknowledged may be lost with it.
func TestSecondLossAfterRepair(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, nil)
		leader := c.leader()
		for i := range 50 {
			propose(t, leader, fmt.Sprint("c", i))
		}
		wiped := c.hosts[(slices.Index(c.hosts, leader)+1)%3]
		wiped.crash(0)
		wiped.wipe()
		wiped.start()
		time.Sleep(time.Second)
		if status := wiped.replicas[0].Status(); status.IsLeader || status.Applied != 0 {
			t.Fatalf("an empty host takes part: %+v", status)
		}
		c.join(leader, 0)
		leader.crash(0)
		leader.wipe()
		propose(t, c.leader(), "after")
		list := c.settle()
		for i := range 50 {
			if !slices.Contains(list, fmt.Sprint("c", i)) {
				t.Fatalf("c%d is lost", i)
			}
		}
	})
}

// A wiped host must not form the group a second time, and only one host may
// form it at all.
func TestGroupIsFormedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, nil)
		first := c.hosts[0]
		first.crash(0)
		first.wipe()
		first.prepare()
		if _, err := first.manager.Bootstrap(limit(time.Second), 0, &listMachine{}, c.names()); !errors.Is(err, ErrGroupExists) {
			t.Errorf("a wiped host forms the group again: %v", err)
		}
		first.run()
		if _, err := c.hosts[1].manager.Bootstrap(limit(time.Second), 7, &listMachine{}, c.names()); err == nil {
			t.Error("the second host forms a group as well")
		}
	})
}

// A follower is away while the others commit more than their logs keep. It
// comes back by a snapshot, and a restart begins at the snapshot too.
func TestSnapshots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, func(o *Options) { o.SnapshotEntries = 20 })
		leader := c.leader()
		away := c.hosts[(slices.Index(c.hosts, leader)+1)%3]
		away.crash(0)
		for i := range 200 {
			propose(t, leader, fmt.Sprint("c", i))
		}
		away.start()
		if list := c.settle(); len(list) != 201 {
			t.Fatalf("%d commands applied", len(list))
		}
		if away.manager.stats.installs.Get() == 0 {
			t.Fatal("the follower took no snapshot")
		}
		for _, host := range c.hosts {
			host.crash(0)
			host.start()
			stored, _, _, err := host.folder.Load(0)
			if err != nil || stored.Snapshot.Index < 150 || len(stored.Entries) > 60 {
				t.Fatalf("host %s: snapshot %d, %d entries, %v", host.name, stored.Snapshot.Index, len(stored.Entries), err)
			}
		}
		if list := c.settle(); len(list) != 202 {
			t.Fatalf("%d commands applied after the restart", len(list))
		}
	})
}

// A sync of the leader's log takes long, so that commands are committed and
// captured in snapshots before its own disk holds them. A snapshot stored before
// its entries would leave a conflict behind it and suspend the group.
func TestSnapshotsWaitForASlowDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, func(o *Options) { o.SnapshotEntries = 3 })
		leader := c.leader()
		for i := range 40 {
			if i%10 == 0 {
				leader.fs.SlowSync(100 * time.Millisecond)
			}
			propose(t, leader, fmt.Sprint("c", i))
			leader.fs.SlowSync(0) // the long sync is under way
		}
		if list := c.settle(); len(list) != 41 {
			t.Fatalf("%d commands applied", len(list))
		}
		if reason := leader.replicas[0].Status().Suspended; reason != "" {
			t.Fatal(reason)
		}
		if leader.manager.stats.snapshots.Get() == 0 {
			t.Fatal("the leader stored no snapshot")
		}
	})
}

// The leader sits alone on the far side of a partition and does not know. It
// must not confirm reads once another leader may exist. Its proposals are
// replaced by the new leader's: a caller that gave up knows nothing, one that
// still waits learns that its command was not appended, and neither ever gets
// the result of the command that took the place.
func TestLeaderBehindAPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, nil)
		old := c.leader()
		c.setSide(1, old)
		patient := make(chan error, 1)
		replica := old.replicas[0]
		go func() {
			_, err := replica.Propose(limit(time.Minute), []byte("lost"))
			patient <- err
		}()
		if _, err := old.replicas[0].Propose(limit(2*time.Second), []byte("lost")); !errors.Is(err, port.ErrUncertain) {
			t.Fatalf("a proposal behind the partition got %v", err)
		}
		next := c.leader(old)
		propose(t, next, "new")
		if err := old.replicas[0].ReadBarrier(limit(time.Second)); err == nil {
			t.Fatal("a read behind the partition was confirmed")
		}
		c.setSide(0, old)
		list := c.settle()
		var notLeader *port.NotLeaderError
		if err := <-patient; !errors.As(err, &notLeader) {
			t.Fatalf("the replaced proposal got %v", err)
		}
		if slices.Contains(list, "lost") || !slices.Contains(list, "new") {
			t.Fatalf("applied %v", list)
		}
	})
}

// A graceful stop hands the leadership over, so that callers wait for a round
// trip and not for an election. A proposal under way, which three slow disks of
// five keep from its quorum until after the hand-over, still gets its answer.
func TestStopHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5, 1, nil)
		leader := c.leader()
		for _, slow := range c.hosts[2:] {
			slow.fs.SlowSync(30 * time.Millisecond)
		}
		answer := make(chan error, 1)
		go func() {
			_, err := leader.replicas[0].Propose(limit(time.Second), []byte("open"))
			answer <- err
		}()
		time.Sleep(time.Microsecond)
		began := time.Now()
		leader.manager.Stop(limit(time.Second))
		if err := <-answer; err != nil {
			t.Fatalf("the proposal under way got %v", err)
		}
		next := c.leader(leader)
		if gap := time.Since(began); gap >= quorum.DefaultElectionMin {
			t.Fatalf("%v until %s led", gap, next.name)
		}
	})
}

// Idle groups exchange heartbeats. Those of all groups must share messages, or
// their number would bound how many groups a process can hold.
func TestHeartbeatsOfGroupsShareMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const groups = 32
		sent := func(groups int) int {
			c := newCluster(t, 3, groups, nil)
			time.Sleep(time.Second)
			c.net.mu.Lock()
			before := c.net.sent
			c.net.mu.Unlock()
			time.Sleep(10 * time.Second)
			c.net.mu.Lock()
			defer c.net.mu.Unlock()
			return c.net.sent - before
		}
		one, many := sent(1), sent(groups)
		if many > 12*one {
			t.Fatalf("%d messages in 10 s for one group, %d for %d groups", one, many, groups)
		}
		t.Logf("messages in 10 s: %d for one group, %d for %d", one, many, groups)
	})
}

// A host sends messages in another's name, for example to vote twice. They are
// dropped: the sender must be the authenticated peer.
func TestForgedSenderIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, nil)
		out := outbox{manager: c.hosts[1].manager, peers: make(map[ident.Host][]envelope)}
		out.add(0, []quorum.Message{{Type: quorum.MsgVote, From: "h2", To: "h0", Term: 99}})
		out.flush()
		time.Sleep(time.Second)
		if got := c.hosts[0].manager.stats.forged.Get(); got != 1 {
			t.Fatalf("%d forged messages counted", got)
		}
		if term := c.hosts[0].replicas[0].Status().Term; term >= 99 {
			t.Fatalf("term %d", term)
		}
	})
}
