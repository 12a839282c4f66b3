package quarantine

import "time"

const (
	// servedFor is for how long a request that was served is not taken for the cause
	// of an end. What many callers ask is under way wherever an upstream ends.
	servedFor = 10 * time.Second
	// servedMost bounds the requests remembered as served.
	servedMost = 4096
)

// Served are the requests that were served within ten seconds, and some that were
// before, in two generations. The zero value is ready; it is not safe for concurrent use.
type Served struct {
	young, old map[Fingerprint]bool
	turned     time.Time
}

// Record notes that a request ran to a good end.
func (s *Served) Record(p Fingerprint, now time.Time) {
	s.turn(now)
	s.young[p] = true
}

// Has reports whether a request was served lately.
func (s *Served) Has(p Fingerprint, now time.Time) bool {
	s.turn(now)
	return s.young[p] || s.old[p]
}

func (s *Served) turn(now time.Time) {
	age := now.Sub(s.turned)
	if age < servedFor && len(s.young) < servedMost/2 {
		return
	}
	s.old = s.young
	if age >= 2*servedFor {
		s.old = nil
	}
	s.young, s.turned = make(map[Fingerprint]bool), now
}
