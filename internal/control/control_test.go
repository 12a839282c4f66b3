package control_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/internal/control"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/lease"
)

// Nine entries on links of 1.5 ms one-way delay follow a hundred changes. When a
// change is reported in force, every entry must already serve with it. The p99 of
// the virtual time until then must stay under a second.
func TestChangesAreInForceAtNineEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 9)
		defer d.close()
		var times []time.Duration
		for i := range 100 {
			start := time.Now()
			revision := d.mustApply(0, fmt.Sprint("r", i), config.Revision(i), document(10, i))
			times = append(times, time.Since(start))
			for j, entry := range d.entries {
				if entry.Snapshot().Revision() != revision || !entry.Serving() {
					t.Fatalf("entry %d: revision %d, serving %v, while %d is in force", j, entry.Snapshot().Revision(), entry.Serving(), revision)
				}
			}
		}
		slices.Sort(times)
		t.Logf("apply until in force at 9 entries: p50 %s, p99 %s", times[49], times[98])
		if times[98] > time.Second {
			t.Errorf("p99 is %s", times[98])
		}
	})
}

// An operator applies a change while an entry is isolated from the control
// hosts. The apply must wait until the entry's lease has ended, and the entry must
// have stopped serving by then. After the partition it must receive the change
// and serve again.
func TestIsolatedEntryStopsBeforeChangeIsInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 3)
		defer d.close()
		d.mustApply(0, "r1", 0, document(2, 0))
		isolatedEntry := d.entries[2]
		d.network.setIsolated(entryName(2), true)
		start := time.Now()
		d.mustApply(0, "r2", 1, document(2, 1))
		if waited := time.Since(start); waited > lease.GranterTerm(lease.DefaultTerm) {
			t.Errorf("waited %s, longer than a lease", waited)
		}
		if isolatedEntry.Serving() {
			t.Error("the isolated entry still serves with revision 1")
		}
		d.network.setIsolated(entryName(2), false)
		d.awaitLeases()
		if !isolatedEntry.Serving() || isolatedEntry.Snapshot().Revision() != 2 {
			t.Errorf("after the partition: serving %v with revision %d", isolatedEntry.Serving(), isolatedEntry.Snapshot().Revision())
		}
	})
}

// A change is committed, its answer is lost, and the leader is replaced. A resend
// of the request to the new leader must get the first answer and create no second
// revision. The same ID with other content must be refused.
func TestLostAnswerAndResendToAnotherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 2)
		defer d.close()
		d.group.mu.Lock()
		d.group.loseAnswers = 1
		d.group.mu.Unlock()
		if _, err := d.apply(0, "r1", 0, document(2, 0)); !errors.Is(err, port.ErrUncertain) {
			t.Fatalf("error is %v, want ErrUncertain", err)
		}
		d.group.elect(1)
		d.awaitLeases()
		answer, err := d.apply(1, "r1", 0, document(2, 0))
		if err != nil {
			t.Fatal(err)
		}
		if !answer.Result.Repeated || answer.Result.Revision != 1 || !answer.InForce {
			t.Errorf("resend gives %+v", answer)
		}
		answer, err = d.apply(1, "r1", 0, document(2, 9))
		if err != nil || answer.Result.Verdict != config.VerdictReused {
			t.Errorf("other content under the same id gives %+v, %v", answer, err)
		}
	})
}

// The leader is isolated and still considers itself the leader. It must neither
// commit nor renew leases nor report a revision in force. The other hosts elect a
// new leader. The entries must find it within a few seconds, and a change applied
// there must come into force after the old leader's leases have ended.
func TestPartitionedLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 3)
		defer d.close()
		d.mustApply(0, "r1", 0, document(2, 0))
		d.network.setIsolated(hostNames[0], true)
		d.group.setIsolated(0, true)
		d.group.elect(1)
		if answer, err := d.apply(0, "r2", 1, document(2, 1)); err == nil {
			t.Errorf("the isolated leader answered %+v", answer)
		}
		d.mustApply(1, "r3", 1, document(2, 2))
		d.awaitLeases()
		for i, entry := range d.entries {
			if !entry.Serving() || entry.Snapshot().Revision() != 2 {
				t.Errorf("entry %d: serving %v with revision %d", i, entry.Serving(), entry.Snapshot().Revision())
			}
		}
	})
}

