package replica

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/internal/adapter/disk"
	"github.com/lovagereach/lovagereach/internal/port"
)

var seedCount = flag.Int("replica.seeds", 4, "number of random fault schedules")

// Hosts crash, lose power together, are partitioned and restart at random while
// commands are proposed. All hosts must apply each acknowledged command exactly once,
// in the order of the acknowledgements.
func TestRandomFaults(t *testing.T) {
	for seed := range *seedCount {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if lost := runSchedule(t, uint64(seed), nil, readConfirmed); lost != "" {
					t.Fatal(lost)
				}
			})
		})
	}
}

// earlyAckStorage reports writes as synced before they are. It is the seeded bug that
// TestRandomFaultsFindAnAnswerBeforeSync must detect.
type earlyAckStorage struct{ Storage }

func (s earlyAckStorage) Start(update disk.Update, done func(error)) {
	done(nil)
	s.Storage.Start(update, func(error) {})
}

// With storage that acknowledges before the sync, a power loss destroys commands that
// were acknowledged as committed. The schedules of TestRandomFaults must detect it.
func TestRandomFaultsFindAnAnswerBeforeSync(t *testing.T) {
	found := 0
	for seed := range 6 {
		synctest.Test(t, func(t *testing.T) {
			acknowledgeEarly := func(o *Options) { o.Storage = earlyAckStorage{o.Storage} }
			if runSchedule(t, uint64(seed), acknowledgeEarly, nil) != "" {
				found++
			}
		})
	}
	if found == 0 {
		t.Fatal("no schedule detected the seeded bug")
	}
	t.Logf("%d of 6 schedules detected the seeded bug", found)
}

// readConfirmed returns the commands a host has applied after a read barrier, and
// false if the barrier failed.
func readConfirmed(replica port.Replica) ([]string, bool) {
	if err := replica.ReadBarrier(timeoutContext(200 * time.Millisecond)); err != nil {
		return nil, false
	}
	return commands(replica), true
}

// readStale returns the commands a host has applied, without a read barrier. It is
// the seeded bug that TestRandomFaultsFindAStaleRead must detect.
func readStale(replica port.Replica) ([]string, bool) { return commands(replica), true }

// The read check of the schedules must detect reads without a barrier.
func TestRandomFaultsFindAStaleRead(t *testing.T) {
	found := 0
	for seed := range 3 {
		synctest.Test(t, func(t *testing.T) {
			if runSchedule(t, uint64(seed), nil, readStale) != "" {
				found++
			}
		})
	}
	if found != 3 {
		t.Fatalf("only %d of 3 schedules detected the seeded bug", found)
	}
}

// staleRead reads from all running hosts, including partitioned ones, and describes
// the first that lacks an acknowledged command. It returns an empty string if none does.
func (c *testCluster) staleRead(acked []string, read func(port.Replica) ([]string, bool)) string {
	for _, host := range c.hosts {
		if read == nil || host.manager == nil {
			continue
		}
		if seen, ok := read(host.replicas[0]); ok && missing(seen, acked) != "" {
			return fmt.Sprintf("host %s served a stale read: %s", host.name, missing(seen, acked))
		}
	}
	return ""
}

// runSchedule runs one random fault schedule and describes the first violation, empty
// if there is none. configure and read may be nil.
func runSchedule(t *testing.T, seed uint64, configure func(o *Options), read func(port.Replica) ([]string, bool)) string {
	random := rand.New(rand.NewPCG(seed, 1))
	c := newCluster(t, 3, 1, func(o *Options) {
		o.SnapshotEntries = 15
		if configure != nil {
			configure(o)
		}
	})
	var acked []string
	for step := range 60 {
		command := fmt.Sprint("c", step)
		if c.proposeAnywhere(command, 500*time.Millisecond) {
			acked = append(acked, command)
		}
		if stale := c.staleRead(acked, read); stale != "" {
			return stale
		}
		c.injectFault(random)
		if stale := c.staleRead(acked, read); stale != "" {
			return stale
		}
	}
	c.setPartition(0, c.hosts...)
	for _, host := range c.hosts {
		if host.manager == nil {
			host.start()
		}
	}
	if configure != nil && !c.anyLeader() {
		return "no leader was elected after the faults"
	}
	applied, differs := c.compare()
	if differs != "" {
		return differs
	}
	if reason := c.suspended(); reason != "" {
		return reason
	}
	return missing(applied, acked)
}

// suspended describes a host that is suspended although its disk never failed, empty
// if there is none.
func (c *testCluster) suspended() string {
	for _, host := range c.hosts {
		if reason := host.replicas[0].Status().Suspended; reason != "" {
			return fmt.Sprintf("host %s is suspended: %s", host.name, reason)
		}
	}
	return ""
}

func (c *testCluster) anyLeader() bool {
	for range 1000 {
		for _, host := range c.hosts {
			if host.replicas[0].Status().IsLeader {
				return true
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// injectFault crashes, partitions or restarts hosts at random, then waits up to 300 ms.
func (c *testCluster) injectFault(random *rand.Rand) {
	host := c.hosts[random.IntN(len(c.hosts))]
	switch random.IntN(8) {
	case 0:
		if host.manager != nil {
			host.crash(random.IntN(200))
		}
	case 1:
		c.setPartition(1, host)
	case 2:
		c.setPartition(0, c.hosts...)
	case 3: // power loss
		for _, host := range c.hosts {
			if host.manager != nil {
				host.crash(random.IntN(200))
			}
		}
		fallthrough
	default:
		for _, host := range c.hosts {
			if host.manager == nil {
				host.start()
			}
		}
	}
	time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
}

// missing describes the first acknowledged command that was not applied exactly once
// and in order, empty if there is none.
func missing(applied, acked []string) string {
	from := 0
	for _, command := range acked {
		at := slices.Index(applied[from:], command)
		if at < 0 {
			return fmt.Sprintf("%s was acknowledged but not applied in order: %v", command, applied)
		}
		from += at + 1
		if slices.Contains(applied[from:], command) {
			return command + " was applied twice"
		}
	}
	return ""
}
