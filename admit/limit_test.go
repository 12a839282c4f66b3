package admit

import (
	"testing"
	"time"
)

// An upstream slows down, for example because others send to it as well. The limit
// must fall while first tokens are late, stay at or above its minimum, and grow again
// once the predictions hold and the limit is in use.
func TestLimitAdaptsToFirstTokenTimes(t *testing.T) {
	l := NewLimit(LimitOptions{Initial: 100, Min: 10})
	now := start
	step := func(n int, measured time.Duration) {
		for range n {
			now = now.Add(20 * time.Millisecond)
			l.Observe(now, 500*time.Millisecond, measured, l.Value())
		}
	}
	step(2000, 500*time.Millisecond)
	grown := l.Value()
	if grown <= 100 {
		t.Errorf("limit %d, want growth above 100 while the predictions held", grown)
	}
	step(500, 5*time.Second)
	fallen := l.Value()
	if fallen > grown/2 {
		t.Errorf("limit fell only from %d to %d", grown, fallen)
	}
	step(5000, 20*time.Second)
	if l.Value() != 10 {
		t.Errorf("limit %d, want the minimum of 10", l.Value())
	}
	step(2000, 500*time.Millisecond)
	if l.Value() <= 10 {
		t.Error("limit did not grow again after the slowdown")
	}
}

func TestLimitStaysUnchanged(t *testing.T) {
	tests := []struct {
		name     string
		measured time.Duration
		inFlight int
	}{
		{"one stalled request", time.Hour, 100},
		{"not in use", 100 * time.Millisecond, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := NewLimit(LimitOptions{Initial: 100})
			l.Observe(start, 100*time.Millisecond, tt.measured, tt.inFlight)
			if l.Value() != 100 {
				t.Errorf("limit %d, want 100", l.Value())
			}
		})
	}
}