// Ten operators concurrently apply changes based on the same revision. Exactly
// one must succeed; the others must get a conflict that names the winner.
func TestConcurrentAppliesOnOneRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 1)
		defer d.close()
		d.mustApply(0, "first", 0, document(1, 0))
		answers := make([]control.ApplyAnswer, 10)
		var wg sync.WaitGroup
		for i := range answers {
			wg.Go(func() {
				var err error
				if answers[i], err = d.apply(0, fmt.Sprint("r", i), 1, document(1, i+1)); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		winner := ""
		for i, answer := range answers {
			if answer.Result.Verdict == config.VerdictApplied {
				if winner != "" {
					t.Errorf("both %s and r%d won", winner, i)
				}
				winner = fmt.Sprint("r", i)
			}
		}
		for i, answer := range answers {
			conflict := answer.Result.Verdict == config.VerdictConflict
			if fmt.Sprint("r", i) != winner && (!conflict || answer.Result.Winner.RequestID != winner) {
				t.Errorf("r%d got %+v, winner is %s", i, answer.Result, winner)
			}
		}
	})
}

// An entry releases its lease and then becomes unreachable. The next apply must
// not wait for that lease to end, because the entry stopped serving before the
// release.
func TestReleasedEntryDelaysNoApply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 2)
		defer d.close()
		d.mustApply(0, "r1", 0, document(1, 0))
		if err := d.entries[1].Release(d.ctx); err != nil {
			t.Fatal(err)
		}
		d.network.setIsolated(entryName(1), true)
		start := time.Now()
		d.mustApply(0, "r2", 1, document(1, 1))
		if waited := time.Since(start); waited > 100*time.Millisecond {
			t.Errorf("waited %s for an entry that had released its lease", waited)
		}
		if d.entries[1].Serving() {
			t.Error("the entry still serves after the release")
		}
	})
}

// A configuration larger than one message must reach a new entry in parts.
func TestLargeConfigurationArrivesInParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const teams = 20_000
		d := deploy(t, 1)
		defer d.close()
		d.mustApply(0, "r1", 0, document(teams, 0))
		_, bytes := d.network.traffic()
		t.Logf("%d teams: %d bytes to one entry", teams, bytes)
		if got := d.entries[0].Snapshot().Items(); got != teams+2 {
			t.Errorf("entry holds %d items, want %d", got, teams+2)
		}
	})
}

// A state restored from a snapshot must encode to the same bytes, so that nothing
// is lost. A truncated snapshot must be refused instead of being restored in
// part.
func TestSnapshotRestoresEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 0)
		defer d.close()
		for i := range 5 {
			d.mustApply(0, fmt.Sprint("r", i), config.Revision(i), document(3, i))
		}
		data, err := d.group.hosts[0].machine.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		restored := control.NewMachine()
		if err := restored.Restore(data); err != nil {
			t.Fatal(err)
		}
		reencoded, err := restored.Snapshot()
		if err != nil || string(reencoded) != string(data) {
			t.Errorf("snapshot of the restored state differs: %v", err)
		}
		if err := restored.Restore(data[:len(data)-1]); err == nil {
			t.Error("a truncated snapshot was restored")
		}
	})
}

// An operator sends an apply to a control host that does not lead. It must be
// refused with the leader's name, and no revision may be reported in force, since
// a follower doesn't know which leases are still valid.
func TestFollowerRefusesApplyWithLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 0)
		defer d.close()
		var notLeader *port.NotLeaderError
		if _, err := d.apply(1, "r1", 0, document(1, 0)); !errors.As(err, &notLeader) || notLeader.Leader != hostNames[0] {
			t.Errorf("error is %v, want a NotLeaderError with the leader", err)
		}
		ctx, cancel := context.WithTimeout(d.ctx, time.Second)
		defer cancel()
		if err := d.servers[1].AwaitInForce(ctx, 0); err == nil {
			t.Error("a host that does not lead reported a revision in force")
		}
	})
}

// The leader becomes unreachable and a new one is elected 650 ms later, the
// longest time without a leader at default settings. Every entry must find the
// new leader and renew before its lease ends, so that serving is not interrupted.
func TestLeaderChangeKeepsEntriesServing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 9)
		defer d.close()
		d.mustApply(0, "r1", 0, document(2, 0))
		for round := range 6 {
			old, next := round%3, (round+1)%3
			d.network.setIsolated(hostNames[old], true)
			d.group.setIsolated(old, true)
			isolatedAt := time.Now()
			elected := false
			for time.Since(isolatedAt) < 8*time.Second {
				if !elected && time.Since(isolatedAt) >= 650*time.Millisecond {
					elected = true
					d.group.elect(next)
				}
				for i, entry := range d.entries {
					if !entry.Serving() {
						t.Fatalf("round %d: entry %d stopped serving %s after the leader became unreachable", round, i, time.Since(isolatedAt))
					}
				}
				time.Sleep(10 * time.Millisecond)
			}
			d.network.setIsolated(hostNames[old], false)
			d.group.setIsolated(old, false)
		}
	})
}
