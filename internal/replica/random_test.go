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

var longSeeds = flag.Int("replica.seeds", 4, "number of random fault schedules")

// Hosts crash, lose power together, are parted and come back at random while
// commands are proposed. Whatever was acknowledged must be applied once, in
// the order of the acknowledgements, and by all hosts alike.
func TestRandomFaults(t *testing.T) {
	for seed := range *longSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if lost := runSchedule(t, uint64(seed), nil, readConfirmed); lost != "" {
					t.Fatal(lost)
				}
			})
		})
	}
}

// lyingStorage reports writes as synced before they are: the seeded bug that
// the schedule must find.
type lyingStorage struct{ Storage }

func (l lyingStorage) Start(update disk.Update, done func(error)) {
	done(nil)
	l.Storage.Start(update, func(error) {})
}

// The runtime acknowledges before the sync. A power loss then takes commands
// that callers were told are committed, and the same schedules must show it.
func TestRandomFaultsFindAnAnswerBeforeSync(t *testing.T) {
	found := 0
	for seed := range 6 {
		synctest.Test(t, func(t *testing.T) {
			lie := func(o *Options) { o.Storage = lyingStorage{o.Storage} }
			if runSchedule(t, uint64(seed), lie, nil) != "" {
				found++
			}
		})
	}
	if found == 0 {
		t.Fatal("no schedule found the seeded bug")
	}
	t.Logf("%d of 6 schedules found it", found)
}

// readConfirmed returns what a host shows after a read barrier, and false when
// the barrier failed.
func readConfirmed(replica port.Replica) ([]string, bool) {
	if err := replica.ReadBarrier(limit(200 * time.Millisecond)); err != nil {
		return nil, false
	}
	return commands(replica), true
}

// readStale shows what a host has without a barrier: the seeded bug that the
// check of reads must find.
func readStale(replica port.Replica) ([]string, bool) { return commands(replica), true }

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
		t.Fatalf("only %d of 3 schedules found the seeded bug", found)
	}
}

// staleRead asks all hosts, also those behind a partition, and reports one
// that lacks a command which was acknowledged before.
func (c *testCluster) staleRead(acked []string, read func(port.Replica) ([]string, bool)) string {
	for _, host := range c.hosts {
		if read == nil || host.manager == nil {
			continue
		}
		if seen, ok := read(host.replicas[0]); ok && missing(seen, acked) != "" {
			return fmt.Sprintf("host %s answers a read without %s", host.name, missing(seen, acked))
		}
	}
	return ""
}

// runSchedule returns what was lost, empty when all is well.
func runSchedule(t *testing.T, seed uint64, change func(o *Options), read func(port.Replica) ([]string, bool)) string {
	random := rand.New(rand.NewPCG(seed, 1))
	c := newCluster(t, 3, 1, func(o *Options) {
		o.SnapshotEntries = 15
		if change != nil {
			change(o)
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
		c.disturb(random)
		if stale := c.staleRead(acked, read); stale != "" {
			return stale
		}
	}
	c.setSide(0, c.hosts...)
	for _, host := range c.hosts {
		if host.manager == nil {
			host.start()
		}
	}
	if change != nil && !c.anyLeader() {
		return "no leader comes up again"
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

// suspended names a host that takes no part any more although its disk never failed.
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

func (c *testCluster) disturb(random *rand.Rand) {
	host := c.hosts[random.IntN(len(c.hosts))]
	switch random.IntN(8) {
	case 0:
		if host.manager != nil {
			host.crash(random.IntN(200))
		}
	case 1:
		c.setSide(1, host)
	case 2:
		c.setSide(0, c.hosts...)
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

// missing compares what was acknowledged with what was applied.
func missing(applied, acked []string) string {
	from := 0
	for _, command := range acked {
		at := slices.Index(applied[from:], command)
		if at < 0 {
			return fmt.Sprintf("%s was acknowledged and is not applied in its order: %v", command, applied)
		}
		from += at + 1
		if slices.Contains(applied[from:], command) {
			return command + " was applied twice"
		}
	}
	return ""
}
