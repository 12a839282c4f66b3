package handover

import "time"

const (
	// freeShare is the fraction of the runners' prefill that requests released from waiting may take.
	// The rest is for those that arrive meanwhile, which can still be in time.
	freeShare = 0.5
	// maxRelease bounds the time over which requests are released: their callers wait.
	maxRelease = time.Second
)

// Crowd is what waits at an entry that starts together with others into a load.
type Crowd struct {
	// Tokens is the number of prompt tokens that wait at this entry.
	Tokens int
	// Entries is the number of entries, which wait with as much each, and Runners that of the
	// runners that they share.
	Entries, Runners int
	// PerMs is the prefill rate of a runner in tokens a millisecond.
	PerMs float64
}

// ReleaseTime returns the time over which the requests that are late already are released. Together
// they would delay those that can be in time.
func (c Crowd) ReleaseTime() time.Duration {
	if c.Runners <= 0 || c.PerMs <= 0 {
		return maxRelease
	}
	ms := float64(c.Tokens) * float64(max(c.Entries, 1)) / (float64(c.Runners) * c.PerMs * freeShare)
	return min(time.Duration(ms*float64(time.Millisecond)), maxRelease)
}
