package boottime

import (
	"runtime"
	"testing"
	"time"
)

func TestNowIsSteadyAndGoesOn(t *testing.T) {
	if runtime.GOOS == "linux" && !CountsSuspension() {
		t.Fatal("CLOCK_BOOTTIME can't be read")
	}
	began, steady := Now(), time.Now()
	last := began
	for time.Since(steady) < 20*time.Millisecond {
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

// Guards against readings that follow a step of the time of day.
func TestReadingsAreOfTheSteadyClock(t *testing.T) {
	if now := Now(); now == now.Round(0) {
		t.Fatalf("%v has no steady part", now)
	}
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}
