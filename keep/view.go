package keep

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/prefix"
)

// StoreView is this process's state for one store host, for dumps.
type StoreView struct {
	Store       ident.Upstream    `json:"store" cbor:"store"`
	Incarnation ident.Incarnation `json:"incarnation" cbor:"incarnation"`
	// Held, Freeing and Share are in bytes, by tier: what this process holds,
	// what of that is being freed, and its share of the tier.
	Held    [prefix.TierCount]int64 `json:"held" cbor:"held"`
	Freeing [prefix.TierCount]int64 `json:"freeing" cbor:"freeing"`
	Share   [prefix.TierCount]int64 `json:"share" cbor:"share"`
	// Full is true for the tiers that recently refused a slot for lack of
	// capacity.
	Full [prefix.TierCount]bool `json:"full" cbor:"full"`
	// Paused is true while the host is not used after a failure.
	Paused bool `json:"paused" cbor:"paused"`
	// Writing is the number of bytes being written, Window the maximum of that,
	// Reading the number of bytes that pinned readers may be fetching.
	Writing int64 `json:"writing" cbor:"writing"`
	Window  int64 `json:"window" cbor:"window"`
	Reading int64 `json:"reading" cbor:"reading"`
}

// TeamView is the state of one team, for dumps.
type TeamView struct {
	Team    ident.Team `json:"team" cbor:"team"`
	Prompts int        `json:"prompts" cbor:"prompts"`
	// Held, Guaranteed and Maximum are in bytes, by tier: what the team holds,
	// its guaranteed share, and its maximum share while others need capacity.
	Held       [prefix.TierCount]int64 `json:"held" cbor:"held"`
	Guaranteed [prefix.TierCount]int64 `json:"floor" cbor:"floor"`
	Maximum    [prefix.TierCount]int64 `json:"ceiling" cbor:"ceiling"`
}

// Stores returns a view of each store host, ordered by name.
func (m *Manager) Stores(now time.Time) []StoreView {
	views := make([]StoreView, 0, len(m.storeList))
	for _, s := range m.storeList {
		view := StoreView{
			Store:       s.status.Store,
			Incarnation: s.status.Incarnation,
			Freeing:     s.freeing,
			Paused:      s.faultBackoff.active(now),
			Writing:     s.writing,
			Window:      s.writeWindow(m.exportRate(s)),
			Reading:     s.reading,
		}
		for tier := range prefix.Tier(prefix.TierCount) {
			view.Held[tier] = s.tiers[tier].bytes
			view.Share[tier] = int64(m.capacityShare(s, tier))
			view.Full[tier] = s.fullBackoff[tier].active(now)
		}
		views = append(views, view)
	}
	slices.SortFunc(views, func(a, b StoreView) int { return cmp.Compare(a.Store, b.Store) })
	return views
}

// Teams returns views of the teams that hold the most, at most limit of them.
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
		v.Guaranteed[tier] = int64(m.guaranteed(t, tier))
		v.Maximum[tier] = int64(m.maximum(t, tier))
	}
}

func (v TeamView) total() int64 {
	total := int64(0)
	for _, held := range v.Held {
		total += held
	}
	return total
}
