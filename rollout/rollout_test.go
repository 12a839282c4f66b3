package rollout

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/roster"
)

const bound = 15 * time.Second

var start = time.Unix(1000, 0)

func runner(id string, version uint64) roster.Upstream {
	return roster.Upstream{ID: id, State: roster.Serving, Loaded: []roster.Loaded{{Model: "m", Version: version}}}
}

func testSchedule() *Schedule {
	return NewSchedule(Options{MaxConcurrent: 1, Bound: bound, Notice: 200 * time.Millisecond})
}

// first returns the first load step of a schedule and its time.
func first(s *Schedule, live []roster.Upstream, targets *TargetVersions, now time.Time) (Step, time.Time) {
	for range 100 {
		if steps := s.Next(live, targets, now); len(steps) > 0 {
			return steps[0], now
		}
		now = now.Add(50 * time.Millisecond)
	}
	return Step{}, now
}

// A runner restarts with the weights of three versions ago, while others lack only the
// newest. Its bound has expired: in any other order it would be out of service, or in
// service on old weights, for the whole round.
func TestRunnerLackingWeightsLongestLoadsFirst(t *testing.T) {
	targets := NewTargetVersions()
	for version := uint64(2); version <= 4; version++ {
		targets.Record("m", version, start.Add(time.Duration(version)*8*time.Second))
	}
	live := []roster.Upstream{runner("a", 3), runner("b", 3), runner("z", 1)}
	step, _ := first(testSchedule(), live, targets, start.Add(33*time.Second))
	if step.Upstream.ID != "z" || step.Version != 4 {
		t.Fatalf("the first step is %+v, want runner z and version 4", step)
	}
}

// Ten runners lack a version with 3 s left of its bound when a newer version becomes the
// target. The deadline must not count from the newer one: with one load at a time, the last
// runner would have the older version only after 20 s.
func TestNewerVersionDoesNotExtendBoundOfOlder(t *testing.T) {
	targets := NewTargetVersions()
	targets.Record("m", 2, start)
	targets.Record("m", 3, start.Add(9*time.Second))
	var live []roster.Upstream
	for i := range 10 {
		live = append(live, runner(fmt.Sprint(i), 1))
	}
	s := NewSchedule(Options{MaxConcurrent: 10, Bound: bound, Notice: 200 * time.Millisecond})
	s.Next(live, targets, start.Add(9*time.Second))
	if got := s.Progress(); got.MaxConcurrent < 7 || got.Lacking != 10 || got.Age(start.Add(9*time.Second)) != 9*time.Second {
		t.Fatalf("account %+v, want AtOnce of 7 or more, 10 lacking, 9 s behind", got)
	}
}

func TestMinimumVersions(t *testing.T) {
	targets := NewTargetVersions()
	targets.Record("m", 2, start)
	targets.Record("m", 3, start.Add(8*time.Second))
	targets.Record("other", 1, start.Add(time.Hour))
	heard := func(u roster.Upstream) Runner { return Runner{Upstream: u, Reachable: true} }
	unheard := func(u roster.Upstream) Runner { return Runner{Upstream: u} }
	behind := []Runner{heard(runner("a", 1)), heard(runner("b", 2))}
	most := []Runner{unheard(runner("a", 1)), unheard(runner("b", 3)), unheard(runner("c", 3))}
	tooFew := []Runner{unheard(runner("a", 1)), heard(runner("b", 2))}
	at := func(version uint64) []roster.Loaded { return []roster.Loaded{{Model: "m", Version: version}} }
	cases := []struct {
		name    string
		led, at time.Duration
		minimum []roster.Loaded
		fleet   []Runner
	}{
		{"within the bound", 0, 13 * time.Second, nil, most},
		{"shortly before the end of the bound", 0, 13500 * time.Millisecond, at(2), behind},
		{"shortly before the end of the next version's bound", 0, 21500 * time.Millisecond, at(3), behind},
		{"a newly elected leader", 13 * time.Second, 21 * time.Second, nil, behind},
		{"a newly elected leader, and most runners have the version", 13 * time.Second, 21500 * time.Millisecond, at(3), most},
		{"a leader that has led for long enough", 13 * time.Second, 22 * time.Second, at(3), behind},
		{"a leader that hears from too few runners", 0, 22 * time.Second, nil, tooFew},
	}
	for _, c := range cases {
		minimum := NewMinimumVersions()
		minimum.Raise(targets, func() []Runner { return c.fleet }, start.Add(c.led), bound, start.Add(c.at))
		if got := minimum.List(); !slices.Equal(got, c.minimum) {
			t.Errorf("%s: minimum versions %v", c.name, got)
		}
	}
}

