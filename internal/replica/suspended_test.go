package replica

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// suspendableClock is a host's clock. While the machine is suspended it stands still
// for the process; on waking it shows the time that went by if it counts it.
type suspendableClock struct {
	counts bool

	mu sync.Mutex
	// since is when the machine was suspended, zero while it runs, and missed the
	// time of earlier suspensions that is not counted.
	since  time.Time
	missed time.Duration
}

func (c *suspendableClock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.since.IsZero() {
		return c.since.Add(-c.missed)
	}
	return time.Now().Add(-c.missed)
}

func (c *suspendableClock) suspend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since = time.Now()
}

func (c *suspendableClock) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.counts {
		c.missed += time.Since(c.since)
	}
	c.since = time.Time{}
}

// Guards against a leader whose machine was suspended within its lease and that answers a
// read after it woke by the rest of that lease, though others have elected a leader and
// committed more meanwhile. The clock that doesn't count the suspension shows that the
// stage brings this about.
func TestReadAfterASuspensionWithinTheLease(t *testing.T) {
	for _, counts := range []bool{true, false} {
		t.Run(map[bool]string{true: "counted", false: "not counted"}[counts], func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clocks := make(map[ident.Host]*suspendableClock)
				c := newCluster(t, 3, 1, func(o *Options) {
					clock := &suspendableClock{counts: counts}
					clocks[o.Self] = clock
					o.Clock = clock.now
				})
				old := c.leader()
				propose(t, old, "one")
				time.Sleep(200 * time.Millisecond)
				if end := old.replicas[0].Status().LeaseEnd; !clocks[old.name].now().Before(end) {
					t.Fatalf("no lease to be suspended in: it ends %v", end)
				}
				clocks[old.name].suspend()
				c.setSide(1, old)
				propose(t, c.leader(old), "two")
				// Nothing has reached the host yet when it is asked.
				clocks[old.name].wake()
				err := old.replicas[0].ReadBarrier(limit(100 * time.Millisecond))
				held := len(commands(old.replicas[0]))
				if stale := err == nil && held < 2; stale == counts {
					t.Errorf("asked after it woke: answered with %d of 2 commands, %v", held, err)
				}
			})
		})
	}
}
