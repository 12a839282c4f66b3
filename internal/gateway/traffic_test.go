package gateway

import (
	"testing"
	"time"
)

// Guards against a wrong announced rate, which distributes callers among entries: if it is too
// high, callers wait for the entry's processor or link; if it is too low, they are spread over
// entries that know nothing of the runners.
func TestMaxRateFromHostCapacity(t *testing.T) {
	capacity := HostCapacity{Cores: 0.2, LinkMbps: 10}
	for _, c := range []struct {
		name     string
		body     int
		capacity HostCapacity
		maxRate  int
	}{
		{"the processor limits", 400, capacity, 100},
		{"the link limits", 17000, capacity, 19},
		{"a fast link", 17000, HostCapacity{Cores: 0.2, LinkMbps: 1000}, 100},
		{"the capacity is unknown", 400, HostCapacity{}, 0},
	} {
		var seen traffic
		now := time.Unix(100, 0)
		for range 400 {
			now = now.Add(25 * time.Millisecond)
			seen.request(c.body, now)
		}
		rate, maxRate := seen.rates(now, c.capacity)
		if rate < 36 || rate > 44 {
			t.Errorf("%s: 40 requests a second count as %d", c.name, rate)
		}
		if maxRate < c.maxRate*9/10 || maxRate > c.maxRate*11/10 {
			t.Errorf("%s: announces %d requests a second, want about %d", c.name, maxRate, c.maxRate)
		}
		if seen.idle(now) || !seen.idle(now.Add(3*time.Second)) {
			t.Errorf("%s: counts as idle %v under requests, %v 3 s after", c.name, seen.idle(now), seen.idle(now.Add(3*time.Second)))
		}
		if rate, _ := seen.rates(now.Add(10*time.Second), c.capacity); rate > 1 {
			t.Errorf("%s: %d requests a second 10 s after the last", c.name, rate)
		}
	}
}
