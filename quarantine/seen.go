package quarantine

import "time"

// CrashRetention is how long an end counts against the requests that were under way. A held
// request is then tried again, for its upstreams may have been mended.
const CrashRetention = 30 * time.Minute

// Seen are the times at which the ends of a ledger were seen, by one process's own steady
// clock: processes have none in common. It is not safe for concurrent use.
type Seen struct{ at map[Incarnation]time.Time }

// Record notes that an end was seen at a time, unless it is known already.
func (s *Seen) Record(life Incarnation, at time.Time) {
	if s.at == nil {
		s.at = make(map[Incarnation]time.Time)
	}
	if _, known := s.at[life]; !known {
		s.at[life] = at
	}
}

// Follow brings the times in line with the ends that are remembered: new ones were seen
// now.
func (s *Seen) Follow(remembered []Incarnation, now time.Time) {
	before := s.at
	s.at = make(map[Incarnation]time.Time, len(remembered))
	for _, life := range remembered {
		if at, known := before[life]; known {
			s.at[life] = at
		} else {
			s.at[life] = now
		}
	}
}

// Age is how long ago an end was seen, 0 if it is not known.
func (s *Seen) Age(life Incarnation, now time.Time) time.Duration {
	if at, known := s.at[life]; known {
		return now.Sub(at)
	}
	return 0
}

// Old lists the ends that no longer count.
func (s *Seen) Old(now time.Time) []Incarnation {
	var lives []Incarnation
	for life := range s.at {
		if s.Age(life, now) >= CrashRetention {
			lives = append(lives, life)
		}
	}
	return lives
}

// Len is the number of ends whose times are known.
func (s *Seen) Len() int { return len(s.at) }
