// Package roster holds what upstreams have announced about themselves: which of them
// serve, which are leaving and which are gone.
//
// Announcements may be delayed and out of order, even after their sender's crash and
// after its address was given to another upstream. Each announcement has a sequence
// number that grows with every announcement of its sender; one with a lower number
// changes nothing unless it advances the state. Leaving is final: no announcement of the
// same incarnation undoes it, because the answer to the first one promised that the
// upstream gets no new work.
//
// An upstream may restart under its name. The start time distinguishes its incarnations:
// a newer incarnation replaces everything known of the previous one, including that it
// left, and an announcement of a previous incarnation changes nothing. A departure
// announcement without a start time applies to the known incarnation.
//
// A start time is a wall-clock time, which may step back between two incarnations. An
// incarnation with an earlier start time is therefore accepted as the current one once
// Successions has excluded that its announcements are stale ones.
package roster

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// State is the state that an upstream announces.
type State uint8

const (
	// Serving upstreams take work.
	Serving State = iota + 1
	// Leaving upstreams finish what they have and take no new work.
	Leaving
	// Gone upstreams have announced their departure or were declared lost.
	Gone
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Serving:
		return "serving"
	case Leaving:
		return "leaving"
	case Gone:
		return "gone"
	}
	return "unknown"
}

// Loaded is a loaded model with the version of its weights.
type Loaded struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// Upstream is the record of one incarnation of an upstream, or an announcement of it.
type Upstream struct {
	ID         string `cbor:"1,keyasint"`
	Service    string `cbor:"2,keyasint"`
	Address    string `cbor:"3,keyasint"`
	DataCentre string `cbor:"4,keyasint"`
	State      State  `cbor:"5,keyasint"`
	Slots      int    `cbor:"6,keyasint"`
	// Sequence is the number of the latest announcement applied.
	Sequence uint64   `cbor:"7,keyasint"`
	Loaded   []Loaded `cbor:"8,keyasint,omitempty"`
	// StartedMs is the start time of this incarnation in Unix milliseconds, 0 if not
	// announced.
	StartedMs uint64 `cbor:"9,keyasint,omitempty"`
	// ColdMs is how many milliseconds after the announcement the upstream is still
	// cold, 0 if it is warm.
	ColdMs uint64 `cbor:"10,keyasint,omitempty"`
	// WarmReportsNeeded is how many more warm announcements are needed before the upstream counts
	// as warm.
	WarmReportsNeeded uint8 `cbor:"11,keyasint,omitempty"`
	// Supersedes is set in an announcement of an incarnation that supersedes one with a
	// later start time: it is the start time of the superseded incarnation. The leader
	// that accepts the announcement sets it.
	Supersedes uint64 `cbor:"12,keyasint,omitempty"`
	// Superseded is the later start time of the incarnation that this one superseded,
	// 0 for none.
	Superseded uint64 `cbor:"13,keyasint,omitempty"`
	// Software is the version of the upstream's software, empty if not announced. Versions
	// have no order.
	Software string `cbor:"14,keyasint,omitempty"`
}

// VersionOf returns the loaded version of a model, 0 if it is not loaded.
func (u *Upstream) VersionOf(model string) uint64 {
	for _, loaded := range u.Loaded {
		if loaded.Model == model {
			return loaded.Version
		}
	}
	return 0
}

// MaxGone is the maximum number of departed upstreams that are kept, each as a name and
// a few numbers. Stale announcements arrive within seconds; 4,096 departures cover three
// days at 1,300 restarts per day.
const MaxGone = 4096

// Roster holds the records of all upstreams. It is not safe for concurrent use.
type Roster struct {
	upstreams map[string]*Upstream
	// gone lists departed upstreams, oldest first.
	gone []string
	// revision grows with each change that is relevant to senders of requests.
	revision uint64
	// startTimes is true if an upstream has announced its start time.
	startTimes bool
	// lastChange is the revision of each upstream's latest change, and changes lists the
	// changes by revision. oldest is the compaction point: all changes after it are
	// available.
	lastChange map[string]uint64
	changes    []change
	oldest     uint64
	// live caches the list of the upstreams that are not gone; it is nil after a change.
	live []Upstream
	// cold is the set of upstreams that serve and are cold.
	cold map[string]bool
}

