package roster

import (
	"maps"
	"slices"
)

// coldness is how long an upstream stays cold, and with how many doubts. Each word of a
// cold upstream counts: it may have turned cold again since the one before.
func coldness(held *Upstream, a *Upstream) (coldMs uint64, doubts uint8) {
	switch {
	case held.ID == "":
		return a.ColdMs, a.Doubts
	case a.Sequence <= held.Sequence:
		return held.ColdMs, held.Doubts
	case a.ColdMs == 0 && held.Doubts > 1:
		return held.ColdMs, held.Doubts - 1
	}
	return a.ColdMs, 0
}

// warmWords is how many announcements must call an upstream warm that is presumed to be
// cold: the first may have been on its way when the upstream turned cold.
const warmWords = 2

// PresumeCold has the upstreams of a data centre count as cold for a time, in
// milliseconds by service, until their own words say otherwise. It reports whether that
// changed anything.
func (r *Roster) PresumeCold(dataCentre string, coldMs func(service string) uint64) bool {
	changed := false
	// In order, for all hosts give a change the same revision.
	for _, id := range slices.Sorted(maps.Keys(r.upstreams)) {
		held := r.upstreams[id]
		ms := coldMs(held.Service)
		if held.DataCentre != dataCentre || held.State == Gone || ms == 0 {
			continue
		}
		presumed := *held
		presumed.ColdMs, presumed.Doubts = max(held.ColdMs, ms), warmWords
		r.upstreams[id] = &presumed
		r.live = nil
		changed = true
		r.noteChange(id)
		r.noteCold(&presumed)
	}
	return changed
}

// Cold lists the upstreams that serve and are cold, by name.
func (r *Roster) Cold() []Upstream {
	list := make([]Upstream, 0, len(r.cold))
	for _, id := range slices.Sorted(maps.Keys(r.cold)) {
		list = append(list, *r.upstreams[id])
	}
	return list
}

// noteCold keeps the list of cold upstreams.
func (r *Roster) noteCold(u *Upstream) {
	if u.State == Serving && u.ColdMs > 0 {
		r.cold[u.ID] = true
		return
	}
	delete(r.cold, u.ID)
}
