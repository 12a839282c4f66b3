package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/quarantine"
)

// ofTeams returns a load in which teams send requests with a bad part in turn.
func ofTeams(teams ...string) partCase {
	return partCase{bad: []string{"bad0"}, teams: teams,
		call:  func(f *partFleet, n int) { f.callAs(teams[n%len(teams)], "", "f1f1", "bad0") },
		sound: func(f *partFleet, n int) { f.callSoundAs(teams[n%len(teams)], "f1f1", fmt.Sprint("a", n%8)) }}
}

// inBursts returns a load in which teams send requests with a bad part, size at one moment every so many
// intervals. The first part of their prompts is the team's own.
func inBursts(size, every int, teams ...string) partCase {
	if len(teams) == 0 {
		teams = []string{""}
	}
	return partCase{bad: []string{"bad0"}, teams: teams, countCrashes: true,
		call: func(f *partFleet, n int) {
			if n%every > 0 {
				return
			}
			for i := range size {
				team := teams[i%len(teams)]
				f.tasks.Go(func() { f.callAs(team, "", "f1f1"+team, "bad0") })
			}
		},
		sound: func(f *partFleet, n int) {
			team := teams[n%len(teams)]
			f.callSoundAs(team, "f1f1"+team, fmt.Sprint("a", n%8))
		}}
}

// runPartFleets runs a test before a number of runners, with some seeds.
func runPartFleets(t *testing.T, runners int, run func(t *testing.T, f *partFleet, seed int)) {
	t.Parallel()
	for seed := 1; seed <= *partSeeds; seed++ {
		synctest.Test(t, func(t *testing.T) {
			f := newPartFleet(t, 7, runners, uint64(seed))
			defer f.stop()
			time.Sleep(time.Second)
			run(t, f, seed)
		})
	}
}

// Guards against a part that each of several teams must find for itself: one after the other, each
// crashes as many runners with it as the first.
func TestPartsOfSeveralTeamsThatCrashRunnersAreFound(t *testing.T) {
	later := ofTeams(partTeams...)
	later.call = func(f *partFleet, n int) { f.callAs(partTeams[n/30], "", "f1f1", "bad0") }
	isolated := ofTeams(isolatedTeam)
	many := ofTeams(partTeams...)
	many.entries, many.runners = 300, 100
	runPartCases(t, map[string]partCase{
		"two in turn": ofTeams(partTeams[:2]...), "four in turn": ofTeams(partTeams[:4]...), "ten in turn": ofTeams(partTeams...),
		"one after the other": later, "an isolated team": isolated, "ten in turn at many entries": many,
	})
}

// Guards against a part whose requests come at one moment: the runners crash together and are back
// together, which counts as one crash each time.
func TestPartsInBurstsThatCrashRunnersAreFound(t *testing.T) {
	begunLate, down, many, manyTeams := inBursts(12, 10), inBursts(30, 20), inBursts(300, 20), inBursts(300, 20, partTeams...)
	begunLate.beginAfter = 1500 * time.Millisecond
	down.runnerDown = 4 * time.Second
	many.entries, many.runners = 300, 100
	manyTeams.entries, manyTeams.runners = 300, 100
	pairs := inBursts(30, 20)
	pairs.call = func(f *partFleet, n int) {
		for range 30 {
			if n%20 == 0 {
				f.tasks.Go(func() { f.call("", "f1f1", "bad0", "0ddd") })
			}
		}
	}
	// Requests with first parts of their own are spread over the runners.
	spread := inBursts(30, 20)
	spread.call = func(f *partFleet, n int) {
		for i := range 30 {
			if n%20 == 0 {
				f.tasks.Go(func() { f.call("", fmt.Sprintf("%04x%02x", n, i), "bad0") })
			}
		}
	}
	together := spread
	together.steady = true
	together.runnerDown = 3 * time.Second
	both := inBursts(30, 20)
	both.bad = []string{"bad0", "bad1"}
	both.call = func(f *partFleet, n int) {
		for i := range 30 {
			if n%20 == 0 {
				f.tasks.Go(func() { f.call("", fmt.Sprintf("%04x%02x", n, i), both.bad[i%2]) })
			}
		}
	}
	runPartCases(t, map[string]partCase{
		"30 over all runners": spread, "30 over all runners, which crash together": together,
		"30 with one of two parts": both,
		"30 each 3 s":              inBursts(30, 20), "9 each 6 s": inBursts(9, 40), "15 each 150 ms": inBursts(15, 1), "3 each 1.5 s": inBursts(3, 10),
		"30 of ten teams each 3 s": inBursts(30, 20, partTeams...), "9 of ten teams each 6 s": inBursts(9, 40, partTeams...),
		"12 begun late each 1.5 s": begunLate, "30 before runners that are down for 4 s": down, "30 with another part": pairs,
		"300 at many entries": many, "300 of ten teams at many entries": manyTeams,
	})
}

