package steward

import (
	"cmp"
	"time"
)

const (
	// DefaultAnnounceEvery is how often upstreams announce themselves where the settings
	// don't tell.
	DefaultAnnounceEvery = 1200 * time.Millisecond
	// silentIntervals is after how many intervals without an announcement an upstream
	// counts as silent: two announcements that were lost, and half an interval for one
	// that is late.
	silentIntervals = 2.5
)

// announcing is how often upstreams announce themselves, DefaultAnnounceEvery if zero.
type announcing time.Duration

// silentAfter is after how long without an announcement an upstream counts as silent.
func (a announcing) silentAfter() time.Duration {
	return time.Duration(silentIntervals * float64(cmp.Or(time.Duration(a), DefaultAnnounceEvery)))
}
