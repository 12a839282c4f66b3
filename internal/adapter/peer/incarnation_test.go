package peer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// Guards against processes that start at one time of day, or one just before the other,
// and can't be told apart.
func TestProcessesOfOneMomentAreToldApart(t *testing.T) {
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
