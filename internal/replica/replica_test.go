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

// Each of 64 concurrent commands returns its own result and is applied on all hosts.
// Followers name the leader to proposers and confirm reads.
func TestCommandsAreAppliedOnAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, nil)
		leader := c.leader()
		var group sync.WaitGroup
		for i := range 64 {
			group.Go(func() {
				command := fmt.Sprint("c", i)
				position, err := leader.replicas[0].Propose(timeoutContext(time.Second), []byte(command))
				if err != nil {
					t.Error(err)
					return
				}
				var at int
				_, _ = fmt.Sscan(string(position), &at)
				if list := commands(leader.replicas[0]); list[at-1] != command {
					t.Errorf("%s received the result of %s", command, list[at-1])
				}
			})
		}
		group.Wait()
		if list := c.checkEqualState(); len(list) != 65 {
			t.Fatalf("%d commands applied", len(list))
		}
		for _, host := range c.hosts {
			if host == leader {
				continue
			}
			_, err := host.replicas[0].Propose(timeoutContext(time.Second), []byte("x"))
			var notLeader *port.NotLeaderError
			if !errors.As(err, &notLeader) || notLeader.Leader != leader.name {
				t.Fatalf("a proposal to a follower returned %v", err)
			}
			if err := host.replicas[0].ReadBarrier(timeoutContext(time.Second)); err != nil {
				t.Fatalf("a read barrier on a follower returned %v", err)
			}
		}
	})
}

// 64 callers propose concurrently. Their commands must share appends and syncs,
// otherwise the disk would limit them to the rate of one caller. The bounds are
// counts in virtual time.
func TestProposalsShareSyncs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, nil)
		leader := c.leader()
		commits := func(writers int) (count, syncs int) {
			before, deadline := leader.fs.Syncs(), time.Now().Add(2*time.Second)
			var counted atomic.Int64
			var group sync.WaitGroup
			for range writers {
				group.Go(func() {
					for time.Now().Before(deadline) {
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

// The leader's process is killed while it has pending proposals. Their outcome is
// reported as uncertain, another host leads within a second, and all acknowledged
// commands are on all hosts, also after the killed host has restarted.
func TestLeaderCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, nil)
		leader := c.leader()
		propose(t, leader, "kept")
		pending := make(chan error, 1)
		replica := leader.replicas[0]
		go func() {
			_, err := replica.Propose(timeoutContext(time.Second), []byte("open"))
			pending <- err
		}()
		time.Sleep(time.Millisecond)
		killed := time.Now()
		leader.crash(10)
		if err := <-pending; !errors.Is(err, port.ErrUncertain) {
			t.Fatalf("the pending proposal returned %v", err)
		}
		next := c.leader()
		if gap := time.Since(killed); gap > time.Second {
			t.Fatalf("%v without a leader", gap)
		}
		propose(t, next, "after")
		leader.start()
		list := c.checkEqualState()
		if !slices.Contains(list, "kept") || !slices.Contains(list, "after") {
			t.Fatalf("applied %v", list)
		}
	})
}

// The leader's disk fails while its network works. It must neither serve requests nor
// vote again, and the other hosts must continue without it.
func TestFailedDiskSuspends(t *testing.T) {
	for name, inject := range map[string]func(h *testHost){
		"sync fails": func(h *testHost) { h.fs.FailSync(0) },
		"disk full":  func(h *testHost) { h.fs.LimitFreeBytes(10) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3, 1, nil)
				leader := c.leader()
				propose(t, leader, "kept")
				inject(leader)
				// The other hosts may commit it without the leader's disk, so it may
				// succeed or fail; the host is suspended afterwards.
				_, _ = leader.replicas[0].Propose(timeoutContext(time.Second), []byte("open"))
				time.Sleep(time.Second)
				status := leader.replicas[0].Status()
				if status.Suspended == "" || status.IsLeader {
					t.Fatalf("status %+v", status)
				}
				var notLeader *port.NotLeaderError
				if _, err := leader.replicas[0].Propose(timeoutContext(time.Second), []byte("x")); !errors.As(err, &notLeader) {
					t.Fatalf("a proposal to a suspended group returned %v", err)
				}
				if err := leader.replicas[0].ReadBarrier(timeoutContext(time.Second)); err == nil {
					t.Fatal("a read barrier on a suspended group succeeded")
				}
				propose(t, c.leader(leader), "after")
				if list := c.checkEqualState(); !slices.Contains(list, "kept") || slices.Contains(list, "x") {
					t.Fatalf("applied %v", list)
				}
			})
		})
	}
}

// A host restarts with an empty disk and must not take part until it is joined
// again, as a learner first. Right after that repair a second host is lost
// permanently. No acknowledged command may be lost with it.
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
			t.Fatalf("a host with an empty disk takes part: %+v", status)
		}
		c.join(leader, 0)
		leader.crash(0)
		leader.wipe()
		propose(t, c.leader(), "after")
		list := c.checkEqualState()
		for i := range 50 {
			if !slices.Contains(list, fmt.Sprint("c", i)) {
				t.Fatalf("c%d is lost", i)
			}
		}
	})
}

