// Package evacuation tracks the data centres whose upstreams are to receive no new work.
//
// An operator evacuates a data centre before its upstreams lose power or links, and
// withdraws the evacuation afterwards. Both orders are idempotent: an order whose answer
// was lost is sent again, to any control host. Requests in progress are completed.
//
// Evacuations are stored in the replicated log, and every entry receives them together with
// their revision. An order is in force when each entry that polls for updates has
// acknowledged it.
package evacuation

import (
	"maps"
	"slices"

	"github.com/rotisserie/eris"
)

// MaxName bounds the length of a data centre's name in bytes, and MaxEvacuated the number
// of data centres that are evacuated at the same time: every entry receives all of them.
const (
	MaxName      = 128
	MaxEvacuated = 256
)

// Order is an operator's order to evacuate a data centre or to withdraw that.
type Order struct {
	DataCentre string `cbor:"1,keyasint"`
	// Withdrawn indicates that the evacuation is withdrawn.
	Withdrawn bool `cbor:"2,keyasint,omitempty"`
}

// Check returns an error that says what is wrong with an order, or nil. known lists the
// data centres of the deployment; it is empty if the deployment does not list them.
func (o *Order) Check(known []string) error {
	switch {
	case o.DataCentre == "" || len(o.DataCentre) > MaxName:
		return eris.Errorf("evacuation: the name of a data centre has 1 to %d bytes", MaxName)
	case len(known) > 0 && !slices.Contains(known, o.DataCentre):
		return eris.Errorf("evacuation: there is no data centre %q; known are %q", o.DataCentre, known)
	}
	return nil
}

// View is the state that entries hold.
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

// NewRegistry returns a registry without evacuations.
func NewRegistry() *Registry { return &Registry{evacuated: make(map[string]bool)} }

// Apply executes an order and reports whether it changed anything. An order that would
// exceed MaxEvacuated changes nothing, and Holds then returns false for it.
func (r *Registry) Apply(o Order) bool {
	if r.Holds(o) || (!o.Withdrawn && len(r.evacuated) >= MaxEvacuated) {
		return false
	}
	if o.Withdrawn {
		delete(r.evacuated, o.DataCentre)
	} else {
		r.evacuated[o.DataCentre] = true
	}
	r.revision++
	return true
}

// Holds reports whether the registry is in the state that an order requires.
func (r *Registry) Holds(o Order) bool { return r.evacuated[o.DataCentre] != o.Withdrawn }

// Evacuated reports whether a data centre is evacuated.
func (r *Registry) Evacuated(dataCentre string) bool { return r.evacuated[dataCentre] }

// Revision returns the revision, which increases with each change.
func (r *Registry) Revision() uint64 { return r.revision }

// View returns the state, which is also the content of a snapshot.
func (r *Registry) View() View {
	return View{Revision: r.revision, DataCentres: slices.Sorted(maps.Keys(r.evacuated))}
}

// Restore replaces the state.
func (r *Registry) Restore(v View) {
	r.evacuated, r.revision = make(map[string]bool, len(v.DataCentres)), v.Revision
	for _, name := range v.DataCentres {
		r.evacuated[name] = true
	}
}
