package keep

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/prefix"
)

// StoreView is what this process has on one store host, for dumps.
type StoreView struct {
	Store       ident.Upstream    `json:"store" cbor:"store"`
	Incarnation ident.Incarnation `json:"incarnation" cbor:"incarnation"`
	// Held, Freeing and Share are in bytes, by tier: what this process holds,
	// what of it is being freed, and its part of the tier.
	Held    [prefix.TierCount]int64 `json:"held" cbor:"held"`
	Freeing [prefix.TierCount]int64 `json:"freeing" cbor:"freeing"`
	Share   [prefix.TierCount]int64 `json:"share" cbor:"share"`
	// Full tells which tiers refused for want of room a moment ago.
	Full [prefix.TierCount]bool `json:"full" cbor:"full"`
	// Paused tells that the host failed and is left alone for a while.
	Paused bool `json:"paused" cbor:"paused"`
	// Writing is how many bytes are being written, Window how many may be,
	// Reading how many pinned readers may be fetching.
	Writing int64 `json:"writing" cbor:"writing"`
	Window  int64 `json:"window" cbor:"window"`
	Reading int64 `json:"reading" cbor:"reading"`
}

// TeamView is what one team has, for dumps.
type TeamView struct {
	Team    ident.Team `json:"team" cbor:"team"`
	Prompts int        `json:"prompts" cbor:"prompts"`
	// Held, Floor and Ceiling are in bytes, by tier: what the team holds, is
	// promised and is allowed while others want room.
	Held       [prefix.TierCount]int64 `json:"held" cbor:"held"`
	Guaranteed [prefix.TierCount]int64 `json:"floor" cbor:"floor"`
	Maximum    [prefix.TierCount]int64 `json:"ceiling" cbor:"ceiling"`
}

// Stores describes the store hosts in the order of their names.
func (m *Manager) Stores(now time.Time) []StoreView {
	views := make([]StoreView, 0, len(m.storeList))
	for _, s := range m.storeList {
		view := StoreView{
			Store:       s.status.Store,
			Incarnation: s.status.Incarnation,
			Freeing:     s.freeing,
			Paused:      s.faults.active(now),
			Writing:     s.writing,
			Window:      s.writeWindow(m.exportRate(s)),
			Reading:     s.reading,
		}
		for tier := range prefix.Tier(prefix.TierCount) {
			view.Held[tier] = s.tiers[tier].bytes
			view.Share[tier] = int64(m.capacity(s, tier))
			view.Full[tier] = s.full[tier].active(now)
		}
		views = append(views, view)
	}
	slices.SortFunc(views, func(a, b StoreView) int { return cmp.Compare(a.Store, b.Store) })
	return views
}

// Teams describes the teams that hold most, at most limit of them.
func (m *Manager) Teams(limit int) []TeamView {
	views := make([]TeamView, 0, len(m.teams))
	for _, t := range m.teams {
		view := TeamView{Team: t.team, Prompts: t.prompts}
		for tier := range t.tiers {
			view.Held[tier] = t.tiers[tier].bytes
		}
		views = append(views, view)
	}
	slices.SortFunc(views, func(a, b TeamView) int {
		if byHeld := cmp.Compare(b.total(), a.total()); byHeld != 0 {
			return byHeld
		}
		return cmp.Compare(a.Team, b.Team)
	})
	views = views[:min(limit, len(views))]
	for i := range views {
		m.viewBudget(&views[i])
	}
	return views
}

func (m *Manager) viewBudget(v *TeamView) {
	t := m.teams[v.Team]
	for tier := range prefix.Tier(prefix.TierCount) {
		v.Guaranteed[tier] = int64(m.floor(t, tier))
		v.Maximum[tier] = int64(m.ceiling(t, tier))
	}
}

func (v TeamView) total() int64 {
	total := int64(0)
	for _, held := range v.Held {
		total += held
	}
	return total
}
