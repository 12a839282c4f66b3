package steward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// runScenario runs a random scenario and returns the failure, empty if there was none, and the
// log.
func runScenario(t *testing.T, seed uint64, clocks bool) (wrong, account string) {
	random := rand.New(rand.NewPCG(seed, 2))
	g := newFaultyGroup(t, random)
	if random.IntN(4) == 0 {
		g.padded = 300 << 10
	}
	ctx, stop := context.WithCancel(context.Background())
	var operator sync.WaitGroup
	operator.Go(func() { g.operate(ctx, 150*time.Millisecond) })
	for round := range 3 {
		g.logf("round %d", round)
		if round > 0 {
			spare := true
			for range 1 + random.IntN(8) {
				if g.injectFault(spare, clocks) {
					spare = false
				}
				g.pause(time.Duration(1+random.IntN(6)) * time.Second / 2)
			}
		}
		g.endFaults()
		if wrong = g.check(); wrong != "" {
			wrong = fmt.Sprintf("round %d: %s", round, wrong)
			g.logf("%s", wrong)
			break
		}
	}
	account = g.describe()
	stop()
	operator.Wait()
	g.close()
	return wrong, g.logs.String() + account
}

// Guards against a group that does not recover after the last fault: the hosts find no leader,
// or the leader can't commit.
func TestGroupRecoversAfterFaults(t *testing.T) { runScenarios(t, false) }

// The same with clocks that are temporarily ahead, and hosts that start then and again later.
func TestGroupRecoversAfterClockSteps(t *testing.T) { runScenarios(t, true) }

func runScenarios(t *testing.T, clocks bool) {
	for i := range *faultSeeds {
		seed := uint64(*faultFirstSeed + i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				wrong, account := runScenario(t, seed, clocks)
				if wrong != "" {
					t.Errorf("%s\n%s", wrong, account)
				} else if *faultLog {
					t.Log(account)
				}
			})
		})
	}
}

// Guards against a group without a quorum once a disk is lost: the others refuse a host that
// started while its clock was ahead, and again after the clock had stepped back.
func TestHostVotesAfterClockStepsBackAndDiskIsLost(t *testing.T) {
	runClockStep(t, func(g *faultyGroup, stepped *faultyHost) { g.restart(stepped, false) }, func(g *faultyGroup) {
		lost := g.hosts[0]
		lost.end(true)
		lost.wipe()
		lost.start(false)
	})
}

// Guards against lost acknowledged state when a second disk is lost long after the first: the
// others refuse the host with the empty disk, whose clock had stepped back, and it never
// becomes a voter.
func TestHostWithEmptyDiskVotesAfterClockStepsBack(t *testing.T) {
	runClockStep(t, func(g *faultyGroup, stepped *faultyHost) {
		stepped.end(true)
		stepped.wipe()
		stepped.start(false)
	}, func(g *faultyGroup) {
		for _, h := range g.hosts {
			h.end(true)
		}
		g.hosts[0].wipe()
		for _, h := range g.hosts {
			h.start(false)
		}
	})
}

// runClockStep starts a host while its clock is ahead, starts it again once the clock is back,
// and then loses a disk.
func runClockStep(t *testing.T, again func(*faultyGroup, *faultyHost), lose func(*faultyGroup)) {
	synctest.Test(t, func(t *testing.T) {
		g := newFaultyGroup(t, rand.New(rand.NewPCG(1, 1)))
		expect := func(when string) {
			t.Helper()
			if wrong := g.check(); wrong != "" {
				t.Errorf("%s: %s", when, wrong)
			}
		}
		expect("at first")
		stepped := g.hosts[2]
		stepped.ahead.Store(int64(4 * time.Second))
		g.restart(stepped, false)
		expect("with the clock ahead")
		stepped.ahead.Store(0)
		again(g, stepped)
		expect("with the clock back")
		lose(g)
		expect("with a disk lost")
		if t.Failed() {
			t.Log(g.logs.String() + g.describe())
		}
		g.close()
	})
}