// Runners restart with old weights after the bound, so that most are below the minimum
// version again. It must not decrease: callers would be answered on weights past the bound.
func TestMinimumVersionNeverDecreases(t *testing.T) {
	targets, minimum := NewTargetVersions(), NewMinimumVersions()
	targets.Record("m", 2, start)
	fleet := []Runner{{Upstream: runner("a", 2)}, {Upstream: runner("b", 2)}}
	listFleet := func() []Runner { return fleet }
	minimum.Raise(targets, listFleet, start, bound, start.Add(14*time.Second))
	want := minimum.List()
	fleet = []Runner{{Upstream: runner("a", 1)}, {Upstream: runner("b", 1)}}
	minimum.Raise(targets, listFleet, start, bound, start.Add(15*time.Second))
	if got := minimum.List(); len(want) != 1 || !slices.Equal(got, want) {
		t.Fatalf("the minimum version is %v, then %v", want, got)
	}
}

// Guards against a process that starts between two bounds, learns of an older target version after the
// newest one, and counts both from its start.
func TestTargetVersionsAreBackdated(t *testing.T) {
	for _, c := range []struct {
		name    string
		version uint64
		at      time.Duration
		// since are the times since which versions 1, 2 and 3 have been lacked, in s.
		since [3]int
	}{
		{"a version that is not known yet", 2, -9 * time.Second, [3]int{-9, 10, 10}},
		{"the newest", 3, -5 * time.Second, [3]int{-5, -5, 10}},
		{"a later time than is known", 3, time.Second, [3]int{0, 0, 10}},
		{"a newer version, before it is a target", 4, -5 * time.Second, [3]int{-5, -5, -5}},
	} {
		targets := NewTargetVersions()
		if c.version == 2 {
			targets.Record("m", 3, start.Add(10*time.Second))
		} else {
			targets.Record("m", 3, start)
		}
		if c.version != 4 {
			targets.Record("m", 4, start.Add(10*time.Second))
		}
		targets.Backdate("m", c.version, start.Add(c.at))
		for i, want := range c.since {
			if since, lacks := targets.FirstLacked("m", uint64(i+1)); !lacks || since.Sub(start) != time.Duration(want)*time.Second {
				t.Errorf("%s: version %d has been lacked since %v, %v, want %d s", c.name, i+1, since.Sub(start), lacks, want)
			}
		}
	}
}

// Guards against a leader that counts the bounds anew which were over under an earlier one.
func TestMinimumVersionsAreAdopted(t *testing.T) {
	targets, minimum := NewTargetVersions(), NewMinimumVersions()
	targets.Record("m", 3, start)
	minimum.Adopt([]roster.Loaded{{Model: "m", Version: 2}})
	minimum.Adopt([]roster.Loaded{{Model: "m", Version: 1}})
	listFleet := func() []Runner { return []Runner{{Upstream: runner("a", 1)}} }
	minimum.Raise(targets, listFleet, start, bound, start.Add(time.Second))
	if got := minimum.Of("m"); got != 2 {
		t.Fatalf("the minimum version is %d, want 2", got)
	}
}

func TestTargetVersionsAreBoundedAndKeepOldest(t *testing.T) {
	targets := NewTargetVersions()
	for version := uint64(2); version < 500; version++ {
		targets.Record("m", version, start.Add(time.Duration(version)*time.Second))
	}
	targets.Record("m", 7, start)
	if len(targets.byModel["m"]) != maxTargets || targets.Newest("m") != 499 {
		t.Fatalf("%d target versions, newest %d", len(targets.byModel["m"]), targets.Newest("m"))
	}
	if at, lacks := targets.FirstLacked("m", 1); !lacks || at != start.Add(2*time.Second) {
		t.Fatalf("a runner with version 1 lacks a version since %v", at)
	}
	if _, lacks := targets.FirstLacked("m", 499); lacks {
		t.Fatal("a runner with the newest version lacks one")
	}
}

// fleet simulates runners that receive load steps. Stuck runners accept their order and are
// still loading when the load is abandoned.
type fleet struct {
	schedule *Schedule
	targets  *TargetVersions
	live     []roster.Upstream
	stuck    map[string]bool
	load     time.Duration
}

const abandonAfter = 8 * time.Second

