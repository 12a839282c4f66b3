package staleload

import (
	"math"
	"time"
)

// window is the time constant of a rate: long enough for some sends of an entry that sends a few
// per second, short enough to follow a burst of seconds.
const window = time.Second

// Rate is the smoothed rate of the work that an entry sends. The zero value has seen none.
type Rate struct {
	perMs float64
	at    time.Time
}

// Add counts work sent now.
func (r *Rate) Add(work float64, now time.Time) {
	r.perMs = r.PerMs(now) + work/(float64(window)/float64(time.Millisecond))
	r.at = now
}

// PerMs returns the work per millisecond.
func (r *Rate) PerMs(now time.Time) float64 {
	return r.perMs * math.Exp(-float64(max(now.Sub(r.at), 0))/float64(window))
}

// Interval is the smoothed interval between events, such as reports. The zero value has seen none.
type Interval struct {
	mean time.Duration
	last time.Time
}

// intervalWeight is the weight of the newest interval: a few intervals decide.
const intervalWeight = 0.2

// Observe records an event.
func (i *Interval) Observe(now time.Time) {
	if !i.last.IsZero() {
		i.mean += time.Duration(intervalWeight * float64(now.Sub(i.last)-i.mean))
	}
	i.last = now
}

// Mean returns the mean interval.
func (i *Interval) Mean() time.Duration { return i.mean }
