package steward

import "time"

// listeningClock returns the time for which this host did not run until now; nil means never. By
// a clock without that time, a caller is silent only if this host could have heard it.
type listeningClock func(now time.Time) time.Duration

// at converts now to the listening clock.
func (c listeningClock) at(now time.Time) time.Time {
	if c == nil {
		return now
	}
	return now.Add(-c(now))
}
