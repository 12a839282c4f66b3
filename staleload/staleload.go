// Package staleload interprets load reports that are older than the interval between decisions:
// it estimates the work that the other senders have sent since, and where to.
//
// Many entries choose alone among the same upstreams. If each takes the reports for the present
// load, all send to the same few upstreams until the next reports arrive. But an entry knows how
// much work all of them send together, and that they see about the same reports. The work that is
// not reported yet fills the upstreams up to a common level, the least loaded first. An entry
// that draws an upstream in proportion to what it lacks to that level takes part in bringing
// this about: together the entries fill the upstreams evenly, without a message between them. With fresh reports or little work, the level is that of the least loaded
// upstream and the choice the usual one; with very old reports, it is nearly uniform.
//
// Designed for a burst at tens to hundreds of entries, and for upstreams that return without any
// work and are seen by all entries at the same moment.
package staleload

import (
	"math"
	"time"
)

// Upstream is the reported load of one upstream.
type Upstream struct {
	// Load is the work known to be under way per unit of capacity: that of the other entries as
	// reported, and the entry's own as of now. +Inf excludes an upstream that gets no work.
	Load float64
	// Capacity is the number of units among which the work is divided, such as slots.
	Capacity float64
	// Age is the age of the report.
	Age time.Duration
}

// Spread is how work that is not reported yet has spread over the upstreams.
type Spread struct {
	// Level is the load per unit of capacity to which the work fills the upstreams.
	Level float64
	// oldest is the age of the oldest report.
	oldest time.Duration
	// Mean is the unreported work per unit of capacity.
	Mean float64
}

// Expect spreads the work that the others have sent since the oldest report, at the given rate in
// units of work per millisecond. Reports older than longest count as that old: work sent before
// has ended.
func Expect(upstreams []Upstream, perMs float64, longest time.Duration) Spread {
	s := Spread{Level: math.Inf(-1)}
	total, capacity := 0.0, 0.0
	for _, u := range upstreams {
		if u.Capacity > 0 && !math.IsInf(u.Load, 1) {
			s.oldest = max(s.oldest, min(u.Age, longest))
			total += u.Load * u.Capacity
			capacity += u.Capacity
		}
	}
	if capacity == 0 {
		return s
	}
	work := max(perMs, 0) * float64(s.oldest) / float64(time.Millisecond)
	s.Mean = work / capacity
	// Each step leaves out the upstreams above the level that the others had with them. The level
	// only falls, so that the steps end when none is left out.
	for {
		s.Level = (work + total) / capacity
		below, belowTotal := 0.0, 0.0
		for _, u := range upstreams {
			if u.Capacity > 0 && u.Load <= s.Level {
				below += u.Capacity
				belowTotal += u.Load * u.Capacity
			}
		}
		if below == 0 || below >= capacity {
			return s
		}
		total, capacity = belowTotal, below
	}
}

// Work returns the unreported work expected at an upstream per unit of capacity. An upstream whose
// report is newer than the others' has got less.
func (s Spread) Work(u Upstream) float64 {
	if s.oldest <= 0 || u.Load >= s.Level {
		return 0
	}
	return (s.Level - u.Load) * float64(min(max(u.Age, 0), s.oldest)) / float64(s.oldest)
}

// Room returns the weight with which an upstream is drawn: the work that it lacks to the level.
func (s Spread) Room(u Upstream) float64 {
	if u.Load >= s.Level {
		return 0
	}
	return (s.Level - u.Load) * u.Capacity
}