// A wiped host must not bootstrap the group a second time, and only the first host
// by name may bootstrap it at all.
func TestGroupIsBootstrappedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, nil)
		first := c.hosts[0]
		first.crash(0)
		first.wipe()
		first.prepare()
		if _, err := first.manager.Bootstrap(timeoutContext(time.Second), 0, &listMachine{}, c.names()); !errors.Is(err, ErrGroupExists) {
			t.Errorf("bootstrap on a wiped host returned %v", err)
		}
		first.run()
		if _, err := c.hosts[1].manager.Bootstrap(timeoutContext(time.Second), 7, &listMachine{}, c.names()); err == nil {
			t.Error("bootstrap on the second host succeeded")
		}
	})
}

// A follower is stopped while the others commit more entries than their logs retain.
// It catches up by a snapshot, and a restart of any host begins at its snapshot.
func TestSnapshots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, func(o *Options) { o.SnapshotEntries = 20 })
		leader := c.leader()
		stopped := c.hosts[(slices.Index(c.hosts, leader)+1)%3]
		stopped.crash(0)
		for i := range 200 {
			propose(t, leader, fmt.Sprint("c", i))
		}
		stopped.start()
		if list := c.checkEqualState(); len(list) != 201 {
			t.Fatalf("%d commands applied", len(list))
		}
		if stopped.manager.stats.installs.Get() == 0 {
			t.Fatal("the follower installed no snapshot")
		}
		for _, host := range c.hosts {
			host.crash(0)
			host.start()
			stored, _, _, err := host.folder.Load(0)
			if err != nil || stored.Snapshot.Index < 150 || len(stored.Entries) > 60 {
				t.Fatalf("host %s: snapshot %d, %d entries, %v", host.name, stored.Snapshot.Index, len(stored.Entries), err)
			}
		}
		if list := c.checkEqualState(); len(list) != 202 {
			t.Fatalf("%d commands applied after the restart", len(list))
		}
	})
}

// Syncs of the leader's log are slow, so that commands are committed and captured in
// snapshots before its own disk holds them. A snapshot stored before its entries would
// leave conflicting entries beyond its index and suspend the group.
func TestSnapshotsWaitForASlowDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, func(o *Options) { o.SnapshotEntries = 3 })
		leader := c.leader()
		for i := range 40 {
			if i%10 == 0 {
				leader.fs.SlowSync(100 * time.Millisecond)
			}
			propose(t, leader, fmt.Sprint("c", i))
			leader.fs.SlowSync(0) // the slow sync has started
		}
		if list := c.checkEqualState(); len(list) != 41 {
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

// The leader is cut off by a partition. It must not confirm reads once another leader
// may exist. Its proposals are replaced by the new leader's: a caller that timed out
// gets an uncertain outcome, one that still waits gets NotLeaderError, and neither may
// get the result of the command that replaced its own.
func TestLeaderBehindAPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, nil)
		old := c.leader()
		c.setPartition(1, old)
		waiting := make(chan error, 1)
		replica := old.replicas[0]
		go func() {
			_, err := replica.Propose(timeoutContext(time.Minute), []byte("lost"))
			waiting <- err
		}()
		if _, err := old.replicas[0].Propose(timeoutContext(2*time.Second), []byte("lost")); !errors.Is(err, port.ErrUncertain) {
			t.Fatalf("a proposal to the partitioned leader returned %v", err)
		}
		next := c.leader(old)
		propose(t, next, "new")
		if err := old.replicas[0].ReadBarrier(timeoutContext(time.Second)); err == nil {
			t.Fatal("a read on the partitioned leader was confirmed")
		}
		c.setPartition(0, old)
		list := c.checkEqualState()
		var notLeader *port.NotLeaderError
		if err := <-waiting; !errors.As(err, &notLeader) {
			t.Fatalf("the replaced proposal returned %v", err)
		}
		if slices.Contains(list, "lost") || !slices.Contains(list, "new") {
			t.Fatalf("applied %v", list)
		}
	})
}

// A graceful stop transfers the leadership, so that callers wait for a round trip and
// not for an election. A pending proposal, which three slow disks of five keep from its
// quorum until after the transfer, still gets its result.
func TestStopTransfersLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5, 1, nil)
		leader := c.leader()
		for _, slow := range c.hosts[2:] {
			slow.fs.SlowSync(30 * time.Millisecond)
		}
		result := make(chan error, 1)
		go func() {
			_, err := leader.replicas[0].Propose(timeoutContext(time.Second), []byte("open"))
			result <- err
		}()
		time.Sleep(time.Microsecond)
		start := time.Now()
		leader.manager.Stop(timeoutContext(time.Second))
		if err := <-result; err != nil {
			t.Fatalf("the pending proposal returned %v", err)
		}
		next := c.leader(leader)
		if gap := time.Since(start); gap >= quorum.DefaultElectionMin {
			t.Fatalf("%v until %s was the leader", gap, next.name)
		}
	})
}

// The heartbeats of all idle groups must share bodies, otherwise their number would
// limit how many groups a process can run.
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

// A host sends messages with another host's name as sender, for example to vote twice.
// They must be dropped, because the sender is not the authenticated peer.
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