// change is a change of one upstream. It is obsolete once the upstream has changed again.
type change struct {
	revision uint64
	id       string
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{upstreams: make(map[string]*Upstream), lastChange: make(map[string]uint64), cold: make(map[string]bool)}
}

// Revision returns the revision of the latest change.
func (r *Roster) Revision() uint64 { return r.revision }

// Changes reports whether Announce would change anything other than the sequence.
func (r *Roster) Changes(a Upstream) bool {
	held := r.upstreams[a.ID]
	if held == nil {
		return true
	}
	if r.Outdated(a) || !replaces(held, a) && a.State <= held.State && a.Sequence < held.Sequence {
		return false
	}
	merged := merge(held, a)
	return !same(held, &merged)
}

// Outdated reports whether a is an announcement of a previous incarnation of its upstream.
func (r *Roster) Outdated(a Upstream) bool {
	held := r.upstreams[a.ID]
	return held != nil && precedes(a, held) && !replaces(held, a)
}

// Precedes reports whether, by start times alone, a is of an incarnation before the known
// one.
func (r *Roster) Precedes(a Upstream) bool {
	held := r.upstreams[a.ID]
	return held != nil && precedes(a, held)
}

// precedes reports whether a has an earlier start time than held, or that of the
// incarnation which held superseded.
func precedes(a Upstream, held *Upstream) bool {
	return a.StartedMs != 0 && (a.StartedMs < held.StartedMs || a.StartedMs == held.Superseded)
}

// ReportsStartTimes reports whether an upstream has announced its start time. If so, an
// announcement without one does not come from an upstream itself, unless it is a departure.
func (r *Roster) ReportsStartTimes() bool { return r.startTimes }

// Announce applies an announcement and reports whether it changed anything.
func (r *Roster) Announce(a Upstream) bool {
	if !r.Changes(a) {
		return false
	}
	held := r.upstreams[a.ID]
	if held == nil {
		held = &Upstream{}
	}
	wasGone := held.State == Gone
	merged := merge(held, a)
	r.upstreams[a.ID] = &merged
	r.live = nil
	r.updateCold(&merged)
	r.recordChange(a.ID)
	r.startTimes = r.startTimes || merged.StartedMs != 0
	switch isGone := merged.State == Gone; {
	case isGone && !wasGone:
		r.recordGone(a.ID)
	case wasGone && !isGone:
		r.gone = slices.DeleteFunc(r.gone, func(id string) bool { return id == a.ID })
	}
	return true
}

// replaces reports whether a replaces held completely: it is of a newer incarnation, or
// names another service. An upstream never changes its service, so one of the two was
// announced by another writer; the caller of Announce has decided which. A record without
// a start time adopts the first one announced.
func replaces(held *Upstream, a Upstream) bool {
	if held.StartedMs != 0 && (a.StartedMs > held.StartedMs && a.StartedMs != held.Superseded || a.Supersedes == held.StartedMs) {
		return true
	}
	return held.State != Gone && a.State != Gone && held.Service != "" && a.Service != "" && held.Service != a.Service
}

// merge returns held with the announcement a applied. Within one incarnation the state
// only advances; a newer incarnation keeps nothing of the previous one.
func merge(held *Upstream, a Upstream) Upstream {
	superseded := max(held.Superseded, a.Supersedes)
	if replaces(held, a) {
		held = &Upstream{}
	}
	merged := a
	merged.StartedMs = max(held.StartedMs, a.StartedMs)
	merged.Supersedes, merged.Superseded = 0, 0
	if superseded > merged.StartedMs {
		merged.Superseded = superseded
	}
	merged.State = max(held.State, a.State)
	merged.Sequence = max(held.Sequence, a.Sequence)
	if a.Service == "" {
		merged.Service, merged.Address, merged.DataCentre = held.Service, held.Address, held.DataCentre
		merged.Slots = held.Slots
	}
	merged.Software = cmp.Or(a.Software, held.Software)
	merged.Loaded = newest(held.Loaded, a.Loaded)
	merged.ColdMs, merged.WarmReportsNeeded = coldness(held, &a)
	return merged
}

