package replica

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// suspendableClock is a host's clock. It stops while the machine is suspended. After
// the machine wakes up, it includes the time of the suspension if countsSuspension
// is set.
type suspendableClock struct {
	countsSuspension bool

	mu sync.Mutex
	// suspendedAt is the time at which the machine was suspended, zero while it runs.
	// uncounted is the total time of previous suspensions that the clock excludes.
	suspendedAt time.Time
	uncounted   time.Duration
}

func (c *suspendableClock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.suspendedAt.IsZero() {
		return c.suspendedAt.Add(-c.uncounted)
	}
	return time.Now().Add(-c.uncounted)
}

func (c *suspendableClock) suspend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspendedAt = time.Now()
}

func (c *suspendableClock) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.countsSuspension {
		c.uncounted += time.Since(c.suspendedAt)
	}
	c.suspendedAt = time.Time{}
}

// A leader's machine is suspended during its lease while the other hosts elect a leader
// and commit more. Guards against a stale read that the old leader serves under the rest
// of its lease after it wakes up. The case "not counted" uses a clock that excludes the
// suspension and has to show the stale read, which proves that the scenario produces it.
func TestReadAfterASuspensionWithinTheLease(t *testing.T) {
	for _, countsSuspension := range []bool{true, false} {
		t.Run(map[bool]string{true: "counted", false: "not counted"}[countsSuspension], func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clocks := make(map[ident.Host]*suspendableClock)
				c := newCluster(t, 3, 1, func(o *Options) {
					clock := &suspendableClock{countsSuspension: countsSuspension}
					clocks[o.Self] = clock
					o.Clock = clock.now
				})
				old := c.leader()
				propose(t, old, "one")
				time.Sleep(200 * time.Millisecond)
				if end := old.replicas[0].Status().LeaseEnd; !clocks[old.name].now().Before(end) {
					t.Fatalf("the lease has expired before the suspension: it ends at %v", end)
				}
				clocks[old.name].suspend()
				c.setPartition(1, old)
				propose(t, c.leader(old), "two")
				// No message has reached the host yet when it receives the read.
				clocks[old.name].wake()
				err := old.replicas[0].ReadBarrier(timeoutContext(100 * time.Millisecond))
				applied := len(commands(old.replicas[0]))
				if stale := err == nil && applied < 2; stale == countsSuspension {
					t.Errorf("read after waking up: %d of 2 commands applied, error %v", applied, err)
				}
			})
		})
	}
}

// Guards against workers that don't defer their nodes' timeouts after a stall: if all hosts stall
// together for longer than an election timeout, the term ends though no host was lost.
func TestStallOfAllHostsEndsNoTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var stalled atomic.Int64
		c := newCluster(t, 3, 1, func(o *Options) {
			o.Clock = func() time.Time { return time.Now().Add(time.Duration(stalled.Load())) }
		})
		l := c.leader()
		propose(t, l, "one")
		term := l.replicas[0].Status().Term
		for range 10 {
			time.Sleep(137 * time.Millisecond)
			stalled.Add(int64(2 * time.Second))
			time.Sleep(250 * time.Millisecond)
			if status := l.replicas[0].Status(); !status.IsLeader || status.Term != term {
				t.Fatalf("leads %v in term %d, want term %d", status.IsLeader, status.Term, term)
			}
		}
		propose(t, l, "two")
		if l.manager.stats.stalls.Get() < 10 || l.manager.stats.stalled.Get() < 15 {
			t.Errorf("measured %d stalls of %v s, want 10 of about 20 s", l.manager.stats.stalls.Get(), l.manager.stats.stalled.Get())
		}
	})
}
