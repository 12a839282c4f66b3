package steward

import (
	"fmt"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/roster"
)

func testLoader(runners int) (*loader, []roster.Upstream) {
	machine := NewMachine()
	machine.applyWeights(roster.Loaded{Model: "m", Version: 2}, nil)
	s := &Steward{machine: machine, options: Options{MaxConcurrentLoads: 3, VersionTime: 15 * time.Second, Log: log.New(io.Discard)}}
	var live []roster.Upstream
	for i := range runners {
		live = append(live, roster.Upstream{ID: fmt.Sprintf("r%02d", i), State: roster.Serving, Loaded: []roster.Loaded{{Model: "m", Version: 1}}})
	}
	return newLoader(&leadership{steward: s}), live
}

// setLoaded records that a runner has the newest version.
func setLoaded(live []roster.Upstream, id string) {
	i := slices.IndexFunc(live, func(u roster.Upstream) bool { return u.ID == id })
	live[i].Loaded = []roster.Loaded{{Model: "m", Version: 2}}
}

// All runners must have the target weights in time, with as few as possible out of service
// concurrently: each load takes 1.8 s here, and every step starts immediately.
func TestLoadsMeetTheBoundWithFewConcurrent(t *testing.T) {
	for _, c := range []struct{ runners, most int }{{18, 4}, {9, 2}, {3, 1}, {57, 13}} {
		o, live := testLoader(c.runners)
		now := time.Now()
		began, loadEnds, most, left := now, map[string]time.Time{}, 0, c.runners
		for left > 0 && now.Sub(began) < time.Minute {
			for id, end := range loadEnds {
				if !now.Before(end) {
					delete(loadEnds, id)
					o.release(roster.Upstream{ID: id}, true, now)
					o.recordLoadTime(1800 * time.Millisecond)
					setLoaded(live, id)
					left--
				}
			}
			for _, step := range o.next(live, now) {
				loadEnds[step.Upstream.ID] = now.Add(1800 * time.Millisecond)
			}
			most = max(most, len(loadEnds))
			now = now.Add(loadEvery)
		}
		if took := now.Sub(began); took > 15*time.Second || most > c.most {
			t.Errorf("%d runners: %v, %d concurrent", c.runners, took, most)
		}
	}
}

// Guards against a crashed runner that fails every query and blocks the load steps of the
// others.
func TestUnreachableRunnersDoNotBlockLoads(t *testing.T) {
	o, live := testLoader(6)
	now := time.Now()
	steps := map[string]int{}
	for range 400 {
		for _, step := range o.next(live, now) {
			id := step.Upstream.ID
			steps[id]++
			o.release(step.Upstream, id != "r00", now)
			if id != "r00" {
				setLoaded(live, id)
			}
		}
		now = now.Add(5 * time.Millisecond)
	}
	if steps["r00"] > 4 || steps["r05"] == 0 {
		t.Fatalf("load steps: %v", steps)
	}
}

// Guards against prompts that begin on weights past their bound when target versions follow one
// another, here one every 8.25 s with a bound of 15 s. In the fault, loads went by runner ID:
// each newer version started the round again at the first ID, so that the last of 18 runners
// got no order in 26 s, and reset the deadline, so that the runners that lacked the oldest
// version neither came next nor increased the concurrency. Prompts then began on weights 22 s
// old.
func TestSuccessiveVersionsReachEveryRunnerInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, live := testLoader(18)
		const bound, load, every = 15 * time.Second, 1800 * time.Millisecond, 8250 * time.Millisecond
		machine := o.leadership.steward.machine
		began, loadEnds, target := time.Now(), map[string]time.Time{}, map[string]uint64{}
		newest, worst := uint64(2), time.Duration(0)
		for elapsed := time.Duration(0); elapsed < time.Minute; elapsed = time.Since(began) {
			if next := uint64(2 + elapsed/every); next > newest {
				newest = next
				machine.applyWeights(roster.Loaded{Model: "m", Version: newest}, nil)
			}
			for i := range live {
				id := live[i].ID
				if end, loads := loadEnds[id]; loads && !time.Now().Before(end) {
					delete(loadEnds, id)
					live[i].Loaded = []roster.Loaded{{Model: "m", Version: target[id]}}
					o.recordLoadTime(load)
					o.release(roster.Upstream{ID: id}, true, time.Now())
				}
				if since, lacks := machine.targetVersions().FirstLacked("m", live[i].VersionOf("m")); lacks {
					worst = max(worst, time.Since(since))
				}
			}
			for _, step := range o.next(live, time.Now()) {
				loadEnds[step.Upstream.ID], target[step.Upstream.ID] = time.Now().Add(load), newest
			}
			time.Sleep(loadEvery)
		}
		if worst > bound {
			t.Errorf("a runner lacked weights for %v, the bound is %v", worst, bound)
		}
	})
}

// Guards against relays that leave out the minimum versions: entries of a large fleet would
// keep using runners that are past their bound.
func TestRelayForwardsMinVersions(t *testing.T) {
	b := newRelayState(NewMachine(), newSharedIndex(), log.New(io.Discard))
	sent := relayingAnswer(3)
	sent.MinVersions = []roster.Loaded{{Model: "m", Version: 2}}
	b.apply(sent, time.Now(), time.Now())
	answer := &WatchAnswer{}
	b.addCommon(entryPeer("e1"), answer, time.Now())
	if !slices.Equal(answer.MinVersions, sent.MinVersions) {
		t.Fatalf("forwarded %v", answer.MinVersions)
	}
}

// A runner dies, and another starts at its address and answers the query for its report, so
// that the dead one seems busy. Guards against a load step that stays occupied for the 2 to 8 s
// until that is detected, while callers wait for runners that would load.
func TestReplacedRunnerGetsNoLoadStep(t *testing.T) {
	now := time.Now()
	l := &leadership{since: now, lastContacts: map[string]time.Time{"dead": now, "successor": now.Add(time.Second), "other": now}}
	at := func(id, address string) roster.Upstream {
		return roster.Upstream{ID: id, Address: address, State: roster.Serving}
	}
	current := l.current([]roster.Upstream{at("dead", "h:1"), at("other", "h:2"), at("successor", "h:1")}, now.Add(2*time.Second))
	if len(current) != 2 || current[0].ID != "other" || current[1].ID != "successor" {
		t.Fatalf("current are %+v", current)
	}
}
