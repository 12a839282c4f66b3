package retry

import "time"

const (
	// gapWeight is the weight of the newest gap between two sends in the mean.
	gapWeight = 0.05
	// initialGap is the gap assumed before any was observed. maxGap is the longest
	// gap that counts: a pause without requests does not indicate the send rate under
	// load.
	initialGap = 100 * time.Millisecond
	maxGap     = time.Second
	// retryShare is the fraction of the send rate that is scheduled for retries of
	// refused callers; the rest is left to first attempts.
	retryShare = 0.5
)

// Schedule assigns retry times to refused callers, spaced so that they retry at half
// the rate at which similar requests are sent. If all callers refused in a burst were
// given the same time, they would retry together and be refused again. The zero value
// is ready to use.
type Schedule struct {
	gap      time.Duration
	lastSent time.Time
	// nextFree is the earliest time that is not assigned to a caller.
	nextFree time.Time
}

// Sent records that a request was sent.
func (s *Schedule) Sent(now time.Time) {
	if !s.lastSent.IsZero() {
		gap := min(max(now.Sub(s.lastSent), 0), maxGap)
		s.gap = s.Gap() + time.Duration(gapWeight*float64(gap-s.Gap()))
	}
	s.lastSent = now
}

// Gap returns the mean time between two sends.
func (s *Schedule) Gap() time.Duration {
	if s.gap == 0 {
		return initialGap
	}
	return s.gap
}

// RetryAfter assigns the next free time that is at least least from now, and returns
// the time until then. If all times up to most are assigned, callers share them:
// fraction, in [0, 1), selects the position of this caller between least and most.
func (s *Schedule) RetryAfter(now time.Time, least, most time.Duration, fraction float64) time.Duration {
	if most <= least {
		return least
	}
	at := now.Add(least)
	if s.nextFree.After(at) {
		at = s.nextFree
	}
	if at.Sub(now) > most {
		return least + time.Duration(fraction*float64(most-least))
	}
	s.nextFree = at.Add(time.Duration(float64(s.Gap()) / retryShare))
	return at.Sub(now)
}
