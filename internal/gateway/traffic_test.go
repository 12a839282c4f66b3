package gateway

import (
	"testing"
	"time"
)

// An entry tells how many requests it takes, by which callers are told whom to use.
// Told too many, callers wait for its processor or its link; told too few, they are
// spread over entries that know nothing of the runners.
func TestAnEntryTellsWhatItTakes(t *testing.T) {
	means := HostCapacity{Cores: 0.2, LinkMbps: 10}
	for _, c := range []struct {
		name  string
		body  int
		means HostCapacity
		most  int
	}{
		{"the processor binds", 400, means, 100},
		{"the link binds", 17000, means, 19},
		{"a quick link", 17000, HostCapacity{Cores: 0.2, LinkMbps: 1000}, 100},
		{"nothing is told", 400, HostCapacity{}, 0},
	} {
		var seen traffic
		now := time.Unix(100, 0)
		for range 400 {
			now = now.Add(25 * time.Millisecond)
			seen.request(c.body, now)
		}
		rate, most := seen.rates(now, c.means)
		if rate < 36 || rate > 44 {
			t.Errorf("%s: 40 requests a second count as %d", c.name, rate)
		}
		if most < c.most*9/10 || most > c.most*11/10 {
			t.Errorf("%s: takes %d requests a second, about %d are right", c.name, most, c.most)
		}
		if seen.idle(now) || !seen.idle(now.Add(3*time.Second)) {
			t.Errorf("%s: counts as idle %v under requests, %v 3 s after", c.name, seen.idle(now), seen.idle(now.Add(3*time.Second)))
		}
		if rate, _ := seen.rates(now.Add(10*time.Second), c.means); rate > 1 {
			t.Errorf("%s: %d requests a second 10 s after the last", c.name, rate)
		}
	}
}
