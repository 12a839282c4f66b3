package capacity

import (
	"fmt"
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/simtree"
	"github.com/lovagereach/lovagereach/member"
)

// daemonSizes are the numbers of entry daemons at which the tree is measured.
var daemonSizes = []int{9, 70, 200, TargetDaemons}

const (
	// daemonsPerRelay is the number of daemons behind one relay. It limits the
	// relays to the hosts reserved for control.
	daemonsPerRelay = 14
	// directDaemons is the maximum number of daemons that attach directly to the
	// leader.
	directDaemons = 32
	// settleTime is the virtual time after which every daemon must hold a lease.
	settleTime = 10 * time.Second
	// measureTime is the virtual time over which traffic is counted.
	measureTime = 10 * time.Second
)

func relaysFor(daemons int) int {
	if daemons <= directDaemons {
		return 0
	}
	return (daemons + daemonsPerRelay - 1) / daemonsPerRelay
}

func newTree(daemons int) (*simtree.World, error) {
	return newTreeOf(daemons, relaysFor(daemons))
}

func newTreeOf(daemons, relays int) (*simtree.World, error) {
	world, err := simtree.New(simtree.Options{
		Seed:        1,
		Relays:      relays,
		Entries:     daemons,
		DataCentres: TargetDataCentres,
		Delay:       5 * time.Millisecond,
		Document:    SampleDocument(100),
	}, simtree.Faults{})
	if err != nil {
		return nil, err
	}
	world.Run(settleTime)
	if serving := world.ServingCount(); serving != daemons {
		return nil, fmt.Errorf("%d of %d daemons hold a lease after %s", serving, daemons, settleTime)
	}
	return world, nil
}

// TreeProbes returns the probes of the tree that distributes leases, configuration
// and membership, in virtual time.
func TreeProbes() []Probe {
	probe := func(role, name string, unit Unit, measure func(int) (float64, error)) Probe {
		return Probe{Role: role, Name: name, SizeName: "daemons", Unit: unit, Sizes: daemonSizes, Target: TargetDaemons, Measure: measure}
	}
	return []Probe{
		probe("entry", "steady traffic of the busiest daemon", UnitBytesPerSec, entryTraffic),
		probe("relay", "steady traffic of the busiest relay", UnitBytesPerSec, relayTraffic),
		probe("leader", "steady traffic", UnitBytesPerSec, leaderTraffic),
		probe("entry", "traffic of one change at the busiest daemon", UnitBytes, changeTraffic),
		probe("all", "change in force", UnitSeconds, func(n int) (float64, error) { return timeInForce(n, false) }),
		probe("all", "change in force, one parent or daemon just lost", UnitSeconds, func(n int) (float64, error) { return timeInForce(n, true) }),
		probe("entry", "membership held", UnitBytes, viewBytes),
	}
}

// busiest returns the largest increase of traffic in bytes among hosts during run.
func busiest(world *simtree.World, hosts []ident.Host, run func()) float64 {
	before := make(map[ident.Host]int, len(hosts))
	for _, host := range hosts {
		before[host] = world.Traffic(host).Bytes
	}
	run()
	most := 0
	for _, host := range hosts {
		most = max(most, world.Traffic(host).Bytes-before[host])
	}
	return float64(most)
}

func steadyTraffic(daemons int, hosts func(*simtree.World) []ident.Host) (float64, error) {
	world, err := newTree(daemons)
	if err != nil {
		return 0, err
	}
	bytes := busiest(world, hosts(world), func() { world.Run(measureTime) })
	return bytes / measureTime.Seconds(), nil
}

func entryTraffic(daemons int) (float64, error) {
	return steadyTraffic(daemons, (*simtree.World).Entries)
}

// relayTraffic returns zero if there are no relays.
func relayTraffic(daemons int) (float64, error) {
	return steadyTraffic(daemons, (*simtree.World).Relays)
}

func leaderTraffic(daemons int) (float64, error) {
	return steadyTraffic(daemons, func(*simtree.World) []ident.Host { return []ident.Host{""} })
}

// changeOne commits a change of one team and returns the revision.
func changeOne(world *simtree.World, variant int) config.Revision {
	doc := world.Document()
	doc.Teams[0] = sampleTeam(0, variant)
	return world.Change(doc, fmt.Sprint("change-", variant)).Revision
}

// changeTraffic returns the bytes per change at the busiest daemon, without the
// steady traffic during the same time.
func changeTraffic(daemons int) (float64, error) {
	world, err := newTree(daemons)
	if err != nil {
		return 0, err
	}
	const changes = 20
	steady := busiest(world, world.Entries(), func() { world.Run(changes * time.Second) })
	total := busiest(world, world.Entries(), func() {
		for i := range changes {
			changeOne(world, i+1)
			world.Run(time.Second)
		}
	})
	return (total - steady) / changes, nil
}

func timeInForce(daemons int, loss bool) (float64, error) {
	world, err := newTree(daemons)
	if err != nil {
		return 0, err
	}
	if loss {
		lost := append(world.Relays(), world.Entries()...)
		world.Kill(lost[0])
	}
	return untilInForce(world)
}

// untilInForce commits a change and returns the seconds until it is in force.
func untilInForce(world *simtree.World) (float64, error) {
	revision := changeOne(world, 1)
	took, ok := world.RunUntil(time.Minute, func() bool { return world.InForce() >= revision })
	if !ok {
		return 0, fmt.Errorf("not in force after %s", took)
	}
	return took.Seconds(), nil
}

func sampleMember(i int) member.Member {
	return member.Member{
		Host:       ident.Host(fmt.Sprintf("entry-%05d", i)),
		DataCentre: ident.DataCentre(fmt.Sprintf("centre-%d", i%TargetDataCentres)),
		Role:       member.RoleEntry,
		Callers:    fmt.Sprintf("10.1.%d.%d:7400", i/250, i%250),
		Peers:      fmt.Sprintf("10.1.%d.%d:7401", i/250, i%250),
		Stamp:      member.Stamp{Incarnation: 1, Session: 1},
		State:      member.StateAlive,
	}
}

func viewBytes(daemons int) (float64, error) {
	var failed error
	bytes := HeapBytes(func() any {
		view := member.NewView()
		update := member.Update{To: member.Version{Epoch: 1, Sequence: uint64(daemons)}, Snapshot: true}
		for i := range daemons {
			update.Members = append(update.Members, sampleMember(i))
		}
		failed = view.Apply(update)
		return view
	})
	return bytes, failed
}
