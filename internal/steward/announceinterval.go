package steward

import (
	"cmp"
	"time"
)

const (
	// DefaultAnnounceEvery is the interval between an upstream's announcements when the
	// settings name none.
	DefaultAnnounceEvery = 1200 * time.Millisecond
	// silentIntervals is the number of announcement intervals without an announcement after
	// which an upstream counts as silent: two for lost announcements and half of one for a late
	// one.
	silentIntervals = 2.5
)

// announceInterval is the interval between an upstream's announcements; zero means
// DefaultAnnounceEvery.
type announceInterval time.Duration

// silentAfter returns the time without an announcement after which an upstream counts as
// silent.
func (a announceInterval) silentAfter() time.Duration {
	return time.Duration(silentIntervals * float64(cmp.Or(time.Duration(a), DefaultAnnounceEvery)))
}
