package quarantine

import (
	"testing"
	"time"
)

// The set of served requests is bounded, and requests expire from it.
func TestServedIsBounded(t *testing.T) {
	var s RecentlyServed
	now := time.Now()
	numbered := func(i int) Fingerprint { return Fingerprint{byte(i), byte(i >> 8)} }
	for i := range 3 * maxServed {
		s.Record(numbered(i), now)
		if len(s.current)+len(s.previous) > maxServed {
			t.Fatalf("%d requests are remembered, beyond the bound", len(s.current)+len(s.previous))
		}
	}
	last := numbered(3*maxServed - 1)
	if !s.Has(last, now.Add(servedRetention-1)) || s.Has(last, now.Add(5*servedRetention)) {
		t.Fatal("a served request expired too early, or never")
	}
}
