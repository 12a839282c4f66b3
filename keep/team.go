package keep

import (
	"maps"
	"math"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/prefix"
)

// teamState is the capacity and link use of one team.
type teamState struct {
	team    ident.Team
	tiers   [prefix.TierCount]copyList
	freeing [prefix.TierCount]int64 // bytes being freed, by tier
	prompts int
	// recentExportBytes is the decaying sum of the team's exports in bytes,
	// halved every linkHalfLife, as of recentExportsAt.
	recentExportBytes float64
	recentExportsAt   time.Time
	waiting           int // prompts with blocks to export
}

// linkHalfLife is the half-life of a team's recorded link use.
const linkHalfLife = 10 * time.Second

func (m *Manager) team(name ident.Team) *teamState {
	t := m.teams[name]
	if t == nil {
		t = &teamState{team: name}
		m.teams[name] = t
	}
	return t
}

// retained returns the bytes that a team has in a tier and that are not being
// freed.
func (t *teamState) retained(tier prefix.Tier) int64 {
	return t.tiers[tier].bytes - t.freeing[tier]
}

// dropTeamIfUnused removes a team that holds nothing, so that inactive teams
// use no memory and no part of the guaranteed share. The number of teams is
// bounded by the numbers of prompts and copies.
func (m *Manager) dropTeamIfUnused(t *teamState) {
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

// totalCapacityShare returns this process's share of a tier over all store
// hosts, in bytes.
func (m *Manager) totalCapacityShare(tier prefix.Tier) float64 {
	total := 0.0
	for _, s := range m.storeList {
		total += float64(s.status.Capacity[tier])
	}
	return total * m.opts.Share
}

// Budget is the guaranteed and the maximum share of each tier for one team, as
// fractions of this process's share. Zero fields mean the defaults of Options.
type Budget struct {
	Guaranteed float64
	Maximum    float64
}

// SetBudgets replaces the budgets that operators configured for teams.
func (m *Manager) SetBudgets(budgets map[ident.Team]Budget) {
	m.budgets = maps.Clone(budgets)
}

// guaranteed returns the bytes of a tier that a team may hold without having to
// free any for other teams.
func (m *Manager) guaranteed(t *teamState, tier prefix.Tier) float64 {
	if guaranteed := m.budgets[t.team].Guaranteed; guaranteed > 0 {
		return m.totalCapacityShare(tier) * guaranteed
	}
	return m.totalCapacityShare(tier) * m.opts.TeamGuaranteed / float64(max(len(m.teams), 1))
}

// maximum returns the maximum bytes of a tier for one team while others need
// capacity.
func (m *Manager) maximum(t *teamState, tier prefix.Tier) float64 {
	if maximum := m.budgets[t.team].Maximum; maximum > 0 {
		return m.totalCapacityShare(tier) * maximum
	}
	if len(m.teams) <= 1 {
		return m.totalCapacityShare(tier)
	}
	return m.totalCapacityShare(tier) * m.opts.TeamMaximum
}

// decay updates the team's recent exports to the current time.
func (t *teamState) decay(now time.Time) {
	if t.recentExportsAt.IsZero() {
		t.recentExportsAt = now
	}
	halvings := now.Sub(t.recentExportsAt).Seconds() / linkHalfLife.Seconds()
	if halvings < 0.1 {
		return
	}
	t.recentExportBytes *= math.Exp2(-halvings)
	t.recentExportsAt = now
}
