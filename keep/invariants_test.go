package keep

import (
	"testing"

	"github.com/lovagereach/lovagereach/prefix"
)

// checkManager recomputes all counts and indexes of a manager and compares
// them.
func checkManager(t testing.TB, m *Manager) {
	t.Helper()
	checkCopies(t, m)
	checkPrompts(t, m)
	checkPins(t, m)
}

func checkCopies(t testing.TB, m *Manager) {
	t.Helper()
	type sums struct {
		writing int64
		freeing [prefix.TierCount]int64
		tiers   [prefix.TierCount]int64
	}
	byStore := make(map[*storeHost]*sums)
	byTeam := make(map[*teamState][prefix.TierCount]int64)
	for block, c := range m.copies {
		if c.block != block || m.byID[c.id] != c || c.phase == Absent || m.stores[c.store.status.Store] != c.store {
			t.Fatalf("copy %+v is inconsistent with the indexes", c)
		}
		tier := c.copy.Tier
		if c.store.tiers[tier].copies[c.tierIndex] != c || c.team.tiers[tier].copies[c.teamIndex] != c || m.teams[c.team.team] != c.team {
			t.Fatalf("copy %+v is not in its lists", c)
		}
		s := byStore[c.store]
		if s == nil {
			s = &sums{}
			byStore[c.store] = s
		}
		s.tiers[tier] += c.bytes()
		if c.inWrite() {
			s.writing += c.bytes()
		}
		if c.phase == Freeing {
			s.freeing[tier] += c.bytes()
			freeing := byTeam[c.team]
			freeing[tier] += c.bytes()
			byTeam[c.team] = freeing
		}
	}
	for _, s := range m.storeList {
		want := byStore[s]
		if want == nil {
			want = &sums{}
		}
		got := sums{writing: s.writing, freeing: s.freeing}
		for tier := range s.tiers {
			got.tiers[tier] = s.tiers[tier].bytes
		}
		if got != *want {
			t.Fatalf("store %q counts %+v, want %+v", s.status.Store, got, *want)
		}
	}
	for name, team := range m.teams {
		if team.freeing != byTeam[team] {
			t.Fatalf("team %q counts %v bytes being freed, want %v", name, team.freeing, byTeam[team])
		}
	}
	if len(m.byID) != len(m.copies) || len(m.storeList) != len(m.stores) {
		t.Fatalf("%d copies, %d by ID; %d stores, %d in the list", len(m.copies), len(m.byID), len(m.stores), len(m.storeList))
	}
}

func checkPrompts(t testing.TB, m *Manager) {
	t.Helper()
	count, waiting := 0, 0
	teamPrompts := make(map[*teamState]int)
	users := make(map[prefix.BlockID]uint32)
	for p := m.prompts.newest; p != nil; p = p.older {
		count++
		teamPrompts[p.team]++
		copies := 0
		for _, block := range p.blocks {
			users[block]++
			if m.prompts.ownerOf(block) == p && m.copies[block] != nil {
				copies++
			}
		}
		if copies != p.copies || !p.tracked || m.ages[p.ageIndex] != p {
			t.Fatalf("prompt %+v is inconsistent; it has %d copies", p, copies)
		}
		if p.waiting >= 0 {
			waiting++
			if m.waiting[p.waiting] != p {
				t.Fatalf("prompt %+v is not at its index in the waiting list", p)
			}
		}
	}
	if count != m.prompts.count || waiting != len(m.waiting) || count != len(m.ages) {
		t.Fatalf("%d prompts, %d recorded; %d waiting, %d listed", count, m.prompts.count, waiting, len(m.waiting))
	}
	for block, use := range m.prompts.byBlock {
		if use.owner != nil && !use.owner.tracked || use.users != users[block] {
			t.Fatalf("block %v counts %d users, want %d; owner %+v", block, use.users, users[block], use.owner)
		}
	}
	for last, p := range m.prompts.byLastBlock {
		if !p.tracked || p.blocks[len(p.blocks)-1] != last {
			t.Fatalf("block %v is not the last block of %+v", last, p)
		}
	}
	for name, team := range m.teams {
		if team.prompts != teamPrompts[team] || team.team != name {
			t.Fatalf("team %q counts %d prompts, want %d", name, team.prompts, teamPrompts[team])
		}
	}
}

func checkPins(t testing.TB, m *Manager) {
	t.Helper()
	pins := make(map[*keptCopy]int)
	reading := make(map[*storeHost]int64)
	for _, pin := range m.pins {
		pins[pin.copy]++
		reading[pin.copy.store] += pin.copy.bytes()
	}
	for _, c := range m.copies {
		if c.pins != pins[c] {
			t.Fatalf("copy %+v counts %d pins, want %d", c, c.pins, pins[c])
		}
	}
	for _, s := range m.storeList {
		if s.reading != reading[s] {
			t.Fatalf("store %q counts %d bytes read, want %d", s.status.Store, s.reading, reading[s])
		}
	}
	if len(m.pins) > m.opts.MaxPins || len(m.pinQueue) > 2*m.opts.MaxPins || len(m.orphanedPins) > len(m.pinQueue) {
		t.Fatalf("limits exceeded: %d pins, %d queued, %d orphaned", len(m.pins), len(m.pinQueue), len(m.orphanedPins))
	}
}