// newest merges two lists of loaded versions. Within one incarnation versions only grow, so
// that a stale announcement does not revert a load that was already announced.
func newest(held, announced []Loaded) []Loaded {
	merged := slices.Clone(announced)
	for _, old := range held {
		i := slices.IndexFunc(merged, func(l Loaded) bool { return l.Model == old.Model })
		switch {
		case i < 0:
			merged = append(merged, old)
		case merged[i].Version < old.Version:
			merged[i].Version = old.Version
		}
	}
	slices.SortFunc(merged, func(a, b Loaded) int { return strings.Compare(a.Model, b.Model) })
	return merged
}

// same reports whether two records are equal for readers. The sequence counts only for a
// cold upstream, whose cold time restarts with each announcement.
func same(a, b *Upstream) bool {
	return a.Service == b.Service && a.Address == b.Address && a.DataCentre == b.DataCentre &&
		a.State == b.State && a.Slots == b.Slots && a.StartedMs == b.StartedMs && a.Software == b.Software && slices.Equal(a.Loaded, b.Loaded) &&
		a.ColdMs == b.ColdMs && a.WarmReportsNeeded == b.WarmReportsNeeded && (b.ColdMs == 0 || a.Sequence == b.Sequence)
}

// recordGone records a departure and drops the oldest ones beyond MaxGone.
func (r *Roster) recordGone(id string) {
	r.gone = append(r.gone, id)
	for len(r.gone) > MaxGone {
		// A reader that has not received this departure must be sent the complete roster.
		r.oldest = max(r.oldest, r.lastChange[r.gone[0]])
		delete(r.lastChange, r.gone[0])
		delete(r.upstreams, r.gone[0])
		r.live = nil
		r.gone = r.gone[1:]
	}
}

// Get returns a copy of an upstream's record.
func (r *Roster) Get(id string) (Upstream, bool) {
	held := r.upstreams[id]
	if held == nil {
		return Upstream{}, false
	}
	return *held, true
}

// Live returns the upstreams that are not gone, sorted by name. The caller owns the list.
// The sorted list is cached, since it is requested many times between two changes and
// sorting 3,000 upstreams takes milliseconds.
func (r *Roster) Live() []Upstream {
	if r.live == nil {
		r.live = make([]Upstream, 0, len(r.upstreams))
		for _, id := range slices.Sorted(maps.Keys(r.upstreams)) {
			if u := r.upstreams[id]; u.State != Gone {
				r.live = append(r.live, *u)
			}
		}
	}
	return slices.Clone(r.live)
}

// LiveIDs returns the names of the upstreams that are not gone, unsorted.
func (r *Roster) LiveIDs() []string {
	ids := make([]string, 0, len(r.upstreams)-len(r.gone))
	for id, u := range r.upstreams {
		if u.State != Gone {
			ids = append(ids, id)
		}
	}
	return ids
}

// Saved is a roster's complete state.
type Saved struct {
	Upstreams []Upstream `cbor:"1,keyasint"`
	Gone      []string   `cbor:"2,keyasint"`
	Revision  uint64     `cbor:"3,keyasint"`
	// Changed is the revision of each upstream's latest change, in the order of
	// Upstreams. Oldest is the compaction point: all changes after that revision are
	// available.
	Changed []uint64 `cbor:"4,keyasint,omitempty"`
	Oldest  uint64   `cbor:"5,keyasint,omitempty"`
}

// Save returns the complete state.
func (r *Roster) Save() Saved {
	s := Saved{Gone: slices.Clone(r.gone), Revision: r.revision, Oldest: r.oldest}
	for _, id := range slices.Sorted(maps.Keys(r.upstreams)) {
		s.Upstreams = append(s.Upstreams, *r.upstreams[id])
		s.Changed = append(s.Changed, r.lastChange[id])
	}
	return s
}

// Restore replaces the state by a saved one.
func (r *Roster) Restore(s Saved) {
	r.upstreams = make(map[string]*Upstream, len(s.Upstreams))
	r.live = nil
	r.startTimes, r.cold = false, make(map[string]bool)
	for i := range s.Upstreams {
		u := s.Upstreams[i]
		r.upstreams[u.ID] = &u
		r.updateCold(&u)
		r.startTimes = r.startTimes || u.StartedMs != 0
	}
	r.gone = slices.Clone(s.Gone)
	r.revision = s.Revision
	r.restoreChanges(s)
}
