package peer

import (
	"testing"
	"time"
	"unsafe"
)

// stepped returns a reading of the clocks as it is once the time of day has stepped.
func stepped(t *testing.T, now time.Time, by time.Duration) time.Time {
	t.Helper()
	const secondsBit = 30
	read := now
	*(*uint64)(unsafe.Pointer(&read)) += uint64(by/time.Second) << secondsBit
	if read.Unix()-now.Unix() != int64(by/time.Second) || read.Sub(now) != 0 {
		t.Fatalf("%v is not %v with a time of day stepped by %v", read, now, by)
	}
	return read
}

// Guards against connections that end as idle when the time of day steps forward, and
// against idle ones that stay when it steps back.
func TestIdleTimeIsNotTakenFromTheTimeOfDay(t *testing.T) {
	now := time.Now()
	for _, by := range []time.Duration{-time.Hour, -5 * time.Second, 5 * time.Second, time.Hour} {
		c := &conn{began: now.Add(-2 * DefaultLinkIdle)}
		if idle := c.idle(stepped(t, now, by)); idle != 2*DefaultLinkIdle {
			t.Errorf("step by %v: an unused connection is idle for %v", by, idle)
		}
		c.touch()
		if idle := c.idle(stepped(t, time.Now(), by)); idle < 0 || idle > time.Second {
			t.Errorf("step by %v: a connection in use is idle for %v", by, idle)
		}
	}
}
