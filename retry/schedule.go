package retry

import "time"

const (
	// gapWeight is the weight of the newest gap between two sends.
	gapWeight = 0.05
	// startGap is the gap taken before any was observed, longestGap the longest that
	// counts: a pause without requests says nothing of the pace under load.
	startGap   = 100 * time.Millisecond
	longestGap = time.Second
	// returnShare is the part of the pace of sends at which refused callers return;
	// the rest is for those that come for the first time.
	returnShare = 0.5
)

// Schedule tells refused callers when to come back, one after the other at half the
// pace at which requests like theirs are sent. Told one time, all that a burst had
// refused would return in one moment, and be refused again. The zero value is ready.
type Schedule struct {
	gap  time.Duration
	sent time.Time
	// next is the first time that no caller was told.
	next time.Time
}

// Sent notes that a request was sent.
func (s *Schedule) Sent(now time.Time) {
	if !s.sent.IsZero() {
		gap := min(max(now.Sub(s.sent), 0), longestGap)
		s.gap = s.Gap() + time.Duration(gapWeight*float64(gap-s.Gap()))
	}
	s.sent = now
}

// Gap is the mean time between two sends.
func (s *Schedule) Gap() time.Duration {
	if s.gap == 0 {
		return startGap
	}
	return s.gap
}

// RetryAfter takes the next free time from least on and returns how long it is until
// then. When all times within most are taken, callers share them: fraction, in [0,
// 1), says where this one comes.
func (s *Schedule) RetryAfter(now time.Time, least, most time.Duration, fraction float64) time.Duration {
	if most <= least {
		return least
	}
	at := now.Add(least)
	if s.next.After(at) {
		at = s.next
	}
	if at.Sub(now) > most {
		return least + time.Duration(fraction*float64(most-least))
	}
	s.next = at.Add(time.Duration(float64(s.Gap()) / returnShare))
	return at.Sub(now)
}
