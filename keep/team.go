package keep

import (
	"maps"
	"math"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/prefix"
)

// teamUse is what one team holds and has moved.
type teamUse struct {
	team    ident.Team
	tiers   [prefix.TierCount]copyList
	freeing [prefix.TierCount]int64 // bytes of them that are being freed
	prompts int
	// link is the team's recent exports in bytes, halved every linkHalfLife.
	link    float64
	linkAt  time.Time
	waiting int // prompts with blocks to export
}

// linkHalfLife is how fast a team's use of the links fades.
const linkHalfLife = 10 * time.Second

func (m *Manager) team(name ident.Team) *teamUse {
	t := m.teams[name]
	if t == nil {
		t = &teamUse{team: name}
		m.teams[name] = t
	}
	return t
}

// staying is how many bytes a team has in a tier that are not being freed.
func (t *teamUse) staying(tier prefix.Tier) int64 {
	return t.tiers[tier].bytes - t.freeing[tier]
}

// releaseTeam forgets a team that holds nothing, so that teams which are gone
// take no memory and no part of the floor. The teams kept are bounded by the
// prompts and copies.
func (m *Manager) releaseTeam(t *teamUse) {
	if t.prompts > 0 {
		return
	}
	for i := range t.tiers {
		if len(t.tiers[i].copies) > 0 {
			return
		}
	}
	delete(m.teams, t.team)
}

// room is this process's part of a tier over all store hosts, in bytes.
func (m *Manager) room(tier prefix.Tier) float64 {
	total := 0.0
	for _, s := range m.storeList {
		total += float64(s.status.Capacity[tier])
	}
	return total * m.opts.Share
}

// Budget is what one team is promised and allowed of each tier, as shares of
// this process's part. Zero fields mean the defaults of Options.
type Budget struct {
	Guaranteed float64
	Maximum    float64
}

// SetBudgets replaces the budgets that operators have set for teams.
func (m *Manager) SetBudgets(budgets map[ident.Team]Budget) {
	m.budgets = maps.Clone(budgets)
}

// floor is what a team may hold of a tier without being asked to give way.
func (m *Manager) floor(t *teamUse, tier prefix.Tier) float64 {
	if floor := m.budgets[t.team].Guaranteed; floor > 0 {
		return m.room(tier) * floor
	}
	return m.room(tier) * m.opts.TeamGuaranteed / float64(max(len(m.teams), 1))
}

// ceiling is the most that one team may hold of a tier while others want room.
func (m *Manager) ceiling(t *teamUse, tier prefix.Tier) float64 {
	if ceiling := m.budgets[t.team].Maximum; ceiling > 0 {
		return m.room(tier) * ceiling
	}
	if len(m.teams) <= 1 {
		return m.room(tier)
	}
	return m.room(tier) * m.opts.TeamMaximum
}

// fade brings a team's use of the links up to date.
func (t *teamUse) fade(now time.Time) {
	if t.linkAt.IsZero() {
		t.linkAt = now
	}
	halvings := now.Sub(t.linkAt).Seconds() / linkHalfLife.Seconds()
	if halvings < 0.1 {
		return
	}
	t.link *= math.Exp2(-halvings)
	t.linkAt = now
}
