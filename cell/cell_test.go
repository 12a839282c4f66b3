package cell

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

func members(n int, centres ...ident.DataCentre) []Member {
	out := make([]Member, 0, n)
	for i := range n {
		out = append(out, Member{
			Host:       ident.Host(fmt.Sprintf("entry-%03d", i)),
			DataCentre: centres[i%len(centres)],
		})
	}
	return out
}

func cells(n int, centres ...ident.DataCentre) []ident.Cell {
	out := make([]ident.Cell, 0, n)
	for i := range n {
		out = append(out, ident.Cell{
			Model:      ident.Model(fmt.Sprintf("model-%d", i%17)),
			DataCentre: centres[i%len(centres)],
			Shard:      uint16(i / 17),
		})
	}
	return out
}

func newTable(t *testing.T, owners int, ms []Member) *Table {
	t.Helper()
	table := NewTable(Options{Owners: owners})
	if err := table.SetMembers(ms); err != nil {
		t.Fatal(err)
	}
	return table
}

// Guards against membership changes that move cells of other members: each would rebuild the
// directories of the whole deployment, and kept prompts would be recomputed.
func TestMembershipChangeMovesFewCells(t *testing.T) {
	centres := []ident.DataCentre{"dc-1", "dc-2", "dc-3", "dc-4", "dc-5", "dc-6", "dc-7"}
	all := members(670, centres...)
	before := newTable(t, 3, all)
	after := newTable(t, 3, slices.Delete(slices.Clone(all), 100, 101))
	lost := all[100].Host
	moved, owned := 0, 0
	for _, c := range cells(1200, centres...) {
		was, is := before.Owners(c), after.Owners(c)
		if slices.Contains(was, lost) {
			owned++
		}
		for _, host := range was {
			if host != lost && !slices.Contains(is, host) {
				moved++
			}
		}
	}
	if moved != 0 {
		t.Errorf("%d owners other than the lost member changed", moved)
	}
	if owned == 0 || owned > 30 {
		t.Errorf("the lost member owned %d of 1200 cells, want about 5", owned)
	}
}

// A prompt's home fails, or returns: prompts of other homes must not move, and those of the
// failed one must spread over all remaining owners rather than move to one.
func TestHomeMovesOnlyFromLostOwner(t *testing.T) {
	ms := members(9, "hall-north", "hall-dock", "hall-office")
	c := ident.Cell{Model: "appraiser-llm", DataCentre: "hall-north"}
	before := newTable(t, 9, ms)
	after := newTable(t, 9, ms[1:])
	random := rand.New(rand.NewPCG(1, 2))
	received := map[ident.Host]int{}
	for range 9000 {
		key := random.Uint64()
		was, _ := before.Home(c, key)
		is, _ := after.Home(c, key)
		switch {
		case was == ms[0].Host:
			received[is]++
		case was != is:
			t.Fatalf("prompt %x moved from %s to %s, neither of which was lost", key, was, is)
		}
	}
	if len(received) != 8 {
		t.Errorf("the lost home's prompts moved to %d owners, want 8", len(received))
	}
	for host, n := range received {
		if n > 250 {
			t.Errorf("%s received %d of about 1000 prompts", host, n)
		}
	}
}

func TestOwners(t *testing.T) {
	local := []Member{{"a", "x"}, {"b", "x"}, {"c", "y"}}
	tests := []struct {
		name    string
		owners  int
		members []Member
		want    []ident.Host
	}{
		{"none without members", 3, nil, nil},
		{"all when few", 5, local, []ident.Host{"a", "b", "c"}},
		{"own data centre first", 2, local, []ident.Host{"a", "b"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := newTable(t, tt.owners, tt.members)
			got := slices.Clone(table.Owners(ident.Cell{Model: "m", DataCentre: "x"}))
			slices.Sort(got)
			if !slices.Equal(got, tt.want) {
				t.Errorf("owners %v, want %v", got, tt.want)
			}
		})
	}
	if err := newTable(t, 1, nil).SetMembers([]Member{{"a", "x"}, {"a", "y"}}); err == nil {
		t.Error("a host listed twice was accepted")
	}
}

func TestShardGrowthMovesOnlyIntoNewShard(t *testing.T) {
	moved := 0
	for i := range 1200 {
		name := ident.Upstream(fmt.Sprintf("runner-%d", i))
		was, is := ShardOf(name, 11), ShardOf(name, 12)
		if was != is && is != 11 {
			t.Fatalf("%s moved between existing shards %d and %d", name, was, is)
		}
		if was != is {
			moved++
		}
	}
	if moved < 60 || moved > 150 {
		t.Errorf("%d of 1200 upstreams moved into the twelfth shard, want about 100", moved)
	}
}

// An owner's summaries arrive out of order on two paths, or stop because it crashed. The
// newest one must be kept, and a cell without a valid summary must not be picked.
func TestDirectory(t *testing.T) {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(3, 4))
	near := ident.Cell{Model: "m", DataCentre: "x"}
	far := ident.Cell{Model: "m", DataCentre: "y"}
	d := NewDirectory()
	d.Put(now, Summary{Cell: near, QueueWait: time.Second, FreeSlots: 1, Sequence: 2, From: "a"})
	d.Put(now, Summary{Cell: far, FreeSlots: 8, Sequence: 1, From: "b"})
	if d.Put(now, Summary{Cell: near, Sequence: 1, From: "a"}) {
		t.Error("an older summary replaced a newer one")
	}
	if c, ok := d.Pick(now, "m", random); !ok || c != far {
		t.Errorf("picked %v, %v; want the idle cell", c, ok)
	}
	later := now.Add(SummaryLifetime + time.Millisecond)
	if c, ok := d.Pick(later, "m", random); ok {
		t.Errorf("picked %v, whose summary has expired", c)
	}
	d.Expire(now.Add(expireAfter + time.Second))
	if len(d.byCell) != 0 || len(d.byModel) != 0 {
		t.Error("expired cells were kept")
	}
}
