package control

import (
	"testing"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/wire"
)

// A leader's clock steps back, and a replica continues from a snapshot. Each
// assigned incarnation must be higher than all previous ones.
func TestIncarnationsIncreaseDespiteClockSteps(t *testing.T) {
	machine := NewMachine()
	var last ident.Incarnation
	for i, at := range []int64{5_000_000, 9_000_000, 4_000_000, 4_000_001, -3, 9_000_001, 0} {
		if i == 4 {
			data, err := machine.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			machine = NewMachine()
			if err := machine.Restore(data); err != nil {
				t.Fatal(err)
			}
		}
		var answer result
		data := machine.Apply(uint64(i+1), wire.MustMarshal(command{Assign: &assignIncarnation{At: at}}))
		if err := wire.Unmarshal(data, &answer); err != nil {
			t.Fatal(err)
		}
		if answer.Assigned <= last || answer.Assigned < ident.Incarnation(max(at, 0)) {
			t.Errorf("at %d incarnation %d was assigned after %d", at, answer.Assigned, last)
		}
		last = answer.Assigned
	}
}
