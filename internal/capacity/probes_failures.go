package capacity

import (
	"fmt"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/simtree"
)

// Failure scenarios, in virtual time.
const (
	// rackDaemons is the number of daemons lost with a rack.
	rackDaemons = 20
	// failureWindow is the time after a failure during which traffic is counted.
	failureWindow = 10 * time.Second
	// partitionTime is the duration of a partition between the regions.
	partitionTime = time.Hour
	// leaderCentres is the number of data centres in the leader's region, out of
	// seven.
	leaderCentres = 3
	recoveryLimit = 2 * time.Minute
)

// partitionSizes are fewer than daemonSizes, since simulating the hour is
// expensive; the largest is the target.
var partitionSizes = []int{35, 70, TargetDaemons}

// FailureProbes returns the probes of the cost of failures for the tree.
func FailureProbes() []Probe {
	probe := func(role, name string, unit Unit, measure func(int) (float64, error)) Probe {
		return Probe{Role: role, Name: name, SizeName: "daemons", Unit: unit, Sizes: daemonSizes, Target: TargetDaemons, Measure: measure}
	}
	probes := []Probe{
		probe("leader", "messages beyond the steady ones in 10 s after a leader change", UnitMessages, func(n int) (float64, error) {
			messages, _, err := leaderChangeCost(n, relaysFor(n))
			return messages, err
		}),
		probe("leader", "bytes beyond the steady ones in 10 s after a leader change", UnitBytes, func(n int) (float64, error) {
			_, bytes, err := leaderChangeCost(n, relaysFor(n))
			return bytes, err
		}),
		probe("leader", "the same bytes if no relays stood between", UnitBytes, func(n int) (float64, error) {
			_, bytes, err := leaderChangeCost(n, 0)
			return bytes, err
		}),
		probe("entry", "bytes at the busiest daemon in 10 s after a rack is lost", UnitBytes, rackBytes),
		probe("leader", "bytes in 10 s after a rack is lost", UnitBytes, rackLeaderBytes),
		probe("all", "change in force, a rack just lost", UnitSeconds, rackInForce),
	}
	hour := &partitionCache{results: make(map[int]partition)}
	parted := func(role, name string, unit Unit, value func(partition) float64) {
		p := probe(role, name, unit, func(n int) (float64, error) {
			result, err := hour.of(n)
			return value(result), err
		})
		p.Sizes = partitionSizes
		probes = append(probes, p)
	}
	parted("all", "daemons that serve while regions are parted", "daemons", func(p partition) float64 { return p.serving })
	parted("entry", "traffic of the busiest daemon while regions are parted", UnitBytesPerSec, func(p partition) float64 { return p.rate })
	parted("entry", "bytes at the busiest daemon from the healing until all serve", UnitBytes, func(p partition) float64 { return p.recoveryBytes })
	parted("all", "time from the healing until all serve", UnitSeconds, func(p partition) float64 { return p.recovery.Seconds() })
	return probes
}

// leaderWindowTraffic returns the leader's traffic during the next
// failureWindow.
func leaderWindowTraffic(world *simtree.World) simtree.Traffic {
	before := world.Traffic("")
	world.Run(failureWindow)
	after := world.Traffic("")
	return simtree.Traffic{Messages: after.Messages - before.Messages, Bytes: after.Bytes - before.Bytes}
}

func leaderChangeCost(daemons, relays int) (messages, bytes float64, err error) {
	world, err := newTreeOf(daemons, relays)
	if err != nil {
		return 0, 0, err
	}
	steady := leaderWindowTraffic(world)
	if err := world.ChangeLeader(); err != nil {
		return 0, 0, err
	}
	world.Run(failureWindow)
	after := world.Traffic("")
	if serving := world.ServingCount(); serving != daemons {
		return 0, 0, fmt.Errorf("%d of %d daemons serve %s after the leader change", serving, daemons, failureWindow)
	}
	return float64(after.Messages - steady.Messages), float64(after.Bytes - steady.Bytes), nil
}

// loseRack kills the daemons of one rack and returns the others.
func loseRack(world *simtree.World) (left []ident.Host) {
	entries := world.Entries()
	lost := min(rackDaemons, len(entries)/3)
	for _, host := range entries[:lost] {
		world.Kill(host)
	}
	return entries[lost:]
}

func rackBytes(daemons int) (float64, error) {
	world, err := newTree(daemons)
	if err != nil {
		return 0, err
	}
	left := loseRack(world)
	return busiest(world, left, func() { world.Run(failureWindow) }), nil
}

func rackLeaderBytes(daemons int) (float64, error) {
	world, err := newTree(daemons)
	if err != nil {
		return 0, err
	}
	loseRack(world)
	return float64(leaderWindowTraffic(world).Bytes), nil
}

func rackInForce(daemons int) (float64, error) {
	world, err := newTree(daemons)
	if err != nil {
		return 0, err
	}
	loseRack(world)
	return untilInForce(world)
}

// partition holds the measurements of a partition between the regions.
type partition struct {
	serving       float64
	rate          float64
	recoveryBytes float64
	recovery      time.Duration
}

// partitionCache caches the results by size, since several probes use the same
// simulation.
type partitionCache struct{ results map[int]partition }

func (p *partitionCache) of(daemons int) (partition, error) {
	if result, ok := p.results[daemons]; ok {
		return result, nil
	}
	result, err := measurePartition(daemons, partitionTime)
	if err == nil {
		p.results[daemons] = result
	}
	return result, err
}

func measurePartition(daemons int, hour time.Duration) (partition, error) {
	world, err := newTree(daemons)
	if err != nil {
		return partition{}, err
	}
	away := make(map[ident.DataCentre]bool)
	for i := leaderCentres; i < TargetDataCentres; i++ {
		away[ident.DataCentre(fmt.Sprintf("dc-%d", i))] = true
	}
	world.Cut(func(from, to ident.DataCentre) bool { return away[from] != away[to] })
	var result partition
	bytes := busiest(world, world.Entries(), func() { world.Run(hour) })
	result.rate = bytes / hour.Seconds()
	result.serving = float64(world.ServingCount())
	world.Cut(nil)
	var served bool
	result.recoveryBytes = busiest(world, world.Entries(), func() {
		result.recovery, served = world.RunUntil(recoveryLimit, func() bool { return world.ServingCount() == daemons })
	})
	if !served {
		return partition{}, fmt.Errorf("only %d of %d daemons serve %s after the partition", world.ServingCount(), daemons, recoveryLimit)
	}
	return result, world.Check()
}
