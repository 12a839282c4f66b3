package member

import (
	"errors"
	"slices"
	"strings"

	"github.com/lovagereach/lovagereach/ident"
)

// ErrGap is returned for a delta whose From is not the view's version. The view is
// unchanged; the process requests an update from its version again.
var ErrGap = errors.New("member: the delta does not follow this view")

// ErrStale is returned for an update to an earlier version than the view's.
var ErrStale = errors.New("member: the update is older than this view")

// View is a process's copy of the directory. It is not safe for concurrent use.
type View struct {
	version Version
	members map[ident.Host]Member
}

// NewView returns an empty view.
func NewView() *View {
	return &View{members: make(map[ident.Host]Member)}
}

// Version returns the position in the root's sequence that the view reflects.
func (v *View) Version() Version { return v.version }

// Apply advances the view by an update. It never returns to an earlier version: an
// update of an earlier epoch comes from a root that has been replaced, and applying
// it would list processes as alive that the current root knows to be down.
func (v *View) Apply(update Update) error {
	if update.To.Compare(v.version) < 0 {
		return ErrStale
	}
	if update.Snapshot {
		v.members = make(map[ident.Host]Member, len(update.Members))
	} else if update.From != v.version {
		return ErrGap
	}
	for _, m := range update.Members {
		if m.State == StateForgotten {
			delete(v.members, m.Host)
			continue
		}
		v.members[m.Host] = m
	}
	v.version = update.To
	return nil
}

// Lookup returns the claim about a host, if there is one.
func (v *View) Lookup(host ident.Host) (Member, bool) {
	m, known := v.members[host]
	return m, known
}

// Len returns the number of processes known, including those that are down.
func (v *View) Len() int { return len(v.members) }

// Alive returns the processes of a role that accept new work. Those of the
// preferred data centre come first; otherwise they are ordered by host. Every
// process with the same view thus computes the same list.
func (v *View) Alive(role Role, preferred ident.DataCentre) []Member {
	return v.ordered(preferred, func(m Member) bool { return m.Role == role && m.State == StateAlive })
}

// Present returns the processes of a role that are alive or draining, in the order
// of Alive.
func (v *View) Present(role Role, preferred ident.DataCentre) []Member {
	return v.ordered(preferred, func(m Member) bool {
		return m.Role == role && (m.State == StateAlive || m.State == StateDraining)
	})
}

func (v *View) ordered(preferred ident.DataCentre, match func(Member) bool) []Member {
	var matching []Member
	for _, m := range v.members {
		if match(m) {
			matching = append(matching, m)
		}
	}
	slices.SortFunc(matching, func(a, b Member) int {
		if aPreferred, bPreferred := a.DataCentre == preferred, b.DataCentre == preferred; aPreferred != bPreferred {
			if aPreferred {
				return -1
			}
			return 1
		}
		return strings.Compare(string(a.Host), string(b.Host))
	})
	return matching
}
