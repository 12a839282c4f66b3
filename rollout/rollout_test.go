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
	return NewSchedule(Options{AtOnce: 1, Bound: bound, Notice: 200 * time.Millisecond})
}

// first returns the first turn that a schedule gives, and when.
func first(s *Schedule, live []roster.Upstream, n *TargetVersions, now time.Time) (Step, time.Time) {
	for range 100 {
		if turns := s.Next(live, n, now); len(turns) > 0 {
			return turns[0], now
		}
		now = now.Add(50 * time.Millisecond)
	}
	return Step{}, now
}

// A runner comes back with the weights that it had three versions ago, while others
// only lack the newest. Its bound has ended: any other order would leave it out of
// service, or worse in service, for the whole round.
func TestTheRunnerThatLacksWeightsLongestComesFirst(t *testing.T) {
	n := NewTargetVersions()
	for version := uint64(2); version <= 4; version++ {
		n.Record("m", version, start.Add(time.Duration(version)*8*time.Second))
	}
	live := []roster.Upstream{runner("a", 3), runner("b", 3), runner("z", 1)}
	turn, _ := first(testSchedule(), live, n, start.Add(33*time.Second))
	if turn.Upstream.ID != "z" || turn.Version != 4 {
		t.Fatalf("the first turn is %+v", turn)
	}
}

// Ten runners lack a version with 3 s left of its bound. A newer one is named. The
// time of all must not count from the newer one: one load at a time would bring the
// last runner to the older version after 20 s.
func TestANewerVersionTakesNothingFromTheBoundOfAnOlderOne(t *testing.T) {
	n := NewTargetVersions()
	n.Record("m", 2, start)
	n.Record("m", 3, start.Add(9*time.Second))
	var live []roster.Upstream
	for i := range 10 {
		live = append(live, runner(fmt.Sprint(i), 1))
	}
	s := NewSchedule(Options{AtOnce: 10, Bound: bound, Notice: 200 * time.Millisecond})
	s.Next(live, n, start.Add(9*time.Second))
	if got := s.Account(); got.AtOnce < 7 || got.Lacking != 10 || got.Age(start.Add(9*time.Second)) != 9*time.Second {
		t.Fatalf("account %+v", got)
	}
}

