package quarantine

import "time"

// CrashRetention is how long a crash counts against the requests that were in flight.
// A quarantined request is then tried again, because its upstreams may have been
// fixed.
const CrashRetention = 30 * time.Minute

// CrashTimes holds the times at which a Tracker's crashes were first seen, by the monotonic
// clock of this process: processes share no clock. It is not safe for concurrent use.
type CrashTimes struct{ at map[Incarnation]time.Time }

// Record stores the time at which a crash was seen, unless one is known already.
func (s *CrashTimes) Record(incarnation Incarnation, at time.Time) {
	if s.at == nil {
		s.at = make(map[Incarnation]time.Time)
	}
	if _, known := s.at[incarnation]; !known {
		s.at[incarnation] = at
	}
}

// Sync adapts the times to the crashes that are recorded: unknown ones count as
// seen now, and times of others are dropped.
func (s *CrashTimes) Sync(recorded []Incarnation, now time.Time) {
	before := s.at
	s.at = make(map[Incarnation]time.Time, len(recorded))
	for _, incarnation := range recorded {
		if at, known := before[incarnation]; known {
			s.at[incarnation] = at
		} else {
			s.at[incarnation] = now
		}
	}
}

// Age returns the time since a crash was seen, 0 if it is not known.
func (s *CrashTimes) Age(incarnation Incarnation, now time.Time) time.Duration {
	if at, known := s.at[incarnation]; known {
		return now.Sub(at)
	}
	return 0
}

// Has reports whether the time of a crash is known.
func (s *CrashTimes) Has(incarnation Incarnation) bool {
	_, known := s.at[incarnation]
	return known
}

// Expired returns the crashes that no longer count.
func (s *CrashTimes) Expired(now time.Time) []Incarnation {
	var incarnations []Incarnation
	for incarnation := range s.at {
		if s.Age(incarnation, now) >= CrashRetention {
			incarnations = append(incarnations, incarnation)
		}
	}
	return incarnations
}

// Len returns the number of crashes with a known time.
func (s *CrashTimes) Len() int { return len(s.at) }
