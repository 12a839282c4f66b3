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

// playDay plays a random day and returns what went wrong, empty when nothing did.
func playDay(t *testing.T, seed uint64, clocks bool) (wrong, account string) {
	random := rand.New(rand.NewPCG(seed, 2))
	g := newTroubledGroup(t, random)
	if random.IntN(4) == 0 {
		g.padded = 300 << 10
	}
	ctx, stop := context.WithCancel(context.Background())
	var operator sync.WaitGroup
	operator.Go(func() { g.operate(ctx, 150*time.Millisecond) })
	for round := range 3 {
		g.note("round %d", round)
		if round > 0 {
			spare := true
			for range 1 + random.IntN(8) {
				if g.disturb(spare, clocks) {
					spare = false
				}
				g.pause(time.Duration(1+random.IntN(6)) * time.Second / 2)
			}
		}
		g.calm()
		if wrong = g.check(); wrong != "" {
			wrong = fmt.Sprintf("round %d: %s", round, wrong)
			g.note("%s", wrong)
			break
		}
	}
	account = g.describe()
	stop()
	operator.Wait()
	g.close()
	return wrong, g.logs.String() + account
}

// Callers get no answer from any control host long after the last trouble: the hosts find
// no leader, or the one they have can't commit.
func TestGroupIsLedSoonAfterTrouble(t *testing.T) { playDays(t, false) }

// The same where clocks are ahead for a while, and a host starts then and again later.
func TestGroupIsLedSoonAfterClocksStep(t *testing.T) { playDays(t, true) }

func playDays(t *testing.T, clocks bool) {
	for i := range *troubleSeeds {
		seed := uint64(*troubleFirst + i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				wrong, account := playDay(t, seed, clocks)
				if wrong != "" {
					t.Errorf("%s\n%s", wrong, account)
				} else if *troubleLog {
					t.Log(account)
				}
			})
		})
	}
}

// Callers get no answer from any control host once a disk is lost: the others refuse a
// host that started while its clock was ahead, and again after the clock had gone back.
func TestHostWhoseClockWentBackVotesOnceADiskIsLost(t *testing.T) {
	playClockBack(t, func(g *troubledGroup, stepped *troubledHost) { g.restart(stepped, false) }, func(g *troubledGroup) {
		lost := g.hosts[0]
		lost.end(true)
		lost.wipe()
		lost.start(false)
	})
}

// What was acknowledged is gone once a second disk is lost, long after the first: the
// others refuse the host with the empty disk, whose clock had gone back, and it never
// gets its vote.
func TestHostWithEmptyDiskWhoseClockWentBackVotesAgain(t *testing.T) {
	playClockBack(t, func(g *troubledGroup, stepped *troubledHost) {
		stepped.end(true)
		stepped.wipe()
		stepped.start(false)
	}, func(g *troubledGroup) {
		for _, h := range g.hosts {
			h.end(true)
		}
		g.hosts[0].wipe()
		for _, h := range g.hosts {
			h.start(false)
		}
	})
}

// playClockBack has a host start while its clock is ahead, then again once it is back,
// and in the end a disk be lost.
func playClockBack(t *testing.T, again func(*troubledGroup, *troubledHost), lose func(*troubledGroup)) {
	synctest.Test(t, func(t *testing.T) {
		g := newTroubledGroup(t, rand.New(rand.NewPCG(1, 1)))
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
