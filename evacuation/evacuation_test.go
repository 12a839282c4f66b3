package evacuation

import (
	"fmt"
	"reflect"
	"testing"
)

// An order that is sent again after its answer was lost must not count as another order.
func TestOrdersAreIdempotent(t *testing.T) {
	r := NewRegistry()
	north, withdrawal := Order{DataCentre: "north"}, Order{DataCentre: "north", Withdrawn: true}
	for i, c := range []struct {
		order   Order
		changes bool
	}{{withdrawal, false}, {north, true}, {north, false}, {withdrawal, true}, {withdrawal, false}} {
		if got := r.Apply(c.order); got != c.changes || !r.Holds(c.order) {
			t.Errorf("step %d: changed %v, holds %v", i, got, r.Holds(c.order))
		}
	}
	if r.Revision() != 2 {
		t.Errorf("revision %d, want 2", r.Revision())
	}
}

func TestRestoreKeepsEvacuations(t *testing.T) {
	r, restored := NewRegistry(), NewRegistry()
	r.Apply(Order{DataCentre: "north"})
	r.Apply(Order{DataCentre: "south"})
	r.Apply(Order{DataCentre: "north", Withdrawn: true})
	restored.Restore(r.View())
	view := restored.View()
	if !reflect.DeepEqual(view, r.View()) || view.Evacuated("north") || !view.Evacuated("south") {
		t.Errorf("restored view %+v", view)
	}
}

// The view that every entry receives must not grow without bound.
func TestEvacuationsAreBounded(t *testing.T) {
	r := NewRegistry()
	for i := range MaxEvacuated {
		r.Apply(Order{DataCentre: fmt.Sprint(i)})
	}
	more := Order{DataCentre: "more"}
	if r.Apply(more) || r.Holds(more) {
		t.Error("an order beyond MaxEvacuated was applied")
	}
}

func TestCheckRejectsInvalidOrders(t *testing.T) {
	for name, c := range map[string]struct {
		order Order
		known []string
		fails bool
	}{
		"known":      {Order{DataCentre: "north"}, []string{"north", "south"}, false},
		"unknown":    {Order{DataCentre: "west"}, []string{"north", "south"}, true},
		"no list":    {Order{DataCentre: "west"}, nil, false},
		"no name":    {Order{}, nil, true},
		"long names": {Order{DataCentre: fmt.Sprintf("%0129d", 1)}, nil, true},
	} {
		if err := c.order.Check(c.known); (err != nil) != c.fails {
			t.Errorf("%s: error %v", name, err)
		}
	}
}
