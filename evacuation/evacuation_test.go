package evacuation

import (
	"fmt"
	"reflect"
	"testing"
)

// Guards against an order that is sent again, after its answer was lost, being taken
// for another one.
func TestOrdersAreIdempotent(t *testing.T) {
	l := NewRegistry()
	north, back := Order{DataCentre: "north"}, Order{DataCentre: "north", Withdrawn: true}
	for i, step := range []struct {
		order   Order
		changes bool
	}{{back, false}, {north, true}, {north, false}, {back, true}, {back, false}} {
		if got := l.Apply(step.order); got != step.changes || !l.Holds(step.order) {
			t.Errorf("step %d: changes %v, holds %v", i, got, l.Holds(step.order))
		}
	}
	if l.Revision() != 2 {
		t.Errorf("revision %d", l.Revision())
	}
}

func TestRestoreKeepsEvacuations(t *testing.T) {
	l, again := NewRegistry(), NewRegistry()
	l.Apply(Order{DataCentre: "north"})
	l.Apply(Order{DataCentre: "south"})
	l.Apply(Order{DataCentre: "north", Withdrawn: true})
	again.Restore(l.View())
	view := again.View()
	if !reflect.DeepEqual(view, l.View()) || view.Evacuated("north") || !view.Evacuated("south") {
		t.Errorf("restored %+v", view)
	}
}

// Guards against a view that grows without bound.
func TestEvacuationsAreBounded(t *testing.T) {
	l := NewRegistry()
	for i := range MaxEvacuated {
		l.Apply(Order{DataCentre: fmt.Sprint(i)})
	}
	more := Order{DataCentre: "more"}
	if l.Apply(more) || l.Holds(more) {
		t.Error("one more is held")
	}
}

func TestCheckNamesWhatIsWrong(t *testing.T) {
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
			t.Errorf("%s: %v", name, err)
		}
	}
}
