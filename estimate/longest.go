package estimate

import "time"

// longestForget is the share that an estimate keeps with each observation that lies
// below it: after 700 it has lost half.
const longestForget = 0.999

// Longest estimates the longest time that callers of one kind come with. The zero
// value is ready and begins with nothing.
type Longest struct{ most float64 }

// Observe takes in one time.
func (l *Longest) Observe(d time.Duration) {
	l.most = max(toMs(d), l.most*longestForget)
}

// Value is the estimate.
func (l *Longest) Value() time.Duration { return time.Duration(l.most * float64(time.Millisecond)) }
