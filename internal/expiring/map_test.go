package expiring

import (
	"testing"
	"time"
)

// Guards against a full table that forgets what is new instead of what is old, and against a total that
// counts entries which have expired.
func TestMapDropsTheOldestEntries(t *testing.T) {
	start, total := time.Unix(0, 0), 0
	m := NewMap[int](time.Second, 3, func(tokens int) { total -= tokens })
	set := func(key, tokens int, at time.Duration) {
		m.Set(key, tokens, start.Add(at))
		total += tokens
	}
	for key := range 5 {
		set(key, 10, time.Duration(key)*time.Millisecond)
	}
	set(2, 7, 10*time.Millisecond)
	for key, want := range []bool{false, false, true, true, true} {
		if _, found := m.Get(key, start.Add(11*time.Millisecond)); found != want {
			t.Errorf("key %d found: %t", key, found)
		}
	}
	if total != 27 || m.Len() != 3 {
		t.Errorf("total %d of %d entries", total, m.Len())
	}
	m.Expire(start.Add(time.Second + 5*time.Millisecond))
	if _, found := m.Get(2, start.Add(time.Second)); !found || total != 7 {
		t.Errorf("after others have expired: found %t, total %d", found, total)
	}
	m.Delete(2)
	if total != 0 || m.Len() != 0 {
		t.Errorf("total %d of %d entries after all were removed", total, m.Len())
	}
}
