package catalog

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/lovagereach/lovagereach/internal/wire"
)

// series is a series of accepted documents.
type series struct{ current *Document }

// accept accepts a document with these teams and returns whether it began a pool.
func (s *series) accept(teams ...Team) (began bool) {
	next := &Document{Version: 1, Teams: teams}
	if s.current != nil {
		next.Version = s.current.Version + 3
	}
	next.Succeed(s.current)
	began = s.current != nil && next.CachePool() != s.current.CachePool()
	s.current = next
	return began
}

// saved returns the document as a snapshot holds it.
func saved(t *testing.T, d *Document, earlierRelease bool) *Document {
	t.Helper()
	stripped := *d
	if earlierRelease {
		stripped.Sharing = nil
	}
	var restored Document
	if err := wire.Unmarshal(wire.MustMarshal(&stripped), &restored); err != nil {
		t.Fatal(err)
	}
	restored.Restore()
	return &restored
}

func team(name string, isolated bool, keys ...string) Team {
	return Team{Name: name, Keys: keys, Isolated: isolated}
}

func TestPoolBeginsWhenTeamLeavesIt(t *testing.T) {
	a, b := team("a", false, "ka"), team("b", false, "kb")
	alone := team("a", true, "ka")
	for _, c := range []struct {
		name   string
		before [][]Team
		last   []Team
		begins bool
	}{
		{"nobody is isolated", [][]Team{{a}}, []Team{a, b}, false},
		{"isolated from the first document on", [][]Team{{alone, b}}, []Team{alone, b}, false},
		{"new and isolated", [][]Team{{b}}, []Team{alone, b}, false},
		{"isolated", [][]Team{{a, b}}, []Team{alone, b}, true},
		{"isolated, and stays so", [][]Team{{a, b}, {alone, b}}, []Team{alone}, false},
		{"released", [][]Team{{alone, b}}, []Team{a, b}, false},
		{"isolated again", [][]Team{{a, b}, {alone, b}, {a, b}}, []Team{alone, b}, true},
		{"removed", [][]Team{{a, b}}, []Team{b}, false},
		{"removed and back", [][]Team{{a, b}, {b}}, []Team{a, b}, false},
		{"removed and back isolated", [][]Team{{a, b}, {b}, {b}}, []Team{alone, b}, true},
		{"removed while isolated and back isolated", [][]Team{{alone, b}, {b}}, []Team{alone, b}, false},
		{"renamed", [][]Team{{a, b}}, []Team{team("c", false, "ka"), b}, false},
		{"renamed and isolated", [][]Team{{a, b}}, []Team{team("c", true, "ka"), b}, true},
		{"renamed and isolated later", [][]Team{{a, b}, {b}}, []Team{team("c", true, "k", "ka"), b}, true},
		{"key passed on to an isolated team", [][]Team{{team("a", false, "ka", "k"), b}}, []Team{a, b, team("c", true, "k")}, false},
		{"listed twice", [][]Team{{a, b, team("a", true, "k")}}, []Team{alone, b}, false},
		{"all teams removed and back isolated", [][]Team{{a, b}, nil}, []Team{alone}, true},
	} {
		var s series
		for _, teams := range c.before {
			s.accept(teams...)
		}
		if began := s.accept(c.last...); began != c.begins {
			t.Errorf("%s: another pool begins: %v, want %v", c.name, began, c.begins)
		}
	}
}

// A state of an earlier release doesn't tell who shared the pool: each team that is isolated may have.
func TestPoolBeginsAfterStateOfEarlierRelease(t *testing.T) {
	shared, isolated := team("a", false), team("b", true)
	var s series
	s.accept(shared)
	s.current = saved(t, s.current, true)
	if s.current.CachePool() != 0 {
		t.Error("another pool begins without an isolated team")
	}
	if !s.accept(shared, isolated) {
		t.Error("a team that may have shared the pool is isolated, and no other pool begins")
	}
	if s.accept(shared, isolated, team("c", true)) {
		t.Error("a team that can't have shared the pool is isolated, and another pool begins")
	}
	s.current = saved(t, s.current, true)
	if s.current.CachePool() != s.current.Version {
		t.Error("a team that may have shared the pool is isolated in the state, and no other pool begins")
	}
}

func TestStateKeepsWhatIsShared(t *testing.T) {
	var s series
	for i, teams := range [][]Team{{team("a", true)}, {team("a", true), team("b", false)}, {team("a", true)}, {team("a", true), team("b", true)}} {
		s.accept(teams...)
		before := *s.current.Sharing
		s.current = saved(t, s.current, false)
		if after := *s.current.Sharing; after.Pool != before.Pool || after.Unknown || !slices.Equal(after.Former, before.Former) {
			t.Errorf("document %d: %+v is restored as %+v", i, before, after)
		}
	}
	if s.current.CachePool() != s.current.Version {
		t.Error("a team that left the pool before a restart is isolated, and no other pool begins")
	}
}

func TestFormerTeamsAreBounded(t *testing.T) {
	var s series
	for i := range maxFormer + 10 {
		s.accept(team(fmt.Sprint("team-", i), false))
	}
	if got := len(s.current.Sharing.Former); got > maxFormer || !s.current.Sharing.Unknown {
		t.Errorf("%d former teams are known, at most %d should be; unknown %v", got, maxFormer, s.current.Sharing.Unknown)
	}
	if !s.accept(team("team-1", true)) {
		t.Error("a team that is no longer known to have shared the pool is isolated, and no other pool begins")
	}
}

// Guards against kept parts that cross the bounds of an isolated team over any series of changes, saves
// and restores.
func TestIsolatedCustomersShareNothing(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		names := []string{"a", "b", "c", "d"}
		present, isolated := make([]bool, len(names)), make([]bool, len(names))
		// makers holds, by scope, the customers whose requests made kept parts in it.
		makers := make(map[string]map[int]bool)
		var s series
		for change := range 40 {
			for range 1 + r.IntN(2) {
				customer := r.IntN(len(names))
				switch r.IntN(5) {
				case 0:
					present[customer] = !present[customer]
				case 1:
					names[customer] = fmt.Sprintf("%c%d", 'a'+customer, change)
				default:
					isolated[customer] = !isolated[customer]
				}
			}
			var teams []Team
			for customer, name := range names {
				if present[customer] {
					teams = append(teams, team(name, isolated[customer], fmt.Sprint("key-", customer)))
				}
			}
			s.accept(teams...)
			if r.IntN(4) == 0 {
				s.current = saved(t, s.current, r.IntN(8) == 0)
			}
			index := NewIndex(s.current.ForEntries())
			for customer, name := range names {
				if !present[customer] || r.IntN(3) == 0 {
					continue
				}
				scope := index.CacheTeam(name)
				if scope == "" {
					scope = fmt.Sprint("pool ", index.Document().CachePool())
				}
				if makers[scope] == nil {
					makers[scope] = make(map[int]bool)
				}
				for maker := range makers[scope] {
					if maker != customer && (isolated[customer] || present[maker] && isolated[maker]) {
						t.Fatalf("seed %d, change %d: customer %d uses parts of customer %d in %s, teams %+v", seed, change, customer, maker, scope, teams)
					}
				}
				makers[scope][customer] = true
			}
		}
	}
}
