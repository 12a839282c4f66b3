package roster

import (
	"maps"
	"slices"
)

// coldness returns ColdMs and Doubts after the announcement a. Each newer announcement of
// a cold upstream counts, since the upstream may have turned cold again after the one
// before.
func coldness(held *Upstream, a *Upstream) (coldMs uint64, doubts uint8) {
	switch {
	case held.ID == "":
		return a.ColdMs, a.WarmReportsNeeded
	case a.Sequence <= held.Sequence:
		return held.ColdMs, held.WarmReportsNeeded
	case a.ColdMs == 0 && held.WarmReportsNeeded > 1:
		return held.ColdMs, held.WarmReportsNeeded - 1
	}
	return a.ColdMs, 0
}

// warmAnnouncements is how many warm announcements are needed from an upstream that is
// presumed cold: the first may have been in flight when the upstream turned cold.
const warmAnnouncements = 2

// PresumeCold marks the upstreams of a data centre as cold until their own announcements
// show otherwise. coldMs returns a service's cold time in milliseconds, 0 for none.
// PresumeCold reports whether it changed anything.
func (r *Roster) PresumeCold(dataCentre string, coldMs func(service string) uint64) bool {
	changed := false
	// Sorted, so that all hosts assign the same revision to each change.
	for _, id := range slices.Sorted(maps.Keys(r.upstreams)) {
		held := r.upstreams[id]
		ms := coldMs(held.Service)
		if held.DataCentre != dataCentre || held.State == Gone || ms == 0 {
			continue
		}
		presumed := *held
		presumed.ColdMs, presumed.WarmReportsNeeded = max(held.ColdMs, ms), warmAnnouncements
		r.upstreams[id] = &presumed
		r.live = nil
		changed = true
		r.recordChange(id)
		r.updateCold(&presumed)
	}
	return changed
}

// Cold returns the upstreams that serve and are cold, sorted by name.
func (r *Roster) Cold() []Upstream {
	list := make([]Upstream, 0, len(r.cold))
	for _, id := range slices.Sorted(maps.Keys(r.cold)) {
		list = append(list, *r.upstreams[id])
	}
	return list
}

// updateCold updates the set of cold upstreams.
func (r *Roster) updateCold(u *Upstream) {
	if u.State == Serving && u.ColdMs > 0 {
		r.cold[u.ID] = true
		return
	}
	delete(r.cold, u.ID)
}
