package peer

import (
	"testing"
	"time"
	"unsafe"
)

// withWallClockStep returns now with its wall-clock reading moved by the given step and
// the same monotonic reading.
func withWallClockStep(t *testing.T, now time.Time, by time.Duration) time.Time {
	t.Helper()
	const secondsBit = 30
	moved := now
	*(*uint64)(unsafe.Pointer(&moved)) += uint64(by/time.Second) << secondsBit
	if moved.Unix()-now.Unix() != int64(by/time.Second) || moved.Sub(now) != 0 {
		t.Fatalf("%v is not %v with the wall clock stepped by %v", moved, now, by)
	}
	return moved
}

// Guards against a forward step of the wall clock that closes connections as idle, and
// against a backward step that keeps idle ones open.
func TestIdleTimeIgnoresWallClockSteps(t *testing.T) {
	now := time.Now()
	for _, by := range []time.Duration{-time.Hour, -5 * time.Second, 5 * time.Second, time.Hour} {
		c := &conn{startedAt: now.Add(-2 * DefaultLinkIdle)}
		if idle := c.idle(withWallClockStep(t, now, by)); idle != 2*DefaultLinkIdle {
			t.Errorf("step by %v: an unused connection is idle for %v", by, idle)
		}
		c.markUsed()
		if idle := c.idle(withWallClockStep(t, time.Now(), by)); idle < 0 || idle > time.Second {
			t.Errorf("step by %v: a connection in use is idle for %v", by, idle)
		}
	}
}