func TestFloor(t *testing.T) {
	n := NewTargetVersions()
	n.Record("m", 2, start)
	n.Record("m", 3, start.Add(8*time.Second))
	n.Record("other", 1, start.Add(time.Hour))
	heard := func(u roster.Upstream) Runner { return Runner{Upstream: u, Heard: true} }
	silent := func(u roster.Upstream) Runner { return Runner{Upstream: u} }
	behind := []Runner{heard(runner("a", 1)), heard(runner("b", 2))}
	most := []Runner{silent(runner("a", 1)), silent(runner("b", 3)), silent(runner("c", 3))}
	unheard := []Runner{silent(runner("a", 1)), heard(runner("b", 2))}
	at := func(version uint64) []roster.Loaded { return []roster.Loaded{{Model: "m", Version: version}} }
	cases := []struct {
		name    string
		led, at time.Duration
		floor   []roster.Loaded
		fleet   []Runner
	}{
		{"within the bound", 0, 13 * time.Second, nil, most},
		{"a little before its end", 0, 13500 * time.Millisecond, at(2), behind},
		{"of the next version", 0, 21500 * time.Millisecond, at(3), behind},
		{"a leader that has just come", 13 * time.Second, 21 * time.Second, nil, behind},
		{"the same, and most runners have the version", 13 * time.Second, 21500 * time.Millisecond, at(3), most},
		{"a leader that had its time", 13 * time.Second, 22 * time.Second, at(3), behind},
		{"a leader that hears too few", 0, 22 * time.Second, nil, unheard},
	}
	for _, c := range cases {
		got := NewMinimumVersions().Raise(n, func() []Runner { return c.fleet }, start.Add(c.led), bound, start.Add(c.at))
		if !slices.Equal(got, c.floor) {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// Runners start again with old weights after the bound, so that most are below the
// floor again. It must not sink: callers would be answered on weights past the bound.
func TestTheFloorNeverSinks(t *testing.T) {
	n, f := NewTargetVersions(), NewMinimumVersions()
	n.Record("m", 2, start)
	fleet := []Runner{{Upstream: runner("a", 2)}, {Upstream: runner("b", 2)}}
	told := func() []Runner { return fleet }
	want := f.Raise(n, told, start, bound, start.Add(14*time.Second))
	fleet = []Runner{{Upstream: runner("a", 1)}, {Upstream: runner("b", 1)}}
	if got := f.Raise(n, told, start, bound, start.Add(15*time.Second)); len(want) != 1 || !slices.Equal(got, want) {
		t.Fatalf("the floor is %v, then %v", want, got)
	}
}

func TestNamingsAreBoundedAndKeepTheOldest(t *testing.T) {
	n := NewTargetVersions()
	for version := uint64(2); version < 500; version++ {
		n.Record("m", version, start.Add(time.Duration(version)*time.Second))
	}
	n.Record("m", 7, start)
	if len(n.byModel["m"]) != maxNamings || n.Newest("m") != 499 {
		t.Fatalf("%d namings, newest %d", len(n.byModel["m"]), n.Newest("m"))
	}
	if at, lacks := n.FirstLacked("m", 1); !lacks || at != start.Add(2*time.Second) {
		t.Fatalf("version 1 is lacked since %v", at)
	}
	if _, lacks := n.FirstLacked("m", 499); lacks {
		t.Fatal("the newest version lacks one")
	}
}

// fleet plays runners that are given turns. stuck ones take their order and are
// still at it when their load is given up.
type fleet struct {
	schedule *Schedule
	namings  *TargetVersions
	live     []roster.Upstream
	stuck    map[string]bool
	load     time.Duration
}

const givenUp = 8 * time.Second

// play runs for so long and returns how long some runner that isn't stuck lacked a
// version at most.
func (f *fleet) play(now time.Time, length time.Duration) (worst time.Duration) {
	type order struct {
		end     time.Time
		version uint64
	}
	under := map[string]order{}
	for end := now.Add(length); now.Before(end); now = now.Add(50 * time.Millisecond) {
		for i := range f.live {
			id := f.live[i].ID
			if o, loads := under[id]; loads && !now.Before(o.end) {
				delete(under, id)
				if !f.stuck[id] {
					f.live[i].Loaded = []roster.Loaded{{Model: "m", Version: o.version}}
				}
				f.schedule.Release(f.live[i], !f.stuck[id], now)
			}
			if since, lacks := f.namings.FirstLacked("m", f.live[i].VersionOf("m")); lacks && !f.stuck[id] {
				worst = max(worst, now.Sub(since))
			}
		}
		for _, turn := range f.schedule.Next(f.live, f.namings, now) {
			takes := f.load
			if f.stuck[turn.Upstream.ID] {
				takes = givenUp
			}
			under[turn.Upstream.ID] = order{end: now.Add(takes), version: turn.Version}
		}
	}
	return worst
}

func newFleet(runners int, stuck ...string) *fleet {
	f := &fleet{
		schedule: NewSchedule(Options{AtOnce: 3, Bound: bound, Notice: 200 * time.Millisecond}),
		namings:  NewTargetVersions(), stuck: map[string]bool{}, load: 1800 * time.Millisecond,
	}
	f.namings.Record("m", 2, start)
	for i := range runners {
		f.live = append(f.live, runner(fmt.Sprintf("r%02d", i), 1))
	}
	for _, id := range stuck {
		f.stuck[id] = true
	}
	return f
}

// Callers are refused, or answered on weights past their bound, by runners that
// would load at once. A few others take their orders and never end them; each holds
// a turn until it is given up, and has lacked the weights for longest, so that it
// comes first again. Nearly half of the runners may do so without harm to the rest.
func TestRunnersThatNeverEndTheirLoadsLeaveTurnsToTheOthers(t *testing.T) {
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

// A runner's order was lost once. Others fail always. It must have its second turn
// before each of them has had one turn after the other: callers are else refused by a
// runner that would have loaded long ago.
func TestOneFailedTurnDoesNotPutARunnerBehindThoseThatAlwaysFail(t *testing.T) {
	n := NewTargetVersions()
	n.Record("m", 2, start)
	live := []roster.Upstream{runner("a", 1), runner("b", 1), runner("c", 1), runner("z", 1)}
	s := testSchedule()
	turns := map[string]int{}
	now := start
	for ; turns["z"] < 2 && now.Sub(start) < time.Minute; now = now.Add(50 * time.Millisecond) {
		for _, turn := range s.Next(live, n, now) {
			turns[turn.Upstream.ID]++
			s.Release(turn.Upstream, false, now.Add(3*time.Second))
			now = now.Add(3 * time.Second)
		}
	}
	for id, had := range turns {
		if had > 3 || turns["z"] < 2 {
			t.Fatalf("%s had %d turns, all: %v", id, had, turns)
		}
	}
}

// A runner crashes while it loads and starts again under its name, with the weights of
// before. Its former life holds its turn until that load is given up, and had failed
// before; the new life must have its turn at once, for callers are refused by it.
func TestTheNextLifeOfARunnerOwesNothingToTheFormer(t *testing.T) {
	n := NewTargetVersions()
	n.Record("m", 2, start)
	former, next := runner("a", 1), runner("a", 1)
	former.StartedMs, next.StartedMs = 1000, 2000
	s := testSchedule()
	turn, at := first(s, []roster.Upstream{former}, n, start)
	for range 5 {
		s.Release(turn.Upstream, false, at)
		turn, at = first(s, []roster.Upstream{former}, n, at)
	}
	s.options.AtOnce = 2
	if turn, began := first(s, []roster.Upstream{next, runner("b", 1)}, n, at); turn.Upstream.StartedMs != 2000 || began.Sub(at) > time.Second {
		t.Fatalf("%v after its start the first turn is %+v", began.Sub(at), turn)
	}
}
