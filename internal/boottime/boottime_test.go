package boottime

import (
	"runtime"
	"testing"
	"time"
)

func TestNowIsMonotonicAndAdvances(t *testing.T) {
	if runtime.GOOS == "linux" && !CountsSuspension() {
		t.Fatal("CLOCK_BOOTTIME can't be read")
	}
	began, monotonic := Now(), time.Now()
	last := began
	for time.Since(monotonic) < 20*time.Millisecond {
		now := Now()
		if now.Before(last) {
			t.Fatalf("%v after %v", now, last)
		}
		last = now
	}
	if took := Now().Sub(began); took < 20*time.Millisecond {
		t.Fatalf("%v in 20 ms", took)
	}
}

// Guards against readings that follow a step of the wall clock.
func TestNowHasMonotonicReading(t *testing.T) {
	if now := Now(); now == now.Round(0) {
		t.Fatalf("%v has no monotonic reading", now)
	}
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}
