package capacity

import "testing"

// Bounds the heap size of the state of each kind at one size; the bounds leave 50%
// of headroom. Guards against a new field in a record of which a daemon holds
// thousands.
func TestBytesHeld(t *testing.T) {
	checks := map[string]struct {
		measure func(int) (float64, error)
		size    int
		bound   float64
	}{
		"configuration, teams": {snapshotBytes, 10_000, 3.6 * (1 << 20)},
		"shares, teams":        {sharesBytes, 1_000, 160 << 10},
		"membership, daemons":  {viewBytes, TargetDaemons, 264 << 10},
		"directory, prompts":   {directoryBytes, 700, 3.2 * (1 << 20)},
		"kept prompts":         {keepBytes, 1_000, 5 * (1 << 20)},
		"outcomes, keys":       {ledgerBytes, 10_000, 6 * (1 << 20)},
		"audit, open requests": {auditBytes, 1_000, 340 << 10},
	}
	for name, c := range checks {
		bytes, err := c.measure(c.size)
		if err != nil {
			t.Fatal(err)
		}
		if bytes > c.bound || bytes < c.bound/4 {
			t.Errorf("%s: %.0f B at %d, bound %.0f", name, bytes, c.size, c.bound)
		}
	}
}

// Bounds the heartbeat traffic of one group and its growth with the number of
// groups: with shared frames, further groups must add no frame overhead.
func TestBytesOfHeartbeats(t *testing.T) {
	one, err := heartbeatBytes(1, true)
	if err != nil {
		t.Fatal(err)
	}
	many, err := heartbeatBytes(16, true)
	if err != nil {
		t.Fatal(err)
	}
	if one > 13_000 {
		t.Errorf("heartbeats of one group cost its leader %.0f B/s", one)
	}
	if many > 8*one {
		t.Errorf("heartbeats of 16 groups cost %.0f B/s, of one %.0f B/s", many, one)
	}
}
