package quarantine

import (
	"testing"
	"time"
)

// Memory of what was served is bounded and fades.
func TestServedIsBounded(t *testing.T) {
	var s Served
	now := time.Now()
	numbered := func(i int) Fingerprint { return Fingerprint{byte(i), byte(i >> 8)} }
	for i := range 3 * servedMost {
		s.Record(numbered(i), now)
		if len(s.young)+len(s.old) > servedMost {
			t.Fatalf("%d are remembered", len(s.young)+len(s.old))
		}
	}
	last := numbered(3*servedMost - 1)
	if !s.Has(last, now.Add(servedFor-1)) || s.Has(last, now.Add(5*servedFor)) {
		t.Fatal("what was served is forgotten too soon, or never")
	}
}