// play simulates the given time and returns the longest time for which a runner that is not
// stuck lacked a version.
func (f *fleet) play(now time.Time, length time.Duration) (worst time.Duration) {
	type order struct {
		end     time.Time
		version uint64
	}
	orders := map[string]order{}
	for end := now.Add(length); now.Before(end); now = now.Add(50 * time.Millisecond) {
		for i := range f.live {
			id := f.live[i].ID
			if o, loads := orders[id]; loads && !now.Before(o.end) {
				delete(orders, id)
				if !f.stuck[id] {
					f.live[i].Loaded = []roster.Loaded{{Model: "m", Version: o.version}}
				}
				f.schedule.Release(f.live[i], !f.stuck[id], now)
			}
			if since, lacks := f.targets.FirstLacked("m", f.live[i].VersionOf("m")); lacks && !f.stuck[id] {
				worst = max(worst, now.Sub(since))
			}
		}
		for _, step := range f.schedule.Next(f.live, f.targets, now) {
			duration := f.load
			if f.stuck[step.Upstream.ID] {
				duration = abandonAfter
			}
			orders[step.Upstream.ID] = order{end: now.Add(duration), version: step.Version}
		}
	}
	return worst
}

func newFleet(runners int, stuck ...string) *fleet {
	f := &fleet{
		schedule: NewSchedule(Options{MaxConcurrent: 3, Bound: bound, Notice: 200 * time.Millisecond}),
		targets:  NewTargetVersions(), stuck: map[string]bool{}, load: 1800 * time.Millisecond,
	}
	f.targets.Record("m", 2, start)
	for i := range runners {
		f.live = append(f.live, runner(fmt.Sprintf("r%02d", i), 1))
	}
	for _, id := range stuck {
		f.stuck[id] = true
	}
	return f
}

// A few runners accept their orders and never complete them. Each occupies a load slot
// until its load is abandoned, and is first in the queue again because it has lacked the
// weights for longest. Runners that would load immediately must still get their step in
// time, or callers are refused or answered on weights past the bound. Nearly half of the
// runners may be stuck.
func TestStuckLoadsDoNotDelayOtherRunners(t *testing.T) {
	for stuck := range 9 {
		var ids []string
		for i := range stuck {
			ids = append(ids, fmt.Sprintf("r%02d", 2*i))
		}
		if worst := newFleet(18, ids...).play(start, time.Minute); worst > bound {
			t.Errorf("%d stuck: another runner lacked weights for %v, the bound is %v", stuck, worst, bound)
		}
	}
}

// One order of a runner was lost, while other runners always fail. The runner must get its
// second step before each of them has had its steps one after the other, or callers are
// refused by a runner that would have loaded long ago.
func TestSingleFailedStepIsRetriedBeforeRunnersThatAlwaysFail(t *testing.T) {
	targets := NewTargetVersions()
	targets.Record("m", 2, start)
	live := []roster.Upstream{runner("a", 1), runner("b", 1), runner("c", 1), runner("z", 1)}
	s := testSchedule()
	steps := map[string]int{}
	now := start
	for ; steps["z"] < 2 && now.Sub(start) < time.Minute; now = now.Add(50 * time.Millisecond) {
		for _, step := range s.Next(live, targets, now) {
			steps[step.Upstream.ID]++
			s.Release(step.Upstream, false, now.Add(3*time.Second))
			now = now.Add(3 * time.Second)
		}
	}
	for id, count := range steps {
		if count > 3 || steps["z"] < 2 {
			t.Fatalf("runner %s had %d steps; steps by runner: %v", id, count, steps)
		}
	}
}

// A runner crashes while it loads and restarts under its name with its previous weights.
// The previous incarnation occupies its load slot until that load is abandoned, and had
// failed before. The new incarnation must get its step immediately, because it refuses
// callers until then.
func TestNewIncarnationDoesNotInheritBackoff(t *testing.T) {
	targets := NewTargetVersions()
	targets.Record("m", 2, start)
	previous, next := runner("a", 1), runner("a", 1)
	previous.StartedMs, next.StartedMs = 1000, 2000
	s := testSchedule()
	step, at := first(s, []roster.Upstream{previous}, targets, start)
	for range 5 {
		s.Release(step.Upstream, false, at)
		step, at = first(s, []roster.Upstream{previous}, targets, at)
	}
	s.options.MaxConcurrent = 2
	if step, startedAt := first(s, []roster.Upstream{next, runner("b", 1)}, targets, at); step.Upstream.StartedMs != 2000 || startedAt.Sub(at) > time.Second {
		t.Fatalf("%v after the restart the first step is %+v, want the new incarnation within a second", startedAt.Sub(at), step)
	}
}
