// Package evacuation keeps the data centres whose upstreams are to get no new work.
//
// An operator evacuates a data centre before its upstreams lose power or links, and
// withdraws that afterwards. Both orders are idempotent: one whose answer was lost is
// sent again, to any control host. What runs there goes on to its end.
//
// Evacuations are kept in the replicated log, and every entry is told them with
// the revision. An order is in force once each entry that asks for news holds it.
package evacuation

import (
	"maps"
	"slices"

	"github.com/rotisserie/eris"
)

// MaxName bounds a data centre's name in bytes, and MaxEvacuated the data centres that
// are evacuated at a time: every entry is told all of them.
const (
	MaxName      = 128
	MaxEvacuated = 256
)

// Order is an operator's order.
type Order struct {
	DataCentre string `cbor:"1,keyasint"`
	// Withdrawn ends an evacuation.
	Withdrawn bool `cbor:"2,keyasint,omitempty"`
}

// Check reports what is wrong with an order. known are the data centres of the
// deployment, none where it does not list them.
func (o *Order) Check(known []string) error {
	switch {
	case o.DataCentre == "" || len(o.DataCentre) > MaxName:
		return eris.Errorf("evacuation: the name of a data centre has 1 to %d bytes", MaxName)
	case len(known) > 0 && !slices.Contains(known, o.DataCentre):
		return eris.Errorf("evacuation: there is no data centre %q; known are %q", o.DataCentre, known)
	}
	return nil
}

// View is what entries hold.
type View struct {
	Revision    uint64   `cbor:"1,keyasint"`
	DataCentres []string `cbor:"2,keyasint,omitempty"`
}

// Evacuated reports whether a data centre's upstreams get no new work.
func (v *View) Evacuated(dataCentre string) bool { return slices.Contains(v.DataCentres, dataCentre) }

// Registry holds the evacuations. It is not safe for concurrent use.
type Registry struct {
	evacuated map[string]bool
	revision  uint64
}

// NewRegistry returns a ledger without evacuations.
func NewRegistry() *Registry { return &Registry{evacuated: make(map[string]bool)} }

// Apply carries an order out and reports whether it changed anything. One that would
// take the evacuations beyond MaxEvacuated changes nothing, and Holds tells so.
func (l *Registry) Apply(o Order) bool {
	if l.Holds(o) || (!o.Withdrawn && len(l.evacuated) >= MaxEvacuated) {
		return false
	}
	if o.Withdrawn {
		delete(l.evacuated, o.DataCentre)
	} else {
		l.evacuated[o.DataCentre] = true
	}
	l.revision++
	return true
}

// Holds reports whether the ledger is as an order wants it.
func (l *Registry) Holds(o Order) bool { return l.evacuated[o.DataCentre] != o.Withdrawn }

// Evacuated reports whether a data centre is evacuated.
func (l *Registry) Evacuated(dataCentre string) bool { return l.evacuated[dataCentre] }

// Revision grows with each change.
func (l *Registry) Revision() uint64 { return l.revision }

// View returns the state, which is also what a snapshot holds.
func (l *Registry) View() View {
	return View{Revision: l.revision, DataCentres: slices.Sorted(maps.Keys(l.evacuated))}
}

// Restore replaces the state.
func (l *Registry) Restore(v View) {
	l.evacuated, l.revision = make(map[string]bool, len(v.DataCentres)), v.Revision
	for _, name := range v.DataCentres {
		l.evacuated[name] = true
	}
}
