package peer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// Guards against equal incarnations of processes that start at the same wall-clock time
// or shortly after one another.
func TestIncarnationsOfSimultaneousStartsDiffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		seen := make(map[ident.Incarnation]bool)
		for range 20 {
			seen[NewIncarnation()] = true
		}
		if len(seen) < 15 {
			t.Fatalf("20 processes have %d incarnations", len(seen))
		}
		before := NewIncarnation()
		time.Sleep(time.Second)
		if after := NewIncarnation(); after <= before {
			t.Fatalf("%d starts a second after %d; earlier versions refuse it", after, before)
		}
	})
}
