package estimate

import "time"

// longestDecay is the factor by which the estimate decreases with each observation below
// it. It halves after 700 observations.
const longestDecay = 0.999

// Longest estimates the longest wait time among callers of one kind. The zero value is
// ready to use and has the estimate 0.
type Longest struct{ longest float64 }

// Observe adds one wait time.
func (l *Longest) Observe(d time.Duration) {
	l.longest = max(toMs(d), l.longest*longestDecay)
}

// Value returns the estimate.
func (l *Longest) Value() time.Duration { return time.Duration(l.longest * float64(time.Millisecond)) }
