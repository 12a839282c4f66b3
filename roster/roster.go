// Package roster keeps what upstreams have announced of themselves: who serves,
// who is leaving and who is gone.
//
// Announcements may be late and out of order, also after their sender's death
// and after its address was given to another upstream. Each announcement has a
// number that grows with every one of its sender; an older one changes nothing.
// Leaving is for good: no announcement of the same life undoes it, for the
// answer to the first one promised that it gets no new work.
//
// An upstream may start again under its name. Its birth tells its lives apart: a
// later life replaces all that is known of the former one, also that it left,
// and a word of a former life changes nothing. A farewell that names no birth
// ends the life that is known.
//
// A birth is a time of day, which may step back between two lives. An earlier birth
// is therefore taken for the present life once Successions finds that no late words
// could sound like it.
package roster

import (
	"maps"
	"slices"
	"strings"
)

// State is what an upstream says of itself.
type State uint8

const (
	// Serving upstreams take work.
	Serving State = iota + 1
	// Leaving upstreams finish what they have and take no new work.
	Leaving
	// Gone upstreams have said farewell or were given up.
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

// Loaded is a model with the version of its weights.
type Loaded struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// Upstream is one life of an upstream.
type Upstream struct {
	ID         string `cbor:"1,keyasint"`
	Service    string `cbor:"2,keyasint"`
	Address    string `cbor:"3,keyasint"`
	DataCentre string `cbor:"4,keyasint"`
	State      State  `cbor:"5,keyasint"`
	Slots      int    `cbor:"6,keyasint"`
	// Sequence is the number of the latest announcement taken in.
	Sequence uint64   `cbor:"7,keyasint"`
	Loaded   []Loaded `cbor:"8,keyasint,omitempty"`
	// StartedMs is the Unix millisecond of the start of this life, 0 if not told.
	StartedMs uint64 `cbor:"9,keyasint,omitempty"`
	// ColdMs is how many milliseconds the upstream stays cold from the announcement
	// on, 0 for a warm one.
	ColdMs uint64 `cbor:"10,keyasint,omitempty"`
	// Doubts is how many more announcements must call the upstream warm before it
	// counts as warm.
	Doubts uint8 `cbor:"11,keyasint,omitempty"`
	// Follows is, in a word of a life that follows a later-born one, the birth of that
	// one, as judged by whoever takes the word in.
	Follows uint64 `cbor:"12,keyasint,omitempty"`
	// Former is the birth of a later-born life that this one followed, 0 for none.
	Former uint64 `cbor:"13,keyasint,omitempty"`
}

// VersionOf returns the loaded version of a model, 0 when it is not loaded.
func (u *Upstream) VersionOf(model string) uint64 {
	for _, loaded := range u.Loaded {
		if loaded.Model == model {
			return loaded.Version
		}
	}
	return 0
}

// MaxGone bounds the departed upstreams that are remembered. Each is a name and
// a few numbers; late announcements trail by seconds, and 4,096 departures are
// three days at 1,300 restarts a day.
const MaxGone = 4096

// Roster holds all upstreams. It is not safe for concurrent use.
type Roster struct {
	upstreams map[string]*Upstream
	// gone lists departed upstreams, oldest first.
	gone []string
	// revision grows with each change that matters to those who send work.
	revision uint64
	// births tells that an upstream has told its birth.
	births bool
	// changed is the revision of each upstream's latest change, and order lists the
	// changes by revision. All that came after revision floor are known.
	changed map[string]uint64
	order   []change
	floor   uint64
	// live is the list of the upstreams that are not gone, nil after a change.
	live []Upstream
	// cold names the upstreams that serve and are cold.
	cold map[string]bool
}

// change is one upstream's change. It is outdated once the upstream has changed again.
type change struct {
	revision uint64
	id       string
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{upstreams: make(map[string]*Upstream), changed: make(map[string]uint64), cold: make(map[string]bool)}
}

// Revision grows with every change.
func (r *Roster) Revision() uint64 { return r.revision }

// Changes reports whether Announce would change anything but the sequence.
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

// Outdated reports whether a is a word of a former life of its upstream.
func (r *Roster) Outdated(a Upstream) bool {
	held := r.upstreams[a.ID]
	return held != nil && precedes(a, held) && !replaces(held, a)
}

// Precedes reports whether a is of a life before the known one, as far as births tell.
func (r *Roster) Precedes(a Upstream) bool {
	held := r.upstreams[a.ID]
	return held != nil && precedes(a, held)
}

func precedes(a Upstream, held *Upstream) bool {
	return a.StartedMs != 0 && (a.StartedMs < held.StartedMs || a.StartedMs == held.Former)
}

// ReportsStartTimes reports whether upstreams tell their births here. A word without
// one is then no upstream's own, but for a farewell.
func (r *Roster) ReportsStartTimes() bool { return r.births }

// Announce takes in what an upstream says and reports whether that changed
// anything.
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
	r.noteCold(&merged)
	r.noteChange(a.ID)
	r.births = r.births || merged.StartedMs != 0
	switch isGone := merged.State == Gone; {
	case isGone && !wasGone:
		r.bury(a.ID)
	case wasGone && !isGone:
		r.gone = slices.DeleteFunc(r.gone, func(id string) bool { return id == a.ID })
	}
	return true
}