// Guards against a part that was served until its requests crash runners, and that is taken for one that was
// in flight by chance, as sound ones are at every crash.
func TestServedPartsInBurstsAreFound(t *testing.T) {
	servedBefore := func(c partCase) partCase {
		c.before = func(f *partFleet) {
			f.every(40*time.Millisecond, badFrom-100*time.Millisecond, func(n int) {
				f.callSoundAs(c.teams[n%len(c.teams)], "f1f1", "bad0")
			})
		}
		return c
	}
	runPartCases(t, map[string]partCase{
		"30 each 3 s": servedBefore(inBursts(30, 20)), "30 of ten teams each 3 s": servedBefore(inBursts(30, 20, partTeams...)),
		"ten in turn": servedBefore(ofTeams(partTeams...)),
	})
}

// Guards against a team that crashes runners with parts that others use: the others' requests must go
// on being served.
func TestTeamThatCrashesRunnersBlocksNoOther(t *testing.T) {
	runPartFleets(t, 9, func(t *testing.T, f *partFleet, seed int) {
		start := time.Now()
		f.tasks.Go(func() {
			f.every(soundInterval, 20*time.Second, func(n int) { f.callSoundAs(partTeams[1+n%3], "f1f1", fmt.Sprint("a", n%8)) })
		})
		// A team that uses one of the parts seldom.
		f.tasks.Go(func() {
			f.every(time.Second, 20*time.Second, func(int) { f.callSoundAs(partTeams[4], "f1f1", "0ddd") })
		})
		time.Sleep(2 * time.Second)
		f.every(badInterval, 16*time.Second, func(n int) {
			f.callAs(partTeams[0], fmt.Sprint(crashingBody, n), "f1f1", "0ddd")
		})
		time.Sleep(time.Until(start.Add(20 * time.Second)))
		blamed, _ := f.blamedAttempts(start)
		f.mu.Lock()
		crashes := 0
		for _, at := range f.crashes {
			crashes += len(at)
		}
		f.mu.Unlock()
		t.Logf("seed %d: %d crashes, %d requests of other teams refused because of a part", seed, crashes, blamed)
		if blamed > 0 {
			t.Errorf("seed %d: %d requests of other teams were refused because of a part", seed, blamed)
		}
	})
}

// Guards against parts being quarantined because all runners of a service crash at once, when nobody can
// serve them for a while.
func TestCrashOfAllRunnersHoldsNoPart(t *testing.T) {
	runPartFleets(t, 9, func(t *testing.T, f *partFleet, seed int) {
		f.tasks.Go(func() {
			f.every(soundInterval, 24*time.Second, func(n int) { f.callSoundAs(partTeams[n%3], "f1f1"+partTeams[n%3], fmt.Sprint("a", n%8)) })
		})
		for range 5 {
			time.Sleep(4 * time.Second)
			f.crash(runnerAddress(0), runnerAddress(1), runnerAddress(2), runnerAddress(3), runnerAddress(4), runnerAddress(5), runnerAddress(6), runnerAddress(7), runnerAddress(8))
		}
		time.Sleep(4 * time.Second)
		if blamed, _ := f.blamedAttempts(time.Time{}); blamed > 0 {
			t.Errorf("seed %d: %d requests were refused because of a part", seed, blamed)
		}
	})
}

// Guards against a part being quarantined because many of its requests, the first ones, were in flight
// as a rack crashed: they must be served again at once.
func TestCrashOfRackHoldsNoNewPart(t *testing.T) {
	runPartFleets(t, 18, func(t *testing.T, f *partFleet, seed int) {
		f.tasks.Go(func() {
			f.every(soundInterval, 20*time.Second, func(n int) {
				if n%2 == 0 {
					f.callSound("f1f1", fmt.Sprintf("aa%02d", time.Now().Unix()/2%100))
				} else {
					ordinary(f, n)
				}
			})
		})
		held := make(map[quarantine.Fingerprint]bool)
		for i := range 6 {
			time.Sleep(time.Until(time.Now().Truncate(2 * time.Second).Add(2*time.Second + 80*time.Millisecond)))
			addresses := make([]string, 6)
			for k := range addresses {
				addresses[k] = runnerAddress((i + 3*k) % 18)
			}
			f.crash(addresses...)
			time.Sleep(200 * time.Millisecond)
			f.mu.Lock()
			for _, q := range f.tracker.QuarantinedParts() {
				held[q.Part] = true
			}
			f.mu.Unlock()
		}
		blamed, _ := f.blamedAttempts(time.Time{})
		t.Logf("seed %d: %d parts quarantined, %d requests refused because of a part", seed, len(held), blamed)
		if blamed > 0 {
			t.Errorf("seed %d: %d requests were refused because of a part", seed, blamed)
		}
	})
}