// replaces reports whether nothing of held remains beside a: a is of a later life,
// or names another service. An upstream never changes its service, so that one of
// the two is not its own word; whoever takes in a has judged which. A record
// without a birth goes on under the first that is told.
func replaces(held *Upstream, a Upstream) bool {
	if held.StartedMs != 0 && (a.StartedMs > held.StartedMs && a.StartedMs != held.Former || a.Follows == held.StartedMs) {
		return true
	}
	return held.State != Gone && a.State != Gone && held.Service != "" && a.Service != "" && held.Service != a.Service
}

// merge returns held with what a adds. Within one life states only move on; a
// later life owes nothing to the former.
func merge(held *Upstream, a Upstream) Upstream {
	former := max(held.Former, a.Follows)
	if replaces(held, a) {
		held = &Upstream{}
	}
	merged := a
	merged.StartedMs = max(held.StartedMs, a.StartedMs)
	merged.Follows, merged.Former = 0, 0
	if former > merged.StartedMs {
		merged.Former = former
	}
	merged.State = max(held.State, a.State)
	merged.Sequence = max(held.Sequence, a.Sequence)
	if a.Service == "" {
		merged.Service, merged.Address, merged.DataCentre = held.Service, held.Address, held.DataCentre
		merged.Slots = held.Slots
	}
	merged.Loaded = newest(held.Loaded, a.Loaded)
	merged.ColdMs, merged.Doubts = coldness(held, &a)
	return merged
}

// newest merges what is loaded. Versions only grow within one life, so that a
// late announcement does not take back a load that has been seen already.
func newest(held, told []Loaded) []Loaded {
	merged := slices.Clone(told)
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

func same(a, b *Upstream) bool {
	return a.Service == b.Service && a.Address == b.Address && a.DataCentre == b.DataCentre &&
		a.State == b.State && a.Slots == b.Slots && a.StartedMs == b.StartedMs && slices.Equal(a.Loaded, b.Loaded) &&
		a.ColdMs == b.ColdMs && a.Doubts == b.Doubts && (b.ColdMs == 0 || a.Sequence == b.Sequence)
}

func (r *Roster) bury(id string) {
	r.gone = append(r.gone, id)
	for len(r.gone) > MaxGone {
		// Who has not heard of its end must be told all.
		r.floor = max(r.floor, r.changed[r.gone[0]])
		delete(r.changed, r.gone[0])
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

// Live lists the upstreams that are not gone, by name. The list is the caller's own.
// It is asked for many times between two changes, and putting three thousand in order
// takes milliseconds.
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

// LiveIDs names the upstreams that are not gone, in no order.
func (r *Roster) LiveIDs() []string {
	ids := make([]string, 0, len(r.upstreams)-len(r.gone))
	for id, u := range r.upstreams {
		if u.State != Gone {
			ids = append(ids, id)
		}
	}
	return ids
}

// Saved is a roster's whole state.
type Saved struct {
	Upstreams []Upstream `cbor:"1,keyasint"`
	Gone      []string   `cbor:"2,keyasint"`
	Revision  uint64     `cbor:"3,keyasint"`
	// Changed is the revision of each upstream's latest change, in the order of
	// Upstreams, and Floor the revision after which all changes are known.
	Changed []uint64 `cbor:"4,keyasint,omitempty"`
	Floor   uint64   `cbor:"5,keyasint,omitempty"`
}

// Save returns the state.
func (r *Roster) Save() Saved {
	s := Saved{Gone: slices.Clone(r.gone), Revision: r.revision, Floor: r.floor}
	for _, id := range slices.Sorted(maps.Keys(r.upstreams)) {
		s.Upstreams = append(s.Upstreams, *r.upstreams[id])
		s.Changed = append(s.Changed, r.changed[id])
	}
	return s
}

// Restore replaces the state.
func (r *Roster) Restore(s Saved) {
	r.upstreams = make(map[string]*Upstream, len(s.Upstreams))
	r.live = nil
	r.births, r.cold = false, make(map[string]bool)
	for i := range s.Upstreams {
		u := s.Upstreams[i]
		r.upstreams[u.ID] = &u
		r.noteCold(&u)
		r.births = r.births || u.StartedMs != 0
	}
	r.gone = slices.Clone(s.Gone)
	r.revision = s.Revision
	r.restoreChanges(s)
}
